/** Rows by which daemons agree on who is alive and who decides on what. */

/** Kinds of units that have one owner each. */
export const unitKinds = { rack: "rack", upstream: "upstream", home: "home" } as const;
/** One of `unitKinds`. */
export type UnitKind = (typeof unitKinds)[keyof typeof unitKinds];

/** Something that exactly one session decides on. */
export interface Unit {
    readonly key: string;
    readonly kind: UnitKind;
    readonly dataCentre: string;
    readonly name: string;
}

/** Value of a unit's row; an empty owner means that it was handed over. */
export interface UnitRow extends Unit {
    readonly owner: string;
}

/** States of a session. A closed one handed everything over; a fenced one was taken over while it may still run. */
export const sessionStates = { live: "live", draining: "draining", closed: "closed", fenced: "fenced" } as const;
/** One of `sessionStates`. */
export type SessionState = (typeof sessionStates)[keyof typeof sessionStates];

/** Value of a session's row; one row a VM, and the incarnation grows with each start of its daemon. */
export interface SessionRow {
    readonly sessionId: string;
    readonly vmId: string;
    readonly incarnation: number;
    readonly dataCentre: string;
    readonly address: string;
    readonly state: SessionState;
    /** Generation of the VM list in which the session saw its own VM. */
    readonly listedGeneration: number;
    /** The one session that may take over by lease; empty where only evidence of death counts. */
    readonly deputy: string;
    /** Grows with each renewal. */
    readonly beat: number;
}

/**
 * Names the row of a unit.
 *
 * @example
 * unitKey("rack", "leon-feria", "r1"); // "unit/rack/leon-feria/r1"
 */
export const unitKey = (kind: UnitKind, dataCentre: string, name: string): string =>
    `unit/${kind}/${dataCentre}/${name}`;

/**
 * Names the row of a VM's session.
 *
 * @example
 * sessionKey("vm-1"); // "session/vm-1"
 */
export const sessionKey = (vmId: string): string => `session/${vmId}`;
