/** A small deployment on loopback addresses: the project's daemons, started by the deploy file, among stand-ins of this folder. */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { startCloud, startMachine } from "./executors.mjs";
import { listen, send, sleep } from "./http.mjs";
import { startStore } from "./store.mjs";

export const root = resolve(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** The bounds of ceub-puffin, as its sheet gives them. */
export const bounds = {
    grace_s: 6,
    hold_max_ms: 10_000,
    stop_ms: 200,
    gang_ms: 3_000,
    cancel_ms: 3_000,
    visible_ms: 3_000,
    finish_s: 14,
    status_s: 120,
    notice_ms: 4_500,
    maintenance_s: 2,
    fencing_required: true,
};
const contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"];
const zones = ["leon-feria", "qro-arena", "gto-plaza"];
export const service = "mesa-comun";
export const hostName = "nony24.example";
export const prefix = "/lohu930/";
const restartMs = 1_000;
const readyTimeoutMs = 30_000;

/** The words of the role's run command. */
const runCommand = () => /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))[1].split(" ");

/** Fills in the template of the settings; it uses values as JSON only. */
const settingsText = fields => {
    const template = readFileSync(join(root, "deploy/settings.template.yaml"), "utf8");
    return template.replaceAll(/\{\{([a-z_.]+)\|json\}\}/g, (_whole, path) => {
        const value = path.split(".").reduce((found, name) => found?.[name], fields);
        return value === undefined ? "" : JSON.stringify(value);
    });
};

const freePort = async host => {
    const probe = await listen(host, () => undefined);
    probe.close();
    return probe.port;
};

/**
 * Starts the deployment. `machines` gives each machine's zone (a number), labels and capacity. `routes` are those of the configuration.
 */
