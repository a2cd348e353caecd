/** The demo: both deployments as separate processes, mixed work, faults, and a verdict from the stand-ins' evidence. */

import { Command, InvalidArgumentError } from "commander";
import { type Clock, createSeededRandom, createSystemClock, sleep } from "puffinarch";
import { request } from "undici";
import type { Fault } from "../faults.js";
import type { PlatformEvidence } from "../platform.js";
import type { UpstreamEvidence } from "../upstream.js";
import type { Execution } from "../worker.js";
import { createBalancer } from "./balancer.js";
import { type Callers, createCallers } from "./callers.js";
import { deployments } from "./deployments.js";
import { breaches, judge, type Verdict } from "./evidence.js";
import { createProcesses, type DemoDaemon } from "./processes.js";
import { type DemoCell as Cell, get, post, startCell } from "./startCell.js";

interface DemoOptions {
    readonly seconds: number;
    readonly jobsPerSecond: number;
    readonly requestsPerSecond: number;
    readonly faults: boolean;
    readonly seed: number;
}

const settleMs = 25_000;
const readyWaitMs = 15_000;

/** What happens to a cell, by the share of the run that has passed. */
const happenings: readonly {
    readonly atShare: number;
    readonly title: string;
    readonly run: (cell: Cell) => Promise<void>;
}[] = [
    {
        atShare: 0.15,
        title: "a daemon is killed, and its VM is gone",
        run: async ({ daemons, platformAddress }) => {
            daemons[0]?.process.kill("SIGKILL");
            await post(`${platformAddress}/control/vms`, { remove: [daemons[0]?.vmId] });
        },
    },
    {
        atShare: 0.25,
        title: "one table write in ten loses its reply",
        run: ({ platformAddress }) =>
            setTableFaults(platformAddress, [{ target: "table", kind: "loseReply", probability: 0.1 }]),
    },
    { atShare: 0.3, title: "a daemon is paused", run: async ({ daemons }) => void daemons[1]?.process.kill("SIGSTOP") },
    {
        atShare: 0.5,
        title: "the paused daemon goes on",
        run: async ({ daemons }) => void daemons[1]?.process.kill("SIGCONT"),
    },
    {
        atShare: 0.55,
        title: "the platform is out",
        run: ({ platformAddress }) =>
            setTableFaults(platformAddress, [{ target: "table", kind: "refuse", probability: 1 }]),
    },
    { atShare: 0.68, title: "the platform is back", run: ({ platformAddress }) => setTableFaults(platformAddress, []) },
    {
        atShare: 0.75,
        title: "an upstream begins to leave",
        run: async ({ upstreams, platformAddress }) => {
            const [leaving] = upstreams;
            if (leaving !== undefined) {
                await post(`${leaving.address}/control/leave`, {});
                await post(`${platformAddress}/control/vms`, { set: [{ ...leaving, leaving: true }] });
            }
        },
    },
    {
        atShare: 0.8,
        title: "a daemon is stopped gracefully",
        run: async ({ daemons }) => void daemons[2]?.process.kill("SIGTERM"),
    },
];

const setTableFaults = async (platformAddress: string, faults: readonly Fault[]): Promise<void> => {
    await post(`${platformAddress}/control/faults`, { target: "table", faults });
    await post(`${platformAddress}/control/faults`, {
        target: "vmList",
        faults: faults.filter(fault => fault.kind === "refuse"),
    });
};

const runHappenings = async (cell: Cell, clock: Clock, seconds: number): Promise<void> => {
    const startedAtMs = clock.monotonicMs();
    for (const { atShare, title, run } of happenings) {
        await sleep(clock, Math.max(0, startedAtMs + atShare * seconds * 1_000 - clock.monotonicMs()));
        process.stdout.write(`  ${(atShare * seconds).toFixed(1)} s ${cell.deployment.name}: ${title}\n`);
        await run(cell);
    }
};

/** Starts pieces of work at an even rate, without waiting for them; resolves once all have ended. */
const generate = async (clock: Clock, perSecond: number, seconds: number, run: () => Promise<void>): Promise<void> => {
    const startedAtMs = clock.monotonicMs();
    const under: Promise<void>[] = [];
    for (let count = 0; count < perSecond * seconds; count += 1) {
        await sleep(clock, Math.max(0, startedAtMs + count * 1_000 / perSecond - clock.monotonicMs()));
        under.push(run());
    }
    await Promise.all(under);
};

