/**
 * Failure detection for the owner of a shard, run by each other daemon: it pings the owner, asks the peers when the owner does
 * not answer, and decides when this daemon claims the shard.
 */

import type { KnownOwner, MemberRow, PingAnswer } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { type ErrorKind, failureOf } from "../../utils/errors.js";
import { createGuard } from "../../utils/guard.js";
import { sleep } from "../../utils/time.js";
import type { CommitMonitor } from "./commitMonitor.js";
import { type Peers, pingIntervalMs, pingTimeoutMs, strengthOf } from "./peers.js";
import { delayForRankMs, followerPauseMs, neighbourTurns, watcherCount } from "./probes.js";
import { type ClaimReason, claimReasons, settlingMs, timeoutFactor } from "./shortTenures.js";

/** Dependencies and callbacks of an owner watch. */
export interface OwnerWatchOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly self: MemberRow;
    readonly peers: Peers;
    /** The newest owner row that was read or received from a peer. */
    readonly known: () => KnownOwner | undefined;
    /** True while this daemon owns the shard. */
    readonly owns: () => boolean;
    /** True once the owner row was read, while no claim is in progress. */
    readonly isSettled: () => boolean;
    /**
     * True while this daemon must not claim, but still watches the owner: for a time after it gave up a restore, and before it
     * has read the member rows.
     */
    readonly isBackingOff: () => boolean;
    /** True once this daemon is shutting down and claims no shard any more. */
    readonly isLeaving: () => boolean;
    /** Reads the owner row again; false where the store did not answer within the time. */
    readonly readOwner: (withinMs: number) => Promise<boolean>;
    /** Shows whether the owner still commits, and so distinguishes a failed owner from one that only this daemon cannot reach. */
    readonly commitMonitor: CommitMonitor;
    /** Claims the shard from the owner whose row has version `seenVersion`; 0 where there is none. */
    readonly claim: (seenVersion: number, why: ClaimReason) => Promise<unknown>;
    /** Called for each ping answer; the peer may have a newer configuration. */
    readonly onAnswer: (address: string, answer: PingAnswer) => void;
    /** Called for each ping answer of the owner. */
    readonly onOwnerAnswer: (answer: PingAnswer) => void;
    /** Called at the beginning of each round. */
    readonly onRound: () => void;
    /** Called in each round while this daemon owns the shard. */
    readonly onOwnRound: () => void;
    /** Called after pings to peers were sent. */
    readonly onPeersPinged: () => void;
}

/** Results of one round of the watch; they are logged while the shard has no serving owner. */
export const watchSteps = {
    pings: "pings",
    readsOwnerRow: "readsOwnerRow",
    mayNotClaim: "mayNotClaim",
    rests: "rests",
    waitsItsTurn: "waitsItsTurn",
    peerSeesOwner: "peerSeesOwner",
    minority: "minority",
    storeSilent: "storeSilent",
    claims: "claims",
} as const;
/** One of `watchSteps`. */
export type WatchStep = (typeof watchSteps)[keyof typeof watchSteps];

/** A watch of the owner. */
export interface OwnerWatch {
    /** Returns the result of the newest round. */
    doing(): WatchStep;
    /** Local time at which the owner was last known to be healthy; an answer counts until the next ping is due. */
    lastHealthyAtMs(): number;
    /** Reports a failed call to the owner, which is then pinged at once, before the next ping is due. */
    suspect(): void;
    /** Fencing token of the owner where it has answered recently, or within the last `withinMs`; 0 otherwise. */
    seenToken(withinMs?: number): number;
    /** Resets the state of the failure detection after a change of the owner row. */
    reset(): void;
    /** Starts the next round at once. */
    wake(): void;
    close(): void;
}

/**
 * An owner pings its lanes, the daemons through which it calls the advisor, in every second round. Any other daemon pings each
 * of its neighbours once in ten rounds.
 */
