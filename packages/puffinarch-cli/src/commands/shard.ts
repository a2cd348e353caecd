/** `puffinarch shard job`, `organisations` and `speeds`: queries to the owner of a shard, through the metrics servers of its daemons. */

import type { Command } from "commander";
import { check } from "puffinarch";
import { z } from "zod";
import type { CliContext } from "../context.js";
import { amountOf, type Column, tableOf, timeOf } from "../output.js";
import type { GlobalFlags } from "../settings.js";
import { askOwner, type ShardClientOptions } from "../shardClient.js";

const defaultTimeoutMs = 10_000;
const addressAllowed = "the address of a metrics server, such as http://127.0.0.1:9464";
const timeoutAllowed = "a whole number of milliseconds from 1 to 600000";

const optionsSchema = z.object({
    metrics: z.array(z.string().regex(/^https?:\/\/[^\s/]+$/, addressAllowed), "a list of addresses")
        .min(1, "at least one address, by --metrics"),
    timeoutMs: z.number(timeoutAllowed).int(timeoutAllowed).min(1, timeoutAllowed).max(600_000, timeoutAllowed),
});

const counts = z.record(z.string(), z.number());
const resources = z.object({ cpuMillis: z.number(), memoryMib: z.number(), accelerators: z.number() });

const stepSchema = z.looseObject({
    occurrence: z.number(),
    step: z.number(),
    tasks: z.object({ done: z.number(), running: z.number(), waiting: z.number() }),
    after: z.array(z.number()),
    standing: z.string().optional(),
    waits: counts,
    workers: counts,
    expectedStartAtMs: z.number().optional(),
    expectedEndAtMs: z.number().optional(),
});

const jobSchema = z.looseObject({
    jobId: z.string(),
    state: z.string(),
    failure: z.looseObject({ cause: z.string(), taskName: z.string(), count: z.number() }).optional(),
    organisation: z.string(),
    queueKey: z.string().optional(),
    priority: z.number().optional(),
    acceptedAtMs: z.number().optional(),
    objectiveMs: z.number().optional(),
    dueAtMs: z.number().optional(),
    expectedEndAtMs: z.number().optional(),
    nextStartAtMs: z.number().optional(),
    steps: z.array(stepSchema),
    omittedSteps: z.number(),
});

const organisationsSchema = z.looseObject({
    organisations: z.array(z.looseObject({
        organisation: z.string(),
        held: resources,
        cap: resources,
        weight: z.number(),
        share: z.number(),
        waiting: z.object({ tasks: z.number(), cores: z.number() }),
        jobs: counts,
    })),
});

const speedsSchema = z.looseObject({
    workers: z.array(z.looseObject({
        address: z.string(),
        workerId: z.string().optional(),
        dataCentre: z.string().optional(),
        speed: z.number(),
        error: z.number(),
    })),
    queues: z.array(z.looseObject({ queueKey: z.string(), bias: z.number(), ends: z.number() })),
});

type Job = z.infer<typeof jobSchema>;
type OrganisationRow = z.infer<typeof organisationsSchema>["organisations"][number];
type Speeds = z.infer<typeof speedsSchema>;

const countsOf = (tally: Readonly<Record<string, number>>): string =>
    Object.entries(tally).map(([name, count]) => `${name} ${count}`).join(", ") || "-";

const timeOrDash = (atMs: number | undefined): string => timeOf(atMs ?? 0);

const stepColumns: readonly Column<Job["steps"][number]>[] = [
    { title: "STEP", cell: each => `${each.occurrence}.${each.step}` },
    { title: "DONE", cell: each => each.tasks.done },
    { title: "RUNNING", cell: each => each.tasks.running },
    { title: "WAITING", cell: each => each.tasks.waiting },
    {
        title: "WAITS FOR",
        cell: each => each.after.length > 0 ? `steps ${each.after.join(", ")}` : countsOf(each.waits),
    },
    { title: "WORKERS", cell: each => countsOf(each.workers) },
    { title: "STANDING", cell: each => each.standing ?? "-" },
    { title: "EXPECTED START", cell: each => timeOrDash(each.expectedStartAtMs) },
    { title: "EXPECTED END", cell: each => timeOrDash(each.expectedEndAtMs) },
];

