/**
 * Stand-ins of executors and of the machines under them, as PROTOCOL.md gives them. An executor is one life of a machine: it has a new ID after a
 * crash or an upkeep, runs nothing then and has seen no fence number. What a task does is told by its submission's `spec` (JSON): `workMs`, or
 * tasks that last and are at work after `startupMs`.
 */
import { listen, readJson, reply, sleep } from "./http.mjs";

const heartbeatMs = 1_500;
const expiresAfterMs = 3 * heartbeatMs;
const stopTakesMs = 10;
const cloudAnswerMs = 4;
const defaultStartupMs = 400;
const listedAtOnce = 500;
const cpuFigure = 100;

let nextId = 1;
const newId = () => `i-${(0x1000_0000 + nextId++ * 7919).toString(16)}`;

/** Starts a machine and its first executor. `onEvent` gets what an observer at the executor's sockets sees. */
const startMachine = async ({ name, host, service, zone, labels, capacity, store, holdMaxMs, onEvent }) => {
    const machine = { name, state: "up", executor: undefined, doneWaves: new Set(), fence: 0, holder: "" };
    let port = 0;

    const begin = async () => {
        const id = newId();
        const bornAt = performance.now();
        const clockMs = () => Math.round(100_000 + performance.now() - bornAt);
        const running = new Map();
        let ended = [];
        let lastEnd = 0;
        const highest = new Map();
        let fence = 0;
        let deadlineMs = 0;
        let waiters = [];
        let alive = true;
        let dark = false;
        let sequence = 0;

        const wakeWaiters = () => {
            for (const wake of waiters.splice(0)) {
                wake();
            }
        };
        const end = (entry, how) => {
            if (running.get(entry.task) !== entry) {
                return;
            }
            running.delete(entry.task);
            clearTimeout(entry.timer);
            highest.set(entry.task, Math.max(highest.get(entry.task) ?? 0, entry.run));
            lastEnd += 1;
            ended.push([lastEnd, entry.task, entry.run, how, ""]);
            onEvent({
                kind: "ended",
                how,
                executor: id,
                machine: name,
                task: entry.task,
                run: entry.run,
                percent: percentOf(entry),
            });
            wakeWaiters();
        };
        const percentOf = ({ startedAt, startupMs, workMs }) => {
            const ranMs = performance.now() - startedAt;
            return workMs === undefined
                ? ranMs >= startupMs ? 100 : 0
                : Math.min(99, Math.floor(100 * ranMs / workMs));
        };
        const extend = wanted => {
            if (wanted !== undefined) {
                deadlineMs = Math.max(deadlineMs, Math.min(wanted, clockMs() + holdMaxMs));
            }
        };
        const leaseTimer = setInterval(() => {
            if (running.size > 0 && clockMs() >= deadlineMs) {
                for (const entry of [...running.values()]) {
                    end(entry, "lapsed");
                }
            }
        }, 10);

        const start = ({ task, run, spec, deadline_ms: wanted }) => {
            const present = running.get(task);
            if (present?.run === run) {
                extend(wanted);
                return [200, {}];
            }
            if (run <= (highest.get(task) ?? 0)) {
                extend(wanted);
                return [409, { reason: "old" }];
            }
            if (wanted <= clockMs()) {
                return [409, { reason: "late" }];
            }
            extend(wanted);
            const { workMs, startupMs = defaultStartupMs, usedCpu = cpuFigure } = JSON.parse(spec);
            const entry = { task, run, workMs, startupMs, usedCpu, startedAt: performance.now(), stopping: false };
            running.set(task, entry);
            if (workMs !== undefined) {
                entry.timer = setTimeout(() => end(entry, "done"), workMs);
            }
            onEvent({ kind: "started", executor: id, machine: name, task, run });
            return [200, {}];
        };
        const stop = ({ task, run }) => {
            highest.set(task, Math.max(highest.get(task) ?? 0, run));
            const entry = running.get(task);
            if (entry?.run === run && !entry.stopping) {
                entry.stopping = true;
                onEvent({ kind: "stopOrdered", executor: id, machine: name, task, run, percent: percentOf(entry) });
                setTimeout(() => end(entry, "stopped"), stopTakesMs);
            }
            return [200, {}];
        };
        const hold = async ({ seen_upto: seen = 0, deadline_ms: wanted, wait_ms: waitMs = 0 }) => {
            ended = ended.filter(([number]) => number > seen);
            extend(wanted);
            if (ended.length === 0 && waitMs > 0) {
                await new Promise(resolve => {
                    const timer = setTimeout(resolve, waitMs);
                    waiters.push(() => {
                        clearTimeout(timer);
                        resolve();
                    });
                });
            }
            const rows = [...running.values()].map(
                entry => [entry.task, entry.run, "", percentOf(entry), entry.usedCpu],
            );
            return [200, { running: rows, ended: ended.slice(0, listedAtOnce) }];
        };
        const orders = { "/-/run-start": start, "/-/run-stop": stop, "/-/hold": hold, "/-/pace": () => [200, {}] };

        const server = await listen(host, async (request, response) => {
            const body = request.method === "POST" ? await readJson(request) : {};
            if (dark || !alive) {
                return;
            }
            const order = orders[request.url];
            if (order === undefined) {
                reply(response, request.url === "/health" ? 200 : 404, {});
                return;
            }
            const expected = request.headers["x-expected-instance"];
            if (expected !== undefined && expected !== id) {
                reply(response, 421, {});
                return;
            }
            const token = body.fencing_token ?? 0;
            if (token < fence) {
                reply(response, 409, { clock_ms: clockMs(), reason: "fence" });
                return;
            }
            fence = token;
            const [status, answer] = await order(body);
            if (!dark && alive) {
                reply(response, status, { clock_ms: clockMs(), ...answer });
            }
        }, port);
        port = server.port;

        const beat = () => {
            sequence += 1;
            store.put("servers", id, {
                backend: service,
                address: server.address,
                zone,
                version: "v1",
                slots: 8,
                state: "ready",
                cold_left_ms: 0,
                capacity,
                labels,
                clock_ms: clockMs(),
                sequence,
            });
        };
        beat();
        const beatTimer = setInterval(beat, heartbeatMs);

        /** Ends all at once, as a crash or the beginning of an upkeep does; nothing is listed any more. */
        const die = how => {
            alive = false;
            clearInterval(leaseTimer);
            clearInterval(beatTimer);
            for (const entry of running.values()) {
                clearTimeout(entry.timer);
                onEvent({
                    kind: "lost",
                    how,
                    executor: id,
                    machine: name,
                    task: entry.task,
                    run: entry.run,
                    percent: percentOf(entry),
                });
            }
            running.clear();
            wakeWaiters();
            setTimeout(() => store.remove("servers", id), expiresAfterMs).unref();
        };
        machine.executor = {
            id,
            address: server.address,
            bornAt,
            running,
            /** The machine resets its connections, and refuses new ones. */
            crash: () => {
                die("crash");
                server.close();
            },
            /** The machine answers nothing any more, and no connection ends. */
            goDark: () => {
                dark = true;
                die("dark");
            },
            close: server.close,
            percentOf,
        };
        onEvent({ kind: "born", executor: id, machine: name });
    };
    await begin();

    return Object.assign(machine, {
        crash: async forMs => {
            machine.state = "down";
            machine.executor.crash();
            if (forMs !== undefined) {
                await sleep(forMs);
                await begin();
                machine.state = "up";
            }
        },
        loseForGood: () => {
            machine.state = "down";
            machine.executor.goDark();
        },
        beginUpkeep: async forMs => {
            machine.state = "upkeep";
            machine.executor.crash();
            await sleep(forMs);
            await begin();
            machine.state = "up";
        },
        close: () => {
            machine.executor.crash();
        },
        describe: () => ({
            machine: name,
            pool: service,
            state: machine.state,
            zone,
            labels,
            capacity,
            id: machine.state === "up" ? machine.executor.id : "",
        }),
    });
};

