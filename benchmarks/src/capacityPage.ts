/** `npm run capacity-page`: measures the slopes and writes docs/CAPACITY.md from them, so that the page cannot drift. */

import { writeFileSync } from "node:fs";
import { defaultNodeSettings } from "puffinarch";
import { round, type Row } from "./benchmark.js";
import { capacity, smallHeapFlags } from "./capacity.js";
import { journal } from "./journal.js";
import { placement } from "./placement.js";
import { takeover } from "./takeover.js";

const target = {
    workers: 17_000,
    accelerators: 20_000,
    jobsADay: 150_000,
    startsPerSecond: 1_300,
    runningTasks: 360_000,
    teams: 640,
    urgentStartMs: 1_600,
    regions: 10,
    dataCentres: 35,
    changesADay: 21_000,
    inForceMs: 5_000,
    vmsFailedADay: 340,
    vmsRestartedADay: 3_300,
} as const;

/** Judged, not given: how the target's numbers fall on daemons. */
const assumed = {
    daemonsPerDataCentre: 3,
    workersPerRack: 8,
    upstreamsPerDaemon: 4.3,
    peakOverMeanJobs: 10,
    farPeersPerRound: 6,
} as const;
const budget = {
    cpuMsPerSecond: 18,
    residentKib: 64 * 1_024,
    bytesPerSecond: 3 * 1_024,
    writesPerSecond: 300,
    readsPerSecond: 2_000,
} as const;
const secondsADay = 86_400;
const daemons = target.dataCentres * assumed.daemonsPerDataCentre;

type Slopes = ReadonlyMap<string, Row>;

interface Part {
    readonly quantity: string;
    readonly perNode: number;
    readonly mechanism: string;
    readonly file: string;
}

const core = (name: string): string => `packages/puffinarch/src/core/${name}.ts`;

const parts: readonly Part[] = [
    {
        quantity: "worker",
        perNode: target.workers / daemons,
        mechanism: "a long poll a worker, held for 5 s; changes only",
        file: core("rackOwner"),
    },
    {
        quantity: "upstream",
        perNode: assumed.upstreamsPerDaemon,
        mechanism: "one status call a second",
        file: core("slots"),
    },
    {
        quantity: "peer in the data centre",
        perNode: assumed.daemonsPerDataCentre - 1,
        mechanism: "gossip of fixed size, with promises",
        file: core("node"),
    },
    {
        quantity: "daemon of another data centre",
        perNode: assumed.farPeersPerRound,
        mechanism: "every eighth gossip, six of them at a time",
        file: core("node"),
    },
    {
        quantity: "running task",
        perNode: target.runningTasks / daemons,
        mechanism: "a ledger entry at the owner, a task at the home",
        file: core("homeState"),
    },
    {
        quantity: "task start a second",
        perNode: target.startsPerSecond / daemons,
        mechanism: "offers in rounds, group commit",
        file: core("placer"),
    },
    {
        quantity: "job a second",
        perNode: target.jobsADay / secondsADay * assumed.peakOverMeanJobs / daemons,
        mechanism: "one row a job, shared transactions",
        file: core("journal"),
    },
    {
        quantity: "configuration change a second",
        perNode: target.changesADay / secondsADay,
        mechanism: "one head row, adopted by gossip",
        file: core("configurationStore"),
    },
    {
        quantity: "team with a quota",
        perNode: target.teams,
        mechanism: "use told in gossip, for teams in use",
        file: core("node"),
    },
];

const valueOf = (slopes: Slopes, quantity: string, measure: string): number =>
    Number(slopes.get(quantity)?.[measure] ?? 0);

const table = (head: readonly string[], lines: readonly (readonly (string | number)[])[]): string =>
    [head, head.map(() => "---"), ...lines].map(line => `| ${line.join(" | ")} |`).join("\n");

const shown = (value: number): string => String(Math.abs(value) >= 100 ? Math.round(value) : round(value, 2));

/** A slope whose whole effect over the sizes is within twice the residual is marked as noise. */
const showSlope = (row: Row, measure: string): string => {
    const sizes = String(row["sizes"]).split(" ").map(Number);
    const slope = Number(row[measure]);
    const residual = Number(row[`${measure}Residual`]);
    const isNoise = Math.abs(slope) * (Math.max(...sizes) - Math.min(...sizes)) < 2 * residual;
    return `${shown(slope)} (±${shown(residual)}${isNoise ? ", noise" : ""})`;
};

