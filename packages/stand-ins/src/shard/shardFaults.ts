/** Named faults that tests inject into a cell with one shard. */

import { createSeededRandom } from "puffinarch";
import type { ShardCell } from "./shardCell.js";
import type { WakingOrder } from "./suspension.js";

/** When daemons are restarted one after the other: the time from one to the next, their grace, and how long each is away. */
const restartApartMs = 1_350;
const restartGraceMs = 6_000;
const restartDownMs = 700;
/** With looks that are carried out late: the share of looks that get lost besides those that reach nobody, and the delays. */
const lostLookShare = 0.1;
const shortestLateLookMs = 2_000;
const lateLookSpreadMs = 10_000;
/** How long a worker stays shrunk after the other workers no longer fail every run. */
const shrunkForMs = 12_000;

const cutOwner = (cell: ShardCell, what: readonly ("peers" | "store" | "workers")[]): () => void => {
    const owner = cell.owner() ?? "";
    cell.cut(owner, what);
    return () => cell.restoreLinks(owner);
};

/** Cuts daemons off from everything, also from each other; daemons behind one cut data centre could still reach each other. */
const cutOthers = (cell: ShardCell, count: number): () => void => {
    const others = cell.memberIds().filter(memberId => memberId !== cell.owner()).slice(0, count);
    for (const memberId of others) {
        cell.cut(memberId, ["peers", "store", "workers"]);
    }
    return () => {
        for (const memberId of others) {
            cell.restoreLinks(memberId);
        }
    };
};

const setStoreFault = (cell: ShardCell, fault: "hang" | "refuse" | "loseReply" | "late" | "slow"): () => void => {
    cell.store.setFault(fault);
    return () => cell.store.setFault("none");
};

/** IDs of the workers that are up. */
const liveWorkers = (cell: ShardCell): readonly string[] =>
    cell.workers.workerIds().filter(workerId => cell.workers.entryOf(workerId) !== undefined);

/** Crashes a share of the workers, one at least; they come back by themselves as new incarnations. */
const crashWorkers = (cell: ShardCell, share: number): () => void => {
    const alive = liveWorkers(cell);
    cell.crashWorkers(alive.slice(0, Math.max(1, share * alive.length)));
    return () => {};
};

/** Suspends VMs, which resume by themselves. */
const suspend = (cell: ShardCell, memberIds: readonly string[], forMs: number): () => void => {
    for (const memberId of memberIds) {
        cell.suspend(memberId, forMs);
    }
    return () => {};
};

/** Stops processes whose monotonic clock goes on; they continue by themselves. */
const stopProcesses = (
    cell: ShardCell,
    memberIds: readonly string[],
    { forMs, first }: { readonly forMs: number; readonly first: WakingOrder; },
): () => void => {
    for (const memberId of memberIds) {
        cell.stopProcess(memberId, forMs, first);
    }
    return () => {};
};

/** IDs of the workers that are up, those with the most processor time in use first. */
const fullestFirst = (cell: ShardCell): readonly string[] =>
    [...liveWorkers(cell)].sort((left, right) =>
        cell.workers.heldOn(right).cpuMillis - cell.workers.heldOn(left).cpuMillis
    );

const failWorkers = (cell: ShardCell, targets: readonly string[]): () => void => {
    for (const workerId of targets) {
        cell.workers.setFault(workerId, "failing");
    }
    return () => {
        for (const workerId of targets) {
            cell.workers.setFault(workerId, "none");
        }
    };
};

const setWorkerFault = (cell: ShardCell, fault: "cut" | "late" | "failing" | "deaf", count: number): () => void => {
    const targets = liveWorkers(cell).slice(0, count);
    for (const workerId of targets) {
        cell.workers.setFault(workerId, fault);
    }
    return () => {
        for (const workerId of targets) {
            cell.workers.setFault(workerId, "none");
        }
    };
};

/** Multiplies the processor cap of every organisation. */
const scaleCaps = (cell: ShardCell, times: number): void => {
    const scaled = cell.organisations().map(({ cap, ...organisation }) => ({
        ...organisation,
        cap: { ...cap, cpuMillis: Math.round(times * cap.cpuMillis) },
    }));
    cell.configure(cell.version() + 1, scaled);
};

/** Scales all caps; undoing it divides by the same factor, so that overlapping changes can end in any order. */
const changeCaps = (cell: ShardCell, times: number): () => void => {
    scaleCaps(cell, times);
    return () => scaleCaps(cell, 1 / times);
};

/** Cuts a data centre off as a whole, so that its daemons and workers reach only each other. */
const cutDataCentre = (cell: ShardCell, dataCentre: string): () => void => {
    cell.cutDataCentre(dataCentre, ["peers", "store", "workers"]);
    return () => cell.restoreDataCentre(dataCentre);
};

