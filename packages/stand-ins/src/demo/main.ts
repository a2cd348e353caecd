/**
 * `npm run demo`: runs both deployments as separate processes under mixed load and injected faults, and checks the
 * scheduler's guarantees against the records of the stand-ins.
 */

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
import { computeFigures, type DemoFigures, listViolations } from "./figures.js";
import { createProcesses, type DemoDaemon } from "./processes.js";
import { type DemoCell as Cell, getJson, postJson, startCell } from "./startCell.js";

interface DemoOptions {
    readonly seconds: number;
    readonly jobsPerSecond: number;
    readonly requestsPerSecond: number;
    readonly faults: boolean;
    readonly seed: number;
}

const collectTimeoutMs = 25_000;
const readyTimeoutMs = 15_000;

/** Faults and their repairs, each at a fraction of the run's duration. */
const faultSchedule: readonly {
    readonly atFraction: number;
    readonly title: string;
    readonly run: (cell: Cell) => Promise<void>;
}[] = [
    {
        atFraction: 0.15,
        title: "a daemon is killed and its VM is removed",
        run: async ({ daemons, platformAddress }) => {
            daemons[0]?.process.kill("SIGKILL");
            await postJson(`${platformAddress}/control/vms`, { remove: [daemons[0]?.vmId] });
        },
    },
    {
        atFraction: 0.25,
        title: "one table call in ten loses its reply",
        run: ({ platformAddress }) =>
            setTableFaults(platformAddress, [{ target: "table", kind: "loseReply", probability: 0.1 }]),
    },
    {
        atFraction: 0.3,
        title: "a daemon is paused",
        run: async ({ daemons }) => void daemons[1]?.process.kill("SIGSTOP"),
    },
    {
        atFraction: 0.5,
        title: "the paused daemon resumes",
        run: async ({ daemons }) => void daemons[1]?.process.kill("SIGCONT"),
    },
    {
        atFraction: 0.55,
        title: "the platform's table and VM list refuse all calls",
        run: ({ platformAddress }) =>
            setTableFaults(platformAddress, [{ target: "table", kind: "refuse", probability: 1 }]),
    },
    {
        atFraction: 0.68,
        title: "the platform's table and VM list work again",
        run: ({ platformAddress }) => setTableFaults(platformAddress, []),
    },
    {
        atFraction: 0.75,
        title: "an upstream begins to leave",
        run: async ({ upstreams, platformAddress }) => {
            const [leaving] = upstreams;
            if (leaving !== undefined) {
                await postJson(`${leaving.address}/control/leave`, {});
                await postJson(`${platformAddress}/control/vms`, { set: [{ ...leaving, leaving: true }] });
            }
        },
    },
    {
        atFraction: 0.8,
        title: "a daemon is stopped gracefully",
        run: async ({ daemons }) => void daemons[2]?.process.kill("SIGTERM"),
    },
];

/** Sets the faults of the table; those of kind `refuse` also apply to the VM list. */
const setTableFaults = async (platformAddress: string, faults: readonly Fault[]): Promise<void> => {
    await postJson(`${platformAddress}/control/faults`, { target: "table", faults });
    await postJson(`${platformAddress}/control/faults`, {
        target: "vmList",
        faults: faults.filter(fault => fault.kind === "refuse"),
    });
};

const runFaultSchedule = async (cell: Cell, clock: Clock, seconds: number): Promise<void> => {
    const startedAtMs = clock.monotonicMs();
    for (const { atFraction, title, run } of faultSchedule) {
        await sleep(clock, Math.max(0, startedAtMs + atFraction * seconds * 1_000 - clock.monotonicMs()));
        process.stdout.write(`  ${(atFraction * seconds).toFixed(1)} s ${cell.deployment.name}: ${title}\n`);
        await run(cell);
    }
};

/** Open-loop load: starts calls at a constant rate without waiting for their ends; resolves once all have ended. */
const generateLoad = async (
    clock: Clock,
    perSecond: number,
    seconds: number,
    run: () => Promise<void>,
): Promise<void> => {
    const startedAtMs = clock.monotonicMs();
    const pending: Promise<void>[] = [];
    for (let count = 0; count < perSecond * seconds; count += 1) {
        await sleep(clock, Math.max(0, startedAtMs + count * 1_000 / perSecond - clock.monotonicMs()));
        pending.push(run());
    }
    await Promise.all(pending);
};

const waitUntilReady = async (clock: Clock, daemons: readonly DemoDaemon[]): Promise<void> => {
    const deadlineMs = clock.monotonicMs() + readyTimeoutMs;
    for (const { address, vmId } of daemons) {
        while ((await request(`${address}/readyz`)).statusCode !== 200) {
            if (clock.monotonicMs() > deadlineMs) {
                throw new Error(`daemon ${vmId} did not become ready`);
            }
            await sleep(clock, 100);
        }
    }
};