const slopeTable = (rows: readonly Row[]): string =>
    table(
        [
            "one more ...",
            "sizes",
            "processor ms/s",
            "heap KiB",
            "resident KiB",
            "messages/s",
            "bytes/s",
            "table reads/s",
            "table writes/s",
        ],
        rows.map(row => [
            String(row["quantity"]),
            String(row["sizes"]),
            ...[
                "cpuMsPerSecond",
                "heapKib",
                "residentKib",
                "messagesPerSecond",
                "bytesPerSecond",
                "tableReadsPerSecond",
                "tableWritesPerSecond",
            ]
                .map(measure => showSlope(row, measure)),
        ]),
    );

interface Load {
    readonly name: string;
    readonly perNode: number;
    readonly mechanism: string;
    readonly file: string;
    readonly cpuMsPerSecond: number;
    readonly heapKib: number;
    readonly messagesPerSecond: number;
    readonly bytesPerSecond: number;
}

const loadsOf = (slopes: Slopes): readonly Load[] =>
    parts.map(({ quantity, perNode, mechanism, file }) => ({
        name: quantity,
        perNode,
        mechanism,
        file,
        cpuMsPerSecond: Math.max(0, valueOf(slopes, quantity, "cpuMsPerSecond")) * perNode,
        heapKib: Math.max(0, valueOf(slopes, quantity, "heapKib")) * perNode,
        messagesPerSecond: Math.max(0, valueOf(slopes, quantity, "messagesPerSecond")) * perNode,
        bytesPerSecond: Math.max(0, valueOf(slopes, quantity, "bytesPerSecond")) * perNode,
    }));

const ratio = (value: number, limit: number): string => `${shown(value / limit)} x`;

const nodeTable = (
    loads: readonly Load[],
    floor: { readonly cpu: number; readonly residentKib: number; readonly bytes: number; },
): string => {
    const cpu = loads.reduce((sum, load) => sum + load.cpuMsPerSecond, floor.cpu);
    const heap = loads.reduce((sum, load) => sum + load.heapKib, 0);
    const bytes = loads.reduce((sum, load) => sum + load.bytesPerSecond, floor.bytes);
    const lines = loads.map(load => [
        load.name,
        shown(load.perNode),
        `${shown(load.cpuMsPerSecond)} (${ratio(load.cpuMsPerSecond, budget.cpuMsPerSecond)})`,
        `${shown(load.heapKib)} (${ratio(load.heapKib, budget.residentKib)})`,
        shown(load.messagesPerSecond),
        `${shown(load.bytesPerSecond)} (${ratio(load.bytesPerSecond, budget.bytesPerSecond)})`,
        load.mechanism,
        `\`${load.file}\``,
    ]);
    const floorLine = [
        "a daemon that does nothing",
        "1",
        `${shown(floor.cpu)} (${ratio(floor.cpu, budget.cpuMsPerSecond)})`,
        `${shown(floor.residentKib)} resident (${ratio(floor.residentKib, budget.residentKib)})`,
        "",
        `${shown(floor.bytes)} (${ratio(floor.bytes, budget.bytesPerSecond)})`,
        "Node.js with Nest, Fastify and the libraries",
        "`packages/puffinarchd/src/daemon.ts`",
    ];
    const sumLine = [
        "**sum**",
        "",
        `**${shown(cpu)} (${ratio(cpu, budget.cpuMsPerSecond)})**`,
        `**${shown(heap + floor.residentKib)} (${ratio(heap + floor.residentKib, budget.residentKib)})**`,
        "",
        `**${shown(bytes)} (${ratio(bytes, budget.bytesPerSecond)})**`,
        "",
        "",
    ];
    return table(
        [
            "of a node",
            "at the target",
            "processor ms/s (of 18)",
            "memory KiB (of 65,536)",
            "messages/s",
            "bytes/s (of 3,072)",
            "mechanism",
            "file",
        ],
        [floorLine, ...lines, sumLine],
    );
};