/** Tells daemons to stop, one after the other, and starts each again once its process has ended. */
const restartInTurn = (cell: ShardCell, memberIds: readonly string[]): () => void => {
    for (const [index, memberId] of memberIds.entries()) {
        cell.clock.setTimer(index * restartApartMs, () => {
            if (cell.isRunning(memberId)) {
                void cell.stop(memberId, restartGraceMs).then(() =>
                    cell.clock.setTimer(restartDownMs, () => cell.restart(memberId))
                );
            }
        });
    }
    return () => {};
};

const carryOutLooksLate = (cell: ShardCell): () => void => {
    // The seed is the time, as the other draws of the cell must not change.
    const random = createSeededRandom(Math.floor(cell.clock.monotonicMs()));
    cell.workers.setLateLooks({
        isLost: () => random.next() < lostLookShare,
        lateMs: () => shortestLateLookMs + lateLookSpreadMs * random.next(),
    });
    return () => cell.workers.setLateLooks(undefined);
};

const removeWorkerEntries = (cell: ShardCell): () => void => {
    for (const workerId of cell.workers.workerIds()) {
        cell.removeWorkerEntry(workerId);
    }
    return () => cell.writeWorkerEntries();
};

/** Faults by name; each injects itself into the cell and returns the function that undoes it. */
export const shardFaults: Readonly<Record<string, (cell: ShardCell) => () => void>> = {
    "owner killed": cell => {
        const owner = cell.owner() ?? cell.memberIds()[0] ?? "";
        cell.kill(owner);
        return () => cell.restart(owner);
    },
    "owner stops": cell => {
        const owner = cell.owner() ?? cell.memberIds()[0] ?? "";
        void cell.stop(owner);
        return () => cell.restart(owner);
    },
    "owner cut from the store": cell => cutOwner(cell, ["store"]),
    "owner cut from its peers": cell => cutOwner(cell, ["peers"]),
    "owner cut from the workers": cell => cutOwner(cell, ["workers"]),
    "owner cut from its peers, the store": cell => cutOwner(cell, ["peers", "store"]),
    "owner cut from its peers, the store, workers": cell => cutOwner(cell, ["peers", "store", "workers"]),
    "a fifth of the others cut off": cell => cutOthers(cell, Math.floor(cell.memberIds().length / 5)),
    "a third of the daemons cut from the store": cell => {
        const targets = cell.memberIds().filter((_, index) => index % 3 === 0);
        for (const memberId of targets) {
            cell.cut(memberId, ["store"]);
        }
        return () => targets.forEach(memberId => cell.restoreLinks(memberId));
    },
    "another cut from its peers": cell => {
        const other = cell.memberIds().find(memberId => memberId !== cell.owner()) ?? "";
        cell.cut(other, ["peers"]);
        return () => cell.restoreLinks(other);
    },
    "two others cut off": cell => cutOthers(cell, 2),
    "owner and a third of the others killed": cell => {
        const owner = cell.owner() ?? cell.memberIds()[0] ?? "";
        const targets = [...cell.memberIds().filter((memberId, index) => memberId !== owner && index % 3 === 0), owner];
        for (const memberId of targets) {
            cell.kill(memberId);
        }
        return () => {
            for (const memberId of targets) {
                cell.restart(memberId);
            }
        };
    },
    "all killed": cell => {
        for (const memberId of cell.memberIds()) {
            cell.kill(memberId);
        }
        return () => {
            for (const memberId of cell.memberIds()) {
                cell.restart(memberId);
            }
        };
    },
    "store hangs": cell => setStoreFault(cell, "hang"),
    "store refuses": cell => setStoreFault(cell, "refuse"),
    "store loses answers": cell => setStoreFault(cell, "loseReply"),
    "store answers late": cell => setStoreFault(cell, "late"),
    "store slow": cell => setStoreFault(cell, "slow"),
    "history lost": cell => {
        cell.store.forgetHistory();
        return () => {};
    },
    "feeds go silent": cell => {
        cell.store.silenceFeeds();
        return () => {};
    },
    "worker cut": cell => setWorkerFault(cell, "cut", 1),
    "all workers cut": cell => setWorkerFault(cell, "cut", cell.workers.workerIds().length),
    "all workers cut but the first": cell => {
        const others = cell.workers.workerIds().slice(1);
        for (const workerId of others) {
            cell.workers.setFault(workerId, "cut");
        }
        return () => {
            for (const workerId of others) {
                cell.workers.setFault(workerId, "none");
            }
        };
    },
    "worker carries out late": cell => setWorkerFault(cell, "late", 1),
    "half of the workers carry out late": cell => setWorkerFault(cell, "late", Math.ceil(liveWorkers(cell).length / 2)),
    "orders to a worker get lost": cell => setWorkerFault(cell, "deaf", 1),
    "orders to all workers get lost": cell => setWorkerFault(cell, "deaf", cell.workers.workerIds().length),
    "worker fails everything": cell => setWorkerFault(cell, "failing", 1),
    "half of the workers fail everything": cell =>
        failWorkers(cell, fullestFirst(cell).slice(Math.floor(liveWorkers(cell).length / 2))),
    "all workers but one fail everything": cell => failWorkers(cell, fullestFirst(cell).slice(1)),
    "all workers but one, which has shrunk, fail everything": cell => {
        const shrunkWorkers = fullestFirst(cell).slice(-1);
        const undoFailures = failWorkers(cell, fullestFirst(cell).slice(0, -1));
        cell.resize(shrunkWorkers, 0.2);
        return () => {
            undoFailures();
            // It stays shrunk for as long as the scheduler may let tasks wait for this worker.
            cell.clock.setTimer(shrunkForMs, () => cell.resize(shrunkWorkers, 1));
        };
    },
    "worker crashes": cell => {
        cell.workers.crash(cell.workers.workerIds()[0] ?? "");
        return () => cell.removeWorkerEntry(cell.workers.workerIds()[0] ?? "");
    },
    "a worker crashes and is back": cell => crashWorkers(cell, 0),
    "half of the workers crash and are back": cell => crashWorkers(cell, 0.5),
    "all workers crash and are back": cell => crashWorkers(cell, 1),
    "half of the workers shrink to a quarter": cell => {
        const alive = liveWorkers(cell);
        cell.resize(alive.slice(0, Math.max(1, alive.length / 2)), 0.25);
        return () => cell.resize(liveWorkers(cell), 1);
    },
    "all workers shrink to half": cell => {
        cell.resize(liveWorkers(cell), 0.5);
        return () => cell.resize(liveWorkers(cell), 1);
    },
    "owner on a VM that becomes 5 times slower": cell => {
        const owner = cell.owner() ?? "";
        cell.slowDown(owner, 5);
        return () => cell.slowDown(owner, 1);
    },
    "owner suspended for 3 s": cell => suspend(cell, [cell.owner() ?? ""], 3_000),
    "owner suspended for 9 s": cell => suspend(cell, [cell.owner() ?? ""], 9_000),
    "all suspended for 4 s": cell => suspend(cell, cell.memberIds(), 4_000),
    "two others suspended for 6 s": cell =>
        suspend(cell, cell.memberIds().filter(memberId => memberId !== cell.owner()).slice(0, 2), 6_000),
    "owner's process stopped for 3 s, timers first": cell =>
        stopProcesses(cell, [cell.owner() ?? ""], { forMs: 3_000, first: "timers" }),
    "owner's process stopped for 3 s, answers first": cell =>
        stopProcesses(cell, [cell.owner() ?? ""], { forMs: 3_000, first: "answers" }),
    "owner's process stopped for 9 s, timers first": cell =>
        stopProcesses(cell, [cell.owner() ?? ""], { forMs: 9_000, first: "timers" }),
    "owner's process stopped for 9 s, answers first": cell =>
        stopProcesses(cell, [cell.owner() ?? ""], { forMs: 9_000, first: "answers" }),
    "all processes stopped for 4 s": cell => stopProcesses(cell, cell.memberIds(), { forMs: 4_000, first: "timers" }),
    "two other processes stopped for 6 s": cell =>
        stopProcesses(cell, cell.memberIds().filter(memberId => memberId !== cell.owner()).slice(0, 2), {
            forMs: 6_000,
            first: "answers",
        }),
    "upkeep orders late": cell => {
        cell.vms.setFault("late");
        return () => cell.vms.setFault("none");
    },
    "upkeep orders get lost": cell => {
        cell.vms.setFault("lost");
        return () => cell.vms.setFault("none");
    },
    "upkeep orders very late": cell => {
        cell.vms.setFault("veryLate");
        return () => cell.vms.setFault("none");
    },
    "VMs not listed": cell => {
        cell.vms.setFault("silent");
        return () => cell.vms.setFault("none");
    },
    "caps lowered to a quarter": cell => changeCaps(cell, 0.25),
    "caps raised to double": cell => changeCaps(cell, 2),
    "the owner's data centre cut off as a whole": cell =>
        cutDataCentre(cell, cell.dataCentreOf(cell.owner() ?? cell.memberIds()[0] ?? "")),
    "a data centre without the owner cut off as a whole": cell => {
        const owners = cell.dataCentreOf(cell.owner() ?? "");
        const others = cell.memberIds().map(cell.dataCentreOf).filter(dataCentre => dataCentre !== owners);
        return cutDataCentre(cell, others[0] ?? owners);
    },
    "store away, and the list of workers lapses": cell => cell.loseStoreAndEntries(),
    "store away, and the list of workers lapses but for dead ones": cell =>
        cell.loseStoreAndEntries({ keepsDead: true }),
    "half of the daemons restart one after the other": cell =>
        restartInTurn(cell, cell.memberIds().filter((_, index) => index % 2 === 0)),
    "all daemons restart one after the other": cell => restartInTurn(cell, cell.memberIds()),
    "looks carried out late": carryOutLooksLate,
    "workers not listed": removeWorkerEntries,
    "workers cut until their entries lapsed": cell => {
        const restoreLinks = setWorkerFault(cell, "cut", cell.workers.workerIds().length);
        const writeEntriesAgain = removeWorkerEntries(cell);
        return () => {
            restoreLinks();
            writeEntriesAgain();
        };
    },
};