const lanePingRounds = 2;
const neighbourPingRounds = 10;
/** Longest interval between pings of an owner that is still reading its rows; a takeover takes 0.2 to 0.5 s. */
const restoringPingIntervalMs = 500;
/** A ping that becomes due within this time is sent in the current round, since timers fire this much early or late. */
const timerSlackMs = 50;
/** Interval of the rounds while the owner leaves pings unanswered. */
const failedPingIntervalMs = 50;
/** Consecutive unanswered pings after which the owner counts as lost. */
const silentPingsToClaim = 2;
/** Further unanswered pings are logged at most once in this time. */
const silenceLogPauseMs = 1_000;
/** An owner that has not answered within this time is pinged over a second connection too; both pings must fail. */
const secondPingAfterMs = 120;
/** Timeout of a call that asks a peer whether it has an answer from the owner. */
const peerAnswerTimeoutMs = 200;
/** Once half of the peers have answered, the others have this much longer; peers that failed together with the owner never answer. */
const lateAnswerWaitMs = 50;
/** Age up to which an answer from the owner counts when a peer that cannot reach the owner asks whether it is up. */
const maxAnswerAgeMs = 450;
/** Each candidate waits this much longer to claim than the previous one in the claim order. */
const rankDelayMs = 120;
/**
 * On a daemon that has not seen a serving owner yet, each rank delays its claim by this many response times of the store, and by
 * `maxRankDelayMs` at most. They cover the claim of the previous candidate (which may queue behind the writes of starting
 * daemons), the change feed, and this daemon's own read.
 */
const storeAnswersPerRank = 4;
const maxRankDelayMs = 1_000;
/** Most that these delays add in total, since the candidates with a better rank may be unable to claim. */
const maxStoreWaitMs = 5_000;
/** Weak VMs wait this much longer than strong ones; a takeover by a strong VM takes half of it. */
const weakDelayMs = 2_000;
/**
 * A candidate that reaches less than half of the peers it asks claims only after the owner has been lost for this long and its
 * commits have stopped, so that a minority cut off by a network partition does not claim.
 */
const minorityDelayMs = 2_500;
/** Pings that such a candidate sends to the owner right before its claim. */
const minorityOwnerPings = 2;
/**
 * An owner whose commits have been unanswered for this long is replaced by a peer that the store answers quickly. By then the
 * owner has sent copies of a commit at 0, 80 and 240 ms, and each answer may be lost with a probability of one in three.
 */
const stalledOwnerMs = 400;
/**
 * A store that answers a read, which usually takes 6 ms, within this time is healthy; an owner that still waits for it is at
 * fault itself.
 */
const quickReadMs = 60;
/**
 * A stalled owner is replaced only once the store has answered this daemon quickly for longer than this. After an outage of the
 * store the owner's next commit is awaited instead, since a takeover costs all tickets and about half a second.
 */
const storeRecoveredMs = 700;
/** Timeout of the read before a claim; a store that does not answer it is not sent the claim. */
const claimReadTimeoutMs = 800;

/**
 * Returns whether the daemon that answered owns the shard by the owner row. The claim id counts as well as the token, because
 * other daemons may read the new owner row before the claimant receives the store's answer to its claim. With the token alone
 * and a store that takes a quarter of a second to answer, each new owner is replaced before it knows its token.
 */
const holdsShard = (answer: PingAnswer, { row, version }: KnownOwner): boolean =>
    answer.ownedToken === version || answer.claimId === row.claimId;

/** Resolves with the first answer of several calls, or with undefined once all have failed. */
const firstAnswer = <T>(calls: readonly Promise<T | undefined>[]): Promise<T | undefined> =>
    new Promise(resolve => {
        const settle = (answer: T | undefined): void => {
            if (answer !== undefined) {
                resolve(answer);
            }
        };
        void Promise.all(calls.map(call => call.then(settle))).then(() => resolve(undefined));
    });

/** Largest factor on the timeouts for the owner on a weak VM; its failure is then detected after 1.4 s. */
const maxWeaknessFactor = 4;

/**
 * Returns the factor on the timeouts for an owner whose VM has less than an owner needs: it is as much later with the same work, and a
 * successor that is no stronger would begin that work anew.
 */
const weaknessFactor = (row: Pick<MemberRow, "strength">): number =>
    Math.max(1, Math.min(maxWeaknessFactor, 1 / strengthOf(row)));

/**
 * Returns when to ping an owner that has this long to answer, in ms after the first ping. The gaps grow, so that few pings reach an owner
 * that is busy, and one is sent after a short cut.
 */
const pingTimesMs = (limitMs: number): readonly number[] => {
    const times = [0];
    let gapMs = pingTimeoutMs;
    for (let timeMs = secondPingAfterMs; timeMs < limitMs; timeMs += gapMs, gapMs *= 2) {
        times.push(timeMs);
    }
    return times;
};

