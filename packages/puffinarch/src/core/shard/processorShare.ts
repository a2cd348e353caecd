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
    /** Whether the newest sample is far below the usual share. */
    isSlow(): boolean;
    /** Newest share as a fraction of the usual one; 1 before there are two samples. */
    relative(): number;
}

/** Least working time of a sample; in less, the resolution of the processor time and single delays count too much. */
const minActiveMs = 50;
/** A VM is slow at less than this fraction of its usual share. Owners under load were seen to get 0.8 to 1.2 of theirs. */
const slowFraction = 0.5;
/** Working time over which the usual share is averaged; the share of a healthy VM drifts over some ten seconds. */
const averagedActiveMs = 3_000;

/**
 * Creates the share of a process from the reader of its times.
 *
 * @example
 * const share = createProcessorShare(readProcessorTimes);
 * share.sample();
 * share.isSlow();
 */
export const createProcessorShare = (readTimes: () => ProcessorTimes): ProcessorShare => {
    let last = readTimes();
    let usual: number | undefined;
    let relative = 1;
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
            relative = usual > 0 ? share / usual : 1;
            // The share of a slow VM must not become the usual one while it is slow.
            if (relative >= slowFraction) {
                usual += Math.min(1, activeMs / averagedActiveMs) * (share - usual);
            }
        },
        isSlow: () => relative < slowFraction,
        relative: () => relative,
    };
};
