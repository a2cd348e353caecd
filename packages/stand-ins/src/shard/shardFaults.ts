/** Faults of a cell of daemons with one shard, by name. */

import type { ShardCell } from "./shardCell.js";

/** How long a worker stays shrunk after the others have ceased to fail everything. */
const shrunkForMs = 12_000;

const cutOwner = (cell: ShardCell, what: readonly ("peers" | "store" | "workers")[]): () => void => {
    const owner = cell.owner() ?? "";
    cell.cut(owner, what);
    return () => cell.mend(owner);
};

/** Cuts daemons off from each other too, which is worse for them than to share a data centre. */
const cutOthers = (cell: ShardCell, count: number): () => void => {
    const others = cell.memberIds().filter(memberId => memberId !== cell.owner()).slice(0, count);
    for (const memberId of others) {
        cell.cut(memberId, ["peers", "store", "workers"]);
    }
    return () => {
        for (const memberId of others) {
            cell.mend(memberId);
        }
    };
};

const storeFault = (cell: ShardCell, fault: "hang" | "refuse" | "loseReply" | "late" | "slow"): () => void => {
    cell.store.setFault(fault);
    return () => cell.store.setFault("none");
};

/** Workers whose incarnation goes on; those that crashed are listed no more. */
const liveWorkers = (cell: ShardCell): readonly string[] =>
    cell.workers.workerIds().filter(workerId => cell.workers.entryOf(workerId) !== undefined);

/** Workers that are back by themselves, as other incarnations. */
const crashWorkers = (cell: ShardCell, share: number): () => void => {
    const alive = liveWorkers(cell);
    cell.crashWorkers(alive.slice(0, Math.max(1, share * alive.length)));
    return () => {};
};

/** VMs that run again by themselves. */
const suspend = (cell: ShardCell, memberIds: readonly string[], forMs: number): () => void => {
    for (const memberId of memberIds) {
        cell.suspend(memberId, forMs);
    }
    return () => {};
};

/** Workers that live, those with the most processors taken first. */
const fullestFirst = (cell: ShardCell): readonly string[] =>
    [...liveWorkers(cell)].sort((left, right) =>
        cell.workers.heldOn(right).cpuMillis - cell.workers.heldOn(left).cpuMillis
    );

const failAll = (cell: ShardCell, hit: readonly string[]): () => void => {
    for (const workerId of hit) {
        cell.workers.setFault(workerId, "failing");
    }
    return () => {
        for (const workerId of hit) {
            cell.workers.setFault(workerId, "none");
        }
    };
};

const workerFault = (cell: ShardCell, fault: "cut" | "late" | "failing" | "deaf", count: number): () => void => {
    const hit = liveWorkers(cell).slice(0, count);
    for (const workerId of hit) {
        cell.workers.setFault(workerId, fault);
    }
    return () => {
        for (const workerId of hit) {
            cell.workers.setFault(workerId, "none");
        }
    };
};

/** Every organisation may have this many times its present cap. */
const scaleCaps = (cell: ShardCell, times: number): void => {
    const scaled = cell.organisations().map(({ cap, ...organisation }) => ({
        ...organisation,
        cap: { ...cap, cpuMillis: Math.round(times * cap.cpuMillis) },
    }));
    cell.configure(cell.version() + 1, scaled);
};

/** Faults of this kind may overlap, and each takes back its own share alone. */
const changeCaps = (cell: ShardCell, times: number): () => void => {
    scaleCaps(cell, times);
    return () => scaleCaps(cell, 1 / times);
};

const unlistWorkers = (cell: ShardCell): () => void => {
    for (const workerId of cell.workers.workerIds()) {
        cell.unlist(workerId);
    }
    return () => cell.listWorkers();
};

