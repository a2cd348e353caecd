/** One daemon of the users' platform as a process of its own, with the command of the deploy file, beside stand-ins in this process. */

import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import { callerHost, pathPrefix } from "./crowd.js";

type Fields = Readonly<Record<string, unknown>>;
/** What is used of `review/lib`; a call has status 0 where no whole answer came. */
interface Scaffolding {
    startStore(options: Fields): Promise<{ address: string; put(...row: unknown[]): void; stop(): void; }>;
    startExecutor(options: Fields): Promise<{ stop(): void; }>;
    send(method: string, options: Fields): Promise<{ status: number; reason?: string; body?: Fields; }>;
}

/** What is used of `scripts/build/deployFile.mjs`. */
interface DeployFileModule {
    readDeployFile(root: string): { readonly run: readonly string[]; };
}

/** A running daemon, and what is known of its process. */
export type CrowdedDaemon = Awaited<ReturnType<typeof startCrowdedDaemon>>;

export const callersPort = 20_000;
export const graceS = 3;
const root = fileURLToPath(new URL("../..", import.meta.url));
const bundle = "target/puffinarchd.cjs";
/** Callers give up after this time, and send the request again. */
const timeoutMs = 3_000;
const polls = 200;
const pollMs = 250;
const rowBytes = 65_536;
const leaseLimitMs = 10_000;
const [backend, zone] = ["mesa-comun", "leon-feria"];
const worker = { backend, zone, rack: "r1-0", kind: "a", heartbeatMs: 1_500, holdMaxMs: leaseLimitMs };
const capacity = { cpu: 16_000, mem_mb: 32_768, gpu: 0 };
const route = { name: "r-3hwrr6x", host: callerHost, path_prefix: pathPrefix, type: "unsafe", timeout_ms: timeoutMs };
const configuration = {
    version: 7,
    routes: [{ ...route, target_runtime_ms: 250, priority: 0, backend, attempts: 2, stretch: 2.2 }],
    services: [{ name: backend, health_path: "/health", max_conns: 64, protocol: "h1", admission_control: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144 },
};

/** Waits until something is so, for at most 50 s. */
export const until = async (isDone: () => boolean | Promise<boolean>): Promise<void> => {
    for (let poll = 0; poll < polls && !await isDone(); poll += 1) {
        await setTimeout(pollMs);
    }
};

/** Returns the most resident memory so far and the open descriptors of a process, 0 where there is no /proc. */
const usageOf = (pid: number): { readonly residentBytes: number; readonly descriptors: number; } => {
    if (!existsSync(`/proc/${pid}/status`)) {
        return { residentBytes: 0, descriptors: 0 };
    }
    const sizes = readFileSync(`/proc/${pid}/status`, "utf8").matchAll(/^Vm(?:HWM|RSS):\s+(\d+) kB$/gm);
    const residentBytes = Math.max(...[...sizes].map(([, kib]) => Number(kib) * 1_024));
    return { residentBytes, descriptors: readdirSync(`/proc/${pid}/fd`).length };
};

/**
 * Starts a store, a worker and a daemon on loopback addresses of their own, and waits until the daemon is ready.
 *
 * @example
 * const daemon = await startCrowdedDaemon(250, 4_100);
 */
export const startCrowdedDaemon = async (memoryMb: number, maxFds: number) => {
    assert.ok(existsSync(join(root, bundle)), `${bundle} is missing: run "npm run build:platform" first`);
    const load = (path: string) => import(new URL(`${path}.mjs`, `file://${root}`).href) as Promise<object>;
    const modules = await Promise.all(["store", "executor", "http"].map(name => load(`review/lib/${name}`)));
    const { startStore, startExecutor, send } = Object.assign({}, ...modules) as Scaffolding;
    const network = `127.${16 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const host = `${network}.11`;
    const store = await startStore({ host: `${network}.1`, rowBytes, txMs: 3, record: () => {} });
    store.put("op", "config", configuration);
    /** Starts and ends of tasks on the worker. */
    const events: Readonly<Record<"what" | "task" | "how", string>>[] = [];
    const trace = (event: (typeof events)[number]) => events.push(event);
    const executor = await startExecutor({ ...worker, host: `${network}.2`, store, capacity, trace });
    const settings = {
        vmId: "entry-1",
        dataCentre: zone,
        host,
        callersAddress: `${host}:${callersPort}`,
        readinessAddress: `${host}:${callersPort + 1}`,
        peerPorts: [20_002, 20_017],
        storeAddress: store.address,
        storeLimits: { rowBytes },
        metricsPort: 9_464,
        limits: { cpuShare: 0.675, cores: 1, linkMbps: 1_000, memoryMb, maxFds },
        bounds: { graceS, leaseLimitMs, stopMs: 200, gangWaitMs: 3_000, statusS: 120, tokensChecked: true },
    };
    const folder = mkdtempSync(join(tmpdir(), "puffinarch-crowd-"));
    const [settingsPath, logPath] = [join(folder, "settings.yaml"), join(folder, "daemon.log")];
    writeFileSync(settingsPath, stringify(settings));
    const command = (await load("scripts/build/deployFile") as DeployFileModule).readDeployFile(root).run.join(" ");
    const child = spawn("sh", ["-c", `ulimit -n ${maxFds}; exec ${command} >${logPath} 2>&1`], {
        cwd: root,
        env: { PATH: process.env["PATH"], HOME: process.env["HOME"], PUFFINARCH_BOOT: settingsPath },
        stdio: "ignore",
    });
    let ended: string | undefined;
    const exit = once(child, "exit").then(([code, signal]) => {
        ended = `code ${code}, signal ${signal}${/\nFATAL ERROR.*|$/.exec(readFileSync(logPath, "utf8"))?.[0]}`;
    });
    const call = (address: string, path: string, method = "GET", body?: Fields) => {
        const [to, port] = address.split(":");
        const headers = { host: callerHost, "x-request-deadline": String(timeoutMs) };
        return send(method, { host: to, port, path, headers, body, timeoutMs });
    };
    const daemon = {
        host,
        process: child,
        limits: { memoryMb, maxFds },
        events,
        /** Tells how the process ended; undefined while it lives. */
        ended: () => ended,
        call: (method: string, jobId: string, body?: Fields) =>
            call(`${host}:${callersPort}`, pathPrefix + jobId, method, body),
        /** Returns the owner's row in the store, which each claim of the shard replaces. */
        readOwner: async () =>
            (await call(store.address, "/-/rows-get?table=puffinarch-owner&part=shard-0")).body?.["rows"],
        usage: () => usageOf(child.pid ?? 0),
        stop: async () => {
            child.kill("SIGKILL");
            await exit;
            executor.stop();
            store.stop();
            rmSync(folder, { recursive: true, force: true });
        },
    };
    const isReady = async () => (await call(`${host}:${callersPort + 1}`, "/-/readiness")).status === 200;
    await until(async () => ended !== undefined || await isReady());
    if (ended !== undefined || !await isReady()) {
        const log = readFileSync(logPath, "utf8").slice(-1_000);
        await daemon.stop();
        assert.fail(`the daemon did not become ready, process: ${ended}: ${log}`);
    }
    return daemon;
};
