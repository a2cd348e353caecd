/** What each organisation has running over all workers of a shard, beside the cap that the operator gives it. */

import { add, noResources, type Resources, subtract } from "../../types/resources.js";
import type { Organisation } from "../../types/work.js";

/** The use that one organisation makes of a shard. */
export interface Account {
    /** Empty for jobs whose callers belong to none, which no cap holds back. */
    readonly organisation: string;
    /** An amount of 0 is no limit. */
    cap: Resources;
    weight: number;
    /** Jobs that it may still submit within its share, and the time of day at which they were counted. */
    allowance: number;
    countedAtMs: number;
    /** All that runs, may run or is about to be started for it, until it is known to be gone. */
    held: Resources;
}

/** The accounts of a shard. */
export interface Accounts {
    /** The account of an organisation; one that the configuration lacks has the cap that is given here, until it is listed. */
    of(organisation: string, knownCap?: Resources): Account;
    /** Takes the configured caps and weights. An organisation that has left keeps its last ones for what it still has accepted. */
    update(organisations: readonly Organisation[]): void;
    all(): Iterable<Account>;
    /** Counts the runs that hold room anew; names the organisations whose accounts had another sum, which they have no more. */
    recount(runs: Iterable<{ readonly account: Account; readonly held: Resources; }>): readonly string[];
}

const defaultWeight = 1;
const dimensions = ["cpuMillis", "memoryMib", "accelerators"] as const;

/**
 * Makes the account of an organisation that has nothing running.
 *
 * @example
 * const account = newAccount("north", { cpuMillis: 64_000, memoryMib: 0, accelerators: 0 });
 */
export const newAccount = (organisation: string, cap = noResources): Account => ({
    organisation,
    cap,
    weight: defaultWeight,
    allowance: Infinity,
    countedAtMs: 0,
    held: noResources,
});

/** Jobs that an organisation did not submit within its share are saved up for so long. */
const savedMs = 2_000;
const msPerSecond = 1_000;

/**
 * Takes a job out of what an organisation may submit within its share, its weight in jobs a second; false where that is used
 * up. Callers without an organisation have no share to exceed.
 *
 * @example
 * takeShare(newAccount(""), clock.nowMs()); // true
 */
export const takeShare = (account: Account, wallMs: number): boolean => {
    if (account.organisation === "") {
        return true;
    }
    const most = Math.max(1, account.weight * savedMs / msPerSecond);
    const gained = account.weight * Math.max(0, wallMs - account.countedAtMs) / msPerSecond;
    account.allowance = Math.min(most, account.allowance + gained);
    account.countedAtMs = wallMs;
    if (account.allowance < 1) {
        return false;
    }
    account.allowance -= 1;
    return true;
};

/** Gives back the share of a job that was not accepted after all; its caller submits it again. */
export const returnShare = (account: Account): void => {
    account.allowance += 1;
};

/** Counts a run in. */
export const charge = (account: Account, amount: Resources): void => {
    account.held = add(account.held, amount);
};

/** Counts a run out. */
export const release = (account: Account, amount: Resources): void => {
    account.held = subtract(account.held, amount);
};

/**
 * Tells how many more tasks of a size an organisation may start; `Infinity` where no cap limits what they need.
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
 * Tells whether an organisation is over its cap in an amount that a run takes: the cap was lowered since the run was planned.
 *
 * @example
 * if (isOverCap(account, run.held)) { dropRun(worker, run); }
 */
export const isOverCap = ({ cap, held }: Account, need: Resources): boolean =>
    dimensions.some(name => cap[name] > 0 && need[name] > 0 && held[name] > cap[name]);

/**
 * Names an amount of which a need is above what a cap ever allows; undefined where it fits under an empty account's cap.
 *
 * @example
 * amountAboveCap({ cpuMillis: 4_000, memoryMib: 0, accelerators: 0 }, need); // undefined for one core
 */
export const amountAboveCap = (cap: Resources, need: Resources): (typeof dimensions)[number] | undefined =>
    dimensions.find(name => cap[name] > 0 && need[name] > cap[name]);

/**
 * Tells whether an organisation uses half of its cap or more, in any amount that it limits.
 *
 * @example
 * usesHalfOfCap(newAccount("north")); // false
 */
export const usesHalfOfCap = ({ cap, held }: Account): boolean =>
    dimensions.some(name => cap[name] > 0 && 2 * held[name] >= cap[name]);

/**
 * Makes the accounts of a shard; none is known before the first job or configuration.
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
        const wrong: string[] = [];
        for (const account of byName.values()) {
            const sum = sums.get(account) ?? noResources;
            if (dimensions.some(name => sum[name] !== account.held[name])) {
                wrong.push(account.organisation);
                account.held = sum;
            }
        }
        return wrong;
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
