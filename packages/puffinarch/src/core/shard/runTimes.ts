/**
 * Learns from the ends of runs how fast each worker is, and by how much the estimates of each queue are off. The logarithm of
 * `tookMs / estimateMs` is the sum of the queue's bias, the negative logarithm of the worker's speed, and noise. Each end moves
 * both by a share of the difference from the prediction, so that an end costs the same however many workers there are.
 */

import type { ShardRun, ShardStep } from "./jobModel.js";
import type { ShardWorker } from "./workerTable.js";

/** A run that has ended `done`. */
export interface EndedRunTime {
    readonly queueKey: string;
    /** Address of its worker, which stays the same when the worker gets a new ID. */
    readonly address: string;
    readonly estimateMs: number;
    readonly tookMs: number;
}

/** Learned speed of a worker. */
export interface LearnedSpeed {
    readonly address: string;
    /** Relative speed; 1 is the mean of all known workers. */
    readonly speed: number;
    /** Standard error of the natural logarithm of the speed. */
    readonly error: number;
}

/** What was learned of the estimates of a queue. */
export interface LearnedBias {
    readonly queueKey: string;
    /** Median of the run time on the mean worker, as a multiple of the estimate. */
    readonly bias: number;
    /** Standard deviation of the natural logarithm of `tookMs / estimateMs`, without the differences between workers. */
    readonly spread: number;
    /** Number of ends that the bias is based on; at most `maxBiasEnds`. */
    readonly ends: number;
}

/** All that was learned, the most recently used entries first. */
export interface RunTimeEntries {
    readonly speeds: readonly LearnedSpeed[];
    readonly biases: readonly LearnedBias[];
}

/** Learned speeds of workers and biases of queues. */
export interface RunTimes {
    /** Learns from one end; O(1). An end without an estimate or a duration is ignored. */
    recordEnd(end: EndedRunTime): void;
    /** Relative speed of a worker; 1 is the mean of all known workers, and the value for an unknown one. */
    speedOf(address: string): number;
    /** Median run time in multiples of the estimate, on the mean worker; 1 for an unknown queue. */
    biasOf(queueKey: string): number;
    /** Expected run time in ms of a task of the step on a worker; `Infinity` for a long-running one, 0 without an estimate. */
    expectedMs(step: ShardStep, worker: { readonly address: string; }): number;
    /** The queue's bias where it is known with a small error and surely differs from 1; otherwise 1. */
    remainingFactorOf(queueKey: string): number;
    /** Whether speeds differ clearly beside their own error; placement ignores them otherwise. */
    isSpread(): boolean;
    entries(): RunTimeEntries;
    /** Adds entries that a former owner has learned; those learned by this owner stay as they are. */
    restore(entries: RunTimeEntries): void;
}

/** Most workers and queues that are kept; beyond that, the least recently used ones are dropped. */
export const maxSpeeds = 1_800;
/** Most queues that are kept. */
export const maxBiases = 200;

/** Variance of the logarithm of an unknown worker's speed; a worker at half the usual speed is 1.8 standard deviations away. */
const priorVariance = 0.15;
/**
 * Increase of the variance with each end, since a worker may turn slow. It limits the memory to some ten ends for a queue with a
 * spread of 0.4, which keeps the error of the logarithm near 0.13.
 */
const driftVariance = 0.002;
/** A speed with a larger variance than this does not count for `isSpread` and the mean. */
const maxKnownVariance = 0.06;
/** Residuals are clipped to this many standard deviations: a task that takes 7 times as long must not make its worker slow. */
const clipDeviations = 2;
/** Spread of a queue before its first ends; estimates are usually off by a factor whose logarithm deviates by 0.2 to 0.9. */
const priorSpread = 0.5;
/** Least spread of a queue; limits how much one end can change a speed. */
const minSpread = 0.1;
/** Least share of the newest end in the spread of its queue; covers about 50 ends. */
const minSpreadGain = 0.02;
/** Mean absolute deviation of a normal distribution, as a factor to its standard deviation. */
const deviationsPerAbsolute = 1.2533;
/** Most ends that a bias is averaged over. Tasks of a job have correlated deviations, so a lower number makes the bias follow single jobs. */
export const maxBiasEnds = 400;
/** A bias is known from this many ends on, and if the standard error of its logarithm is at most `maxBiasError`. */
const minBiasEnds = 20;
const maxBiasError = 0.1;
/** A bias that differs from 1 by less than this many standard errors is taken as 1. */
const minBiasDeviations = 2;
/** Fewer known workers than this cannot show a spread. */
const minSpreadWorkers = 4;
/** Speeds are spread if the variance between workers exceeds this many times that of their errors, plus the sampling error. */
const minVarianceRatio = 2;
const samplingDeviations = 3;
/** Least standard deviation of the logarithms of speeds that matters for placement. */
const minSpeedDeviation = 0.1;
/** Weight of entries that a former owner has learned: the workers may have changed since. */
const restoredVariance = 0.03;
const restoredEnds = 100;

interface Speed {
    logSpeed: number;
    variance: number;
}

