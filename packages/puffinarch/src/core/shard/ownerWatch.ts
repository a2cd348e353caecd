/**
 * Watches the owner of a shard from another daemon: it pings the owner, asks the other daemons where the owner is silent, and
 * decides when this one claims the shard.
 */

import type { KnownOwner, MemberRow, PingAnswer } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { type ErrorKind, failureOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";
import type { CommitWitness } from "./commitWitness.js";
import { type Peers, pingIntervalMs, pingTimeoutMs } from "./peers.js";
import { followerPauseMs, placeDelayMs, watcherCount } from "./probes.js";
import { type ClaimReason, claimReasons, patienceFactor, settlingMs } from "./shortOffices.js";

/** What the watch needs. */
export interface OwnerWatchOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly self: MemberRow;
    readonly peers: Peers;
    /** The newest owner's row that is known. */
    readonly known: () => KnownOwner | undefined;
    /** True while this daemon owns the shard. */
    readonly owns: () => boolean;
    /** True once the owner's row was read, and while no claim is under way. */
    readonly isSettled: () => boolean;
    /**
     * True while it leaves the claim to others: after a restore that it gave up, or before it has read who else there is. It
     * goes on asking who owns the shard.
     */
    readonly isResting: () => boolean;
    /** True while this daemon claims no shard any more. */
    readonly isLeaving: () => boolean;
    /** Reads the owner's row again; false where the store did not answer within the time. */
    readonly readOwner: (withinMs: number) => Promise<boolean>;
    /** Tells a lost owner from one that is only out of this daemon's reach. */
    readonly witness: CommitWitness;
    readonly claim: (seenVersion: number, why: ClaimReason) => Promise<unknown>;
    /** A daemon answered, which may have a newer configuration. */
    readonly onAnswer: (address: string, answer: PingAnswer) => void;
    /** The owner answered. */
    readonly onOwnerAnswer: (answer: PingAnswer) => void;
    /** Called in each round while this daemon owns the shard. */
    readonly onOwnRound: () => void;
    /** After the peers were pinged. */
    readonly onPeersPinged: () => void;
}

/** What the newest look at the owner led to. */
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
    /** What the newest look at the owner led to. */
    doing(): WatchStep;
    /** Local time at which the owner was last known to be well; an answer vouches for it until the next ping is due. */
    wellAtMs(): number;
    /** A call to the owner failed: it is pinged at once, also where that is not due. */
    suspect(): void;
    /** Token of the owner that answered within the last moments; 0 for none. */
    seenToken(): number;
    /** The owner's row changed. */
    reset(): void;
    /** Begins the next round at once. */
    wake(): void;
    close(): void;
}

/** An owner pings its lanes to the advisor every second round; a daemon pings each of its neighbours once in ten. */
const ownerPingRounds = 2;
const neighbourPingRounds = 10;
/** An owner that still reads its rows is asked this soon whether it has them; a takeover takes 0.2 to 0.5 s. */
const restoringPauseMs = 500;
/** Rounds begin this much early or late; a ping that is due by then is sent. */
const timerSlackMs = 50;
/** After a ping that failed the next one comes sooner. */
const failedPingIntervalMs = 50;
/** Pings in a row without any answer before the owner counts as lost. */
const silentPingsToClaim = 2;
/** Of the pings that fail after these, one a second or so is logged. */
const silenceLogPauseMs = 1_000;
/** An owner that has not answered by then is asked over another connection too; both must fail. */
const secondPingMs = 120;
/** How long a peer may take to say whether it sees the owner. */
const peerOpinionMs = 200;
/** Once half of the peers have said so, the others have this much longer; those that are gone with the owner never do. */
const restOpinionMs = 50;
/** An answer from the owner within this time speaks against a peer that finds it silent. */
const freshAnswerMs = 450;
/** Each place in the order of candidates waits this much longer. */
const rankDelayMs = 120;
/**
 * Where a daemon has only just learnt who else answers, each place waits for so many answers of the store: the claim of the
 * one before, which may queue behind what daemons write at their start, the news of it, and the next one's read.
 */
