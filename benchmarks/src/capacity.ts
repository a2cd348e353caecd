/**
 * What one daemon spends on each thing that it looks after: least squares over five sizes, with real daemons and
 * stand-ins as separate processes. Sizes are measured one after another, quantities side by side.
 */

import {
    createProcesses,
    type DemoDaemon,
    deployments,
    post,
    type Processes,
    upstreamVms,
    workerVms,
} from "@puffinarch/stand-ins";
import { createSystemClock, initialDocument, sleep, type Vm } from "puffinarch";
import { request } from "undici";
import { type Benchmark, round, type Row } from "./benchmark.js";

/** How much of each quantity one run has. */
interface Shape {
    readonly workers: number;
    readonly upstreams: number;
    readonly nearDaemons: number;
    readonly farDataCentres: number;
    readonly runningTasks: number;
    readonly startsPerSecond: number;
    readonly jobsPerSecond: number;
    readonly requestsPerSecond: number;
    readonly changesPerSecond: number;
    readonly teams: number;
    /** 1 starts the daemons with `smallHeapFlags`. */
    readonly smallHeap: number;
}

/** Flags that lower what a daemon keeps resident. */
export const smallHeapFlags = ["--max-semi-space-size=1", "--max-old-space-size=64"] as const;

const baseShape: Shape = {
    workers: 4,
    upstreams: 0,
    nearDaemons: 1,
    farDataCentres: 0,
    runningTasks: 0,
    startsPerSecond: 0,
    jobsPerSecond: 0,
    requestsPerSecond: 0,
    changesPerSecond: 0,
    teams: 0,
    smallHeap: 0,
};

interface Quantity {
    readonly name: string;
    readonly field: keyof Shape;
    readonly sizes: readonly number[];
    readonly base?: Partial<Shape>;
}

const quantities: readonly Quantity[] = [
    { name: "worker", field: "workers", sizes: [1, 40, 80, 120, 160] },
    { name: "upstream", field: "upstreams", sizes: [0, 5, 10, 15, 20] },
    { name: "peer in the data centre", field: "nearDaemons", sizes: [1, 2, 3, 4, 5] },
    { name: "daemon of another data centre", field: "farDataCentres", sizes: [0, 2, 4, 6, 8] },
    { name: "running task", field: "runningTasks", sizes: [0, 400, 800, 1_200, 1_600], base: { workers: 40 } },
    { name: "task start a second", field: "startsPerSecond", sizes: [0, 8, 16, 24, 32], base: { workers: 20 } },
    { name: "job a second", field: "jobsPerSecond", sizes: [0, 4, 8, 12, 16], base: { workers: 20 } },
    { name: "request a second", field: "requestsPerSecond", sizes: [0, 25, 50, 75, 100], base: { upstreams: 4 } },
    { name: "configuration change a second", field: "changesPerSecond", sizes: [0, 1, 2, 3, 4] },
    { name: "team with a quota", field: "teams", sizes: [0, 160, 320, 480, 640] },
    { name: "nothing, with a small heap", field: "workers", sizes: [0, 1, 2, 3, 4], base: { smallHeap: 1 } },
];

/** Figures of one daemon over the measured time; rates are a second. */
interface Reading {
    readonly cpuMsPerSecond: number;
    readonly heapKib: number;
    readonly residentKib: number;
    readonly messagesPerSecond: number;
    readonly bytesPerSecond: number;
    readonly tableReadsPerSecond: number;
    readonly tableWritesPerSecond: number;
}

const measures = [
    "cpuMsPerSecond",
    "heapKib",
    "residentKib",
    "messagesPerSecond",
    "bytesPerSecond",
    "tableReadsPerSecond",
    "tableWritesPerSecond",
] as const satisfies readonly (keyof Reading)[];

const clock = createSystemClock();
const settleMs = 2_500;
const deployment = deployments[0] ?? (() => {
    throw new Error("there is no deployment");
})();
const longRunMs = 600_000;
const kibibyte = 1_024;

const readMetrics = async (address: string): Promise<ReadonlyMap<string, number>> => {
    const text = await (await request(`${address}/metrics`)).body.text();
    return new Map(
        text.split("\n").filter(line => line !== "" && !line.startsWith("#")).map(line => {
            const [name = "", value = "0"] = line.split(" ");
            return [name, Number(value)];
        }),
    );
};