interface Bias {
    logBias: number;
    spread: number;
    ends: number;
}

/** Sums over the known speeds, so that their mean and variance need no pass over all workers. */
interface SpeedSums {
    count: number;
    sum: number;
    squares: number;
    variances: number;
}

const isKnown = ({ variance }: Speed): boolean => variance <= maxKnownVariance;

const addToSums = (sums: SpeedSums, speed: Speed, sign: 1 | -1): void => {
    if (isKnown(speed)) {
        sums.count += sign;
        sums.sum += sign * speed.logSpeed;
        sums.squares += sign * speed.logSpeed ** 2;
        sums.variances += sign * speed.variance;
    }
};

/** Moves an entry to the end of its map, which is in the order of use, and drops the first entry beyond `most`. */
const touch = <T>(map: Map<string, T>, key: string, value: T, most: number): T | undefined => {
    map.delete(key);
    map.set(key, value);
    if (map.size <= most) {
        return undefined;
    }
    const [oldest] = map;
    if (oldest === undefined) {
        return undefined;
    }
    map.delete(oldest[0]);
    return oldest[1];
};

const clip = (value: number, limit: number): number => Math.max(-limit, Math.min(limit, value));

/** Updates a bias by the residual of one end, which is clipped; returns the clipped residual. */
const updateBias = (bias: Bias, residual: number): number => {
    const clipped = clip(residual, clipDeviations * bias.spread);
    bias.ends = Math.min(maxBiasEnds, bias.ends + 1);
    bias.logBias += clipped / bias.ends;
    const spreadGain = Math.max(minSpreadGain, 1 / (bias.ends + 3));
    const deviation = deviationsPerAbsolute * Math.abs(clipped);
    bias.spread = Math.max(minSpread, bias.spread + spreadGain * (deviation - bias.spread));
    return clipped;
};

/**
 * Creates the learning of one shard's owner.
 *
 * @example
 * const runTimes = createRunTimes();
 * runTimes.recordEnd({ queueKey: "plans", address: "10.0.0.1:1", estimateMs: 800, tookMs: 1_400 });
 * runTimes.isSpread(); // false: one worker shows nothing
 */
export const createRunTimes = (): RunTimes => {
    /** Both in the order of use. */
    const speeds = new Map<string, Speed>();
    const biases = new Map<string, Bias>();
    const sums: SpeedSums = { count: 0, sum: 0, squares: 0, variances: 0 };

    const meanLogSpeed = (): number => sums.count === 0 ? 0 : sums.sum / sums.count;
    const logSpeedOf = (address: string): number => speeds.get(address)?.logSpeed ?? meanLogSpeed();
    const logBiasOf = (queueKey: string): number => {
        const bias = biases.get(queueKey);
        return bias === undefined ? 0 : bias.logBias - meanLogSpeed();
    };

    const keepSpeed = (address: string, speed: Speed): void => {
        addToSums(sums, speed, 1);
        const dropped = touch(speeds, address, speed, maxSpeeds);
        if (dropped !== undefined) {
            addToSums(sums, dropped, -1);
        }
    };

    const recordEnd = ({ queueKey, address, estimateMs, tookMs }: EndedRunTime): void => {
        if (estimateMs <= 0 || tookMs <= 0) {
            return;
        }
        const logTook = Math.log(tookMs / estimateMs);
        const known = speeds.get(address);
        const speed = known ?? { logSpeed: meanLogSpeed(), variance: priorVariance };
        if (known !== undefined) {
            addToSums(sums, known, -1);
        }
        const bias = biases.get(queueKey) ?? { logBias: logTook + speed.logSpeed, spread: priorSpread, ends: 0 };
        touch(biases, queueKey, bias, maxBiases);
        const clipped = updateBias(bias, logTook + speed.logSpeed - bias.logBias);
        const noise = bias.spread ** 2 * (1 + 1 / bias.ends);
        const gain = speed.variance / (speed.variance + noise);
        speed.logSpeed -= gain * clipped;
        speed.variance = Math.min(priorVariance, (1 - gain) * speed.variance + driftVariance);
        keepSpeed(address, speed);
    };

    const isSpread = (): boolean => {
        const { count, sum, squares, variances } = sums;
        if (count < minSpreadWorkers) {
            return false;
        }
        const variance = (squares - sum ** 2 / count) / (count - 1);
        const error = variances / count;
        const least = error * (minVarianceRatio + samplingDeviations * Math.sqrt(2 / (count - 1)));
        return variance > least && variance > minSpeedDeviation ** 2;
    };

    return {
        recordEnd,
        isSpread,
        speedOf: address => Math.exp(logSpeedOf(address) - meanLogSpeed()),
        biasOf: queueKey => Math.exp(logBiasOf(queueKey)),
        expectedMs: ({ spec, occurrence }, { address }) => {
            if (spec.longRunning) {
                return Infinity;
            }
            const logFactor = logBiasOf(occurrence.job.queue.key) + meanLogSpeed() - logSpeedOf(address);
            return spec.estimateMs * Math.exp(logFactor);
        },
        remainingFactorOf: queueKey => {
            const bias = biases.get(queueKey);
            if (bias === undefined || bias.ends < minBiasEnds) {
                return 1;
            }
            const error = bias.spread / Math.sqrt(bias.ends);
            const logBias = logBiasOf(queueKey);
            const counts = error <= maxBiasError && Math.abs(logBias) > minBiasDeviations * error;
            return counts ? Math.exp(logBias) : 1;
        },
        entries: () => ({
            speeds: [...speeds].reverse().map(([address, { logSpeed, variance }]) => ({
                address,
                speed: Math.exp(logSpeed - meanLogSpeed()),
                error: Math.sqrt(variance),
            })),
            biases: [...biases].reverse().map(([queueKey, { spread, ends }]) => ({
                queueKey,
                bias: Math.exp(logBiasOf(queueKey)),
                spread,
                ends,
            })),
        }),
        restore: entries => {
            const mean = meanLogSpeed();
            for (const { address, speed, error } of entries.speeds.slice(0, maxSpeeds).reverse()) {
                if (!speeds.has(address)) {
                    const variance = Math.min(priorVariance, Math.max(restoredVariance, error ** 2));
                    keepSpeed(address, { logSpeed: mean + Math.log(speed), variance });
                }
            }
            for (const { queueKey, bias, spread, ends } of entries.biases.slice(0, maxBiases).reverse()) {
                if (!biases.has(queueKey)) {
                    const restored = {
                        logBias: mean + Math.log(bias),
                        spread: Math.max(minSpread, spread),
                        ends: Math.min(restoredEnds, ends),
                    };
                    touch(biases, queueKey, restored, maxBiases);
                }
            }
        },
    };
};

