/** Table rows by which daemons agree on the live sessions and on the owner of each unit. */

/** Kinds of units. */
export const unitKinds = { rack: "rack", upstream: "upstream", home: "home" } as const;
/** One of `unitKinds`. */
export type UnitKind = (typeof unitKinds)[keyof typeof unitKinds];

/** A unit of ownership: at most one session owns it and takes all decisions on it. */
export interface Unit {
    /** Key of its row, as returned by `unitKey`. */
    readonly key: string;
    readonly kind: UnitKind;
    readonly dataCentre: string;
    readonly name: string;
}

/** Value of a unit's row. */
export interface UnitRow extends Unit {
    /** Id of the owning session; empty after the previous owner has given the unit up. */
    readonly owner: string;
}

/**
 * States of a session. `draining`: it is giving up its units. `closed`: it has given up all of them. `fenced`: another session has
 * ended its authority, although its process may still run.
 */
export const sessionStates = { live: "live", draining: "draining", closed: "closed", fenced: "fenced" } as const;
/** One of `sessionStates`. */
export type SessionState = (typeof sessionStates)[keyof typeof sessionStates];

/** Value of a session's row. Each VM has one such row. */
export interface SessionRow {
    readonly sessionId: string;
    readonly vmId: string;
    /** Grows with each session that is opened on the VM. */
    readonly incarnation: number;
    readonly dataCentre: string;
    readonly address: string;
    readonly state: SessionState;
    /** Generation of the VM list that contained the session's own VM when the session was opened. */
    readonly listedGeneration: number;
    /**
     * The session that may fence this one once its lease has expired; empty for none. Without a deputy, other daemons treat this session
     * as dead only on evidence, such as the removal of its VM from the list.
     */
    readonly deputy: string;
    /** Heartbeat counter; grows with each renewal. */
    readonly beat: number;
}

/**
 * Returns the key of a unit's row.
 *
 * @example
 * unitKey("rack", "leon-feria", "r1"); // "unit/rack/leon-feria/r1"
 */
export const unitKey = (kind: UnitKind, dataCentre: string, name: string): string =>
    `unit/${kind}/${dataCentre}/${name}`;

/**
 * Returns the key of the row of a VM's session.
 *
 * @example
 * sessionKey("vm-1"); // "session/vm-1"
 */
export const sessionKey = (vmId: string): string => `session/${vmId}`;