const call = async (address: string, method: string, body: unknown): Promise<void> => {
    const answer = await request(`${address}/puffinarch.v1.${method}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    await answer.body.dump();
};

const specOf = (jobId: string, tasks: number, runMs: number, cpuMillis: number) => ({
    spec: {
        jobId,
        workloadClass: "batch",
        team: "rigging",
        tasks,
        taskSize: { cpuMillis, memoryMib: 16, accelerators: 0 },
        payload: JSON.stringify({ runMs }),
    },
});

/** Starts pieces of work at an even rate for a time. */
const generate = async (perSecond: number, forMs: number, run: (count: number) => Promise<void>): Promise<void> => {
    const beganAtMs = clock.monotonicMs();
    for (let count = 0; perSecond > 0 && count < perSecond * forMs / 1_000; count += 1) {
        await sleep(clock, Math.max(0, beganAtMs + count * 1_000 / perSecond - clock.monotonicMs()));
        void run(count).catch(() => undefined);
    }
};

const load = async (address: string, shape: Shape, forMs: number): Promise<void> => {
    const tasksPerJob = 8;
    await Promise.all([
        sleep(clock, forMs),
        generate(
            shape.startsPerSecond / tasksPerJob,
            forMs,
            count => call(address, "JobService/SubmitJob", specOf(`s${count}`, tasksPerJob, 200, 100)),
        ),
        generate(
            shape.jobsPerSecond,
            forMs,
            count => call(address, "JobService/SubmitJob", specOf(`j${count}`, 1, 200, 100)),
        ),
        generate(shape.requestsPerSecond, forMs, async count => {
            const headers = { "x-request-id": `r${count}`, "x-idempotent": "true", "content-type": "application/json" };
            const answer = await request(`${address}/services/${deployment.service}/x`, {
                method: "POST",
                headers,
                body: '{"workMs":5,"answerBytes":500}',
            });
            await answer.body.dump();
        }),
        generate(shape.changesPerSecond, forMs, count => {
            const context = {
                expectedVersion: count + (shape.teams > 0 ? 1 : 0),
                author: "benchmark",
                reason: "change",
            };
            return call(address, "PolicyService/UpdatePolicy", {
                policy: { name: "pack", placement: "bestFit", sampleSize: 2 + count % 8 },
                context,
            });
        }),
    ]);
};

const setTeams = async (address: string, teams: number): Promise<void> => {
    const kinds = {
        batch: "WORKLOAD_KIND_BATCH",
        service: "WORKLOAD_KIND_SERVICE",
        gang: "WORKLOAD_KIND_GANG",
    } as const;
    await call(address, "ConfigurationService/ApplyConfiguration", {
        document: {
            policies: initialDocument.policies,
            workloadClasses: initialDocument.workloadClasses.map(each => ({ ...each, kind: kinds[each.kind] })),
            quotas: Array.from(
                { length: teams },
                (_none, index) => ({ team: `team-${index}`, cpuMillis: 100_000, memoryMib: 100_000 }),
            ),
        },
        context: { expectedVersion: 0, author: "benchmark", reason: "teams" },
    });
};

const startDaemons = async (
    processes: Processes,
    shape: Shape,
    platformAddress: string,
): Promise<readonly DemoDaemon[]> => {
    const near = Array.from(
        { length: shape.nearDaemons },
        (_none, index): Vm => ({
            vmId: `near-${index}`,
            role: "entry",
            dataCentre: "leon-feria",
            address: "",
            leaving: false,
        }),
    );
    const far = Array.from(
        { length: shape.farDataCentres },
        (_none, index): Vm => ({
            vmId: `far-${index}`,
            role: "entry",
            dataCentre: `dc-${index}`,
            address: "",
            leaving: false,
        }),
    );
    await post(`${platformAddress}/control/vms`, { set: [...near, ...far] });
    return Promise.all(
        [...near, ...far].map(vm =>
            processes.startDaemon(vm, platformAddress, shape.smallHeap === 1 ? smallHeapFlags : [])
        ),
    );
};

const difference = (before: ReadonlyMap<string, number>, after: ReadonlyMap<string, number>, name: string): number =>
    (after.get(`puffinarch_${name}`) ?? 0) - (before.get(`puffinarch_${name}`) ?? 0);

const readingOf = (
    before: ReadonlyMap<string, number>,
    after: ReadonlyMap<string, number>,
    seconds: number,
): Reading => {
    const rate = (name: string): number => difference(before, after, name) / seconds;
    return {
        cpuMsPerSecond: rate("process_cpu_us_total") / 1_000,
        heapKib: (after.get("puffinarch_process_heap_bytes") ?? 0) / kibibyte,
        residentKib: (after.get("puffinarch_process_resident_bytes") ?? 0) / kibibyte,
        messagesPerSecond: rate("outside_calls_total") + rate("peer_messages_total"),
        bytesPerSecond: rate("outside_bytes_total") + rate("peer_bytes_total"),
        tableReadsPerSecond: rate("table_reads_total"),
        tableWritesPerSecond: rate("table_writes_total"),
    };
};

const untilReady = async (daemons: readonly DemoDaemon[]): Promise<void> => {
    for (const { address } of daemons) {
        while ((await request(`${address}/readyz`)).statusCode !== 200) {
            await sleep(clock, 100);
        }
    }
};

const measureShape = async (name: string, shape: Shape, measureMs: number): Promise<Reading> => {
    const processes = createProcesses(`reports/capacity/${name.replaceAll(" ", "-")}`);
    try {
        const [platformAddress = ""] = await processes.startRole("platform", []);
        const sized = {
            ...deployment,
            dataCentres: ["leon-feria"],
            workers: shape.workers,
            upstreams: shape.upstreams,
        };
        const [workersAddress = ""] = await processes.startRole("workers", workerVms(sized, ""));
        const addresses = await processes.startRole(
            "upstreams",
            upstreamVms(sized, Array.from({ length: shape.upstreams }, () => "")),
        );
        await post(`${platformAddress}/control/vms`, {
            set: [...workerVms(sized, workersAddress), ...upstreamVms(sized, addresses)],
        });
        const daemons = await startDaemons(processes, shape, platformAddress);
        const address = daemons[0]?.address ?? "";
        await untilReady(daemons);
        await sleep(clock, settleMs);
        if (shape.teams > 0) {
            await setTeams(address, shape.teams);
        }
        if (shape.runningTasks > 0) {
            await call(address, "JobService/SubmitJob", specOf("running", shape.runningTasks, longRunMs, 100));
            await sleep(clock, settleMs);
        }
        const before = await readMetrics(address);
        const beganAtMs = clock.monotonicMs();
        await load(address, shape, measureMs);
        const after = await readMetrics(address);
        return readingOf(before, after, (clock.monotonicMs() - beganAtMs) / 1_000);
    }
    finally {
        processes.endAll();
    }
};

/** A line through points by least squares. */
export interface Fit {
    readonly slope: number;
    readonly floor: number;
    /** Root of the mean squared distance from the line. */
    readonly residual: number;
}

/**
 * Fits a line.
 *
 * @example
 * fitLine([0, 1, 2], [1, 3, 5]); // { slope: 2, floor: 1, residual: 0 }
 */
export const fitLine = (xs: readonly number[], ys: readonly number[]): Fit => {
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
    const [meanX, meanY] = [mean(xs), mean(ys)];
    const covariance = mean(xs.map((x, index) => (x - meanX) * ((ys[index] ?? 0) - meanY)));
    const variance = mean(xs.map(x => (x - meanX) ** 2));
    const slope = covariance / variance;
    const floor = meanY - slope * meanX;
    const residual = Math.sqrt(mean(xs.map((x, index) => ((ys[index] ?? 0) - floor - slope * x) ** 2)));
    return { slope, floor, residual };
};

const measureQuantity = async ({ name, field, sizes, base }: Quantity, measureMs: number): Promise<Row> => {
    const readings: Reading[] = [];
    for (const size of sizes) {
        readings.push(await measureShape(name, { ...baseShape, ...base, [field]: size }, measureMs));
    }
    const row: Record<string, number | string> = { quantity: name, sizes: sizes.join(" ") };
    for (const measure of measures) {
        const fit = fitLine(sizes, readings.map(reading => reading[measure]));
        row[measure] = round(fit.slope, 4);
        row[`${measure}Floor`] = round(fit.floor, 2);
        row[`${measure}Residual`] = round(fit.residual, 2);
    }
    return row;
};

/** Slopes of every quantity; the floors say what a daemon spends with none of it. */
export const capacity: Benchmark = async ({ long }) =>
    Promise.all(quantities.map(quantity => measureQuantity(quantity, long ? 10_000 : 3_000)));
