/** Faults that a stand-in can be told to have, by name, from a table. */

import type { Clock, Random } from "puffinarch";
import { sleep } from "puffinarch";

/** One fault of one target; `probability` 1 hits every call. */
export interface Fault {
    readonly target: string;
    /**
     * `refuse`: no effect, said so. `hang`: no effect, no answer. `loseReply`: effect, no answer. `slow`: effect and
     * answer after a delay. `late`: no answer at once, effect after a delay.
     */
    readonly kind: "refuse" | "hang" | "loseReply" | "slow" | "late";
    readonly probability: number;
    /** For `slow` and `late`. */
    readonly delayMs?: number;
}

/** What a call that meets a fault ends with. */
export type FaultedResult<T> = { readonly kind: "answered"; readonly value: T; } | {
    readonly kind: "refused" | "silent";
};

/** The faults in force. */
export interface Faults {
    /**
     * Replaces all faults of a target; an empty list heals it. Faults of `table` hit `tableReads` and `tableWrites`.
     */
    set(target: string, faults: readonly Fault[]): void;
    /** Runs an effect under the faults of a target. */
    apply<T>(target: string, effect: () => T | Promise<T>): Promise<FaultedResult<T>>;
}

/**
 * Makes a healthy table of faults.
 *
 * @example
 * faults.set("table", [{ target: "table", kind: "refuse", probability: 1 }]);
 */
export const createFaults = (clock: Clock, random: Random): Faults => {
    const table = new Map<string, readonly Fault[]>();

    const pickFault = (target: string): Fault | undefined => {
        const whole = target.replace(/(Reads|Writes)$/, "");
        for (const fault of [...table.get(target) ?? [], ...whole === target ? [] : table.get(whole) ?? []]) {
            if (random.next() < fault.probability) {
                return fault;
            }
        }
        return undefined;
    };

    return {
        set: (target, faults) => {
            table.set(target, faults);
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
