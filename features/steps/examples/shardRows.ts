/** Examples of the rows that a shard writes to the store and reads from it; each example uses one module by itself. */

import { createFakeClock, createFakeRowStore, plainStep, testQueue } from "@puffinarch/stand-ins";
import {
    createAccounts,
    createBatchWriter,
    createCommitLog,
    createRowReader,
    createRunTimes,
    createRunTimesRow,
    decodeMember,
    decodeRow,
    encodeJob,
    encodeTask,
    encodeTaskPages,
    journalTable,
    memberTable,
    newJob,
    readAllRows,
    restoreJobs,
    restoreTask,
    type Row,
    sequenceKey,
    submissionSchema,
    unreadableOwner,
    watchTable,
} from "puffinarch";
import { z } from "zod";
import { exampleJob, limits, log, meter, part, runOf, submission, taskOf } from "./shardFixtures.js";

const jobRows = (): string => {
    const job = exampleJob();
    taskOf(job).lastRun = 1;
    taskOf(job).runs.push(runOf(job));
    const clock = createFakeClock();
    const rows = encodeJob(job, clock, limits).puts.map(put => ({ ...put, part, version: 1 }));
    const [run] =
        restoreJobs(rows, { reader: createRowReader({ log, meter }), accounts: createAccounts(), clock }).runs;
    return `${run?.taskName} ran on ${run?.workerId}`;
};

const taskPages = (): string => {
    const job = newJob({ ...submission, steps: [{ ...plainStep, count: 300 }] }, testQueue, {
        acceptedAtMs: 0,
        order: 1,
    });
    const task = job.occurrences.get(0)?.steps[0]?.tasks[200];
    if (task !== undefined) {
        task.lastRun = 1;
    }
    return [...encodeTaskPages(job, createFakeClock(), limits.rowBytes).keys()].join(", ");
};

const taskRows = (): string => {
    const task = taskOf(exampleJob());
    const live = restoreTask(task, [2, 1, "", [["i-1", 2]]]);
    const stored = encodeTask(task, limits.rowBytes);
    return `${live.length} live run, then ${
        typeof stored === "number" ? "no runs" : `${stored[0]} runs, ${stored[1]} failure`
    }`;
};

const commitLog = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    const commits = createCommitLog({
        clock,
        log,
        meter,
        store: store.connect("entry-1"),
        part,
        ownerVersion: 0,
        sequenceVersion: 0,
        storeLatencyMs: 8,
        claimId: "1",
        encode: jobId => ({ puts: [{ table: "puffinarch-journal", key: `state/${jobId}`, value: "{}" }], removes: [] }),
        onFenced: () => {},
    });
    const written = Promise.all(["a", "b", "c"].map(jobId => commits.commit(jobId)));
    await clock.advance(100);
    await written;
    return `3 jobs in ${store.transactions()} transaction`;
};

const runTimesRow = async (): Promise<string> => {
    const clock = createFakeClock();
    const reader = createRowReader({ log, meter });
    const learned = createRunTimes();
    learned.recordEnd({ queueKey: "plans", address: "10.0.0.1:1", estimateMs: 800, tookMs: 1_600 });
    const row = createRunTimesRow({ clock, log, reader, runTimes: learned });
    const early = row.due().length;
    await clock.advance(5_000);
    const rows = row.due().map(put => ({ ...put, part, version: 1 }));
    const restored = createRunTimes();
    createRunTimesRow({ clock, log, reader, runTimes: restored }).restore(rows);
    return `${early} rows, then ${rows.length}; plans take ${restored.biasOf("plans")} times their estimates`;
};

