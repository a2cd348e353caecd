/**
 * Incarnations of a worker. One that starts again under its id holds and knows nothing of before: no fencing token, no run that was
 * stopped or ended there, and its ends and its clock are counted anew. What an owner knows of a worker is therefore known of
 * one incarnation of it.
 */

/** A worker's id and when this incarnation of it began; undefined where that is not known, or each incarnation has an id of its own. */
export interface WorkerIncarnation {
    readonly workerId: string;
    readonly bornAtMs: number | undefined;
}

/**
 * Tells whether two moments at which incarnations under one id began are surely those of two incarnations. Their order says nothing: they
 * are read off a clock that may be stepped.
 *
 * @example
 * isOtherIncarnation(1_768_565_282_669, 1_768_565_290_012); // true
 * isOtherIncarnation(undefined, 1_768_565_290_012); // false: it may be the same one
 */
export const isOtherIncarnation = (left: number | undefined, right: number | undefined): boolean =>
    left !== undefined && right !== undefined && left !== right;

/**
 * Gives a key under which something is remembered of one incarnation of a worker.
 *
 * @example
 * incarnationKey({ workerId: "i-1", bornAtMs: 1_768_565_282_669 }); // "i-1@1768565282669"
 */
export const incarnationKey = ({ workerId, bornAtMs }: WorkerIncarnation): string =>
    bornAtMs === undefined ? workerId : `${workerId}@${bornAtMs}`;

/**
 * Gives what names an incarnation in the log.
 *
 * @example
 * log.write("warn", "workerSilent", { ...incarnationOf(worker) });
 */
export const incarnationOf = ({ workerId, bornAtMs }: WorkerIncarnation): WorkerIncarnation => ({ workerId, bornAtMs });