const storeAnswersARank = 4;
const longestRankDelayMs = 1_000;
/** More than this in all is not waited for them: those before may not be able to claim. */
const longestStoreWaitMs = 5_000;
/** A VM that is weaker than others waits this much longer than they do; a takeover by one of them takes half of it. */
const weakDelayMs = 2_000;
/** A candidate that reaches too few of its peers waits this much longer, so that a cut-off minority does not claim. */
const minorityDelayMs = 2_500;
const minorityAsks = 2;
/**
 * An owner whose commits found no answer for this long is replaced by a peer that the store answers quickly. Of the copies
 * that it sends by then, at 0, 80 and 240 ms, each may lose its answer one time in three.
 */
const stalledOwnerMs = 400;
/** A store that answers a read, which takes some 6 ms, within this time is well, and an owner that waits for it is not. */
const quickReadMs = 60;
/**
 * Where the store did not answer this daemon either within this time, the owner's first commit after the outage is waited
 * for: a takeover costs all tickets and about half a second.
 */
const storeBackMs = 700;
/** A store that answers a read within this time can carry a claim. */
const claimReadMs = 800;

/**
 * Whether a daemon that answers has the shard by the owner's row. A claimant learns last that its claim took effect: where
 * the store takes a quarter of a second for an answer, peers that went by the token alone replaced one after the other.
 */
const holdsShard = (answer: PingAnswer, { row, version }: KnownOwner): boolean =>
    answer.ownedToken === version || answer.claimId === row.claimId;

/** The first answer of several calls; undefined once all have failed. */
const firstAnswer = <T>(calls: readonly Promise<T | undefined>[]): Promise<T | undefined> =>
    new Promise(resolve => {
        const settle = (answer: T | undefined): void => {
            if (answer !== undefined) {
                resolve(answer);
            }
        };
        void Promise.all(calls.map(call => call.then(settle))).then(() => resolve(undefined));
    });

/**
 * Starts to watch the owner of a shard.
 *
 * @example
 * const watch = watchOwner({ clock, log, self, peers, known, owns, isSettled, isResting, isLeaving, readOwner, witness, claim, onAnswer, onOwnerAnswer, onOwnRound, onPeersPinged });
 */
