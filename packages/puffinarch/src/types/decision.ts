/** Records of decisions, for the log, `explain` and reports. */

/** Kinds of decisions that are recorded. */
export const decisionKinds = { placement: "placement", routing: "routing" } as const;
/** One of `decisionKinds`. */
export type DecisionKind = (typeof decisionKinds)[keyof typeof decisionKinds];

/** Why something was placed or routed where it was, or why not. */
export interface Decision {
    readonly atMs: number;
    readonly daemonId: string;
    readonly kind: DecisionKind;
    /** Task or request decided on. */
    readonly subject: string;
    /** Job or caller it belongs to. */
    readonly requester: string;
    /** Worker or upstream chosen; undefined where none was. */
    readonly chosen?: string;
    readonly reason: string;
    readonly policy: string;
    /** Number of places that were open to choose from. */
    readonly alternatives: number;
    readonly durationUs: number;
}
