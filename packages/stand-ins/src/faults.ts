/** Fault injection for calls to the stand-ins: faults are set per target and hit calls at random. */

import type { Clock, Random } from "puffinarch";
import { sleep } from "puffinarch";

/** One fault of one target. */
export interface Fault {
    readonly target: string;
    /**
     * `refuse`: no effect, and the answer is an error. `hang`: no effect and no answer. `loseReply`: effect, but no answer.
     * `slow`: effect and answer after a delay. `late`: no answer, and the effect only after a delay.
     */
    readonly kind: "refuse" | "hang" | "loseReply" | "slow" | "late";
    /** Fraction of the calls that the fault hits; 1 for every call. */
    readonly probability: number;
    /** Used by `slow` and `late`. */
    readonly delayMs?: number;
}

/** How a call ends under the faults of its target. `silent`: no answer; the effect may have happened or may follow. */
export type FaultedResult<T> = { readonly kind: "answered"; readonly value: T; } | {
    readonly kind: "refused" | "silent";
};

/** Holds the faults in force and applies them to calls. */
export interface FaultInjector {
    /**
     * Replaces all faults of a target; an empty list removes them. Faults of `table` also hit calls to the targets
     * `tableReads` and `tableWrites`.
     */
    set(target: string, faults: readonly Fault[]): void;
    /** Runs an effect under the first of the target's faults that hits this call, if any does. */
    apply<T>(target: string, effect: () => T | Promise<T>): Promise<FaultedResult<T>>;
}

/**
 * Creates a fault injector without faults.
 *
 * @example
 * injector.set("table", [{ target: "table", kind: "refuse", probability: 1 }]);
 */
export const createFaultInjector = (clock: Clock, random: Random): FaultInjector => {
    const faultsByTarget = new Map<string, readonly Fault[]>();

    const pickFault = (target: string): Fault | undefined => {
        const parentTarget = target.replace(/(Reads|Writes)$/, "");
        for (
            const fault of [
                ...faultsByTarget.get(target) ?? [],
                ...parentTarget === target ? [] : faultsByTarget.get(parentTarget) ?? [],
            ]
        ) {
            if (random.next() < fault.probability) {
                return fault;
            }
        }
        return undefined;
    };

    return {
        set: (target, faults) => {
            faultsByTarget.set(target, faults);
        },
        apply: async (target, effect) => {
            const fault = pickFault(target);
            if (fault?.kind === "refuse") {
                return { kind: "refused" };
            }
            if (fault?.kind === "hang") {
                return { kind: "silent" };
            }
            if (fault?.kind === "late") {
                clock.setTimer(fault.delayMs ?? 0, () => void effect());
                return { kind: "silent" };
            }
            if (fault?.kind === "slow") {
                await sleep(clock, fault.delayMs ?? 0);
            }
            const value = await effect();
            return fault?.kind === "loseReply" ? { kind: "silent" } : { kind: "answered", value };
        },
    };
};
