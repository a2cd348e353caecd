/** Faults of processes and of their network, chosen by a seed. */

import { sleep } from "../../../review/lib/http.mjs";
import { sound } from "./proxy.mjs";

const graceMs = 6_000;
const ownerShare = 0.7;
/** The directed scene: how long a cut goes on before and after a pause, and by when what was sent before a pause has arrived. */
const noticedMs = 500;
const cutAfterMs = 22_000;
const storeAnsweredMs = 250;
const lateMs = 400;
const held = { ...sound, holdUp: true, holdDown: true };

/** Reproducible numbers from 0 to 1 (mulberry32). */
export const createRandom = seed => {
    let state = seed >>> 0;
    return () => {
        state = state + 0x6d2b79f5 | 0;
        let mixed = Math.imul(state ^ state >>> 15, 1 | state);
        mixed = mixed + Math.imul(mixed ^ mixed >>> 7, 61 | mixed) ^ mixed;
        return ((mixed ^ mixed >>> 14) >>> 0) / 2 ** 32;
    };
};

/** Pauses the daemon's process for `forMs`; its clock goes on meanwhile. */
export const pauseDaemon = async ({ daemon, record, forMs }) => {
    const { child } = daemon;
    if (child === undefined) {
        return;
    }
    record(`${daemon.node} is paused for ${forMs} ms`);
    child.kill("SIGSTOP");
    await sleep(forMs);
    record(`${daemon.node} goes on`);
    child.kill("SIGCONT");
};

/** Tells the daemon to stop and pauses it while it does; what has not ended after the time of grace is killed. */
const stopDaemon = async ({ daemon, record, afterMs, forMs }) => {
    const { child } = daemon;
    if (child === undefined) {
        return;
    }
    record(`${daemon.node} is told to stop`);
    child.kill("SIGTERM");
    await sleep(afterMs);
    await pauseDaemon({ daemon, record, forMs });
    await sleep(graceMs);
    if (daemon.child === child) {
        record(`${daemon.node} is killed after its time of grace`);
        child.kill("SIGKILL");
    }
};

/** Applies a fault to some links for a time. Faults that overlap on a link end with the first of them. */
const impair = async ({ links, fault, forMs, record, what }) => {
    record(`${what} for ${forMs} ms: ${JSON.stringify(fault)}`);
    for (const link of links) {
        link.set(fault);
    }
    await sleep(forMs);
    record(`${what}: over`);
    for (const link of links) {
        link.set(sound);
    }
};

