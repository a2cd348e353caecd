/** The other daemons of a cell: their member rows, which of them answer pings, and which are about to stop. */

import type {
    KnownOwner,
    MemberCallName,
    MemberCalls,
    MemberPort,
    MemberRow,
    PingAnswer,
    Row,
} from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { type ErrorKind, failureOf } from "../../utils/errors.js";
import { decodeKnownOwner, decodeMember } from "./memberRows.js";
import {
    chooseNeighbours,
    type ClaimCandidate,
    claimOrder,
    laneCount,
    neighbourOrder,
    observerCount,
} from "./probes.js";
import type { RowReader } from "./rowReader.js";

/** Dependencies of the table of peers. */
export interface PeersOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly self: MemberRow;
    readonly members: MemberPort;
    readonly reader: RowReader;
    /** Version of the newest owner row that is known; 0 for none. */
    readonly ownerVersion: () => number;
    /** Called when a peer's ping answer contains a newer owner row. */
    readonly onOwner: (owner: KnownOwner) => void;
    /**
     * Called where a daemon of another data centre that answered its last ping does not answer the next one soon, and no other daemon
     * of another data centre has answered meanwhile.
     */
    readonly onSilenceElsewhere?: () => void;
}

/** Options of a ping. */
export interface PingOptions {
    readonly timeoutMs?: number;
    /** For how long this daemon has considered the owner lost. */
    readonly ownerLostMs?: number;
    /** Called with the kind of the error where no answer came. */
    readonly onSilent?: (kind: ErrorKind) => void;
}

/** Options of a call. */
export interface AskOptions {
    readonly timeoutMs: number;
    /** Longest time for an answer of which data keeps arriving; `timeoutMs` where it is left out. */
    readonly longestMs?: number;
    readonly onSilent?: ((kind: ErrorKind) => void) | undefined;
}

/** The table of the other daemons of a cell. */
export interface Peers {
    readonly all: ReadonlyMap<string, MemberRow>;
    /** Returns the daemons that may claim the shard after this owner, this daemon included, in the claim order. */
    claimants(owner: KnownOwner | undefined): readonly ClaimCandidate[];
    /** Returns the daemons to ask whether the owner answers them: its watchers and a few others. */
    observers(owner: KnownOwner | undefined): readonly MemberRow[];
    /**
     * Returns the lanes of the owner of this version: the daemons through which it calls the advisor and which it therefore pings.
     * Those that answer come first, strong ones before weak ones.
     */
    lanes(version: number): readonly MemberRow[];
    /** Returns the daemons that a daemon pings to receive newer owner rows and configurations. */
    neighbours(): readonly MemberRow[];
    /** Returns the next of the daemons that are not in `pinged`, round robin, so that each of them is pinged from time to time. */
    nextRemaining(pinged: readonly MemberRow[]): MemberRow | undefined;
    /**
     * Returns the daemons of other data centres that have answered this process and are not gone: first those that answered their
     * newest ping, and each group in the order of the newest answers.
     */
    elsewhere(): readonly MemberRow[];
    /** Local time of the newest ping answer of a daemon of another data centre; `-Infinity` before the first. */
    elsewhereAnsweredAtMs(): number;
    /** Local time of the newest ping answer of any daemon; undefined before the first. */
    newestAnswerAtMs(): number | undefined;
    /** Returns whether a daemon left its newest ping unanswered. */
    isSilent(memberId: string): boolean;
    /** Applies new, changed and removed member rows. */
    applyRows(rows: readonly Row[]): void;
    /** Calls a daemon; undefined where the call failed. */
    ask<N extends MemberCallName>(
        address: string,
        name: N,
        input: MemberCalls[N]["input"],
        options: AskOptions,
    ): Promise<MemberCalls[N]["output"] | undefined>;
    /** Pings a peer and records whether it answers, whether it is leaving, and a newer owner row; undefined where the call failed. */
    ping(peer: MemberRow, options?: PingOptions): Promise<PingAnswer | undefined>;
    /** Returns the ids of the daemons that answered recently, this daemon first. */
    live(): readonly string[];
    isLeaving(peerId: string): boolean;
    /** Returns whether a daemon, this one included, has at least half the processor time and network of the strongest. */
    isStrong(memberId: string): boolean;
}

/** Interval between two pings of the owner by a watcher. */
export const pingIntervalMs = 200;
/** An answer takes about 10 ms; the timeout allows for a VM that is slowed down five times. */
export const pingTimeoutMs = 350;
/**
 * A VM with less than this share of the strongest VM's resources claims a shard only where no stronger VM does. With 246
 * workers, a VM of 0.32 cores on 10 Mbit/s needs 0.7 s to restore and is replaced before the workers answer its first calls.
 */
const strongShare = 0.5;
/** An answer takes about 10 ms. One of another data centre that takes longer than this may be a sign of a partition. */
const slowAnswerMs = 100;
const maxTimerDelayMs = 25;
/** Time to read an answer that arrived while this process was busy. */
const unreadAnswerMs = 20;
/** A peer that has not answered for this long, about two missed pings, is not considered live. */
const liveMs = 3 * pingIntervalMs;