const collectEvidence = async (cell: Cell, callers: Callers): Promise<DemoFigures> => {
    const workers = await getJson<{ executions: readonly Execution[]; overcommits: number; }>(
        `${cell.workersAddress}/control/evidence`,
    );
    const upstreams = await Promise.all(
        cell.upstreams.map(vm => getJson<UpstreamEvidence>(`${vm.address}/control/evidence`)),
    );
    const platform = await getJson<PlatformEvidence>(`${cell.platformAddress}/control/evidence`);
    return computeFigures({ jobs: callers.jobs, requests: callers.requests, upstreams, platform, ...workers });
};

const runCell = async (cell: Cell, clock: Clock, options: DemoOptions): Promise<DemoFigures> => {
    await waitUntilReady(clock, cell.daemons);
    const balancer = createBalancer(clock, cell.daemons.map(daemon => daemon.address));
    const callers = createCallers(cell.deployment, balancer, clock, createSeededRandom(options.seed));
    await sleep(clock, 1_000);
    await Promise.all([
        options.faults ? runFaultSchedule(cell, clock, options.seconds) : Promise.resolve(),
        generateLoad(clock, options.jobsPerSecond, options.seconds, callers.submitJob),
        generateLoad(clock, options.requestsPerSecond, options.seconds, callers.sendRequest),
    ]);
    await callers.collectFinalStates(clock.monotonicMs() + collectTimeoutMs);
    const figures = await collectEvidence(cell, callers);
    await balancer.stop();
    await callers.close();
    return figures;
};

/** Figures merged as the maximum over the deployments. The others are summed, except the recomputed `tableWritesPerTask`. */
const worstCaseFigures: ReadonlySet<keyof DemoFigures> = new Set([
    "waitP50Ms",
    "waitP99Ms",
    "requestP50Ms",
    "requestP99Ms",
]);

const mergeFigures = (figuresByCell: readonly DemoFigures[]): DemoFigures => {
    const [first] = figuresByCell;
    if (first === undefined) {
        throw new Error("no deployment ran");
    }
    const merged: Record<string, number> = {};
    for (const name of Object.keys(first) as (keyof DemoFigures)[]) {
        const values = figuresByCell.map(figures => figures[name]);
        merged[name] = worstCaseFigures.has(name)
            ? Math.max(...values)
            : values.reduce((total, value) => total + value, 0);
    }
    merged["tableWritesPerTask"] = (merged["tableWrites"] ?? 0) / Math.max(1, merged["tasksAccepted"] ?? 0);
    return merged as unknown as DemoFigures;
};

const printFigures = (name: string, figures: DemoFigures): void => {
    process.stdout.write(`\n${name}\n`);
    for (const [field, value] of Object.entries(figures)) {
        process.stdout.write(`  ${field.padEnd(24)} ${Number(value.toFixed(3))}\n`);
    }
};

const run = async (options: DemoOptions): Promise<number> => {
    const clock = createSystemClock();
    const processes = createProcesses("reports/demo");
    try {
        process.stdout.write("starting the stand-ins and the daemons of both deployments\n");
        const cells = await Promise.all(deployments.map(deployment => startCell(processes, deployment)));
        const figuresByCell = await Promise.all(cells.map(cell => runCell(cell, clock, options)));
        figuresByCell.forEach((figures, index) => printFigures(cells[index]?.deployment.name ?? "", figures));
        const merged = mergeFigures(figuresByCell);
        const violations = figuresByCell.flatMap((figures, index) =>
            listViolations(figures).map(each => `${cells[index]?.deployment.name}: ${each}`)
        );
        process.stdout.write(
            violations.length === 0 ? "\nall guarantees held\n" : `\nVIOLATED: ${violations.join("; ")}\n`,
        );
        process.stdout.write(`${JSON.stringify(merged)}\n`);
        return violations.length === 0 ? 0 : 1;
    }
    finally {
        processes.killAll();
    }
};

const parsePositiveNumber = (text: string): number => {
    const value = Number(text);
    if (!Number.isFinite(value) || value <= 0) {
        throw new InvalidArgumentError("must be a number greater than 0");
    }
    return value;
};

const program = new Command("demo")
    .description("Runs both deployments with faults for less than a minute and checks every guarantee.")
    .option("--seconds <n>", "how long load is sent, in seconds", parsePositiveNumber, 25)
    .option("--jobs-per-second <n>", "jobs submitted per second in each deployment", parsePositiveNumber, 4)
    .option("--requests-per-second <n>", "requests sent per second in each deployment", parsePositiveNumber, 60)
    .option("--seed <n>", "seed of the callers' choices", parsePositiveNumber, 1)
    .option("--no-faults", "send the load without faults");

program.parse();
process.exitCode = await run(program.opts<DemoOptions>());
process.exit();
