/** One daemon of the users' platform as a process of its own, with the command of the deploy file, beside stand-ins in this process. */

import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import {
    closeSync,
    existsSync,
    mkdtempSync,
    openSync,
    readdirSync,
    readFileSync,
    rmSync,
    writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import { callerHost, pathPrefix } from "./crowd.js";

/** What the scaffolding of `review/lib` provides, as far as it is used here. */
interface Store {
    readonly address: string;
    put(table: string, key: string, value: unknown): void;
    stop(): void;
}
export interface TaskEvent {
    readonly what: string;
    readonly task: string;
    readonly how?: string;
}
interface Answer {
    /** 0 where no whole answer came. */
    readonly status: number;
    readonly reason?: string;
    readonly body?: Readonly<Record<string, unknown>>;
}
interface Scaffolding {
    startStore(options: object): Promise<Store>;
    startExecutor(options: object): Promise<{ stop(): void; }>;
    send(method: string, options: object): Promise<Answer>;
}

export interface CrowdedDaemon {
    readonly host: string;
    readonly callersPort: number;
    readonly process: ChildProcess;
    /** Tells how the process ended, undefined while it lives. */
    ended(): string | undefined;
    /** Starts and ends of tasks on the worker. */
    readonly tasks: readonly TaskEvent[];
    call(method: string, jobId: string, body?: object): Promise<Answer>;
    /** Version of the owner's row in the store, which each claim of the shard replaces. */
    ownerVersion(): Promise<number>;
    /** Most memory and descriptors of the process so far; undefined where there is no /proc. */
    peaks(): { readonly residentBytes: number; readonly descriptors: number; } | undefined;
    stop(): Promise<void>;
}

const root = fileURLToPath(new URL("../..", import.meta.url));
const callersPort = 20_000;
const readinessPort = 20_001;
const bundle = "target/puffinarchd.cjs";
const service = "mesa-comun";
/** Callers give up after this time and send the request again. */
const callTimeoutMs = 3_000;
const startPolls = 150;
const startPollMs = 200;
const sampleMs = 200;
export const graceS = 3;

const scaffolding = async (): Promise<Scaffolding> => {
    const names = ["store", "executor", "http"];
    const modules = await Promise.all(
        names.map(async name => await import(new URL(`review/lib/${name}.mjs`, `file://${root}`).href) as object),
    );
    return Object.assign({}, ...modules) as Scaffolding;
};

const configuration = {
    version: 7,
    routes: [{
        name: "r-3hwrr6x",
        host: callerHost,
        path_prefix: pathPrefix,
        type: "unsafe",
        timeout_ms: callTimeoutMs,
        target_runtime_ms: 250,
        priority: 0,
        backend: service,
        attempts: 2,
        stretch: 2.2,
    }],
    services: [{ name: service, health_path: "/health", max_conns: 64, protocol: "h1", admission_control: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144 },
};

/** Limits of the process, which it reads from its settings. */
export interface ProcessLimits {
    readonly memoryMb: number;
    readonly maxFds: number;
}

const settingsOf = (host: string, storeAddress: string, limits: ProcessLimits): object => ({
    vmId: "entry-1",
    dataCentre: "leon-feria",
    host,
    callersAddress: `${host}:${callersPort}`,
    readinessAddress: `${host}:${readinessPort}`,
    peerPorts: [20_002, 20_017],
    storeAddress,
    storeLimits: { rowBytes: 65_536 },
    metricsPort: 9_464,
    contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform"],
    limits: { cpuShare: 0.675, cores: 1, linkMbps: 1_000, ...limits },
    bounds: { graceS, leaseLimitMs: 10_000, stopMs: 200, gangWaitMs: 3_000, statusS: 120, tokensChecked: true },
});

const spawnDaemon = (folder: string, settings: object, { maxFds }: ProcessLimits): ChildProcess => {
    const settingsPath = join(folder, "settings.yaml");
    writeFileSync(settingsPath, stringify(settings));
    const command = /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))?.[1] ?? "";
    const log = openSync(join(folder, "daemon.log"), "a");
    const { PATH, HOME, LANG } = process.env;
    const child = spawn("sh", ["-c", `ulimit -n ${maxFds}; exec ${command}`], {
        cwd: root,
        env: { PATH, HOME, LANG, PUFFINARCH_BOOT: settingsPath },
        stdio: ["ignore", log, log],
    });
    closeSync(log);
    return child;
};

