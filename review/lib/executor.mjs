/**
 * Stand-in for one executor machine: it runs tasks as the pages say, with fencing, run numbers, a lease and the list of ends. The text
 * `spec` of a submission is JSON with the work of each task in ms. A crash resets its connections; its next life has a new id.
 */

import { randomBytes } from "node:crypto";
import { serveJson } from "./http.mjs";

const stopTakesMs = 60;
const maxEndsListed = 500;

export const startExecutor = async (
    { host, store, backend, zone, rack, kind, capacity, heartbeatMs, holdMaxMs, trace },
) => {
    let port = 0;
    let life;

    const begin = async () => {
        const id = `i-${randomBytes(4).toString("hex")}`;
        const bornAt = performance.now();
        const clockBase = 100_000 + Math.floor(Math.random() * 1e6);
        const clockMs = () => Math.floor(clockBase + performance.now() - bornAt);
        const running = new Map();
        /** Highest run that was stopped or ended here, by task. */
        const over = new Map();
        let ended = [];
        let nextEnd = 1;
        let fence = 0;
        let leaseUntil = 0;
        let leaseTimer;
        let sequence = 0;
        let alive = true;
        const waiting = new Set();

        const end = (task, how) => {
            const run = running.get(task);
            if (run === undefined || !alive) {
                return;
            }
            clearTimeout(run.timer);
            running.delete(task);
            over.set(task, Math.max(over.get(task) ?? 0, run.run));
            ended.push([nextEnd, task, run.run, how, ""]);
            nextEnd += 1;
            trace({ what: "end", executor: id, task, run: run.run, how });
            for (const wake of [...waiting]) {
                wake();
            }
        };

        const extendLease = deadlineMs => {
            if (deadlineMs === undefined) {
                return;
            }
            leaseUntil = Math.max(leaseUntil, Math.min(deadlineMs, clockMs() + holdMaxMs));
            clearTimeout(leaseTimer);
            leaseTimer = setTimeout(() => {
                for (const task of [...running.keys()]) {
                    end(task, "lapsed");
                }
            }, Math.max(0, leaseUntil - clockMs()));
        };

        const isFenced = token => {
            if ((token ?? 0) < fence) {
                return true;
            }
            fence = token ?? 0;
            return false;
        };
        const rejected = reason => ({ status: 409, body: { clock_ms: clockMs(), reason } });
        const ok = (more = {}) => ({ status: 200, body: { clock_ms: clockMs(), ...more } });

        const start = ({ task, run, spec, deadline_ms: deadlineMs, fencing_token: token }) => {
            if (isFenced(token)) {
                return rejected("fence");
            }
            const here = running.get(task);
            if (here?.run === run) {
                extendLease(deadlineMs);
                return ok();
            }
            if (run <= (over.get(task) ?? 0) || here !== undefined && run < here.run) {
                extendLease(deadlineMs);
                return rejected("old");
            }
            if (deadlineMs <= clockMs()) {
                return rejected("late");
            }
            extendLease(deadlineMs);
            const { workMs } = JSON.parse(spec);
            trace({ what: "start", executor: id, task, run, spec });
            running.set(task, {
                run,
                startedAt: performance.now(),
                workMs,
                timer: setTimeout(() => end(task, "done"), workMs),
            });
            return ok();
        };

        const stop = ({ task, run, fencing_token: token }) => {
            if (isFenced(token)) {
                return rejected("fence");
            }
            if (run <= (over.get(task) ?? 0)) {
                return rejected("old");
            }
            const here = running.get(task);
            if (here === undefined || here.run !== run) {
                over.set(task, run);
                return rejected("old");
            }
            setTimeout(() => end(task, "stopped"), stopTakesMs);
            return ok();
        };

        const hold = async (
            { fencing_token: token, seen_upto: seenUpto = 0, deadline_ms: deadlineMs, wait_ms: waitMs = 0 },
        ) => {
            if (isFenced(token)) {
                return rejected("fence");
            }
            ended = ended.filter(([number]) => number > seenUpto);
            extendLease(deadlineMs);
            if (ended.length === 0 && waitMs > 0) {
                await new Promise(resolve => {
                    const wake = () => {
                        clearTimeout(timer);
                        waiting.delete(wake);
                        resolve();
                    };
                    const timer = setTimeout(wake, Math.min(2_000, waitMs));
                    waiting.add(wake);
                });
            }
            const list = [...running].map(([task, { run }]) => [task, run, "", 100, 900]);
            return ok({ running: list, ended: ended.slice(0, maxEndsListed) });
        };

        const server = await serveJson(host, port, async ({ url, headers, body }) => {
            const expected = headers["x-expected-instance"];
            if (expected !== undefined && expected !== id) {
                return { status: 421, body: { clock_ms: clockMs() } };
            }
            switch (url.pathname) {
                case "/health":
                    return { status: 200, body: {} };
                case "/-/run-start":
                    return start(body);
                case "/-/run-stop":
                    return stop(body);
                case "/-/hold":
                    return hold(body);
                case "/-/pace":
                    return isFenced(body.fencing_token) ? rejected("fence") : ok();
                default:
                    return { status: 404, body: { error: "no such call" } };
            }
        });
        port = server.port;

        const beat = () => {
            sequence += 1;
            store.put("servers", id, {
                backend,
                address: `${host}:${port}`,
                zone,
                version: "v1",
                slots: 8,
                state: "ready",
                cold_left_ms: 0,
                capacity,
                labels: [kind, rack],
                clock_ms: clockMs(),
                sequence,
            });
        };
        beat();
        const beats = setInterval(beat, heartbeatMs);

        return {
            id,
            running,
            crash: leaves => {
                alive = false;
                clearInterval(beats);
                clearTimeout(leaseTimer);
                for (const { timer } of running.values()) {
                    clearTimeout(timer);
                }
                trace({ what: "crash", executor: id, tasks: [...running.keys()] });
                running.clear();
                server.stop();
                if (leaves) {
                    store.remove("servers", id);
                    return;
                }
                // The entry is removed after three intervals of silence.
                setTimeout(() => store.remove("servers", id), 3 * heartbeatMs).unref();
            },
        };
    };

    life = await begin();
    return {
        id: () => life?.id,
        runs: task => life?.running.has(task) === true,
        tasks: () => [...life?.running.keys() ?? []],
        /**
         * Ends the present life at once; the next one begins after `downMs`. An executor that leaves as planned is taken off the list
         * at once.
         */
        crash: (downMs, leaves = false) => {
            const former = life;
            life = undefined;
            former.crash(leaves);
            setTimeout(async () => {
                life = await begin();
                trace({ what: "back", executor: life.id, former: former.id });
            }, downMs).unref();
        },
        stop: () => life?.crash(false),
    };
};
