/**
 * Lives of a worker. One that starts again under its id holds and knows nothing of before: no fencing token, no run that was
 * stopped or ended there, and its ends and its clock are counted anew. What an owner knows of a worker is therefore known of
 * one life of it.
 */

/** A worker's id and when this life of it began; undefined where that is not known, or each life has an id of its own. */
export interface WorkerLife {
    readonly workerId: string;
    readonly bornAtMs: number | undefined;
}

/**
 * Tells whether two moments at which lives under one id began are surely those of two lives. Their order says nothing: they
 * are read off a clock that may be stepped.
 *
 * @example
 * isOtherLife(1_768_565_282_669, 1_768_565_290_012); // true
 * isOtherLife(undefined, 1_768_565_290_012); // false: it may be the same one
 */
export const isOtherLife = (left: number | undefined, right: number | undefined): boolean =>
    left !== undefined && right !== undefined && left !== right;

/**
 * Gives a key under which something is remembered of one life of a worker.
 *
 * @example
 * lifeKey({ workerId: "i-1", bornAtMs: 1_768_565_282_669 }); // "i-1@1768565282669"
 */
export const lifeKey = ({ workerId, bornAtMs }: WorkerLife): string =>
    bornAtMs === undefined ? workerId : `${workerId}@${bornAtMs}`;

/**
 * Gives what names a life in the log.
 *
 * @example
 * log.write("warn", "workerSilent", { ...lifeOf(worker) });
 */
export const lifeOf = ({ workerId, bornAtMs }: WorkerLife): WorkerLife => ({ workerId, bornAtMs });