const measure = (pid: number): { readonly residentBytes: number; readonly descriptors: number; } => {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kibOf = (name: string): number => Number(new RegExp(`^${name}:\\s+(\\d+) kB$`, "m").exec(status)?.[1] ?? 0);
    return {
        residentBytes: Math.max(kibOf("VmHWM"), kibOf("VmRSS")) * 1_024,
        descriptors: readdirSync(`/proc/${pid}/fd`).length,
    };
};

/** Samples a process until it ends; the last sample before its end is kept. */
const watchProcess = (child: ChildProcess): CrowdedDaemon["peaks"] => {
    const pid = child.pid ?? 0;
    let peaks: ReturnType<CrowdedDaemon["peaks"]>;
    const sample = (): void => {
        try {
            const now = measure(pid);
            peaks = {
                residentBytes: Math.max(now.residentBytes, peaks?.residentBytes ?? 0),
                descriptors: Math.max(now.descriptors, peaks?.descriptors ?? 0),
            };
        }
        catch {
            // The process has ended, or there is no /proc.
        }
    };
    const timer = setInterval(sample, sampleMs);
    child.once("exit", () => clearInterval(timer));
    return () => {
        sample();
        return peaks;
    };
};

/**
 * Starts a store, a worker and a daemon on loopback addresses of their own, and waits until the daemon is ready.
 *
 * @example
 * const daemon = await startCrowdedDaemon({ memoryMb: 250, maxFds: 4_100 });
 */
export const startCrowdedDaemon = async (limits: ProcessLimits): Promise<CrowdedDaemon> => {
    assert.ok(existsSync(join(root, bundle)), `${bundle} is missing: run "npm run build:platform" first`);
    const { startStore, startExecutor, send } = await scaffolding();
    const network = `127.${16 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const host = `${network}.11`;
    const store = await startStore({ host: `${network}.1`, rowBytes: 65_536, txMs: 3, record: () => {} });
    store.put("op", "config", configuration);
    const tasks: TaskEvent[] = [];
    const worker = await startExecutor({
        host: `${network}.2`,
        store,
        backend: service,
        zone: "leon-feria",
        rack: "r1-0",
        kind: "a",
        capacity: { cpu: 16_000, mem_mb: 32_768, gpu: 0 },
        heartbeatMs: 1_500,
        holdMaxMs: 10_000,
        trace: (event: TaskEvent) => tasks.push(event),
    });
    const folder = mkdtempSync(join(tmpdir(), "puffinarch-crowd-"));
    const child = spawnDaemon(folder, settingsOf(host, store.address, limits), limits);
    let ended: string | undefined;
    child.once("exit", (code, signal) => {
        ended = `code ${code}, signal ${signal}`;
    });
    const daemon: CrowdedDaemon = {
        host,
        callersPort,
        process: child,
        ended: () => ended,
        tasks,
        call: (method, jobId, body) =>
            send(method, {
                host,
                port: callersPort,
                path: pathPrefix + jobId,
                headers: { host: callerHost, "x-request-deadline": String(callTimeoutMs) },
                body,
                timeoutMs: callTimeoutMs,
            }),
        ownerVersion: async () => {
            const [storeHost, port] = store.address.split(":");
            const path = "/-/rows-get?table=puffinarch-owner&part=shard-0";
            const { body } = await send("GET", { host: storeHost, port, path, timeoutMs: callTimeoutMs });
            const [row] = body?.["rows"] as { readonly schema_ver: number; }[];
            return row?.schema_ver ?? 0;
        },
        peaks: watchProcess(child),
        stop: async () => {
            if (ended === undefined) {
                const exit = once(child, "exit");
                child.kill("SIGKILL");
                await exit;
            }
            worker.stop();
            store.stop();
            rmSync(folder, { recursive: true, force: true });
        },
    };
    const path = "/-/readiness";
    for (let polls = 0; polls < startPolls && ended === undefined; polls += 1) {
        if ((await send("GET", { host, port: readinessPort, path, timeoutMs: callTimeoutMs })).status === 200) {
            return daemon;
        }
        await setTimeout(startPollMs);
    }
    const log = readFileSync(join(folder, "daemon.log"), "utf8").slice(-1_000);
    await daemon.stop();
    return assert.fail(`the daemon did not become ready (${ended ?? "it lives"}): ${log}`);
};
