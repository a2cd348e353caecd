/**
 * Submits a thousand tasks a second while a daemon is killed, paused or cut off, and counts the tasks that ran twice, the
 * overcommitted workers and the accepted tasks that did not end. Executions and overcommits are those that the simulated
 * workers recorded. The cell runs on a simulated clock.
 */

import { type Cell, createCell, defaultCellOptions, platformEndpoint, tasksRunTwice } from "@puffinarch/stand-ins";
import { isFinal } from "puffinarch";
import type { Benchmark, Row } from "./benchmark.js";

const victim = "leon-feria-e0";
const tasksPerJob = 8;
const jobsPerSecond = 125;
/** The fault begins when this share of the jobs is submitted, and ends at `healAtShare`. */
const faultAtShare = 0.3;
const healAtShare = 0.8;
/** Time after the last job for the remaining tasks to end. */
const settleMs = 40_000;

const faults: Readonly<Record<string, (cell: Cell) => void>> = {
    none: () => {},
    killed: cell => cell.kill(victim, true),
    "killed and started again": cell => {
        cell.kill(victim, false);
        cell.restart(victim);
    },
    paused: cell => cell.pause(victim),
    "cut off from the platform": cell => cell.cut(victim, platformEndpoint),
    "cut off from its peers": cell => {
        for (const { vmId } of cell.daemons()) {
            if (vmId !== victim) {
                cell.cut(victim, vmId);
            }
        }
    },
    "cut off from everything": cell => {
        const others = [
            platformEndpoint,
            ...cell.daemons().map(({ vmId }) => vmId),
            ...cell.workers().map(({ workerId }) => workerId),
        ];
        for (const other of others) {
            cell.cut(victim, other);
        }
    },
};

/** Submits the job of this number to a daemon that is ready, and adds its id to `accepted` once it is accepted. */
const submit = (cell: Cell, count: number, accepted: Set<string>): void => {
    const ready = cell.daemons().filter(daemon =>
        !daemon.process.dead() && !daemon.process.paused() && daemon.node.ready()
    );
    const jobId = `job-${count}`;
    const call = ready[count % Math.max(1, ready.length)]?.node.jobs.submit({
        jobId,
        workloadClass: "batch",
        team: "rigging",
        tasks: tasksPerJob,
        taskSize: { cpuMillis: 250, memoryMib: 64, accelerators: 0 },
        atMostOnce: count % 4 === 0,
        payload: JSON.stringify({ runMs: 300 }),
    });
    call?.then(() => accepted.add(jobId), () => undefined);
};

/** Counts the tasks of accepted jobs that are in no final state, by the jobs that the ready daemons list. */
const countUnfinishedTasks = async (cell: Cell, accepted: ReadonlySet<string>): Promise<number> => {
    const readyDaemons = cell.daemons().filter(daemon => !daemon.process.dead() && daemon.node.ready());
    const views = Promise.all(
        readyDaemons.map(daemon => daemon.node.handlers.jobs({ team: "", afterJobId: "", limit: 100_000 })),
    );
    await cell.advance(100);
    const jobs = new Map((await views).flat().map(job => [job.spec.jobId, job]));
    let count = 0;
    for (const jobId of accepted) {
        const counts = Object.entries(jobs.get(jobId)?.taskCounts ?? {});
        const final = counts.reduce((sum, [state, tasks]) => sum + (isFinal(state as never) ? tasks : 0), 0);
        count += tasksPerJob - final;
    }
    return count;
};

const measureFault = async (fault: string, seconds: number, seed: number): Promise<Row> => {
    const cell = createCell({
        ...defaultCellOptions,
        seed,
        dataCentres: ["leon-feria", "qro-arena", "gto-plaza"],
        workersPerDataCentre: 10,
        workersPerRack: 5,
        capacity: { cpuMillis: 16_000, memoryMib: 32_768, accelerators: 0 },
    });
    await cell.start();
    const accepted = new Set<string>();
    const jobs = jobsPerSecond * seconds;
    for (let count = 0; count < jobs; count += 1) {
        if (count === Math.floor(jobs * faultAtShare)) {
            faults[fault]?.(cell);
        }
        if (count === Math.floor(jobs * healAtShare)) {
            cell.healAll();
            cell.resume(victim);
        }
        submit(cell, count, accepted);
        await cell.advance(1_000 / jobsPerSecond);
    }
    await cell.advance(settleMs);
    const executions = cell.executions();
    const atMostOnceJobs = new Set([...accepted].filter(jobId => Number(jobId.slice(4)) % 4 === 0));
    return {
        fault,
        tasksPerSecond: jobsPerSecond * tasksPerJob,
        tasksAccepted: accepted.size * tasksPerJob,
        attempts: executions.length,
        tasksRunTwice: tasksRunTwice(executions, atMostOnceJobs).length,
        overcommits: cell.overcommits(),
        tasksUnanswered: await countUnfinishedTasks(cell, accepted),
        sessionsFenced: cell.counterTotal("sessionsFenced"),
    };
};

/** Measures each fault of a daemon, and a run without a fault, under a thousand tasks a second. */
export const storm: Benchmark = async ({ long, seed }) => {
    const rows: Row[] = [];
    for (const fault of Object.keys(faults)) {
        rows.push(await measureFault(fault, long ? 60 : 20, seed));
    }
    return rows;
};
