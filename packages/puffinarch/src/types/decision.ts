/** Records of scheduling decisions, for the log, the command `explain` and reports. */

/** Kinds of recorded decisions. */
export const decisionKinds = { placement: "placement", routing: "routing" } as const;
/** One of `decisionKinds`. */
export type DecisionKind = (typeof decisionKinds)[keyof typeof decisionKinds];

/** The placement of a task or the routing of a request, with its reason. */
export interface Decision {
    /** Milliseconds since the Unix epoch. */
    readonly atMs: number;
    readonly daemonId: string;
    readonly kind: DecisionKind;
    /** Id of the task or request. */
    readonly subject: string;
    /** Id of the task's home or of the request's caller. */
    readonly requester: string;
    /** Id of the chosen worker, of the upstream, or of the session that the request is forwarded to; undefined where none was available. */
    readonly chosen?: string;
    readonly reason: string;
    /** Name of the placement policy; for a routing, name of the service. */
    readonly policy: string;
    /** Number of candidates that were considered. */
    readonly alternatives: number;
    readonly durationUs: number;
}
