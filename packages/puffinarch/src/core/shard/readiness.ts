/**
 * Decides whether the load balancer may send callers to a daemon, and logs why not, and for how long the shard has had no
 * serving owner.
 */

import type { KnownOwner } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";

/** Dependencies of the readiness check. */
export interface ReadinessOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly isLeaving: () => boolean;
    readonly hasConfiguration: () => boolean;
    readonly owns: () => boolean;
    /** Whether this daemon's data centre is cut off from the others and from the store. */
    readonly isPartitioned: () => boolean;
    /** Local time at which the owner was last known to be healthy. */
    readonly lastHealthyAtMs: () => number;
    /** Local time at which any owner was last known to be serving, which means that it has read all its rows. */
    readonly ownerServingAtMs: () => number;
    readonly knownOwner: () => KnownOwner | undefined;
    /** Log fields on what this daemon does about the owner, and on its peers. */
    readonly situation: () => Readonly<Record<string, unknown>>;
}

/** The readiness of a daemon. */
export interface Readiness {
    ready(): boolean;
    close(): void;
}

/** A daemon that has had no healthy owner for this long reports that it is not ready. */
const readyWithoutOwnerMs = 450;
/** Interval of the checks that log changes of the readiness. */
const checkIntervalMs = 200;
/** Time without a serving owner before the first warning; each further one comes after twice the time. A takeover takes 0.5 s. */
const firstWarningAfterMs = 1_000;

/**
 * Starts to check and log whether a daemon is ready.
 *
 * @example
 * const readiness = watchReadiness({ clock, log, isLeaving, hasConfiguration, owns, isPartitioned, lastHealthyAtMs, ownerServingAtMs, knownOwner, situation });
 * readiness.ready(); // false before the first configuration
 */
export const watchReadiness = (options: ReadinessOptions): Readiness => {
    const {
        clock,
        log,
        isLeaving,
        hasConfiguration,
        owns,
        isPartitioned,
        lastHealthyAtMs,
        ownerServingAtMs,
        knownOwner,
    } = options;
    let closed = false;
    let loggedReason: string | undefined = "starting";
    let nextWarningAfterMs = firstWarningAfterMs;

    /** Returns why this daemon is not ready; undefined where it is ready. */
    const notReadyReason = (): string | undefined => {
        if (isLeaving()) {
            return "leaving";
        }
        if (!hasConfiguration()) {
            return "noConfiguration";
        }
        if (isPartitioned()) {
            // An owner in the same data centre goes on with its runs, but can accept nothing.
            return "partitioned";
        }
        if (owns() || clock.monotonicMs() - lastHealthyAtMs() < readyWithoutOwnerMs) {
            return undefined;
        }
        return knownOwner() === undefined ? "noOwnerKnown" : "ownerSilent";
    };

    const ownerFields = (): Readonly<Record<string, unknown>> => ({
        owner: knownOwner()?.row.memberId,
        fencingToken: knownOwner()?.version,
        withoutOwnerMs: Math.round(clock.monotonicMs() - ownerServingAtMs()),
    });

    const logReadiness = (): void => {
        const reason = notReadyReason();
        if (reason === loggedReason) {
            return;
        }
        loggedReason = reason;
        if (reason === undefined) {
            log.write("info", "ready", ownerFields());
        }
        else {
            log.write("warn", "notReady", { reason, ...ownerFields() });
        }
    };

    const logOwner = (): void => {
        const withoutOwnerMs = clock.monotonicMs() - ownerServingAtMs();
        if (withoutOwnerMs >= nextWarningAfterMs) {
            nextWarningAfterMs *= 2;
            log.write("warn", "withoutOwner", { ...ownerFields(), ...options.situation() });
            return;
        }
        if (withoutOwnerMs < firstWarningAfterMs && nextWarningAfterMs > firstWarningAfterMs) {
            nextWarningAfterMs = firstWarningAfterMs;
            log.write("info", "ownerAtWork", ownerFields());
        }
    };

    const check = (): void => {
        if (closed) {
            return;
        }
        logReadiness();
        logOwner();
        clock.setTimer(checkIntervalMs, check);
    };

    clock.setTimer(checkIntervalMs, check);
    return {
        ready: () => notReadyReason() === undefined,
        close: () => {
            closed = true;
        },
    };
};