export { startMachine };

/**
 * Stand-in of the calls about machines. `delayOrder` returns a promise for an order to begin an upkeep that gets no answer and is carried out once
 * the promise resolves; undefined for an order that is carried out at once.
 */
export const startCloud = async ({ host, machines, store, maintenanceMs, onEvent, delayOrder = () => undefined }) => {
    const upkeep = (headers, { machine: name, wave }) => {
        const machine = machines.find(each => each.name === name);
        if (machine === undefined) {
            return [400, {}];
        }
        const token = Number(headers["x-fencing-token"] ?? 0);
        if (token < machine.fence) {
            return [409, { reason: "fence" }];
        }
        machine.fence = token;
        if (!(store.read("op", `wave/${wave}`)?.machines ?? []).includes(name)) {
            return [409, { reason: "wave" }];
        }
        if (machine.doneWaves.has(wave)) {
            onEvent({ kind: "upkeepAgain", machine: name, wave, holder: headers["x-lease-holder"] });
            return [200, {}];
        }
        if (machine.state !== "up") {
            return [409, { reason: "busy" }];
        }
        machine.doneWaves.add(wave);
        onEvent({ kind: "upkeepBegins", machine: name, wave, holder: headers["x-lease-holder"] });
        void machine.beginUpkeep(maintenanceMs);
        return [200, {}];
    };
    const server = await listen(host, async (request, response) => {
        const body = request.method === "POST" ? await readJson(request) : undefined;
        await sleep(cloudAnswerMs);
        if (request.url.startsWith("/-/machines")) {
            reply(response, 200, { machines: machines.map(each => each.describe()), next_token: null });
            return;
        }
        if (request.url !== "/-/machine-upkeep") {
            reply(response, 404, {});
            return;
        }
        const order = { machine: body.machine, holder: String(request.headers["x-lease-holder"]) };
        onEvent({ kind: "upkeepOrdered", ...order, token: Number(request.headers["x-fencing-token"]) });
        const due = delayOrder(order);
        if (due !== undefined) {
            await due;
            onEvent({ kind: "carriedOutLate", ...order });
            upkeep(request.headers, body);
            return;
        }
        const [status, answer] = upkeep(request.headers, body);
        reply(response, status, answer);
    });
    return { address: server.address, close: server.close };
};