/** Table calls of the whole cell, worked out from settings and counts. */
const platformLines = (): readonly (readonly (string | number)[])[] => {
    const { renewIntervalMs, refreshIntervalMs, journalBatchesPerSecond, urgentBatchesPerSecond } = defaultNodeSettings;
    const refreshes = daemons * 1_000 / refreshIntervalMs;
    const units = target.workers / assumed.workersPerRack + daemons * (assumed.upstreamsPerDaemon + 1);
    const renewals = daemons * 1_000 / renewIntervalMs;
    const reads = [
        ["sessions, each second", refreshes * Math.ceil(daemons / 100)],
        ["units of the own data centre, each second", refreshes * 3],
        ["all units, each 30 s", refreshes / 30 * Math.ceil(units / 100)],
        ["configuration head, each 3 s", refreshes / 3],
    ] as const;
    const writes = [
        ["session renewals", renewals],
        ["journals, steady allowance", journalBatchesPerSecond],
        ["journals, urgent and full batches, at the most", urgentBatchesPerSecond],
        ["configuration changes", target.changesADay / secondsADay],
        [
            "takeovers and restarts (2 session writes, 3 claims each)",
            (target.vmsFailedADay + target.vmsRestartedADay) * 5 / secondsADay,
        ],
    ] as const;
    const sum = (lines: readonly (readonly [string, number])[]): number =>
        lines.reduce((total, [, value]) => total + value, 0);
    return [
        ...reads.map(([name, value]) => ["reads", name, shown(value), ratio(value, budget.readsPerSecond)]),
        ["reads", "**sum**", `**${shown(sum(reads))}**`, `**${ratio(sum(reads), budget.readsPerSecond)}**`],
        ...writes.map(([name, value]) => ["writes", name, shown(value), ratio(value, budget.writesPerSecond)]),
        [
            "writes",
            "**sum at the most**",
            `**${shown(sum(writes))}**`,
            `**${ratio(sum(writes), budget.writesPerSecond)}**`,
        ],
    ];
};

/** Records that a daemon holds after an hour without the table, at the peak rate of starts. */
const recordBytes = 150;
const pendingKibAfterAnHour = (): number => target.startsPerSecond * 2 / daemons * recordBytes * 3_600 / 1_024;

const stormLines = (): readonly (readonly (string | number)[])[] => {
    const { journalBatchesPerSecond, urgentBatchesPerSecond, sessionLeaseMs, snapshotBatches } = defaultNodeSettings;
    const recordsPerHome = target.startsPerSecond * 2 / daemons;
    const pendingBytes = recordsPerHome * recordBytes * 3_600 * daemons;
    const drainSeconds = pendingBytes / (48 * 1_024) / (journalBatchesPerSecond + urgentBatchesPerSecond);
    const units = target.workers / assumed.workersPerRack + daemons * assumed.upstreamsPerDaemon;
    const claims = Math.ceil(units / 8) + 2 * daemons;
    return [
        [
            "a data centre is lost",
            `${assumed.daemonsPerDataCentre} homes change hands: ${assumed.daemonsPerDataCentre} claims, at most ${
                assumed.daemonsPerDataCentre * Math.ceil(snapshotBatches / 100)
            } reads to replay; its racks have nobody to claim them`,
            `${shown(target.runningTasks / target.dataCentres)} tasks are placed anew: ${
                shown(target.runningTasks / target.dataCentres / target.startsPerSecond)
            } s of the peak rate, ${shown(target.runningTasks / target.dataCentres * 2 * 150 / (48 * 1_024))} batches`,
        ],
        [
            "the platform returns after an hour",
            `no takeover for ${sessionLeaseMs} ms, in which ${daemons} sessions renew`,
            `${shown(pendingBytes / 2 ** 20)} MiB of records at the peak rate, ${
                shown(pendingBytes / 2 ** 20 / daemons)
            } MiB a daemon, ${shown(drainSeconds)} s to write at the cell's allowance`,
        ],
        [
            "all daemons restart at once",
            `${claims} writes: ${shown(claims / budget.writesPerSecond)} s at the platform's limit`,
            `${shown(daemons * Math.ceil(units / 100))} reads: ${
                shown(daemons * Math.ceil(units / 100) / budget.readsPerSecond)
            } s`,
        ],
    ];
};