/** How long a step may take from now on, in ms. */
export interface TimeLeft {
    /** Until its job is due; 0 or less if it is late already, `Infinity` if its time does not matter. */
    readonly leftMs: number;
    /** Until its job is worthless to its caller. */
    readonly limitMs: number;
}

/** A step is surely in time on a worker if this many times its expected run time is left; estimates are off by some tenths. */
const inTimeMargin = 1.25;
/** Outweighs the bonus for workers with other tasks of the step and a near worker: the step is in time there only by luck. */
const tightPenalty = 1.5;
/** Outweighs free capacity as well, but not a recent failure of the task. */
const latePenalty = 3;
const worthlessPenalty = 4;
/** A worker at half the speed gains about as much as one that is empty beside a full one. */
const slowFirstWeight = 1.5;

/**
 * Scores a worker by its speed for a step; higher is better. Workers on which the step is in time come before those on which it
 * is late. Where it is surely in time, or late anyway, slower workers come first, which leaves the fast ones to steps that need
 * them; otherwise faster ones come first.
 *
 * @example
 * const left = { leftMs: 1_000, limitMs: 3_000 };
 * scoreSpeed({ speed: 0.5, expectedMs: 1_400, ...left }) < scoreSpeed({ speed: 1.2, expectedMs: 600, ...left }); // true
 */
export const scoreSpeed = (
    { speed, expectedMs, leftMs, limitMs }: TimeLeft & { readonly speed: number; readonly expectedMs: number; },
): number => {
    const logSpeed = Math.log(speed);
    if (inTimeMargin * expectedMs <= leftMs) {
        return -slowFirstWeight * logSpeed;
    }
    if (expectedMs <= leftMs) {
        return logSpeed - tightPenalty;
    }
    return inTimeMargin * expectedMs <= limitMs ? -logSpeed - latePenalty : logSpeed - worthlessPenalty;
};

/** Largest uncertainty of the start and the end of a run, as a share of its duration, at which the run still counts. */
const maxUncertainShare = 0.15;

/**
 * Returns the duration of a run that has just been listed as `done`, if it says something about its worker. Runs that resumed
 * from a checkpoint, were not confirmed by this owner, were paced, or whose end may have been read late do not count; nor do
 * gangs, whose members all take as long as the slowest one, and tasks whose speed depends on their place or on other runs.
 *
 * @example
 * const end = runTimeOf(worker, run, clock.monotonicMs());
 */
export const runTimeOf = (worker: ShardWorker, run: ShardRun, nowMs: number): EndedRunTime | undefined => {
    const { spec, occurrence } = run.task.step;
    const { sentAtMs, startedAtMs, checkpoint, percent } = run;
    if (sentAtMs === undefined || startedAtMs === undefined || checkpoint !== "" || percent < 100) {
        return undefined;
    }
    const isComparable = spec.estimateMs > 0 && !spec.gang && !spec.longRunning && !spec.fills && spec.dataRack === "";
    const tookMs = nowMs - startedAtMs;
    const uncertainMs = startedAtMs - sentAtMs + worker.lookGapMs;
    if (!isComparable || uncertainMs > maxUncertainShare * tookMs || worker.clockJumpAtMs >= startedAtMs) {
        return undefined;
    }
    const { address } = worker.entry;
    return address === ""
        ? undefined
        : { queueKey: occurrence.job.queue.key, address, estimateMs: spec.estimateMs, tookMs };
};