/** Causes faults until `isOver`, and resolves once all of them are. */
export const causeFaults = async ({ deployment, network, random, ownerOf, isOver }) => {
    const { daemons, executors, record, killDaemon } = deployment;
    const between = (least, most) => Math.round(least + random() * (most - least));
    const pick = list => list[Math.floor(random() * list.length)];
    const busy = new Set();
    const underWay = [];

    const processFault = async () => {
        const owner = daemons.find(({ node }) => node === ownerOf());
        const daemon = random() < ownerShare && owner !== undefined ? owner : pick(daemons);
        const kind = random();
        const forMs = between(...pick([[200, 2_500], [2_500, 6_000], [6_000, 12_000]]));
        const afterMs = between(0, 1_500);
        if (busy.has(daemon)) {
            return;
        }
        busy.add(daemon);
        if (kind < 0.6) {
            await pauseDaemon({ daemon, record, forMs });
        }
        else if (kind < 0.8) {
            await stopDaemon({ daemon, record, afterMs, forMs });
        }
        else {
            record(`${daemon.node} is killed for ${afterMs} ms`);
            killDaemon(daemon, afterMs);
        }
        busy.delete(daemon);
    };

    /** A cut in both directions or in one, or a reset of all connections, old and new. */
    const cut = () => {
        const dropOnClose = random() < 0.5;
        return pick([
            { ...held, dropOnClose },
            { ...held, dropOnClose },
            { ...sound, holdUp: true, dropOnClose },
            { ...sound, holdDown: true },
            { ...sound, reset: true },
        ]);
    };
    const executorsOf = (chosen, some) => chosen.flatMap(({ toExecutors }) => toExecutors.filter(some));
    const someExecutors = () => {
        if (random() < 0.6) {
            const { zone } = pick(network.links[0].toExecutors);
            return { some: link => link.zone === zone, where: zone };
        }
        const chosen = new Set(network.links[0].toExecutors.map((_link, index) => index).filter(() => random() < 0.3));
        return { some: (_link, index) => chosen.has(index), where: `executors ${[...chosen]}` };
    };
    const networkFault = () => {
        const kind = random();
        const others = network.links.filter(({ daemon }) => daemon.node !== ownerOf());
        const one = random() < 0.75 ? pick(others) : pick(network.links);
        const { some, where } = someExecutors();
        const fault = cut();
        const late = { ...sound, delayMs: between(100, 8_000), dropOnClose: random() < 0.3 };
        const longMs = between(2_000, 15_000);
        const shortMs = between(200, 5_000);
        if (kind < 0.25) {
            const links = executorsOf(others, some);
            return impair({ links, fault, forMs: longMs, record, what: `all but the owner cut from ${where}` });
        }
        if (kind < 0.45) {
            const links = executorsOf([one], some);
            return impair({ links, fault, forMs: longMs, record, what: `${one.daemon.node} cut from ${where}` });
        }
        if (kind < 0.65) {
            const from = random() < 0.5 ? network.links : [one];
            const links = executorsOf(from, some);
            return impair({ links, fault: late, forMs: shortMs, record, what: `${where} late for ${from.length}` });
        }
        if (kind < 0.85) {
            const from = random() < 0.3
                ? network.links
                : [network.links.find(({ daemon }) => daemon.node === ownerOf()) ?? one];
            const links = from.map(({ toStore }) => toStore);
            const names = from.map(({ daemon }) => daemon.node);
            return impair({ links, fault, forMs: shortMs, record, what: `store cut from ${names}` });
        }
        if (kind < 0.95) {
            return impair({
                links: one.toPeers,
                fault,
                forMs: shortMs,
                record,
                what: `${one.daemon.node} cut from peers`,
            });
        }
        const executor = pick(executors);
        if (executor.id() !== undefined) {
            executor.crash(shortMs);
        }
        return undefined;
    };

    const repeat = async (leastMs, mostMs, fault) => {
        while (!isOver()) {
            await sleep(between(leastMs, mostMs));
            underWay.push(fault());
        }
    };
    await Promise.all([repeat(300, 5_000, processFault), repeat(300, 4_000, networkFault)]);
    await Promise.all(underWay);
};

/**
 * The owner pauses while no other daemon reaches the executors of one data centre. Its successor counts the owner's leases there as over
 * before the owner, once it goes on, may have noticed that it was replaced. With `silent`, the answers of these executors and of the store
 * that are under way to the paused owner arrive shortly after it has gone on, so that it goes on without having read them.
 */
export const pauseOwner = async ({ deployment, network, ownerOf, forMs, silent }) => {
    const { daemons, record } = deployment;
    const owner = ownerOf();
    const ownLinks = network.links.find(({ daemon }) => daemon.node === owner);
    const { zone } = ownLinks.toExecutors[0];
    const inZone = ({ toExecutors }) => toExecutors.filter(link => link.zone === zone);
    const links = network.links.filter(link => link !== ownLinks).flatMap(inZone);
    const over = [
        impair({ links, fault: held, forMs: forMs + cutAfterMs, record, what: `all but ${owner} cut from ${zone}` }),
    ];
    await sleep(noticedMs);
    over.push(pauseDaemon({ daemon: daemons.find(({ node }) => node === owner), record, forMs }));
    if (silent) {
        const answersHeld = (of, what) => {
            over.push(impair({ links: of, fault: { ...sound, holdDown: true }, forMs: forMs + lateMs, record, what }));
        };
        answersHeld(inZone(ownLinks), `answers of ${zone} to ${owner}`);
        // What the store answered before the pause has arrived, so that no commit is open when the owner goes on.
        await sleep(storeAnsweredMs);
        answersHeld([ownLinks.toStore], `answers of the store to ${owner}`);
    }
    await Promise.all(over);
};

