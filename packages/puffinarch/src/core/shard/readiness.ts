/** Whether callers may be sent to a daemon, and the lines that tell why not, and for how long the shard had no owner. */

import type { KnownOwner } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";

/** What judging the readiness needs. */
export interface ReadinessOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly isLeaving: () => boolean;
    readonly hasConfiguration: () => boolean;
    readonly owns: () => boolean;
    /** Local time at which the owner was last known to be well. */
    readonly wellAtMs: () => number;
    /** Local time at which an owner was last known to have its rows, wherever it is. */
    readonly ownerAtWorkAtMs: () => number;
    readonly knownOwner: () => KnownOwner | undefined;
    /** What this daemon does about the owner, and what it knows of its peers. */
    readonly situation: () => Readonly<Record<string, unknown>>;
}

/** The readiness of a daemon. */
export interface Readiness {
    ready(): boolean;
    close(): void;
}

/** Without an owner for this long, a daemon asks the balancer for no more callers. */
const readyWithoutOwnerMs = 450;
/** How often the readiness is looked at for the log. */
const checkIntervalMs = 200;
/** A takeover takes half a second; the first line about a missing owner comes after this, each next after twice the time. */
const firstWithoutOwnerMs = 1_000;

/**
 * Starts to judge whether a daemon is ready.
 *
 * @example
 * const readiness = watchReadiness({ clock, log, isLeaving, hasConfiguration, owns, wellAtMs, ownerAtWorkAtMs, knownOwner, situation });
 * readiness.ready(); // false before the first configuration
 */
export const watchReadiness = (options: ReadinessOptions): Readiness => {
    const { clock, log, isLeaving, hasConfiguration, owns, wellAtMs, ownerAtWorkAtMs, knownOwner } = options;
    let closed = false;
    let shownReason: string | undefined = "starting";
    let withoutOwnerLineMs = firstWithoutOwnerMs;

    /** Why no callers may be sent here; undefined where they may. */
    const obstacle = (): string | undefined => {
        if (isLeaving()) {
            return "leaving";
        }
        if (!hasConfiguration()) {
            return "noConfiguration";
        }
        if (owns() || clock.monotonicMs() - wellAtMs() < readyWithoutOwnerMs) {
            return undefined;
        }
        return knownOwner() === undefined ? "noOwnerKnown" : "ownerSilent";
    };

    const ownerFields = (): Readonly<Record<string, unknown>> => ({
        owner: knownOwner()?.row.memberId,
        fencingToken: knownOwner()?.version,
        withoutOwnerMs: Math.round(clock.monotonicMs() - ownerAtWorkAtMs()),
    });

    const tellReadiness = (): void => {
        const reason = obstacle();
        if (reason === shownReason) {
            return;
        }
        shownReason = reason;
        if (reason === undefined) {
            log.write("info", "ready", ownerFields());
        }
        else {
            log.write("warn", "notReady", { reason, ...ownerFields() });
        }
    };

    const tellOwner = (): void => {
        const withoutOwnerMs = clock.monotonicMs() - ownerAtWorkAtMs();
        if (withoutOwnerMs >= withoutOwnerLineMs) {
            withoutOwnerLineMs *= 2;
            log.write("warn", "withoutOwner", { ...ownerFields(), ...options.situation() });
            return;
        }
        if (withoutOwnerMs < firstWithoutOwnerMs && withoutOwnerLineMs > firstWithoutOwnerMs) {
            withoutOwnerLineMs = firstWithoutOwnerMs;
            log.write("info", "ownerAtWork", ownerFields());
        }
    };

    const check = (): void => {
        if (closed) {
            return;
        }
        tellReadiness();
        tellOwner();
        clock.setTimer(checkIntervalMs, check);
    };

    clock.setTimer(checkIntervalMs, check);
    return {
        ready: () => obstacle() === undefined,
        close: () => {
            closed = true;
        },
    };
};
