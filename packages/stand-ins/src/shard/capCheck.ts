/** Whether organisations kept to their caps, judged from the operator's versions and what workers carried out. */

import { add, noResources, type Resources, subtract } from "puffinarch";
import type { StartEvidence } from "./fencedWorkers.js";

/** The caps of one version of the configuration, by organisation; an amount of 0 is no limit. */
export interface CapVersion {
    /** When the operator put it in force. */
    readonly atMs: number;
    readonly caps: ReadonlyMap<string, Resources>;
}

/** What the check is made from. */
export interface CapCheckOptions {
    readonly evidence: readonly StartEvidence[];
    /** In the order in which they were put in force. */
    readonly versions: readonly CapVersion[];
    /** Organisation of a task's job; empty for none. */
    readonly organisationOf: (taskName: string) => string;
    readonly heldOf: (taskName: string) => Resources;
}

/** A version may be in force at some daemon for this long after the next one. */
const inForceMs = 3_000;
/** An organisation may have this many times its cap, and one task more. */
const overage = 1.1;
const dimensions = ["cpuMillis", "memoryMib", "accelerators"] as const;

/** A version may be in force from its own moment on, until some time after the next one. */
const mayBeInForce = (versions: readonly CapVersion[], index: number, atMs: number): boolean => {
    const next = versions[index + 1];
    return (versions[index]?.atMs ?? Infinity) <= atMs && (next === undefined || next.atMs + inForceMs >= atMs);
};

const highestCap = ({ versions }: CapCheckOptions, organisation: string, atMs: number): Resources => {
    const highest = { cpuMillis: 0, memoryMib: 0, accelerators: 0 };
    for (const [index, { caps }] of versions.entries()) {
        if (mayBeInForce(versions, index, atMs)) {
            const cap = caps.get(organisation) ?? noResources;
            for (const name of dimensions) {
                highest[name] = Math.max(highest[name], cap[name] === 0 ? Infinity : cap[name]);
            }
        }
    }
    return highest;
};

interface Change {
    readonly atMs: number;
    readonly start: StartEvidence;
    readonly isEnd: boolean;
}

/** Ends come before the starts of the same moment. */
const changesOf = (evidence: readonly StartEvidence[]): readonly Change[] =>
    evidence.flatMap((start): Change[] => [
        { atMs: start.startedAtMs, start, isEnd: false },
        ...start.endedAtMs === undefined ? [] : [{ atMs: start.endedAtMs, start, isEnd: true }],
    ]).sort((left, right) => left.atMs - right.atMs || Number(right.isEnd) - Number(left.isEnd));

/**
 * Names the starts that brought an organisation over its cap, the tolerance and one task, by the highest of the versions that
 * may have been in force.
 *
 * @example
 * assert.deepEqual(capBreaches({ evidence, versions, organisationOf, heldOf }), []);
 */
export const capBreaches = (options: CapCheckOptions): readonly string[] => {
    const { evidence, organisationOf, heldOf } = options;
    const used = new Map<string, Resources>();
    const breaches: string[] = [];
    for (const { atMs, start, isEnd } of changesOf(evidence)) {
        const organisation = organisationOf(start.taskName);
        const held = heldOf(start.taskName);
        const before = used.get(organisation) ?? noResources;
        const after = isEnd ? subtract(before, held) : add(before, held);
        used.set(organisation, after);
        const cap = highestCap(options, organisation, atMs);
        const over = isEnd || organisation === ""
            ? []
            : dimensions.filter(name => held[name] > 0 && after[name] > overage * cap[name] + held[name]);
        for (const name of over) {
            breaches.push(
                `${start.taskName} run ${start.run} brought ${organisation} to ${after[name]} ${name} of ${
                    cap[name]
                } at ${atMs}`,
            );
        }
    }
    return breaches;
};

/**
 * Tells whether under half of a cap is used, in each amount that it limits.
 *
 * @example
 * isUnderHalf({ cpuMillis: 1_000, memoryMib: 0, accelerators: 0 }, { cpuMillis: 4_000, memoryMib: 0, accelerators: 0 }); // true
 */
export const isUnderHalf = (used: Resources, cap: Resources): boolean =>
    dimensions.every(name => cap[name] === 0 || 2 * used[name] < cap[name]);