/**
 * Starts to watch the owner of a shard.
 *
 * @example
 * const watch = watchOwner({ clock, log, self, peers, known, owns, isSettled, isBackingOff, isLeaving, readOwner, commitMonitor, claim, onAnswer, onOwnerAnswer, onRound, onOwnRound, onPeersPinged });
 */
export const watchOwner = (options: OwnerWatchOptions): OwnerWatch => {
    const {
        clock,
        log,
        self,
        peers,
        known,
        owns,
        isSettled,
        isBackingOff,
        isLeaving,
        readOwner,
        commitMonitor,
        claim,
    } = options;
    const guard = createGuard({ clock, log });
    let closed = false;
    /** Local time of the last change of the owner row. */
    let changedAtMs = -Infinity;
    let silentPings = 0;
    let lostAtMs: number | undefined;
    let answeredAtMs = -Infinity;
    /** How long after its arrival the newest answer counts as a sign of health: the part of the ping interval above `pingIntervalMs`. */
    let answerValidMs = 0;
    let askedAtMs = -Infinity;
    let suspectedAtMs = -Infinity;
    /** Whether the owner had read all its rows by its newest answer. */
    let isOwnerServing = false;
    /** True once any owner that had read all its rows has answered. */
    let hasSeenServingOwner = false;
    let wakeLoop: (() => void) | undefined;
    let step: WatchStep = watchSteps.readsOwnerRow;
    let silenceLoggedAtMs = -Infinity;
    /** Local time of the last read that the store did not answer quickly. */
    let slowReadAtMs = -Infinity;
    /** Local time of the first of the consecutive quick reads while the owner's commits were unanswered; undefined for none. */
    let quickReadsSinceMs: number | undefined;

    const mayClaim = (): boolean => isSettled() && !isBackingOff() && !isLeaving() && !owns();

    const ownerVersion = (): number => known()?.version ?? 0;

    /** Factor on the timeouts for the current owner: by its VM, and by the short tenures before it until its settling time is over. */
    const timeoutScale = (): number => {
        const row = known()?.row ?? {};
        const settlingFactor = clock.monotonicMs() - changedAtMs < settlingMs(row) ? timeoutFactor(row) : 1;
        return Math.max(settlingFactor, weaknessFactor(row));
    };

    /**
     * Asks peers whether the owner has answered them recently, or since this daemon lost it: an owner that answers now and then is
     * overloaded, and a daemon that waits its turn would otherwise claim in a moment without an answer, before the stronger ones that
     * still hear the owner. `minority` is true where less than half of the peers answer.
     */
    const askPeersAboutOwner = async (
        version: number,
        ownerLostMs: number,
    ): Promise<{ readonly seen: boolean; readonly minority: boolean; }> => {
        const others = peers.observers(known());
        const expected = others.length;
        const answered: PingAnswer[] = [];
        let reportHalf: () => void = () => {};
        const half = new Promise<void>(resolve => {
            reportHalf = resolve;
        });
        const all = Promise.all(others.map(async peer => {
            const answer = await peers.ping(peer, { timeoutMs: peerAnswerTimeoutMs, ownerLostMs });
            if (answer !== undefined && answered.push(answer) >= expected / 2) {
                reportHalf();
            }
        }));
        await Promise.race([all, half.then(() => sleep(clock, lateAnswerWaitMs))]);
        return {
            seen: version > 0 && answered.some(answer => answer.seenOwnerToken === version),
            minority: 2 * answered.length < expected,
        };
    };

    /**
     * How long this daemon delays its claim in favour of candidates with a better rank. Strong VMs come first; all daemons compute
     * the same order.
     */
    const claimDelayMs = (rankMs = rankDelayMs): number => {
        const strong = peers.isStrong(self.memberId);
        const sameStrength = peers.claimants(known()).filter(candidate => candidate.strong === strong);
        const rank = sameStrength.findIndex(({ memberId }) => memberId === self.memberId);
        const ahead = sameStrength.slice(0, rank).filter(({ memberId }) => !peers.isSilent(memberId));
        return (strong ? 0 : weakDelayMs) + delayForRankMs(ahead.length, rankMs);
    };

    const watchesOwner = (): boolean =>
        peers.claimants(known()).slice(0, watcherCount).some(({ memberId }) => memberId === self.memberId);

    /** The first candidates in the claim order ping the owner each round; the others, possibly hundreds, share a fixed total rate. */
    const ownerPauseMs = (): number => {
        const pauseMs = watchesOwner()
            ? pingIntervalMs
            : followerPauseMs(peers.claimants(known()).length, pingIntervalMs);
        return isOwnerServing ? pauseMs : Math.min(pauseMs, restoringPingIntervalMs);
    };

    /**
     * Pings the owner before a minority claims the shard, since a network partition may just have healed when the store answers
     * again. The second try is for a first call that was lost on a connection opened during the partition.
     */
    const ownerAnswers = async (version: number): Promise<boolean> => {
        const owner = known();
        for (let tries = 0; owner !== undefined && tries < minorityOwnerPings; tries += 1) {
            const answer = await peers.ping(owner.row);
            if (answer !== undefined) {
                return holdsShard(answer, { row: owner.row, version });
            }
        }
        return false;
    };

    /** Whether the shard is owned by an earlier process of this daemon, which has certainly ended. */
    const wasOwnerBeforeRestart = (): boolean => {
        const row = known()?.row;
        return row?.memberId === self.memberId && row.incarnation !== self.incarnation;
    };

    /**
     * Delay of a claim, in ms, on a daemon that has not seen a serving owner since its start, and so cannot know which peers
     * answer: simultaneous claims of all daemons would queue in a slow store. A daemon that has seen a serving owner knows its
     * peers and adds no delay, because the store may refuse many of the candidates with a better rank.
     */
    const startupClaimDelayMs = (storeMs: number): number => {
        if (hasSeenServingOwner) {
            return 0;
        }
        const rankMs = Math.min(maxRankDelayMs, storeAnswersPerRank * storeMs);
        return Math.min(claimDelayMs(rankMs), claimDelayMs() + maxStoreWaitMs);
    };

    const considerClaim = async (why: ClaimReason): Promise<void> => {
        if (!mayClaim()) {
            step = isBackingOff() ? watchSteps.rests : watchSteps.mayNotClaim;
            return;
        }
        const version = ownerVersion();
        if (wasOwnerBeforeRestart() && peers.isStrong(self.memberId)) {
            await claim(version, why);
            return;
        }
        lostAtMs ??= clock.monotonicMs();
        const lostForMs = (): number => clock.monotonicMs() - (lostAtMs ?? clock.monotonicMs());
        if (lostForMs() < claimDelayMs()) {
            step = watchSteps.waitsItsTurn;
            return;
        }
        const { seen, minority } = await askPeersAboutOwner(version, lostForMs());
        if (seen) {
            step = watchSteps.peerSeesOwner;
            lostAtMs = clock.monotonicMs();
            return;
        }
        if (minority && (!await commitMonitor.isQuiet() || lostForMs() < minorityDelayMs)) {
            step = watchSteps.minority;
            return;
        }
        // A claim sent during an outage of the store might take effect after it, when it is no longer needed.
        const askedAtMs = clock.monotonicMs();
        step = step === watchSteps.storeSilent ? step : watchSteps.readsOwnerRow;
        if (!await readOwner(claimReadTimeoutMs)) {
            step = watchSteps.storeSilent;
            return;
        }
        step = watchSteps.waitsItsTurn;
        if (
            lostForMs() < startupClaimDelayMs(clock.monotonicMs() - askedAtMs)
            || minority && await ownerAnswers(version)
        ) {
            return;
        }
        if (ownerVersion() === version && !owns()) {
            step = watchSteps.claims;
            await claim(version, why);
        }
    };

    /**
     * Claims the shard from an owner that answers its peers but cannot reach the store, where this daemon can. A daemon that does
     * not ping the owner in each round may have missed slow reads, so it counts the store as healthy only from its own first quick
     * read. Otherwise, at the end of an outage of 4 s, a weak VM among 25 such daemons claims the shard from a healthy owner, and
     * three more owners follow within 14 s.
     */
    const replaceStalledOwner = async (version: number, stalledMs: number): Promise<void> => {
        if (!mayClaim() || stalledMs < stalledOwnerMs * timeoutScale() + claimDelayMs()) {
            quickReadsSinceMs = undefined;
            return;
        }
        if (!await readOwner(quickReadMs)) {
            slowReadAtMs = clock.monotonicMs();
            quickReadsSinceMs = undefined;
            return;
        }
        quickReadsSinceMs ??= clock.monotonicMs();
        const storeHealthyFromMs = watchesOwner() ? slowReadAtMs : quickReadsSinceMs;
        if (clock.monotonicMs() - storeHealthyFromMs > storeRecoveredMs && ownerVersion() === version && !owns()) {
            await claim(version, claimReasons.ownerStalled);
        }
    };

    const recordOwnerAnswer = (): void => {
        answeredAtMs = clock.monotonicMs();
        answerValidMs = ownerPauseMs() - pingIntervalMs;
        silentPings = 0;
        lostAtMs = undefined;
        commitMonitor.reset();
        step = watchSteps.pings;
    };

    /** Limits the log rate, since a partition fails dozens of pings a second; the logged count includes those not logged. */
    const logSilence = (owner: string, kind: ErrorKind): void => {
        const nowMs = clock.monotonicMs();
        if (silentPings <= silentPingsToClaim || nowMs - silenceLoggedAtMs >= silenceLogPauseMs) {
            silenceLoggedAtMs = nowMs;
            log.write("warn", "ownerSilent", { owner, kind, silentPings });
        }
    };

    /** Sends pings at these times until one is answered, or all that were sent have failed. */
    const firstAnswerOfPings = async (
        timesMs: readonly number[],
        limitMs: number,
        ask: (timeoutMs: number) => Promise<PingAnswer | undefined>,
    ): Promise<PingAnswer | undefined> => {
        const pings: Promise<PingAnswer | undefined>[] = [];
        for (const [index, timeMs] of timesMs.entries()) {
            pings.push(ask(limitMs - timeMs));
            const nextMs = timesMs[index + 1];
            if (nextMs === undefined) {
                break;
            }
            const pause = sleep(clock, nextMs - timeMs).then(() => "late" as const);
            const early = await Promise.race([firstAnswer(pings), pause]);
            if (early !== "late") {
                return early;
            }
        }
        return firstAnswer(pings);
    };

    /** Pings the owner, and again over other connections where the first answers are slow. */
    const askOwner = async (row: MemberRow): Promise<PingAnswer | undefined> => {
        const limitMs = pingTimeoutMs * timeoutScale();
        const silences: ErrorKind[] = [];
        const ask = async (timeoutMs: number): Promise<PingAnswer | undefined> => {
            let silence: ErrorKind | undefined;
            const answer = await peers.ping(row, { timeoutMs, onSilent: kind => silence = kind });
            if (silence !== undefined) {
                silences.push(silence);
            }
            return answer;
        };
        const answer = await firstAnswerOfPings(pingTimesMs(limitMs), limitMs, ask);
        if (answer === undefined) {
            answerValidMs = Math.max(0, Math.min(answerValidMs, askedAtMs - answeredAtMs));
            for (const kind of silences) {
                silentPings += 1;
                logSilence(row.memberId, kind);
            }
        }
        return answer;
    };

    const pingOwner = async ({ row, version }: KnownOwner): Promise<void> => {
        const startedAtMs = clock.monotonicMs();
        askedAtMs = startedAtMs;
        const answer = await askOwner(row);
        if (answer !== undefined && ownerVersion() === version) {
            options.onAnswer(row.address, answer);
            if (holdsShard(answer, { row, version })) {
                isOwnerServing = answer.pending !== undefined;
                recordOwnerAnswer();
                hasSeenServingOwner ||= isOwnerServing;
                options.onOwnerAnswer(answer);
                await replaceStalledOwner(version, answer.storeStalledMs);
                return;
            }
            // Another process answered, or the owner has given the shard up.
            const tookMs = clock.monotonicMs() - startedAtMs;
            silentPings += answer.incarnation !== row.incarnation || tookMs < pingTimeoutMs ? 1 : 0;
        }
        if (ownerVersion() === version && silentPings >= silentPingsToClaim) {
            await considerClaim(claimReasons.ownerSilent);
        }
    };

    const lastHealthyAtMs = (): number => Math.min(clock.monotonicMs(), answeredAtMs + answerValidMs);

    /**
     * Pings the owner at once, at most once per ping interval. Without the limit, on a daemon that does not ping the owner because
     * it owns the shard or knows no owner, each unanswered ping would start another round: thousands of pings a second while its
     * peers are down.
     */
    const suspect = (): void => {
        const nowMs = clock.monotonicMs();
        if (owns() || nowMs - Math.max(askedAtMs, suspectedAtMs) < pingIntervalMs) {
            return;
        }
        suspectedAtMs = nowMs;
        askedAtMs = -Infinity;
        wakeLoop?.();
    };

    /**
     * Pings peers, and the owner as soon as a peer stops answering: both may be on the other side of a network partition. With
     * 18 of 97 daemons cut off, these report that they are not ready after 0.5 to 0.8 s; without this ping of the owner, after
     * 1.4 to 1.7 s.
     */
    const pingPeers = (pinged: readonly MemberRow[]): void => {
        for (const peer of pinged) {
            const wasSilent = peers.isSilent(peer.memberId);
            void guard.run("ping", async () => {
                const answer = await peers.ping(peer);
                if (answer !== undefined) {
                    options.onAnswer(peer.address, answer);
                }
                else if (!wasSilent) {
                    suspect();
                }
            });
        }
        options.onPeersPinged();
    };

    const withNextRemaining = (pinged: readonly MemberRow[]): readonly MemberRow[] => {
        const next = peers.nextRemaining(pinged);
        return next === undefined ? pinged : [...pinged, next];
    };

    /**
     * Pings at most one neighbour in each round, which spreads the load and the arrival of updates evenly. The last round of each
     * cycle pings one of the remaining members instead, if there are any.
     */
    const pingNeighbours = (round: number): void => {
        const turn = round % neighbourPingRounds;
        const neighbours = peers.neighbours();
        const turns = neighbourTurns(neighbours, { dataCentre: self.dataCentre, turns: neighbourPingRounds - 1 });
        const due = neighbours.filter(peer => turns.get(peer) === turn);
        pingPeers(turn === neighbourPingRounds - 1 ? withNextRemaining(neighbours).slice(neighbours.length) : due);
    };

    /** One round: the owner pings its lanes to the advisor, any other daemon pings the owner and neighbours. */
    const watchOnce = async (round: number): Promise<void> => {
        options.onRound();
        if (owns()) {
            options.onOwnRound();
            if (round % lanePingRounds === 0) {
                pingPeers(withNextRemaining(peers.lanes(ownerVersion())));
            }
            return;
        }
        if (!isSettled()) {
            return;
        }
        const owner = known();
        if (owner !== undefined && owner.row.memberId !== self.memberId) {
            if (silentPings > 0 || clock.monotonicMs() - askedAtMs >= ownerPauseMs() - timerSlackMs) {
                await pingOwner(owner);
            }
            pingNeighbours(round);
            return;
        }
        const lost = wasOwnerBeforeRestart() ? claimReasons.restarted : claimReasons.lost;
        await considerClaim(owner === undefined ? claimReasons.noOwner : lost);
        // After a failed claim a peer may know the new owner.
        pingPeers(owns() ? [] : withNextRemaining(peers.neighbours()));
    };

    const pauseUntilWoken = (delayMs: number): Promise<void> =>
        new Promise(resolve => {
            const cancel = clock.setTimer(delayMs, resolve);
            wakeLoop = () => {
                cancel();
                resolve();
            };
        });

    const watch = async (): Promise<void> => {
        for (let round = 1; !closed; round += 1) {
            try {
                await watchOnce(round);
            }
            catch (error) {
                // The loop must go on, or this daemon would never claim the shard again.
                log.write("error", "ownerWatchFailed", { ...failureOf(error) });
            }
            await pauseUntilWoken(silentPings > 0 && !owns() ? failedPingIntervalMs : pingIntervalMs);
        }
    };

    void watch();
    return {
        doing: () => step,
        lastHealthyAtMs,
        seenToken: (withinMs = 0) => {
            const answerAgeMs = clock.monotonicMs() - answeredAtMs;
            const answersNow = silentPings === 0 && answerAgeMs < maxAnswerAgeMs * timeoutScale();
            return answersNow || answerAgeMs < withinMs ? ownerVersion() : 0;
        },
        suspect,
        reset: () => {
            // The former owner's answer still counts up to now, so that a takeover does not make a daemon report that it has no owner.
            answeredAtMs = lastHealthyAtMs();
            answerValidMs = 0;
            isOwnerServing = false;
            askedAtMs = -Infinity;
            changedAtMs = clock.monotonicMs();
            silentPings = 0;
            lostAtMs = undefined;
            commitMonitor.reset();
        },
        wake: () => wakeLoop?.(),
        close: () => {
            closed = true;
        },
    };
};
