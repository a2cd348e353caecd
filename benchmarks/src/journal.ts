/**
 * Measures the table writes per task with group commit, and the commit latency, at rising task rates. Seven homes share a
 * table that allows 300 writes a second. The clock is simulated and the table answers after 2 ms, so the figures show the cost
 * of the protocol and not the speed of the machine.
 */

import { createFakeClock, createPlatform, defaultPlatformLimits } from "@puffinarch/stand-ins";
import {
    createJournal,
    createSeededRandom,
    defaultNodeSettings,
    type Journal,
    type JournalRecord,
    type Meter,
    type TableStore,
} from "puffinarch";
import { type Benchmark, createSample, round, type Row } from "./benchmark.js";

const homes = 7;
const roundTripMs = 2;
/** At the peak 1,300 tasks start a second, against 150,000 jobs a day, so most jobs have many tasks. */
const tasksPerJob = 8;
/** Journal records of a task: the intended attempt, the end, and its share of the one record that accepts the job. */
const transitionsPerTask = 2 + 1 / tasksPerJob;
const { journalBatchesPerSecond, urgentBatchesPerSecond } = defaultNodeSettings;
const discardingMeter: Meter = { count: () => {}, record: () => {}, total: () => 0, percentile: () => 0 };

const taskSize = { cpuMillis: 500, memoryMib: 512, accelerators: 0 };

const acceptedRecord = (jobId: string): JournalRecord => ({
    kind: "jobAccepted",
    acceptedAtMs: 0,
    spec: {
        jobId,
        workloadClass: "batch",
        team: "rigging",
        tasks: tasksPerJob,
        taskSize,
        atMostOnce: false,
        payload: '{"runMs":500}',
    },
});

const intendedRecord = (taskId: string): JournalRecord => ({
    kind: "attemptIntended",
    taskId,
    attemptId: `${taskId}@leon-feria-entry-1~1.123456`,
    workerId: "leon-feria-w123",
    rackKey: "unit/rack/leon-feria/r12",
    listedGeneration: 123,
});

const endedRecord = (taskId: string): JournalRecord => ({
    kind: "taskEnded",
    taskId,
    state: "completed",
    detail: "",
    started: true,
    result: `${taskId} done`,
    startedAtMs: 1_700_000_000_000,
    endedAtMs: 1_700_000_000_500,
});

const measureRate = async (tasksPerSecond: number, seconds: number, seed: number): Promise<Row> => {
    const clock = createFakeClock();
    const platform = createPlatform(clock, createSeededRandom(seed), defaultPlatformLimits);
    platform.faults.set("table", [{ target: "table", kind: "slow", probability: 1, delayMs: roundTripMs }]);
    const table: TableStore = platform.table;
    const sample = createSample();
    const journals: Journal[] = [];
    for (let index = 0; index < homes; index += 1) {
        const key = `unit/home/leon-feria/h${index}`;
        const claim = table.transact({ conditions: [], puts: [{ key, value: {} }], deletes: [] });
        await clock.advance(roundTripMs + 1);
        const claimed = await claim;
        let batches = 0;
        journals.push(createJournal({
            table,
            clock,
            log: { write: () => {} },
            meter: discardingMeter,
            journalId: `h${index}`,
            nextSequence: 0,
            fence: { key, version: claimed.outcome === "committed" ? claimed.version : 0 },
            newBatchId: () => `h${index}.${batches += 1}`,
            onFenced: () => {},
            batchesPerSecond: () => journalBatchesPerSecond / homes,
            urgentBatchesPerSecond: () => urgentBatchesPerSecond / homes,
            maxPendingEntries: 100_000,
        }));
    }
    await clock.advance(1_000);
    const writesBefore = platform.evidence().writes;
    const tasks = Math.max(1, Math.round(tasksPerSecond * seconds));
    let refused = 0;
    const track = (call: Promise<void>): void => {
        const startedAtMs = clock.monotonicMs();
        call.then(() => sample.add(clock.monotonicMs() - startedAtMs), () => {
            refused += 1;
        });
    };
    for (let count = 0; count < tasks; count += 1) {
        const jobId = `j${Math.floor(count / tasksPerJob)}`;
        const taskId = `${jobId}/${count % tasksPerJob}`;
        const journal = journals[Math.floor(count / tasksPerJob) % homes];
        if (journal === undefined) {
            continue;
        }
        if (count % tasksPerJob === 0) {
            track(journal.claim([acceptedRecord(jobId)], { key: `job/${jobId}`, value: { homeId: "h" } }, false));
        }
        track(journal.append([intendedRecord(taskId)], false));
        clock.setTimer(500, () => track(journal.append([endedRecord(taskId)], false)));
        await clock.advance(1_000 / tasksPerSecond);
    }
    await clock.advance(10_000);
    const writes = platform.evidence().writes - writesBefore;
    return {
        tasksPerSecond,
        tasks,
        tableWritesPerTask: round(writes / tasks, 4),
        baselineTableWritesPerTask: round(transitionsPerTask, 4),
        writesPerSecond: round(writes / seconds, 1),
        commitP50Ms: round(sample.percentile(50), 1),
        commitP99Ms: round(sample.percentile(99), 1),
        refused,
        uncommitted: tasks * 2 + Math.ceil(tasks / tasksPerJob) - sample.count() - refused,
    };
};

/** Measures rates from 1 to 3,000 tasks a second; the baseline is one table write for each record. */
export const journal: Benchmark = async ({ long, seed }) => {
    const rows: Row[] = [];
    for (const rate of [1, 10, 100, 300, 1_300, 3_000]) {
        rows.push(await measureRate(rate, long || rate < 100 ? 20 : 10, seed));
    }
    return rows;
};
