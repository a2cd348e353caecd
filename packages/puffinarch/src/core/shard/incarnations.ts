/**
 * Identifies the incarnations of a worker. A worker that restarts under its id has lost its whole state: fencing token, runs,
 * and which runs were stopped or ended; its end numbers and its clock begin anew. An owner therefore keeps its records of a
 * worker by incarnation.
 */

/** A worker's id and when this incarnation began; undefined where that is not known, or where each incarnation has its own id. */
export interface WorkerIncarnation {
    readonly workerId: string;
    readonly bornAtMs: number | undefined;
}

/**
 * Tells whether two start times under one worker id surely belong to different incarnations. Which is larger does not show
 * which is newer, since they come from a clock that may be stepped.
 *
 * @example
 * isOtherIncarnation(1_768_565_282_669, 1_768_565_290_012); // true
 * isOtherIncarnation(undefined, 1_768_565_290_012); // false: it may be the same one
 */
export const isOtherIncarnation = (left: number | undefined, right: number | undefined): boolean =>
    left !== undefined && right !== undefined && left !== right;

/**
 * Returns a key for data kept about one incarnation of a worker.
 *
 * @example
 * incarnationKey({ workerId: "i-1", bornAtMs: 1_768_565_282_669 }); // "i-1@1768565282669"
 */
export const incarnationKey = ({ workerId, bornAtMs }: WorkerIncarnation): string =>
    bornAtMs === undefined ? workerId : `${workerId}@${bornAtMs}`;

/**
 * Returns the fields that identify an incarnation in log entries.
 *
 * @example
 * log.write("warn", "workerSilent", { ...incarnationOf(worker) });
 */
export const incarnationOf = ({ workerId, bornAtMs }: WorkerIncarnation): WorkerIncarnation => ({ workerId, bornAtMs });