const targetLines = (loads: readonly Load[], figures: Figures): readonly (readonly (string | number)[])[] => {
    const load = (name: string): Load | undefined => loads.find(each => each.name === name);
    const cpuRatio = (name: string): string => ratio(load(name)?.cpuMsPerSecond ?? 0, budget.cpuMsPerSecond);
    return [
        [
            "17,000 workers",
            "racks with one owner each; polls that wait for news",
            `\`${core("rackOwner")}\``,
            `${cpuRatio("worker")} of the processor budget`,
            "measured slope",
        ],
        [
            "20,000 accelerators",
            "a dimension of each worker's capacity in the ledger's index",
            `\`${core("ledger")}\``,
            `decision p99 ${figures.placementP99Us} us at 17,000 workers in one ledger`,
            "measured",
        ],
        [
            "150,000 jobs a day",
            "one directory row a job, up to 23 a transaction",
            `\`${core("journal")}\``,
            `${cpuRatio("job a second")} of the processor budget at ten times the mean`,
            "measured slope; peak judged",
        ],
        [
            "1,300 starts a second",
            "rounds of offers, intents in group commits",
            `\`${core("placer")}\``,
            `${figures.writesPerTask} writes a task; ${cpuRatio("task start a second")} of the processor budget`,
            "measured, slope",
        ],
        [
            "360,000 running tasks, a fifth services",
            "changes only between worker and owner; a task's entry at home and owner",
            `\`${core("workerReport")}\``,
            `${
                ratio(load("running task")?.heapKib ?? 0, budget.residentKib)
            } of the memory budget; services cost the same as others while they run`,
            "measured slope",
        ],
        [
            "640 teams with quotas",
            "use of teams in gossip; kept by each home",
            `\`${core("node")}\``,
            `${
                ratio(load("team with a quota")?.bytesPerSecond ?? 0, budget.bytesPerSecond)
            } of the bytes while a configuration of that size is told`,
            "measured slope",
        ],
        [
            "urgent work within 1.6 s",
            "priority, stopping with checkpoints, urgent commits",
            `\`${core("earmarks")}\``,
            `two urgent commits wait ${
                shown(2_000 * daemons / defaultNodeSettings.urgentBatchesPerSecond)
            } ms at the most: ${
                ratio(2_000 * daemons / defaultNodeSettings.urgentBatchesPerSecond, target.urgentStartMs)
            }`,
            "worked out; a test holds it on a small cell",
        ],
        [
            "10 regions, 35 data centres",
            "units belong to data centres; far gossip is rare",
            `\`${core("membership")}\``,
            `${ratio(load("daemon of another data centre")?.bytesPerSecond ?? 0, budget.bytesPerSecond)} of the bytes`,
            "measured slope",
        ],
        [
            "21,000 changes a day within 5 s",
            "head row, pushed by gossip, read each 3 s",
            `\`${core("configurationStore")}\``,
            `${ratio(3_000, target.inForceMs)}: 3 s without any gossip`,
            "worked out",
        ],
        [
            "340 VMs failed, 3,300 restarted a day",
            "dead on evidence, or fenced by a deputy; rendezvous hashing",
            `\`${core("ownership")}\``,
            `takeover ${figures.takeoverMs} ms for 60 racks; ${
                shown((target.vmsFailedADay + target.vmsRestartedADay) * 5 / secondsADay)
            } writes a second`,
            "measured on a fake clock",
        ],
        [
            "a rack or switch weekly",
            "its tasks are reported lost and placed anew",
            `\`${core("home")}\``,
            `${shown(assumed.workersPerRack * target.runningTasks / target.workers)} tasks: ${
                shown(assumed.workersPerRack * target.runningTasks / target.workers / target.startsPerSecond)
            } s of the peak rate`,
            "worked out",
        ],
        [
            "a data centre once or twice a year",
            "homes move to other data centres",
            `\`${core("homes")}\``,
            "see the storms below",
            "worked out",
        ],
        [
            "regions cut off for minutes",
            "deputies' promises; early starts in the own data centre",
            `\`${core("deputy")}\``,
            "goes on without limit of time; memory grows with unwritten records",
            "tests in features/ownership.feature",
        ],
    ];
};

interface Figures {
    readonly placementP99Us: number;
    readonly writesPerTask: number;
    readonly takeoverMs: number;
}