const batchWriter = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    const writer = createBatchWriter({
        clock,
        log,
        meter,
        store: store.connect("entry-1"),
        part,
        ownerVersion: 0,
        storeLatencyMs: 8,
        onAnswer: () => {},
        isStopped: () => false,
    });
    const marker = { table: journalTable, part, key: sequenceKey };
    const transaction = { expect: [{ ...marker, version: 0 }], puts: [{ ...marker, value: "first" }], removes: [] };
    const written = writer.write({ batchId: "first", transaction });
    await clock.advance(10);
    const result = await written;
    return `in force at version ${result.outcome === "committed" ? result.version : result.outcome}`;
};

const readRowsExample = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    for (let number = 0; number < 120; number += 1) {
        store.put("workers", `worker-${number}`, {});
    }
    const read = readAllRows({
        clock,
        log,
        store: store.connect("entry-1"),
        table: "workers",
        part: "",
        isNeeded: () => true,
    });
    await clock.advance(100);
    return `${(await read)?.rows.length} rows`;
};

const tableWatch = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    const seen: string[] = [];
    const watch = watchTable({
        clock,
        log,
        store: store.connect("entry-1"),
        table: "operator",
        parts: [""],
        onRows: rows => seen.push(...rows.map(row => row.key)),
        onSnapshot: () => {},
    });
    await clock.advance(100);
    store.put("operator", "configuration", { version: 1 });
    await clock.advance(100);
    watch.stop();
    return `${seen.join(", ")} seen`;
};

const memberRows = (): string => {
    const row = (key: string): Row => ({
        table: memberTable,
        part: "",
        key,
        value: JSON.stringify({ memberId: "entry-2", address: "http://a:1", dataCentre: "d", incarnation: "9" }),
        version: 1,
    });
    const known = decodeMember(row("entry-2"));
    const other = decodeMember(row("entry-3"));
    const noOwner = unreadableOwner(7).row.memberId;
    return `${known.kind === "entry" ? known.entry.memberId : ""}, then ${
        other.kind === "unreadable" ? other.field : ""
    } cannot be read, then ${noOwner === "" ? "nobody" : noOwner}`;
};

const rowReader = (): string => {
    let lines = 0;
    const reader = createRowReader({ log: { write: () => lines += 1 }, meter });
    const row = { table: "workers", part: "", key: "i-1", value: "{", version: 4 };
    const schema = z.object({ address: z.string() });
    const entries = [row, row, { ...row, value: '{"address":"10.0.0.9:80"}', version: 5 }].flatMap(each =>
        reader.entryOf(each, decodeRow(each, schema)) ?? []
    );
    return `${lines} line, ${entries.length} entry`;
};

const jobRowSchemas = (): string => {
    const steps = [{ count: 1, size: { cpuMillis: 1, memoryMib: 1, accelerators: 0 } }];
    const schedule = { startAtMs: 0, intervalMs: 0, repeatCount: 0 };
    const submission = { jobId: "5c0e7a21d94b36f8", queueKey: "q", payload: "", steps, schedule };
    const queue = { key: "q", host: "h", pathPrefix: "/", service: "s", priority: 0, attempts: 1, timeoutMs: 1 };
    const stored = submissionSchema.parse({ submission, queue, acceptedAtMs: 1, order: 1 });
    return stored.submission.steps[0]?.longRunning === false && stored.queue.stretch === 0
        ? "done with defaults"
        : "";
};

const decode = (): string => {
    const schema = z.object({ wave: z.number("a number") });
    const shown = ['{"wave":3}', '{"wave":"x"}', "{", undefined].map(value => {
        const decoded = decodeRow({ value }, schema);
        return decoded.kind === "unreadable" ? `unreadable at ${decoded.field}` : decoded.kind;
    });
    return shown.join(", ");
};

/** Examples of the modules about rows, by the module's name. */
export const shardRowExamples: Readonly<Record<string, () => string | Promise<string>>> = {
    batchWriter,
    commitLog,
    readRows: readRowsExample,
    decode,
    jobRowSchemas,
    jobRows,
    memberRows,
    rowReader,
    runTimesRow,
    taskPages,
    taskRows,
    shardTables: () => sequenceKey,
    tableWatch,
};
