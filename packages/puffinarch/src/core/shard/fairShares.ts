/**
 * Shares of the capacity by organisation. While capacity is short, the steps of an organisation that holds more than its share
 * come after those of the others within the same priority and standing.
 */

import type { Log, Meter } from "../../types/ports.js";
import type { Resources } from "../../types/resources.js";
import type { Account, Accounts } from "./accounts.js";
import type { ShardPolicies } from "./shardSettings.js";
import type { Shortage } from "./shortage.js";
import { isSameRank, type RankedStep } from "./urgency.js";
import type { ShardWorker } from "./workerTable.js";

/** What an organisation holds, and its weight. */
export type ShareHolder = Pick<Account, "organisation" | "held" | "weight">;

/** Policies, dependencies and state of the shares. */
export interface FairSharesOptions {
    readonly log: Log;
    readonly meter: Meter;
    readonly policies: Pick<ShardPolicies, "order" | "shares">;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    /** Gives the accounts with their use; without it, only organisations with waiting steps count. */
    readonly accounts?: Pick<Accounts, "all">;
    readonly shortage: Pick<Shortage, "isShort">;
}

/** Puts steps of organisations over their share back. */
export interface FairShares {
    /**
     * Gives the steps of a pass one after another. Whether an organisation is over its share is decided when its next step is
     * due, after all steps given before have been placed.
     */
    arrange(ranked: readonly RankedStep[], nowMs: number): Iterable<RankedStep>;
}

/** An organisation that stays over its share for some time is logged at this interval. */
const logIntervalMs = 1_000;

const dimensions = ["cpuMillis", "memoryMib", "accelerators"] as const;

/**
 * Gives the largest share that an amount takes of any resource of the capacity `room`: its dominant share.
 *
 * @example
 * dominantShareOf(account.held, room); // 0.25 for 16 of 64 cores
 */
export const dominantShareOf = (held: Resources, room: Resources): number => {
    let most = 0;
    for (const name of dimensions) {
        most = Math.max(most, held[name] / Math.max(1, room[name]));
    }
    return most;
};

/** Callers without an organisation share no weight and are never over their share. */
const isOrganisation = ({ organisation }: ShareHolder): boolean => organisation !== "";

const sumOfWeights = (accounts: Iterable<ShareHolder>): number => {
    let sum = 0;
    for (const account of accounts) {
        sum += isOrganisation(account) ? account.weight : 0;
    }
    return sum;
};

/** Share of the capacity that is fair for an organisation, from 0 to 1. */
const fairShareOf = ({ weight }: ShareHolder, weights: number): number => weights > 0 ? weight / weights : 1;

const exceedsShare = (account: ShareHolder, weights: number, room: Resources): boolean =>
    isOrganisation(account) && dominantShareOf(account.held, room) > fairShareOf(account, weights);

/**
 * Tells whether an organisation holds more than its weighted share of the capacity `room`, among the accounts with running or
 * waiting work.
 *
 * @example
 * isOverShare(account, accounts.all(), room); // true where it alone holds half and another has the same weight
 */
export const isOverShare = (account: ShareHolder, accounts: Iterable<ShareHolder>, room: Resources): boolean =>
    exceedsShare(account, sumOfWeights(accounts), room);

const capacityOf = (workers: ReadonlyMap<string, ShardWorker>): Resources => {
    const room = { cpuMillis: 0, memoryMib: 0, accelerators: 0 };
    for (const { entry: { capacity } } of workers.values()) {
        room.cpuMillis += capacity.cpuMillis;
        room.memoryMib += capacity.memoryMib;
        room.accelerators += capacity.accelerators;
    }
    return room;
};

const accountOf = ({ step }: RankedStep): Account => step.occurrence.job.account;

/**
 * Creates the shares of a placer.
 *
 * @example
 * const fairShares = createFairShares({ log, meter, policies, workers, accounts, shortage });
 * for (const ranked of fairShares.arrange(inOrder, clock.monotonicMs())) { place(ranked); }
 */
export const createFairShares = (options: FairSharesOptions): FairShares => {
    const { log, meter, policies, workers, accounts, shortage } = options;
    const loggedAtMs = new Map<string, number>();

    const activeAccounts = (ranked: readonly RankedStep[]): ReadonlySet<Account> => {
        const active = new Set(ranked.map(accountOf));
        for (const account of accounts?.all() ?? []) {
            if (dimensions.some(name => account.held[name] > 0)) {
                active.add(account);
            }
        }
        return active;
    };

    const logOverShare = (
        account: Account,
        { room, weights, nowMs }: { readonly room: Resources; readonly weights: number; readonly nowMs: number; },
    ): void => {
        const { organisation } = account;
        if (nowMs - (loggedAtMs.get(organisation) ?? -logIntervalMs) < logIntervalMs) {
            return;
        }
        loggedAtMs.set(organisation, nowMs);
        const heldShare = Number(dominantShareOf(account.held, room).toFixed(3));
        log.write("info", "overShare", {
            organisation,
            heldShare,
            fairShare: Number(fairShareOf(account, weights).toFixed(3)),
        });
    };

    const putBackOverShare = function*(ranked: readonly RankedStep[], nowMs: number): Generator<RankedStep> {
        const room = capacityOf(workers);
        const weights = sumOfWeights(activeAccounts(ranked));
        let putBack: RankedStep[] = [];
        /** How many of these came before a step of another organisation. */
        let overtaken = 0;
        const finishGroup = function*(): Generator<RankedStep> {
            for (const each of putBack.slice(0, overtaken)) {
                logOverShare(accountOf(each), { room, weights, nowMs });
            }
            if (overtaken > 0) {
                meter.count("stepsPutBack", overtaken);
            }
            yield* putBack;
            putBack = [];
            overtaken = 0;
        };
        let previous = ranked[0];
        for (const each of ranked) {
            if (previous !== undefined && !isSameRank(previous, each, policies.order)) {
                yield* finishGroup();
            }
            previous = each;
            if (exceedsShare(accountOf(each), weights, room)) {
                putBack.push(each);
                continue;
            }
            overtaken = putBack.length;
            yield each;
        }
        yield* finishGroup();
    };

    return {
        arrange: (ranked, nowMs) =>
            policies.shares === "heldRoom" && shortage.isShort(nowMs) ? putBackOverShare(ranked, nowMs) : ranked,
    };
};
