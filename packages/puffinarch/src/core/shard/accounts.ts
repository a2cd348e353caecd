/** Resource use of each organisation over all workers of a shard, its cap, and the rate at which it may submit jobs. */

import { add, noResources, type Resources, subtract } from "../../types/resources.js";
import type { Organisation } from "../../types/work.js";

/** Use, cap and submission rate of one organisation in a shard. */
export interface Account {
    /** Empty for jobs of callers without an organisation, to which no cap applies. */
    readonly organisation: string;
    /** Maximum of the resources in use at a time; an amount of 0 means no limit. */
    cap: Resources;
    /** Jobs per second that it may submit within its share. */
    weight: number;
    /** Tokens of its token bucket, one for each job within its share, and when they were last added, in ms since the Unix epoch. */
    tokens: number;
    refilledAtMs: number;
    /** Resources of all runs that are planned, running or possibly running, until they are known to be gone. */
    held: Resources;
}

/** The accounts of a shard. */
export interface Accounts {
    /** Gives the account of an organisation, created if needed. `knownCap` applies while the configuration does not list it. */
    of(organisation: string, knownCap?: Resources): Account;
    /** Applies configured caps and weights. An organisation that is no longer listed keeps its last ones for its accepted jobs. */
    update(organisations: readonly Organisation[]): void;
    all(): Iterable<Account>;
    /** Recomputes use from all runs that hold resources; returns the organisations whose account had to be corrected. */
    recount(runs: Iterable<{ readonly account: Account; readonly held: Resources; }>): readonly string[];
}

const defaultWeight = 1;
const dimensions = ["cpuMillis", "memoryMib", "accelerators"] as const;

/**
 * Creates the account of an organisation without runs.
 *
 * @example
 * const account = newAccount("north", { cpuMillis: 64_000, memoryMib: 0, accelerators: 0 });
 */
export const newAccount = (organisation: string, cap = noResources): Account => ({
    organisation,
    cap,
    weight: defaultWeight,
    tokens: Infinity,
    refilledAtMs: 0,
    held: noResources,
});

/** The token bucket of an organisation holds at most the tokens of this time. */
const bucketMs = 2_000;
const msPerSecond = 1_000;

/**
 * Takes a token for one job from the token bucket of an organisation, which is refilled with its weight in tokens per second;
 * false where none is left. Callers without an organisation are not limited.
 *
 * @example
 * takeShare(newAccount(""), clock.nowMs()); // true
 */
export const takeShare = (account: Account, wallMs: number): boolean => {
    if (account.organisation === "") {
        return true;
    }
    const maxTokens = Math.max(1, account.weight * bucketMs / msPerSecond);
    const gained = account.weight * Math.max(0, wallMs - account.refilledAtMs) / msPerSecond;
    account.tokens = Math.min(maxTokens, account.tokens + gained);
    account.refilledAtMs = wallMs;
    if (account.tokens < 1) {
        return false;
    }
    account.tokens -= 1;
    return true;
};

/** Returns the token of a job that was not accepted after all; its caller is expected to submit it again. */
export const returnShare = (account: Account): void => {
    account.tokens += 1;
};

/** Adds the resources of a run to an account's use. */
export const charge = (account: Account, amount: Resources): void => {
    account.held = add(account.held, amount);
};

/** Subtracts the resources of a run from an account's use. */
export const release = (account: Account, amount: Resources): void => {
    account.held = subtract(account.held, amount);
};

/**
 * Gives how many more tasks of a size an organisation may start, beside `reserved` resources; `Infinity` where no cap limits them.
 *
 * @example
 * tasksUnderCap(newAccount("north", { cpuMillis: 4_000, memoryMib: 0, accelerators: 0 }), need); // 4 for one core each
 */
export const tasksUnderCap = ({ cap, held }: Account, need: Resources, reserved = noResources): number => {
    let least = Infinity;
    for (const name of dimensions) {
        if (cap[name] > 0 && need[name] > 0) {
            least = Math.min(least, Math.floor((cap[name] - held[name] - reserved[name]) / need[name]));
        }
    }
    return Math.max(0, least);
};

/**
 * Tells whether an organisation exceeds its cap in an amount that a run needs, as after its cap was lowered.
 *
 * @example
 * if (isOverCap(account, run.held)) { dropRun(worker, run); }
 */
export const isOverCap = ({ cap, held }: Account, need: Resources): boolean =>
    dimensions.some(name => cap[name] > 0 && need[name] > 0 && held[name] > cap[name]);

/**
 * Gives the name of an amount of which a task needs more than the whole cap; undefined where the task could start alone.
 *
 * @example
 * amountAboveCap({ cpuMillis: 4_000, memoryMib: 0, accelerators: 0 }, need); // undefined for one core
 */
export const amountAboveCap = (cap: Resources, need: Resources): (typeof dimensions)[number] | undefined =>
    dimensions.find(name => cap[name] > 0 && need[name] > cap[name]);

/**
 * Tells whether an organisation uses at least half of any amount that its cap limits.
 *
 * @example
 * usesHalfOfCap(newAccount("north")); // false
 */
export const usesHalfOfCap = ({ cap, held }: Account): boolean =>
    dimensions.some(name => cap[name] > 0 && 2 * held[name] >= cap[name]);

/**
 * Creates the accounts of a shard, without any organisation.
 *
 * @example
 * const accounts = createAccounts();
 * accounts.update(configuration.organisations ?? []);
 */
export const createAccounts = (): Accounts => {
    const byName = new Map<string, Account>();
    const configured = new Set<string>();

    const of: Accounts["of"] = (organisation, knownCap) => {
        const known = byName.get(organisation);
        if (known !== undefined) {
            known.cap = configured.has(organisation) ? known.cap : knownCap ?? known.cap;
            return known;
        }
        const account = newAccount(organisation, knownCap);
        byName.set(organisation, account);
        return account;
    };

    const recount: Accounts["recount"] = runs => {
        const sums = new Map<Account, Resources>();
        for (const { account, held } of runs) {
            sums.set(account, add(sums.get(account) ?? noResources, held));
        }
        const corrected: string[] = [];
        for (const account of byName.values()) {
            const sum = sums.get(account) ?? noResources;
            if (dimensions.some(name => sum[name] !== account.held[name])) {
                corrected.push(account.organisation);
                account.held = sum;
            }
        }
        return corrected;
    };

    return {
        of,
        recount,
        update: organisations => {
            configured.clear();
            for (const { name, cap, weight } of organisations) {
                const account = of(name);
                account.cap = cap;
                account.weight = weight;
                configured.add(name);
            }
        },
        all: () => byName.values(),
    };
};
