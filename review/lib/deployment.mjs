/**
 * A small deployment on loopback addresses: the store and the executors as stand-ins in this process, and the project's daemons as
 * processes of their own, started with the command and the settings template of the deploy folder. Figures are those of the small
 * installations of the users' pages.
 */

import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { startCloud } from "./cloud.mjs";
import { startExecutor } from "./executor.mjs";
import { send, sleep } from "./http.mjs";
import { startStore } from "./store.mjs";

const root = fileURLToPath(new URL("../..", import.meta.url));
export const bounds = {
    stable_window_ms: 3_000,
    ack_ms: 4_000,
    drain_ms: 2_000,
    grace_s: 6,
    config_apply_ms: 2_000,
    recovery_s: 12,
    hold_max_ms: 10_000,
    stop_ms: 200,
    gang_ms: 3_000,
    cancel_ms: 3_000,
    visible_ms: 3_000,
    finish_s: 14,
    status_s: 120,
    fencing_required: true,
    lease_ms: 3_000,
};
const zones = ["leon-feria", "qro-arena", "gto-plaza"];
const daemonsByZone = [3, 2, 2];
const rowBytes = 65_536;
const executorCount = 33;
const rackSize = 8;
export const executorCapacity = { cpu: 16_000, mem_mb: 32_768, gpu: 0 };
export const backend = "mesa-comun";
const rackOf = index => `r1-${Math.floor(index / rackSize)}`;
const heartbeatMs = 1_500;
const firstPort = 20_000;

/** Fills in the placeholders `{{a.b|json}}` of the settings template. */
const fillIn = (template, fields) =>
    template.replace(/\{\{([\w.]+)\|json\}\}/g, (_all, path) => {
        const value = path.split(".").reduce((part, name) => part?.[name], fields);
        return JSON.stringify(value ?? null);
    });