export const startDeployment = async (
    { recordPath, machines: shapes, routes, daemons: daemonCount = 3, delayOrder },
) => {
    writeFileSync(recordPath, "");
    const startedAt = performance.now();
    const nowMs = () => Math.round(performance.now() - startedAt);
    const events = [];
    let isOver = false;
    const record = event => {
        if (isOver) {
            return event;
        }
        const stamped = { atMs: nowMs(), ...event };
        events.push(stamped);
        appendFileSync(recordPath, `${JSON.stringify(stamped)}\n`);
        return stamped;
    };
    const folder = mkdtempSync(join(tmpdir(), "puffinarch-case-"));
    const net = `127.${80 + process.pid % 40}.${Math.floor(process.pid / 40) % 250}`;
    const platformHost = `${net}.200`;
    const store = await startStore({ host: platformHost });
    store.put("op", "config", {
        version: 7,
        routes: routes.map((route, index) => ({
            name: `r-${index}`,
            host: hostName,
            path_prefix: prefix,
            type: "unsafe",
            timeout_ms: 3_000,
            target_runtime_ms: 1_200,
            priority: 0,
            backend: service,
            attempts: 3,
            stretch: 2.2,
            ...route,
        })),
        services: [{
            name: service,
            health_path: "/health",
            max_conns: 64,
            protocol: "h1",
            tls: false,
            admission_control: false,
            standby: false,
        }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    });
    const machines = [];
    for (const [index, { zone = index % zones.length, labels = [], capacity }] of shapes.entries()) {
        const rack = `r1-${Math.floor(index / 8) + 1}`;
        machines.push(
            await startMachine({
                name: `m-${index}`,
                host: `${net}.${100 + index}`,
                service,
                zone: zones[zone],
                labels: [...labels, rack],
                capacity,
                store,
                holdMaxMs: bounds.hold_max_ms,
                onEvent: record,
            }),
        );
    }
    const cloud = await startCloud({
        host: platformHost,
        machines,
        store,
        maintenanceMs: 1_000 * bounds.maintenance_s,
        onEvent: record,
        delayOrder: order => delayOrder?.(order),
    });

    const ports = {
        front: await freePort(`${net}.1`),
        ready: await freePort(`${net}.1`),
        peer: await freePort(`${net}.1`),
    };
    let closing = false;
    const daemons = Array.from({ length: daemonCount }, (_each, index) => {
        const name = `edge-${zones[index % zones.length]}-${index + 1}`;
        const host = `${net}.${index + 1}`;
        const settings = join(folder, `${name}.yaml`);
        writeFileSync(
            settings,
            settingsText({
                node: name,
                zone: zones[index % zones.length],
                ip: host,
                listen: { front: `${host}:${ports.front}`, ready: `${host}:${ports.ready}` },
                port_range: [ports.peer, ports.peer + 1],
                platform: { address: store.address, row_bytes: 65_536 },
                cloud: { address: cloud.address },
                contracts,
                limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4_100, link_mbps: 1_000 },
                bounds,
            }),
        );
        return { name, host, settings, child: undefined };
    });
    const start = daemon => {
        const [program, ...words] = runCommand();
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(program === "node" ? process.execPath : program, words, {
            cwd: root,
            env: { PATH, HOME, ...LANG === undefined ? {} : { LANG }, PUFFINARCH_BOOT: daemon.settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        daemon.child = child;
        const log = text => appendFileSync(join(folder, `${daemon.name}.log`), text);
        child.stdout.on("data", log);
        child.stderr.on("data", log);
        child.once("exit", async (code, signal) => {
            record({ kind: "daemonEnded", daemon: daemon.name, code, signal });
            if (!closing) {
                await sleep(restartMs);
                if (!closing) {
                    record({ kind: "daemonStarted", daemon: daemon.name });
                    start(daemon);
                }
            }
        });
    };
    daemons.forEach(start);

    const areReady = async () => {
        const answers = await Promise.all(
            daemons.map(({ host }) => send("GET", { host, port: ports.ready, path: "/-/readiness", timeoutMs: 500 })),
        );
        return answers.every(({ status }) => status === 200);
    };
    const waitUntilReady = async () => {
        const untilMs = performance.now() + readyTimeoutMs;
        while (!await areReady()) {
            if (performance.now() > untilMs) {
                throw new Error("the daemons are not ready");
            }
            await sleep(100);
        }
    };

    let turn = 0;
    /** One call of a requester at one node; the next call goes to the next node. */
    const call = async (method, path, body) => {
        const { host, name } = daemons[turn++ % daemons.length];
        const answer = await send(method, {
            host,
            port: ports.front,
            path,
            body,
            headers: { host: hostName, "x-request-deadline": "3000" },
        });
        record({ kind: "answered", method, path, node: name, status: answer.status, body: answer.body });
        return answer;
    };
    const submit = async (jobId, submission) => {
        record({ kind: "submitted", jobId, submission });
        for (let tries = 0; tries < 5; tries += 1) {
            const { status } = await call("POST", prefix + jobId, submission);
            if (status === 200) {
                return true;
            }
            await sleep(500);
        }
        return false;
    };

    return {
        store,
        machines,
        daemons,
        events,
        record,
        nowMs,
        folder,
        waitUntilReady,
        call,
        submit,
        stateOf: async jobId => (await call("GET", prefix + jobId)).body?.state,
        logs: daemon => readFileSync(join(folder, `${daemon.name}.log`), "utf8"),
        close: async () => {
            closing = true;
            isOver = true;
            const ends = daemons.map(({ child }) =>
                child.exitCode !== null || child.signalCode !== null
                    ? undefined
                    : new Promise(end => child.once("exit", end))
            );
            daemons.forEach(({ child }) => child.kill("SIGKILL"));
            await Promise.all(ends);
            cloud.close();
            store.close();
            machines.forEach(machine => machine.close());
            if (process.env.KEEP_LOGS === undefined) {
                rmSync(folder, { recursive: true, force: true });
            }
        },
    };
};

let nextJob = 1;
export const newJobId = () => (0xabc0_0000_0000 + process.pid * 0x1_0000 + nextJob++).toString(16).padStart(16, "0");

/** Exit codes of a case. */
export const exitCodes = { held: 0, broken: 1, couldNotRun: 2 };

/** Runs a case and exits with its code. `play` returns the lines that say how the rule was broken. */
export const runCase = async (caseFile, options, play) => {
    const isTroubled = process.env.TROUBLE !== "0";
    const recordPath = join(dirname(fileURLToPath(caseFile)), "record.txt");
    let deployment;
    let code = exitCodes.couldNotRun;
    const limit = setTimeout(() => {
        console.error("the case took too long");
        void deployment?.close().finally(() => process.exit(exitCodes.couldNotRun));
    }, 110_000);
    const finish = async () => {
        await deployment?.close();
        clearTimeout(limit);
        process.exit(code);
    };
    for (const signal of ["SIGTERM", "SIGINT"]) {
        process.once(signal, () => void finish());
    }
    try {
        deployment = await startDeployment({ recordPath, ...options });
        await deployment.waitUntilReady();
        const breaches = await play(deployment, isTroubled);
        for (const breach of breaches) {
            deployment.record({ kind: "breach", breach });
            console.log(`broken: ${breach}`);
        }
        code = breaches.length === 0 ? exitCodes.held : exitCodes.broken;
        console.log(breaches.length === 0 ? "held" : `${breaches.length} breaches`);
    }
    catch (error) {
        console.error(error);
    }
    await finish();
};
