/** The other daemons of a cell: who they are, which of them answer, and which are about to stop. */

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
import { decodeMember } from "./memberRows.js";
import { type ClaimCandidate, claimOrder, laneCount, neighbourCount, newsOrder, opinionCount } from "./probes.js";
import type { RowReader } from "./rowReader.js";

/** What the table of peers needs. */
export interface PeersOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly self: MemberRow;
    readonly members: MemberPort;
    readonly reader: RowReader;
    /** Version of the newest owner's row that is known; 0 for none. */
    readonly ownerVersion: () => number;
    /** A peer knows of a newer owner. */
    readonly onOwner: (owner: KnownOwner) => void;
}

/** What one ping may set. */
export interface PingOptions {
    readonly timeoutMs?: number;
    readonly onSilent?: (kind: ErrorKind) => void;
}

/** What one call may set. */
export interface AskOptions {
    readonly timeoutMs: number;
    /** How long an answer may take while it keeps coming; `timeoutMs` where it is left out. */
    readonly longestMs?: number;
    readonly onSilent?: ((kind: ErrorKind) => void) | undefined;
}

/** The other daemons. */
export interface Peers {
    readonly all: ReadonlyMap<string, MemberRow>;
    /** The daemons that may claim the shard after the owner of this version, this one included, in their order. */
    claimants(owner: KnownOwner | undefined): readonly ClaimCandidate[];
    /** Whom to ask whether they see the owner: those that watch it, and others. */
    opinions(owner: KnownOwner | undefined): readonly MemberRow[];
    /** Whom an owner pings, since they are its lanes to the advisor: those that answer first, strong ones before weak ones. */
    lanes(version: number): readonly MemberRow[];
    /** Whom another daemon pings for news. */
    neighbours(): readonly MemberRow[];
    /** Of the daemons that are not among these, the one whose turn it is, so that each is heard of now and then. */
    nextOfRest(pinged: readonly MemberRow[]): MemberRow | undefined;
    /** Whether a daemon left its newest ping unanswered. */
    isSilent(memberId: string): boolean;
    /** New or changed entries of daemons. */
    take(rows: readonly Row[]): void;
    /** Calls a daemon; undefined where it gave no answer. */
    ask<N extends MemberCallName>(
        address: string,
        name: N,
        input: MemberCalls[N]["input"],
        options: AskOptions,
    ): Promise<MemberCalls[N]["output"] | undefined>;
    /** Pings a peer and notes that it answers, whether it is leaving, and what it knows of the owner. */
    ping(peer: MemberRow, options?: PingOptions): Promise<PingAnswer | undefined>;
    /** Ids of the daemons that answered lately, this one first. */
    live(): readonly string[];
    isLeaving(peerId: string): boolean;
    /** Whether a daemon, this one included, has about as much processor time and network as the best of all. */
    isStrong(memberId: string): boolean;
}

/** Between two pings of the owner. */
export const pingIntervalMs = 200;
/** An answer takes some 10 ms; a VM that is 5 times slowed still makes it. */
export const pingTimeoutMs = 350;
/**
 * A VM with less than this share of what the strongest has takes a shard only where no stronger one does: with 246 workers,
 * one of 0.32 cores on 10 Mbit/s needed 0.7 s to restore and was replaced before its first looks were answered.
 */
const strongShare = 0.5;
/** A peer that missed two pings in a row is not counted on. */
const liveMs = 3 * pingIntervalMs;

/**
 * Nobody removes the entry of a VM that is gone. One that left the first and the last of its pings unanswered over this long,
 * far longer than any cut, and all between them, is not waited for any more: with six of nine VMs gone each takeover took
 * 2.7 s in place of 0.2 s, and with all strong ones gone 2.2 s.
 */
const goneMs = 60_000;

/** Pings in a row that a daemon left unanswered. */
interface Silence {
    readonly fromMs: number;
    readonly untilMs: number;
}

const strengthOf = ({ strength }: MemberRow): number => strength ?? 1;

/**
 * Makes the table of peers; it is empty before the first entries.
 *
 * @example
 * const peers = createPeers({ clock, log, self, members, reader, ownerVersion, onOwner });
 * peers.take(rows);
 */