export const watchOwner = (options: OwnerWatchOptions): OwnerWatch => {
    const { clock, log, self, peers, known, owns, isSettled, isResting, isLeaving, readOwner, witness, claim } =
        options;
    let closed = false;
    /** Local time at which the owner's row changed. */
    let changedAtMs = -Infinity;
    let silentPings = 0;
    let lostAtMs: number | undefined;
    let answeredAtMs = -Infinity;
    /** For how long the newest answer stands for the owner, beyond the usual interval. */
    let vouchedMs = 0;
    let askedAtMs = -Infinity;
    let suspectedAtMs = -Infinity;
    /** Whether the owner said in its newest answer that it has all its rows. */
    let ownerWorks = false;
    /** True once an owner with all its rows has answered. */
    let hasSeenWork = false;
    let endPause: (() => void) | undefined;
    let step: WatchStep = watchSteps.readsOwnerRow;
    let silenceLoggedAtMs = -Infinity;
    /** Local time of the last read that the store did not answer quickly. */
    let slowReadAtMs = -Infinity;
    /** Local time of the first of the reads in a row that it answered quickly while the owner found no answer. */
    let quickReadsFromMs: number | undefined;

    const mayClaim = (): boolean => isSettled() && !isResting() && !isLeaving() && !owns();

    const versionNow = (): number => known()?.version ?? 0;

    /** An owner that has settled is missed as soon as any other. */
    const patience = (): number => {
        const row = known()?.row ?? {};
        return clock.monotonicMs() - changedAtMs < settlingMs(row) ? patienceFactor(row) : 1;
    };

    /** Whether a peer had an answer from the owner within the last moments; then the fault is on this side. */
    const peersSeeOwner = async (version: number): Promise<{ readonly seen: boolean; readonly minority: boolean; }> => {
        const others = peers.opinions(known());
        const expected = others.length;
        const answered: PingAnswer[] = [];
        let noteHalf: () => void = () => {};
        const half = new Promise<void>(resolve => {
            noteHalf = resolve;
        });
        const all = Promise.all(others.map(async peer => {
            const answer = await peers.ping(peer, { timeoutMs: peerOpinionMs });
            if (answer !== undefined && answered.push(answer) >= expected / 2) {
                noteHalf();
            }
        }));
        await Promise.race([all, half.then(() => sleep(clock, restOpinionMs))]);
        return {
            seen: version > 0 && answered.some(answer => answer.seenOwnerToken === version),
            minority: 2 * answered.length < expected,
        };
    };

    /** How long this daemon leaves the claim to others: strong VMs go first, in an order that all compute alike. */
    const turnMs = (rankMs = rankDelayMs): number => {
        const strong = peers.isStrong(self.memberId);
        const alike = peers.claimants(known()).filter(candidate => candidate.strong === strong);
        const place = alike.findIndex(({ memberId }) => memberId === self.memberId);
        const before = alike.slice(0, place).filter(({ memberId }) => !peers.isSilent(memberId));
        return (strong ? 0 : weakDelayMs) + placeDelayMs(before.length, rankMs);
    };

    const watchesOwner = (): boolean =>
        peers.claimants(known()).slice(0, watcherCount).some(({ memberId }) => memberId === self.memberId);

    /** The first in the order of claims ping the owner at each round; the others, of whom there may be hundreds, share a rate. */
    const ownerPauseMs = (): number => {
        const pauseMs = watchesOwner()
            ? pingIntervalMs
            : followerPauseMs(peers.claimants(known()).length, pingIntervalMs);
        return ownerWorks ? pauseMs : Math.min(pauseMs, restoringPauseMs);
    };

    /**
     * A cut may just have healed: once the store answers, a minority asks the owner before it replaces it, and once more
     * where the first call was lost to a connection that was begun during the cut.
     */
    const ownerAnswers = async (version: number): Promise<boolean> => {
        const owner = known();
        for (let tries = 0; owner !== undefined && tries < minorityAsks; tries += 1) {
            const answer = await peers.ping(owner.row);
            if (answer !== undefined) {
                return holdsShard(answer, { row: owner.row, version });
            }
        }
        return false;
    };

    /** Whether this VM's former process owned the shard, and is surely over. */
    const isFormerSelf = (): boolean => {
        const row = known()?.row;
        return row?.memberId === self.memberId && row.incarnation !== self.incarnation;
    };

    /**
     * Nobody had answered a daemon that has just started; claims of all at once would queue in a slow store. One that has seen
     * an owner at work knows its peers, and of those before it many may be refused by the store.
     */
    const turnAtStartMs = (storeMs: number): number => {
        if (hasSeenWork) {
            return 0;
        }
        const rankMs = Math.min(longestRankDelayMs, storeAnswersARank * storeMs);
        return Math.min(turnMs(rankMs), turnMs() + longestStoreWaitMs);
    };

    const considerClaim = async (why: ClaimReason): Promise<void> => {
        if (!mayClaim()) {
            step = isResting() ? watchSteps.rests : watchSteps.mayNotClaim;
            return;
        }
        const version = versionNow();
        if (isFormerSelf() && peers.isStrong(self.memberId)) {
            await claim(version, why);
            return;
        }
        lostAtMs ??= clock.monotonicMs();
        const lostForMs = (): number => clock.monotonicMs() - (lostAtMs ?? clock.monotonicMs());
        if (lostForMs() < turnMs()) {
            step = watchSteps.waitsItsTurn;
            return;
        }
        const { seen, minority } = await peersSeeOwner(version);
        if (seen) {
            step = watchSteps.peerSeesOwner;
            lostAtMs = clock.monotonicMs();
            return;
        }
        if (minority && (!await witness.isQuiet() || lostForMs() < minorityDelayMs)) {
            step = watchSteps.minority;
            return;
        }
        // A claim that is sent into an outage might take effect after it, when nobody needs it.
        const askedAtMs = clock.monotonicMs();
        step = step === watchSteps.storeSilent ? step : watchSteps.readsOwnerRow;
        if (!await readOwner(claimReadMs)) {
            step = watchSteps.storeSilent;
            return;
        }
        step = watchSteps.waitsItsTurn;
        if (
            lostForMs() < turnAtStartMs(clock.monotonicMs() - askedAtMs)
            || minority && await ownerAnswers(version)
        ) {
            return;
        }
        if (versionNow() === version && !owns()) {
            step = watchSteps.claims;
            await claim(version, why);
        }
    };

    /**
     * An owner that answers its peers and cannot reach the store gives way to one that can. A daemon that does not watch it all
     * the time knows the store only from when it asked first: without that, the end of an outage of 4 s made one of 25 such
     * daemons, a weak VM, claim from a sound owner; three more owners followed within 14 s.
     */
    const replaceStalled = async (version: number, stalledMs: number): Promise<void> => {
        if (!mayClaim() || stalledMs < stalledOwnerMs * patience() + turnMs()) {
            quickReadsFromMs = undefined;
            return;
        }
        if (!await readOwner(quickReadMs)) {
            slowReadAtMs = clock.monotonicMs();
            quickReadsFromMs = undefined;
            return;
        }
        quickReadsFromMs ??= clock.monotonicMs();
        const wellFromMs = watchesOwner() ? slowReadAtMs : quickReadsFromMs;
        if (clock.monotonicMs() - wellFromMs > storeBackMs && versionNow() === version && !owns()) {
            await claim(version, claimReasons.ownerStalled);
        }
    };

    const noteOwnerAnswer = (): void => {
        answeredAtMs = clock.monotonicMs();
        vouchedMs = ownerPauseMs() - pingIntervalMs;
        silentPings = 0;
        lostAtMs = undefined;
        witness.reset();
        step = watchSteps.pings;
    };

    /** A cut fails pings by the dozen each second; the count tells how many there were. */
    const logSilence = (owner: string, kind: ErrorKind): void => {
        const nowMs = clock.monotonicMs();
        if (silentPings <= silentPingsToClaim || nowMs - silenceLoggedAtMs >= silenceLogPauseMs) {
            silenceLoggedAtMs = nowMs;
            log.write("warn", "ownerSilent", { owner, kind, silentPings });
        }
    };

    /** Asks the owner, and once more over another connection where it takes long. */
    const askOwner = async (row: MemberRow): Promise<PingAnswer | undefined> => {
        const limitMs = pingTimeoutMs * patience();
        const ask = async (timeoutMs: number): Promise<PingAnswer | undefined> => {
            let silence: ErrorKind | undefined;
            const answer = await peers.ping(row, { timeoutMs, onSilent: kind => silence = kind });
            if (silence !== undefined) {
                silences.push(silence);
            }
            return answer;
        };
        const silences: ErrorKind[] = [];
        const first = ask(limitMs);
        const early = await Promise.race([first, sleep(clock, secondPingMs).then(() => "late" as const)]);
        const answer = early === "late"
            ? await firstAnswer([first, ask(limitMs - secondPingMs)])
            : early;
        if (answer === undefined) {
            vouchedMs = Math.max(0, Math.min(vouchedMs, askedAtMs - answeredAtMs));
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
        if (answer !== undefined && versionNow() === version) {
            options.onAnswer(row.address, answer);
            if (holdsShard(answer, { row, version })) {
                ownerWorks = answer.pending !== undefined;
                noteOwnerAnswer();
                hasSeenWork ||= ownerWorks;
                options.onOwnerAnswer(answer);
                await replaceStalled(version, answer.storeStalledMs);
                return;
            }
            // The process is another one, or gave the shard up.
            const tookMs = clock.monotonicMs() - startedAtMs;
            silentPings += answer.incarnation !== row.incarnation || tookMs < pingTimeoutMs ? 1 : 0;
        }
        if (versionNow() === version && silentPings >= silentPingsToClaim) {
            await considerClaim(claimReasons.ownerSilent);
        }
    };

    const wellAtMs = (): number => Math.min(clock.monotonicMs(), answeredAtMs + vouchedMs);

    /**
     * Asks the owner at once, unless that was done just now. Without the limit each unanswered ping of a daemon that does not ask the
     * owner, as it owns the shard or knows no owner, would begin the next round: thousands of pings a second while its peers are down.
     */
    const suspect = (): void => {
        const nowMs = clock.monotonicMs();
        if (owns() || nowMs - Math.max(askedAtMs, suspectedAtMs) < pingIntervalMs) {
            return;
        }
        suspectedAtMs = nowMs;
        askedAtMs = -Infinity;
        endPause?.();
    };

    /**
     * A peer that answered before and does not now may be on the other side of a cut, with the owner: 18 of 97 daemons that were
     * cut off said on the fakes that they were not ready after 1.4 to 1.7 s, after 0.5 to 0.8 s with this.
     */
    const pingPeers = (pinged: readonly MemberRow[]): void => {
        for (const peer of pinged) {
            const wasSilent = peers.isSilent(peer.memberId);
            void peers.ping(peer).then(answer => {
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

    const withNextOfRest = (pinged: readonly MemberRow[]): readonly MemberRow[] => {
        const next = peers.nextOfRest(pinged);
        return next === undefined ? pinged : [...pinged, next];
    };

    /** One or two of the neighbours in each round, so that news arrive all the time and work comes evenly. */
    const pingNeighbours = (round: number): void => {
        const turn = round % neighbourPingRounds;
        const neighbours = peers.neighbours();
        const due = neighbours.filter((_peer, index) => index % neighbourPingRounds === turn);
        pingPeers(turn === neighbourPingRounds - 1 ? withNextOfRest(neighbours).slice(neighbours.length) : due);
    };

    /** The owner pings its lanes to the advisor; the others ping the owner. */
    const watchOnce = async (round: number): Promise<void> => {
        if (owns()) {
            options.onOwnRound();
            if (round % ownerPingRounds === 0) {
                pingPeers(withNextOfRest(peers.lanes(versionNow())));
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
        const lost = isFormerSelf() ? claimReasons.restarted : claimReasons.lost;
        await considerClaim(owner === undefined ? claimReasons.noOwner : lost);
        // Where a claim did not succeed, a peer may know who has the shard.
        pingPeers(owns() ? [] : withNextOfRest(peers.neighbours()));
    };

    const pause = (delayMs: number): Promise<void> =>
        new Promise(resolve => {
            const cancel = clock.setTimer(delayMs, resolve);
            endPause = () => {
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
                // Without this watch the daemon would never take over again.
                log.write("error", "ownerWatchFailed", { ...failureOf(error) });
            }
            await pause(silentPings > 0 && !owns() ? failedPingIntervalMs : pingIntervalMs);
        }
    };

    void watch();
    return {
        doing: () => step,
        wellAtMs,
        seenToken: () =>
            silentPings === 0 && clock.monotonicMs() - answeredAtMs < freshAnswerMs * patience()
                ? versionNow()
                : 0,
        suspect,
        reset: () => {
            // What the former owner's answer stood for until now still counts: a takeover leaves no daemon without an owner.
            answeredAtMs = wellAtMs();
            vouchedMs = 0;
            ownerWorks = false;
            askedAtMs = -Infinity;
            changedAtMs = clock.monotonicMs();
            silentPings = 0;
            lostAtMs = undefined;
            witness.reset();
        },
        wake: () => endPause?.(),
        close: () => {
            closed = true;
        },
    };
};