const waitUntilReady = async (clock: Clock, daemons: readonly DemoDaemon[]): Promise<void> => {
    const giveUpAtMs = clock.monotonicMs() + readyWaitMs;
    for (const { address, vmId } of daemons) {
        while ((await request(`${address}/readyz`)).statusCode !== 200) {
            if (clock.monotonicMs() > giveUpAtMs) {
                throw new Error(`daemon ${vmId} did not become ready`);
            }
            await sleep(clock, 100);
        }
    }
};

const collectEvidence = async (cell: Cell, callers: Callers): Promise<Verdict> => {
    const workers = await get<{ executions: readonly Execution[]; overcommits: number; }>(
        `${cell.workersAddress}/control/evidence`,
    );
    const upstreams = await Promise.all(
        cell.upstreams.map(vm => get<UpstreamEvidence>(`${vm.address}/control/evidence`)),
    );
    const platform = await get<PlatformEvidence>(`${cell.platformAddress}/control/evidence`);
    return judge({ jobs: callers.jobs, requests: callers.requests, upstreams, platform, ...workers });
};

const runCell = async (cell: Cell, clock: Clock, options: DemoOptions): Promise<Verdict> => {
    await waitUntilReady(clock, cell.daemons);
    const balancer = createBalancer(clock, cell.daemons.map(daemon => daemon.address));
    const callers = createCallers(cell.deployment, balancer, clock, createSeededRandom(options.seed));
    await sleep(clock, 1_000);
    await Promise.all([
        options.faults ? runHappenings(cell, clock, options.seconds) : Promise.resolve(),
        generate(clock, options.jobsPerSecond, options.seconds, callers.submitOne),
        generate(clock, options.requestsPerSecond, options.seconds, callers.sendOne),
    ]);
    await callers.collect(clock.monotonicMs() + settleMs);
    const verdict = await collectEvidence(cell, callers);
    await balancer.stop();
    await callers.close();
    return verdict;
};

const worstOf: ReadonlySet<keyof Verdict> = new Set(["waitP50Ms", "waitP99Ms", "requestP50Ms", "requestP99Ms"]);

const merge = (verdicts: readonly Verdict[]): Verdict => {
    const [first] = verdicts;
    if (first === undefined) {
        throw new Error("no deployment was run");
    }
    const merged: Record<string, number> = {};
    for (const name of Object.keys(first) as (keyof Verdict)[]) {
        const values = verdicts.map(verdict => verdict[name]);
        merged[name] = worstOf.has(name) ? Math.max(...values) : values.reduce((total, value) => total + value, 0);
    }
    merged["tableWritesPerTask"] = (merged["tableWrites"] ?? 0) / Math.max(1, merged["tasksAccepted"] ?? 0);
    return merged as unknown as Verdict;
};

const show = (name: string, verdict: Verdict): void => {
    process.stdout.write(`\n${name}\n`);
    for (const [field, value] of Object.entries(verdict)) {
        process.stdout.write(`  ${field.padEnd(24)} ${Number(value.toFixed(3))}\n`);
    }
};

const run = async (options: DemoOptions): Promise<number> => {
    const clock = createSystemClock();
    const processes = createProcesses("reports/demo");
    try {
        process.stdout.write("starting the stand-ins and the daemons of both deployments\n");
        const cells = await Promise.all(deployments.map(deployment => startCell(processes, deployment)));
        const verdicts = await Promise.all(cells.map(cell => runCell(cell, clock, options)));
        verdicts.forEach((verdict, index) => show(cells[index]?.deployment.name ?? "", verdict));
        const whole = merge(verdicts);
        const broken = verdicts.flatMap((verdict, index) =>
            breaches(verdict).map(each => `${cells[index]?.deployment.name}: ${each}`)
        );
        process.stdout.write(broken.length === 0 ? "\nevery promise held\n" : `\nBROKEN: ${broken.join("; ")}\n`);
        process.stdout.write(`${JSON.stringify(whole)}\n`);
        return broken.length === 0 ? 0 : 1;
    }
    finally {
        processes.endAll();
    }
};

const positive = (text: string): number => {
    const value = Number(text);
    if (!Number.isFinite(value) || value <= 0) {
        throw new InvalidArgumentError("allowed: a number above 0");
    }
    return value;
};

const program = new Command("demo")
    .description("Runs both deployments with faults for less than a minute and checks every promise.")
    .option("--seconds <n>", "how long load is sent", positive, 25)
    .option("--jobs-per-second <n>", "jobs submitted a second in each deployment", positive, 4)
    .option("--requests-per-second <n>", "requests sent a second in each deployment", positive, 60)
    .option("--seed <n>", "seed of the callers' choices", positive, 1)
    .option("--no-faults", "send the load without any fault");

program.parse();
process.exitCode = await run(program.opts<DemoOptions>());
process.exit();