export const createPeers = ({ clock, log, self, members, reader, ownerVersion, onOwner }: PeersOptions): Peers => {
    const all = new Map<string, MemberRow>();
    const answeredAtMs = new Map<string, number>();
    const silences = new Map<string, Silence>();
    const leaving = new Set<string>();
    /** Changes of the table so far, also of which daemons are gone. */
    let changes = 0;
    /** How often one outside the usual ones was pinged. */
    let restTurns = 0;

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
        return silence !== undefined && silence.untilMs - silence.fromMs >= goneMs;
    };

    /** Keeps what follows from the table until it changes: it is asked for in each round, by hundreds of entries. */
    const untilChanged = <T>(derive: () => T): () => T => {
        let derivedAt = -1;
        let value: T;
        return () => {
            if (derivedAt !== changes) {
                value = derive();
                derivedAt = changes;
            }
            return value;
        };
    };

    /** The daemons that are not gone for good: none of them has left pings unanswered for a minute. */
    const counted = untilChanged((): readonly MemberRow[] => [...all.values()].filter(each => !isGone(each.memberId)));

    const neededStrength = untilChanged(() => strongShare * Math.max(...[self, ...counted()].map(strengthOf)));

    const candidates = untilChanged((): readonly ClaimCandidate[] =>
        [self, ...counted()].map(member => ({
            memberId: member.memberId,
            strong: strengthOf(member) >= neededStrength(),
        }))
    );

    const neighbours = untilChanged(() => newsOrder(self.memberId, counted()).slice(0, neighbourCount));
    const allInOrder = untilChanged(() => newsOrder(self.memberId, [...all.values()]));

    /** The owner whose successors were asked for last. */
    let claimedFrom: KnownOwner | undefined;
    const claimantsNow = untilChanged(() => {
        const owner = claimedFrom;
        const others = candidates().filter(({ memberId }) =>
            memberId === self.memberId || memberId !== owner?.row.memberId
        );
        return claimOrder(others, owner?.version ?? 0);
    });
    const claimants: Peers["claimants"] = owner => {
        changes += owner?.version === claimedFrom?.version ? 0 : 1;
        claimedFrom = owner;
        return claimantsNow();
    };

    const rowsOf = (listed: readonly ClaimCandidate[]): readonly MemberRow[] =>
        listed.flatMap(({ memberId }) => all.get(memberId) ?? []);

    const noteSilence = (memberId: string, askedAtMs: number): void => {
        // Calls overlap: one that is lost while a later one was answered says nothing.
        if ((answeredAtMs.get(memberId) ?? -Infinity) > askedAtMs) {
            return;
        }
        const { fromMs } = silences.get(memberId) ?? { fromMs: askedAtMs };
        const wasGone = isGone(memberId);
        silences.set(memberId, { fromMs, untilMs: clock.monotonicMs() });
        changes += wasGone === isGone(memberId) ? 0 : 1;
    };

    const endSilence = (memberId: string): void => {
        changes += isGone(memberId) ? 1 : 0;
        silences.delete(memberId);
    };

    return {
        all,
        claimants,
        opinions: owner => rowsOf(claimants(owner)).slice(0, opinionCount),
        lanes: version => {
            const members = rowsOf(claimOrder(candidates(), version));
            const answering = members.filter(({ memberId }) => !silences.has(memberId));
            const silent = members.filter(({ memberId }) => silences.has(memberId));
            return [...answering, ...silent].slice(0, laneCount);
        },
        neighbours,
        nextOfRest: pinged => {
            const ids = new Set(pinged.map(({ memberId }) => memberId));
            const rest = allInOrder().filter(({ memberId }) => !ids.has(memberId));
            restTurns += 1;
            return rest[restTurns % Math.max(1, rest.length)];
        },
        isSilent: memberId => silences.has(memberId),
        take: rows => {
            changes += 1;
            for (const row of rows) {
                if (row.value === undefined) {
                    all.delete(row.key);
                    silences.delete(row.key);
                }
                else if (row.key !== self.memberId) {
                    // Where the row of a daemon that is known cannot be read, it is called where it was.
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
        ping: async (peer, { timeoutMs = pingTimeoutMs, onSilent } = {}) => {
            const request = { from: self.memberId, ownerVersion: ownerVersion() };
            const askedAtMs = clock.monotonicMs();
            const answer = await ask(peer.address, "ping", request, { timeoutMs, onSilent });
            if (answer === undefined) {
                noteSilence(peer.memberId, askedAtMs);
                return undefined;
            }
            endSilence(peer.memberId);
            answeredAtMs.set(peer.memberId, clock.monotonicMs());
            if (answer.leaving) {
                leaving.add(peer.memberId);
            }
            else {
                leaving.delete(peer.memberId);
            }
            if (answer.newerOwner !== undefined) {
                onOwner(answer.newerOwner);
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
            return member !== undefined && strengthOf(member) >= neededStrength();
        },
    };
};