const isFree = (host, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/** Chooses a loopback network of its own, 127.A.B.0, so that daemons can listen on the same port at different addresses. */
const chooseNetwork = async () => {
    for (let tries = 0; tries < 50; tries += 1) {
        const network = `127.${16 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
        if (await isFree(`${network}.11`, 9464) && await isFree(`${network}.11`, firstPort)) {
            return network;
        }
    }
    throw new Error("no free loopback addresses");
};

/** Starts the deployment, which writes `record.txt` into `folder`. `routes` are those of the configuration. */
export const startDeployment = async ({ folder, routes }) => {
    const recordPath = join(folder, "record.txt");
    writeFileSync(recordPath, "");
    const startedAt = performance.now();
    const atS = () => ((performance.now() - startedAt) / 1_000).toFixed(3);
    const record = line => appendFileSync(recordPath, `${atS()} ${line}\n`);
    let stopped = false;
    const describe = ({ what, executor, task, run, how, former, machine, wave, holder, tasks }) =>
        [
            what,
            task && `${task} run ${run}`,
            how,
            executor && `at ${executor}`,
            former && `in place of ${former}`,
            machine && `of ${machine} for wave ${wave}, ordered by ${holder}`,
            tasks && `with ${tasks.length} tasks`,
        ].filter(Boolean).join(" ");
    /** Records what the executors and the machines do. */
    const seen = event => {
        if (!stopped) {
            record(describe(event));
        }
    };

    const network = await chooseNetwork();
    const temporary = mkdtempSync(join(tmpdir(), "puffinarch-review-"));
    const store = await startStore({ host: `${network}.1`, rowBytes, txMs: 3, record });
    store.put("op", "config", {
        version: 7,
        routes,
        services: [{ name: backend, health_path: "/health", max_conns: 64, protocol: "h1", admission_control: false }],
        limits: { max_header_bytes: 16_384, max_body_bytes: 262_144 },
    });

    const executors = [];
    for (let index = 0; index < executorCount; index += 1) {
        executors.push(
            await startExecutor({
                host: `${network}.2`,
                store,
                backend,
                zone: zones[index % zones.length],
                rack: rackOf(index),
                kind: "a",
                capacity: executorCapacity,
                heartbeatMs,
                holdMaxMs: bounds.hold_max_ms,
                trace: seen,
            }),
        );
    }

    const cloud = await startCloud({
        host: `${network}.3`,
        executors,
        backend,
        capacity: executorCapacity,
        zones,
        rackOf,
        trace: seen,
    });
    const deployFile = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const [program, ...parameters] = /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
    const template = readFileSync(join(root, /^template = "(.*)"$/m.exec(deployFile)[1]), "utf8");
    const daemons = [];
    // The daemons' own log is not part of the evidence; it is kept where `KEEP_LOG` names a file.
    const logPath = process.env.KEEP_LOG ?? join(temporary, "daemons.log");
    process.on("exit", () => {
        for (const { child } of daemons) {
            child?.kill("SIGKILL");
        }
        rmSync(temporary, { recursive: true, force: true });
    });

    const startProcess = daemon => {
        const log = openSync(logPath, "a");
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(program, parameters, {
            cwd: root,
            env: { PATH, HOME, LANG, PUFFINARCH_BOOT: daemon.settingsPath },
            stdio: ["ignore", log, log],
        });
        daemon.child = child;
        daemon.starts += 1;
        child.once("exit", (code, signal) => {
            if (daemon.child !== child) {
                return;
            }
            daemon.child = undefined;
            if (!daemon.stopping) {
                daemon.ownEnds += 1;
                record(`process of ${daemon.node} ended by itself: code ${code}, signal ${signal}`);
                // The platform restarts a process that has ended, after a short delay.
                setTimeout(() => daemon.stopping || startProcess(daemon), 500).unref();
            }
        });
    };

    /** Kills a daemon's process, which the platform starts again after `downMs`. */
    const killDaemon = (daemon, downMs) => {
        const { child } = daemon;
        daemon.child = undefined;
        child?.kill("SIGKILL");
        setTimeout(() => daemon.stopping || startProcess(daemon), downMs).unref();
    };

    for (const [zoneIndex, zone] of zones.entries()) {
        for (let number = 1; number <= daemonsByZone[zoneIndex]; number += 1) {
            const ip = `${network}.${11 + daemons.length}`;
            const node = `edge-${zone}-${number}`;
            const settingsPath = join(temporary, `${node}.yaml`);
            const fields = {
                node,
                zone,
                ip,
                listen: { front: `${ip}:${firstPort}`, ready: `${ip}:${firstPort + 1}` },
                port_range: [firstPort + 2, firstPort + 17],
                platform: { address: store.address },
                cloud: { address: cloud.address },
                advice: null,
                contracts: [
                    "base",
                    "drain",
                    "config",
                    "cost",
                    "recover",
                    "sched",
                    "platform",
                    "advice",
                    "upkeep",
                    "sharing",
                ],
                limits: { cpu_share: 0.675, cores: 1, link_mbps: 1_000 },
                bounds,
            };
            writeFileSync(settingsPath, fillIn(template, fields));
            const daemon = { node, ip, settingsPath, starts: 0, ownEnds: 0, stopping: false };
            daemons.push(daemon);
            startProcess(daemon);
        }
    }

    const isReady = async ({ ip }) => {
        const { status } = await send("GET", { host: ip, port: firstPort + 1, path: "/-/readiness", timeoutMs: 500 });
        return status === 200;
    };

    /** Daemons that the balancer sends callers to, refreshed once a second; all where none is ready. */
    let inRotation = daemons;
    const refresh = async () => {
        const ready = await Promise.all(daemons.map(isReady));
        const chosen = daemons.filter((_, index) => ready[index]);
        inRotation = chosen.length === 0 ? daemons : chosen;
        return chosen.length;
    };
    const watchReadiness = async () => {
        while (!stopped) {
            await refresh();
            await sleep(1_000);
        }
    };

    const stop = async () => {
        stopped = true;
        for (const daemon of daemons) {
            daemon.stopping = true;
            daemon.child?.kill("SIGKILL");
        }
        for (const executor of executors) {
            executor.stop();
        }
        store.stop();
        cloud.stop();
    };

    const untilReady = async withinMs => {
        const untilMs = performance.now() + withinMs;
        while (performance.now() < untilMs) {
            if (await refresh() === daemons.length) {
                void watchReadiness();
                record(`all ${daemons.length} daemons are ready`);
                return true;
            }
            await sleep(200);
        }
        record("the daemons did not become ready");
        return false;
    };

    return {
        store,
        cloud,
        killDaemon,
        executors,
        daemons,
        record,
        startedAt,
        rotation: () => inRotation,
        untilReady,
        stop,
        front: firstPort,
    };
};