/**
 * The member row of a VM that has gone is never removed. A daemon that has left all pings unanswered for this long, far longer
 * than any network partition lasts, is therefore left out of the claim order. Otherwise each takeover takes 2.7 s in place of
 * 0.2 s with six of nine VMs gone, and 2.2 s with all strong VMs gone.
 */
const goneAfterMs = 60_000;

/** Period in which a daemon has left all pings unanswered: from the start of the first to the failure of the last. */
interface Silence {
    readonly fromMs: number;
    readonly untilMs: number;
}

/** Strength of a VM; 1 in rows that an earlier version wrote. */
export const strengthOf = ({ strength }: Pick<MemberRow, "strength">): number => strength ?? 1;

/**
 * Creates the table of peers, which is empty before the first member rows.
 *
 * @example
 * const peers = createPeers({ clock, log, self, members, reader, ownerVersion, onOwner });
 * peers.applyRows(rows);
 */
export const createPeers = (options: PeersOptions): Peers => {
    const { clock, log, self, members, reader, ownerVersion, onOwner, onSilenceElsewhere = () => {} } = options;
    const all = new Map<string, MemberRow>();
    const answeredAtMs = new Map<string, number>();
    const silences = new Map<string, Silence>();
    const leaving = new Set<string>();
    /** Number of changes so far to the table, to the set of gone daemons and to `lastAskedOwner`; invalidates the cached values. */
    let tableRevision = 0;
    let elsewhereAnsweredAtMs = -Infinity;
    let newestAnswerAtMs: number | undefined;
    /** Round-robin counter of `nextRemaining`. */
    let remainingIndex = 0;

    const ask: Peers["ask"] = async (address, name, input, { timeoutMs, longestMs, onSilent }) => {
        try {
            return await members.call(address, name, input, timeoutMs, longestMs);
        }
        catch (error) {
            const { kind, message } = failureOf(error);
            log.write("debug", "peerSilent", { address, call: name, reason: message });
            onSilent?.(kind);
            return undefined;
        }
    };

    const isGone = (memberId: string): boolean => {
        const silence = silences.get(memberId);
        return silence !== undefined && silence.untilMs - silence.fromMs >= goneAfterMs;
    };

    /** Caches a derived value until the table changes; values are read in each round and computed from hundreds of rows. */
    const cacheUntilChange = <T>(derive: () => T): () => T => {
        let derivedAt = -1;
        let value: T;
        return () => {
            if (derivedAt !== tableRevision) {
                value = derive();
                derivedAt = tableRevision;
            }
            return value;
        };
    };

    /** The daemons that have not left pings unanswered for `goneAfterMs`. */
    const presentMembers = cacheUntilChange((): readonly MemberRow[] =>
        [...all.values()].filter(each => !isGone(each.memberId))
    );

    const minStrength = cacheUntilChange(() => strongShare * Math.max(...[self, ...presentMembers()].map(strengthOf)));

    const candidates = cacheUntilChange((): readonly ClaimCandidate[] =>
        [self, ...presentMembers()].map(member => ({
            memberId: member.memberId,
            strong: strengthOf(member) >= minStrength(),
        }))
    );

    const neighbours = cacheUntilChange(() => chooseNeighbours(self, presentMembers()));
    const allInOrder = cacheUntilChange(() => neighbourOrder(self.memberId, [...all.values()]));

    /** The owner for which `claimants` was called last. */
    let lastAskedOwner: KnownOwner | undefined;
    const currentClaimants = cacheUntilChange(() => {
        const owner = lastAskedOwner;
        const others = candidates().filter(({ memberId }) =>
            memberId === self.memberId || memberId !== owner?.row.memberId
        );
        return claimOrder(others, owner?.version ?? 0);
    });
    const claimants: Peers["claimants"] = owner => {
        tableRevision += owner?.version === lastAskedOwner?.version ? 0 : 1;
        lastAskedOwner = owner;
        return currentClaimants();
    };

    const rowsOf = (listed: readonly ClaimCandidate[]): readonly MemberRow[] =>
        listed.flatMap(({ memberId }) => all.get(memberId) ?? []);

    const recordSilence = (memberId: string, askedAtMs: number): void => {
        // Calls overlap, so a failed call does not count where a later one has been answered.
        if ((answeredAtMs.get(memberId) ?? -Infinity) > askedAtMs) {
            return;
        }
        const { fromMs } = silences.get(memberId) ?? { fromMs: askedAtMs };
        const wasGone = isGone(memberId);
        silences.set(memberId, { fromMs, untilMs: clock.monotonicMs() });
        tableRevision += wasGone === isGone(memberId) ? 0 : 1;
    };

    const isElsewhere = ({ dataCentre }: MemberRow): boolean => dataCentre !== self.dataCentre;

    const recordAnswer = (peer: MemberRow): void => {
        const nowMs = clock.monotonicMs();
        answeredAtMs.set(peer.memberId, nowMs);
        newestAnswerAtMs = nowMs;
        elsewhereAnsweredAtMs = isElsewhere(peer) ? nowMs : elsewhereAnsweredAtMs;
    };

    /** Watches the answer of a daemon of another data centre; the returned function ends the watch. */
    const watchAnswer = (peer: MemberRow, askedAtMs: number): (answered: boolean) => void => {
        if (!isElsewhere(peer) || silences.has(peer.memberId) || !answeredAtMs.has(peer.memberId)) {
            return () => {};
        }
        const reportSilence = (): void => {
            if (elsewhereAnsweredAtMs < askedAtMs) {
                onSilenceElsewhere();
            }
        };
        let cancel = (): void => {};
        const awaitAnswer = (waitMs: number): void => {
            const dueAtMs = clock.monotonicMs() + waitMs;
            cancel = clock.setTimer(waitMs, () => {
                // A timer that fires late says that this process was busy, and the answer may have arrived unread.
                if (clock.monotonicMs() - dueAtMs > maxTimerDelayMs) {
                    awaitAnswer(unreadAnswerMs);
                }
                else {
                    reportSilence();
                }
            });
        };
        awaitAnswer(slowAnswerMs);
        return answered => {
            cancel();
            if (!answered) {
                reportSilence();
            }
        };
    };

    const clearSilence = (memberId: string): void => {
        tableRevision += isGone(memberId) ? 1 : 0;
        silences.delete(memberId);
    };

    return {
        all,
        claimants,
        observers: owner => rowsOf(claimants(owner)).slice(0, observerCount),
        lanes: version => {
            const members = rowsOf(claimOrder(candidates(), version));
            const answering = members.filter(({ memberId }) => !silences.has(memberId));
            const silent = members.filter(({ memberId }) => silences.has(memberId));
            return [...answering, ...silent].slice(0, laneCount);
        },
        neighbours,
        nextRemaining: pinged => {
            const ids = new Set(pinged.map(({ memberId }) => memberId));
            const remaining = allInOrder().filter(({ memberId }) => !ids.has(memberId));
            remainingIndex += 1;
            return remaining[remainingIndex % Math.max(1, remaining.length)];
        },
        elsewhere: () => {
            const newestFirst = presentMembers().filter(member =>
                isElsewhere(member) && answeredAtMs.has(member.memberId)
            )
                .sort((left, right) =>
                    (answeredAtMs.get(right.memberId) ?? 0) - (answeredAtMs.get(left.memberId) ?? 0)
                );
            const answering = newestFirst.filter(({ memberId }) => !silences.has(memberId));
            return [...answering, ...newestFirst.filter(({ memberId }) => silences.has(memberId))];
        },
        elsewhereAnsweredAtMs: () => elsewhereAnsweredAtMs,
        newestAnswerAtMs: () => newestAnswerAtMs,
        isSilent: memberId => silences.has(memberId),
        applyRows: rows => {
            tableRevision += 1;
            for (const row of rows) {
                if (row.value === undefined) {
                    all.delete(row.key);
                    silences.delete(row.key);
                }
                else if (row.key !== self.memberId) {
                    // Where the new row cannot be read, the former one stays in use.
                    const member = reader.entryOf(row, decodeMember(row));
                    if (member === undefined) {
                        continue;
                    }
                    if (all.get(row.key)?.incarnation !== member.incarnation) {
                        silences.delete(row.key);
                    }
                    all.set(row.key, member);
                }
            }
        },
        ask,
        ping: async (peer, { timeoutMs = pingTimeoutMs, ownerLostMs = 0, onSilent } = {}) => {
            const request = { from: self.memberId, ownerVersion: ownerVersion(), ownerLostMs };
            const askedAtMs = clock.monotonicMs();
            const endWatch = watchAnswer(peer, askedAtMs);
            const answer = await ask(peer.address, "ping", request, { timeoutMs, onSilent });
            endWatch(answer !== undefined);
            if (answer === undefined) {
                recordSilence(peer.memberId, askedAtMs);
                return undefined;
            }
            clearSilence(peer.memberId);
            recordAnswer(peer);
            if (answer.leaving) {
                leaving.add(peer.memberId);
            }
            else {
                leaving.delete(peer.memberId);
            }
            const newerOwner = answer.newerOwner === undefined ? undefined : decodeKnownOwner(answer.newerOwner);
            if (newerOwner !== undefined) {
                onOwner(newerOwner);
            }
            return answer;
        },
        live: () => {
            const nowMs = clock.monotonicMs();
            const answering = [...all.keys()].filter(id => nowMs - (answeredAtMs.get(id) ?? -Infinity) < liveMs);
            return [self.memberId, ...answering];
        },
        isLeaving: peerId => leaving.has(peerId),
        isStrong: memberId => {
            const member = memberId === self.memberId ? self : all.get(memberId);
            return member !== undefined && strengthOf(member) >= minStrength();
        },
    };
};