const showJob = (job: Job): string => {
    const failed = job.failure === undefined
        ? []
        : [`failed by ${job.failure.cause} of ${job.failure.taskName}, ${job.failure.count} times`];
    const lines = [
        `${job.jobId} is ${job.state}`,
        ...failed,
        `organisation ${job.organisation === "" ? "-" : job.organisation}`,
        `queue ${job.queueKey ?? "-"}, priority ${job.priority ?? "-"}`,
        `accepted ${timeOrDash(job.acceptedAtMs)}, objective ${
            job.objectiveMs === undefined ? "-" : `${job.objectiveMs} ms`
        }, due ${timeOrDash(job.dueAtMs)}, expected end ${timeOrDash(job.expectedEndAtMs)}`,
        ...(job.nextStartAtMs === undefined ? [] : [`starts next ${timeOf(job.nextStartAtMs)}`]),
        ...(job.omittedSteps === 0 ? [] : [`${job.omittedSteps} more steps are not listed`]),
    ];
    return `${lines.join("\n")}\n${job.steps.length === 0 ? "" : tableOf(stepColumns, job.steps)}`;
};

const organisationColumns: readonly Column<OrganisationRow>[] = [
    { title: "ORGANISATION", cell: each => each.organisation === "" ? "-" : each.organisation },
    { title: "HELD", cell: each => amountOf(each.held) },
    { title: "CAP", cell: each => Object.values(each.cap).every(amount => amount === 0) ? "-" : amountOf(each.cap) },
    { title: "WEIGHT", cell: each => each.weight },
    { title: "SHARE", cell: each => `${(100 * each.share).toFixed(1)} %` },
    { title: "WAITING TASKS", cell: each => each.waiting.tasks },
    { title: "WAITING CORES", cell: each => each.waiting.cores },
    { title: "JOBS", cell: each => countsOf(each.jobs) },
];

const showSpeeds = ({ workers, queues }: Speeds): string =>
    workers.length + queues.length === 0 ? "nothing was learned yet\n" : `${
        tableOf([
            { title: "WORKER", cell: each => each.workerId ?? "-" },
            { title: "ADDRESS", cell: each => each.address },
            { title: "DATA CENTRE", cell: each => each.dataCentre ?? "-" },
            { title: "SPEED", cell: each => each.speed.toFixed(2) },
            { title: "ERROR", cell: each => each.error.toFixed(2) },
        ], workers)
    }\n${
        tableOf([
            { title: "QUEUE", cell: each => each.queueKey },
            { title: "BIAS", cell: each => each.bias.toFixed(2) },
            { title: "ENDS", cell: each => each.ends },
        ], queues)
    }`;

const splitAddresses = (value: string, earlier: readonly string[]): readonly string[] => [
    ...earlier,
    ...value.split(",").map(each => each.trim().replace(/\/$/, "")).filter(each => each !== ""),
];

const clientOptions = (command: Command): ShardClientOptions => {
    const { metrics, timeoutMs } = command.optsWithGlobals<GlobalFlags & { readonly metrics: readonly string[]; }>();
    const merged = { metrics, timeoutMs: timeoutMs === undefined ? defaultTimeoutMs : Number(timeoutMs) };
    const checked = check(optionsSchema, merged, "options");
    return { addresses: checked.metrics, timeoutMs: checked.timeoutMs };
};

/**
 * Adds the commands on a shard.
 *
 * @example
 * addShardCommands(program, context);
 */
export const addShardCommands = (program: Command, context: CliContext): void => {
    const shard = program.command("shard").description("Ask the owner of a shard about its jobs and workers.");
    const addQuery = (name: string, description: string): Command =>
        shard.command(name).description(description).option(
            "--metrics <urls>",
            "addresses of daemons' metrics servers, repeated or separated by commas; asked in turn until the owner answers",
            splitAddresses,
            [],
        );
    const query = async <T>(
        command: Command,
        path: string,
        { schema, show }: { readonly schema: z.ZodType<T>; readonly show: (answer: T) => string; },
    ): Promise<void> => {
        const answer = await askOwner(path, schema, clientOptions(command));
        context.output.write(
            context.wantsJson(command) ? `${JSON.stringify(answer, undefined, 2)}\n` : show(answer),
        );
    };

    addQuery("job <job-id>", "Explain why a job waits, and when it is expected to start and end.")
        .addHelpText(
            "after",
            "\nExample:\n  puffinarch shard job 5c0e7a21d94b36f8 --metrics http://10.1.0.13:9464,http://10.1.0.14:9464",
        )
        .action((jobId: string, _flags: unknown, command: Command) =>
            query(command, `/shard/jobs/${encodeURIComponent(jobId)}`, { schema: jobSchema, show: showJob })
        );
    addQuery("organisations", "List what each organisation holds and waits for.")
        .action((_flags: unknown, command: Command) =>
            query(command, "/shard/organisations", {
                schema: organisationsSchema,
                show: ({ organisations }) => tableOf(organisationColumns, organisations),
            })
        );
    addQuery("speeds", "List the learned speeds of workers and the errors of estimates.")
        .action((_flags: unknown, command: Command) =>
            query(command, "/shard/speeds", { schema: speedsSchema, show: showSpeeds })
        );
};
