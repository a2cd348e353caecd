/**
 * Tells whether the VM of this process has become slow, by the processor time that the process gets while it has work. An overloaded process
 * is late as well, but gets its usual share; handing its work over would bring the same load to another VM.
 */

/** Times of this process since its start, in ms. */
export interface ProcessorTimes {
    /** Processor time that it got. */
    readonly usedMs: number;
    /** Time for which its event loop had work. */
    readonly activeMs: number;
}

/** Share of the processor that this process gets. */
export interface ProcessorShare {
    /** Takes a sample, if the process has worked for long enough since the last one. */
    sample(): void;
    /** Whether the newest samples are far below the usual share, and below what the VM is configured with. */
    isSlow(): boolean;
}

/** Least working time of a sample; in less, the resolution of the processor time and single delays count too much. */
const minActiveMs = 50;
/** A VM is slow at less than this fraction of its usual share; that of a busy owner on a sound VM stays above. */
const slowFraction = 0.5;
/** Samples in a row that show a slow VM; a single one may be a pause that is over. */
const slowSamples = 2;
/** Working time over which the usual share is averaged; the share of a sound VM drifts over some ten seconds. */
const averagedActiveMs = 3_000;
/** The same while the VM counts as slow, so that a share that has changed for good becomes the usual one in the end. */
const averagedWhileSlowMs = 30_000;

/**
 * Creates the share of a process from the reader of its times. `configuredShare` is the share of a core that the VM is configured with: a
 * platform that enforces it as a cap stops a busy process for the rest of each period, which does not make the VM slow.
 *
 * @example
 * const share = createProcessorShare(readProcessorTimes, 0.675);
 * share.sample();
 * share.isSlow();
 */
export const createProcessorShare = (readTimes: () => ProcessorTimes, configuredShare: number): ProcessorShare => {
    let last = readTimes();
    let usual: number | undefined;
    let slowInARow = 0;
    return {
        sample: () => {
            const times = readTimes();
            const activeMs = times.activeMs - last.activeMs;
            if (activeMs < minActiveMs) {
                return;
            }
            const share = (times.usedMs - last.usedMs) / activeMs;
            last = times;
            usual ??= share;
            slowInARow = share < slowFraction * Math.min(usual, configuredShare) ? slowInARow + 1 : 0;
            const averagedMs = slowInARow > 0 ? averagedWhileSlowMs : averagedActiveMs;
            usual += Math.min(1, activeMs / averagedMs) * (share - usual);
        },
        isSlow: () => slowInARow >= slowSamples,
    };
};
