/** Checks that organisations stayed within their caps, from the operator's configurations and the runs that workers started. */

import { add, noResources, type Resources, subtract } from "puffinarch";
import type { StartEvidence } from "./fencedWorkers.js";

/** The caps of one version of the configuration by organisation; an amount of 0 means no limit. */
export interface CapVersion {
    /** When the operator wrote the version. */
    readonly atMs: number;
    readonly caps: ReadonlyMap<string, Resources>;
}

/** Input of the check. */
export interface CapCheckOptions {
    readonly evidence: readonly StartEvidence[];
    /** In the order in which they were written. */
    readonly versions: readonly CapVersion[];
    /** Organisation of a task's job; empty for none. */
    readonly organisationOf: (taskName: string) => string;
    /** Resources that a task holds while it runs. */
    readonly heldOf: (taskName: string) => Resources;
}

/** A daemon may still apply a version for this long after the next one was written. */
const versionOverlapMs = 3_000;
/** An organisation may use this many times its cap, plus one task. */
const overage = 1.1;
const dimensions = ["cpuMillis", "memoryMib", "accelerators"] as const;

const mayBeInForce = (versions: readonly CapVersion[], index: number, atMs: number): boolean => {
    const next = versions[index + 1];
    return (versions[index]?.atMs ?? Infinity) <= atMs && (next === undefined || next.atMs + versionOverlapMs >= atMs);
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

/** Starts and ends of all runs by time; ends come before starts of the same moment, as the room they free can be used at once. */
const changesOf = (evidence: readonly StartEvidence[]): readonly Change[] =>
    evidence.flatMap((start): Change[] => [
        { atMs: start.startedAtMs, start, isEnd: false },
        ...start.endedAtMs === undefined ? [] : [{ atMs: start.endedAtMs, start, isEnd: true }],
    ]).sort((left, right) => left.atMs - right.atMs || Number(right.isEnd) - Number(left.isEnd));

/**
 * Describes each start that brought an organisation above `overage` times its cap plus one task. The cap is the highest one of
 * the versions that may have been in force at that time.
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
 * Returns whether less than half of each amount that the cap limits is used.
 *
 * @example
 * isUnderHalf({ cpuMillis: 1_000, memoryMib: 0, accelerators: 0 }, { cpuMillis: 4_000, memoryMib: 0, accelerators: 0 }); // true
 */
export const isUnderHalf = (used: Resources, cap: Resources): boolean =>
    dimensions.every(name => cap[name] === 0 || 2 * used[name] < cap[name]);