const betweenStopsMs = [800, 5_000];
const stopShare = 0.7;
const killShare = 0.15;
const crashShare = 0.4;
/** A process that was told to stop or killed as the owner is named as the owner until the next claim, and may have just begun by then. */
const restMs = 4_000;

/** One executor crashes at times. */
const crashOne = ({ deployment: { executors }, random, between }) => {
    const executor = executors[between(0, executors.length - 1)];
    if (random() < crashShare && executor.id() !== undefined) {
        executor.crash(between(500, 4_000));
    }
};

/** Tells the owner to stop, or kills it, again and again, while executors crash, which `crash` does in each round. */
export const handOverAgain = async ({ deployment, network, random, ownerOf, isOver, crash = crashOne }) => {
    const { daemons, record, killDaemon, rotation } = deployment;
    const between = (least, most) => Math.round(least + random() * (most - least));
    const underWay = [];
    let last;
    let lastAtMs = -Infinity;
    while (!isOver()) {
        await sleep(between(...betweenStopsMs));
        underWay.push(crash({ deployment, network, random, between, ownerOf }));
        const owner = daemons.find(({ node }) => node === ownerOf());
        // A process that has just begun ends by the signal itself.
        const isUp = owner?.child !== undefined && rotation().includes(owner)
            && !(owner === last && performance.now() < lastAtMs + restMs);
        const kind = random();
        if (!isUp || kind >= stopShare + killShare) {
            continue;
        }
        last = owner;
        lastAtMs = performance.now();
        if (kind < stopShare) {
            underWay.push(stopDaemon({ daemon: owner, record, afterMs: 0, forMs: 0 }));
        }
        else {
            record(`${owner.node} is killed`);
            killDaemon(owner, between(0, 2_000));
        }
    }
    await Promise.all(underWay);
};

const restartShare = 0.5;
const restartedShares = [0.05, 0.45];
const nearMs = 600;
const downMs = [[30, 330], [30, 4_500]];
const drainingShare = 0.7;
const drainMs = [500, 3_500];
const heldShare = 0.3;
const heldBeforeMs = [20, 300];

/**
 * Ends the lives of several executors at the same moment, half of the times after most of them have drained. At times a daemon's calls to
 * them are held meanwhile, and reach their next lives.
 */
export const restartTogether = async ({ deployment: { executors, record }, network, random, between, ownerOf }) => {
    if (random() >= restartShare) {
        return;
    }
    await sleep(between(0, nearMs));
    const share = restartedShares[0] + random() * (restartedShares[1] - restartedShares[0]);
    const chosen = executors.filter(() => random() < share);
    const areUp = () => chosen.filter(executor => executor.id() !== undefined);
    if (random() < 0.5) {
        const forMs = between(...drainMs);
        const draining = areUp().filter(() => random() < drainingShare);
        record(`${draining.length} executors drain for ${forMs} ms`);
        for (const executor of draining) {
            network.drain(executor, forMs);
        }
        await sleep(forMs);
    }
    const [leastMs, mostMs] = downMs[random() < 0.5 ? 0 : 1];
    let held;
    if (random() < heldShare) {
        const { daemon, toExecutors } = network.links.find(link => link.daemon.node === ownerOf()) ?? network.links[0];
        const links = toExecutors.filter((_link, index) => chosen.includes(executors[index]));
        const forMs = heldBeforeMs[1] + mostMs;
        const fault = { ...sound, holdUp: true, dropOnClose: false };
        held = impair({ links, fault, forMs, record, what: `calls of ${daemon.node} to executors that restart` });
        await sleep(between(...heldBeforeMs));
    }
    const ending = areUp();
    record(`${ending.length} executors restart`);
    for (const executor of ending) {
        executor.crash(between(leastMs, mostMs));
    }
    await held;
};
