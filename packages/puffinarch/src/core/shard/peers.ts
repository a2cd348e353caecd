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

/** What the table of peers needs. */
export interface PeersOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly self: MemberRow;
    readonly members: MemberPort;
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

/** The other daemons. */
export interface Peers {
    readonly all: ReadonlyMap<string, MemberRow>;
    /** The daemons that are not gone for good: each answered this one within the last minute, or is that new to it. */
    counted(): readonly MemberRow[];
    /** New or changed entries of daemons. */
    take(rows: readonly Row[]): void;
    /** Calls a daemon; undefined where it gave no answer. */
    ask<N extends MemberCallName>(
        address: string,
        name: N,
        input: MemberCalls[N]["input"],
        timeoutMs: number,
        onSilent?: (kind: ErrorKind) => void,
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
 * Nobody removes the entry of a VM that is gone. One that has not answered for this long, far longer than any cut, is not
 * waited for any more: with six of nine VMs gone each takeover took 2.7 s in place of 0.2 s, and with all strong ones gone 2.2 s.
 */
const goneMs = 60_000;

const strengthOf = ({ strength }: MemberRow): number => strength ?? 1;

/**
 * Makes the table of peers; it is empty before the first entries.
 *
 * @example
 * const peers = createPeers({ clock, log, self, members, ownerVersion, onOwner });
 * peers.take(rows);
 */
export const createPeers = ({ clock, log, self, members, ownerVersion, onOwner }: PeersOptions): Peers => {
    const all = new Map<string, MemberRow>();
    const answeredAtMs = new Map<string, number>();
    /** When the entry of each daemon's process was first seen. */
    const enteredAtMs = new Map<string, number>();
    const leaving = new Set<string>();

    const ask: Peers["ask"] = async (address, name, input, timeoutMs, onSilent) => {
        try {
            return await members.call(address, name, input, timeoutMs);
        }
        catch (error) {
            const { kind, message } = failureOf(error);
            log.write("debug", "peerSilent", { address, call: name, reason: message });
            onSilent?.(kind);
            return undefined;
        }
    };

    const counted = (): readonly MemberRow[] => {
        const nowMs = clock.monotonicMs();
        return [...all.values()].filter(({ memberId }) =>
            nowMs - Math.max(answeredAtMs.get(memberId) ?? -Infinity, enteredAtMs.get(memberId) ?? -Infinity) < goneMs
        );
    };

    return {
        all,
        counted,
        take: rows => {
            for (const row of rows) {
                if (row.value === undefined) {
                    all.delete(row.key);
                }
                else if (row.key !== self.memberId) {
                    const member = JSON.parse(row.value) as MemberRow;
                    if (all.get(row.key)?.incarnation !== member.incarnation) {
                        enteredAtMs.set(row.key, clock.monotonicMs());
                    }
                    all.set(row.key, member);
                }
            }
        },
        ask,
        ping: async (peer, { timeoutMs = pingTimeoutMs, onSilent } = {}) => {
            const request = { from: self.memberId, ownerVersion: ownerVersion() };
            const answer = await ask(peer.address, "ping", request, timeoutMs, onSilent);
            if (answer === undefined) {
                return undefined;
            }
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
            const strongest = Math.max(...[self, ...counted()].map(strengthOf));
            const member = memberId === self.memberId ? self : all.get(memberId);
            return member !== undefined && strengthOf(member) >= strongShare * strongest;
        },
    };
};