const misfits = (
    loads: readonly Load[],
    floor: { readonly cpu: number; readonly residentKib: number; readonly bytes: number; },
): string => {
    const cpu = loads.reduce((sum, load) => sum + load.cpuMsPerSecond, floor.cpu);
    const bytes = loads.reduce((sum, load) => sum + load.bytesPerSecond, floor.bytes);
    const memory = loads.reduce((sum, load) => sum + load.heapKib, floor.residentKib);
    const ways: readonly (readonly [string, number, string])[] = [
        [
            "bytes of a node",
            bytes / budget.bytesPerSecond,
            "polls of idle workers in one message a rack or host instead of one a worker; a binary codec; lists of VMs by changes; start orders without the payload where the worker has it",
        ],
        [
            "processor of a node",
            cpu / budget.cpuMsPerSecond,
            "one message a rack; decision log lines sampled; several tasks of one worker started in one order; more, smaller daemons are no way, since each has the floor",
        ],
        [
            "memory of a node",
            memory / budget.residentKib,
            `flags for Node.js (${
                smallHeapFlags.join(" ")
            }, measured above); loading Nest and the callers' services only where callers come; results of ended tasks to the object store at once`,
        ],
        [
            "memory after an hour without the platform",
            (memory + pendingKibAfterAnHour()) / budget.residentKib,
            "bounding the records of early starts, and starting no more at the bound",
        ],
        [
            "urgent commits at 105 daemons",
            2_000 * daemons / defaultNodeSettings.urgentBatchesPerSecond / target.urgentStartMs,
            "a smaller steady allowance for an urgent reserve; intents of urgent work without a commit in the own data centre",
        ],
    ];
    return [...ways].sort((left, right) => right[1] - left[1])
        .map(([name, times, way], index) =>
            `${index + 1}. **${name}: ${shown(times)} x.** ${times <= 1 ? "Fits. " : ""}Ways weighed: ${way}.`
        ).join("\n");
};

const page = (rows: readonly Row[], figures: Figures): string => {
    const slopes: Slopes = new Map(rows.map(row => [String(row["quantity"]), row]));
    const loads = loadsOf(slopes);
    const floor = {
        cpu: valueOf(slopes, "nothing, with a small heap", "cpuMsPerSecondFloor"),
        residentKib: valueOf(slopes, "nothing, with a small heap", "residentKibFloor"),
        bytes: valueOf(slopes, "nothing, with a small heap", "bytesPerSecondFloor"),
    };
    const plainResident = valueOf(slopes, "team with a quota", "residentKibFloor");
    return `# Capacity

This page is written by \`npm run capacity-page\` from what it measures; do not edit it by hand. Slopes are least squares over five sizes,
with real daemons and stand-ins as processes of one machine, 3 s a size; the residual is the root of the mean squared distance from the
line. A slope marked as noise has an effect over all its sizes that is within twice the residual: it says no more than that it is small,
and is still counted in the sums below. What is worked out and not measured says so.

## The target, and how it falls on nodes

${target.dataCentres} data centres with ${assumed.daemonsPerDataCentre} daemons each (judged) are ${daemons} nodes. A node may spend 1.8% of a core
(18 ms a second), 64 MB and 3 KB a second on control; the platform gives several hundred writes (taken as ${budget.writesPerSecond}) and
2,000 reads a second. Callers' requests are service, not control, and are not in these sums.

${
        table(
            ["number of the target", "mechanism", "file", "ratio to budget, or figure", "how it is known"],
            targetLines(loads, figures),
        )
    }

## Measured slopes

${slopeTable(rows)}

The floor: a daemon that does nothing keeps ${shown(plainResident)} KiB resident, and ${
        shown(floor.residentKib)
    } KiB with
\`node ${smallHeapFlags.join(" ")}\`, and uses ${
        shown(floor.cpu)
    } ms of processor time a second. A bare Node.js process keeps about 40 MB.

## One node at the target

${nodeTable(loads, floor)}

## The platform's table

Worked out from the default timings and the counts above, for the whole cell:

${table(["calls", "of", "a second", "ratio to the platform's rate"], platformLines())}

## Recovery storms (worked out)

${table(["event", "in the first seconds", "in the minute after"], stormLines())}

## What does not fit, by ratio

${misfits(loads, floor)}

Mended already when this page first showed it: a poll told all running tasks (now changes only), journal allowances were each daemon's own
(now the cell's), every daemon read all units each second (now its own data centre's), gossip went everywhere four times a second (now
every eighth round to six daemons of other data centres).
`;
};

const find = (rows: readonly Row[], wanted: Row): Row =>
    rows.find(row => Object.entries(wanted).every(([name, value]) => row[name] === value)) ?? {};

const options = { long: process.argv.includes("--long"), seed: 1 };
const rows = await capacity(options);
const figures: Figures = {
    placementP99Us: Number(find(await placement(options), { workers: 17_000, policy: "bestFit" })["decisionP99Us"]),
    writesPerTask: Number(find(await journal(options), { tasksPerSecond: 1_300 })["tableWritesPerTask"]),
    takeoverMs: Number(find(await takeover(options), { racks: 60, ending: "VM gone" })["takeoverMs"]),
};
writeFileSync("docs/CAPACITY.md", page(rows, figures));
process.stdout.write("docs/CAPACITY.md is written\n");
process.exit();