/** Faults of a cell by name; each gives what mends it. */
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
        const hit = cell.memberIds().filter((_, index) => index % 3 === 0);
        for (const memberId of hit) {
            cell.cut(memberId, ["store"]);
        }
        return () => hit.forEach(memberId => cell.mend(memberId));
    },
    "another cut from its peers": cell => {
        const other = cell.memberIds().find(memberId => memberId !== cell.owner()) ?? "";
        cell.cut(other, ["peers"]);
        return () => cell.mend(other);
    },
    "two others cut off": cell => cutOthers(cell, 2),
    "owner and a third of the others killed": cell => {
        const owner = cell.owner() ?? cell.memberIds()[0] ?? "";
        const hit = [...cell.memberIds().filter((memberId, index) => memberId !== owner && index % 3 === 0), owner];
        for (const memberId of hit) {
            cell.kill(memberId);
        }
        return () => {
            for (const memberId of hit) {
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
    "store hangs": cell => storeFault(cell, "hang"),
    "store refuses": cell => storeFault(cell, "refuse"),
    "store loses answers": cell => storeFault(cell, "loseReply"),
    "store answers late": cell => storeFault(cell, "late"),
    "store slow": cell => storeFault(cell, "slow"),
    "history lost": cell => {
        cell.store.forgetHistory();
        return () => {};
    },
    "feeds go silent": cell => {
        cell.store.silenceFeeds();
        return () => {};
    },
    "worker cut": cell => workerFault(cell, "cut", 1),
    "all workers cut": cell => workerFault(cell, "cut", cell.workers.workerIds().length),
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
    "worker carries out late": cell => workerFault(cell, "late", 1),
    "half of the workers carry out late": cell => workerFault(cell, "late", Math.ceil(liveWorkers(cell).length / 2)),
    "orders to a worker get lost": cell => workerFault(cell, "deaf", 1),
    "orders to all workers get lost": cell => workerFault(cell, "deaf", cell.workers.workerIds().length),
    "worker fails everything": cell => workerFault(cell, "failing", 1),
    "half of the workers fail everything": cell =>
        failAll(cell, fullestFirst(cell).slice(Math.floor(liveWorkers(cell).length / 2))),
    "all workers but one fail everything": cell => failAll(cell, fullestFirst(cell).slice(1)),
    "all workers but one, which has shrunk, fail everything": cell => {
        const sound = fullestFirst(cell).slice(-1);
        const mend = failAll(cell, fullestFirst(cell).slice(0, -1));
        cell.resize(sound, 0.2);
        return () => {
            mend();
            // It stays shrunk for as long as tasks may wait for it.
            cell.clock.setTimer(shrunkForMs, () => cell.resize(sound, 1));
        };
    },
    "worker crashes": cell => {
        cell.workers.crash(cell.workers.workerIds()[0] ?? "");
        return () => cell.unlist(cell.workers.workerIds()[0] ?? "");
    },
    "a worker crashes and is back": cell => crashWorkers(cell, 0),
    "half of the workers crash and are back": cell => crashWorkers(cell, 0.5),
    "half of the workers shrink to a quarter": cell => {
        const alive = liveWorkers(cell);
        cell.resize(alive.slice(0, Math.max(1, alive.length / 2)), 0.25);
        return () => cell.resize(liveWorkers(cell), 1);
    },
    "all workers shrink to half": cell => {
        cell.resize(liveWorkers(cell), 0.5);
        return () => cell.resize(liveWorkers(cell), 1);
    },
    "owner suspended for 3 s": cell => suspend(cell, [cell.owner() ?? ""], 3_000),
    "owner suspended for 9 s": cell => suspend(cell, [cell.owner() ?? ""], 9_000),
    "all suspended for 4 s": cell => suspend(cell, cell.memberIds(), 4_000),
    "two others suspended for 6 s": cell =>
        suspend(cell, cell.memberIds().filter(memberId => memberId !== cell.owner()).slice(0, 2), 6_000),
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
    "workers not listed": unlistWorkers,
    "workers cut until their entries lapsed": cell => {
        const mendCut = workerFault(cell, "cut", cell.workers.workerIds().length);
        const listAgain = unlistWorkers(cell);
        return () => {
            mendCut();
            listAgain();
        };
    },
};
