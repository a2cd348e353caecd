/**
 * Measures the time from the failure of a rack owner until all racks have a live owner again, by number of racks, and counts
 * the tasks that were lost or ran again. The cell runs on a simulated clock, so the times are those of the protocol with the
 * default timings and a VM list that lags by 2 s.
 */

import { createCell, defaultCellOptions, tasksRunTwice } from "@puffinarch/stand-ins";
import { type Benchmark, type Row } from "./benchmark.js";

/** How the rack owner fails. */
type OwnerFailure = "VM gone" | "process restarted" | "paused";

const pollIntervalMs = 50;
const maxTakeoverMs = 60_000;

const measureTakeover = async (racks: number, ending: OwnerFailure, seed: number): Promise<Row> => {
    const cell = createCell({
        ...defaultCellOptions,
        seed,
        dataCentres: ["leon-feria"],
        daemonsPerDataCentre: 3,
        workersPerDataCentre: racks,
        workersPerRack: 1,
    });
    await cell.start();
    await cell.advance(5_000);
    const submitter = cell.daemon("leon-feria-e0");
    const tasks = racks * 2;
    const accepted = submitter.node.jobs.submit({
        jobId: "j1",
        workloadClass: "batch",
        team: "rigging",
        tasks,
        taskSize: { cpuMillis: 1_000, memoryMib: 256, accelerators: 0 },
        atMostOnce: false,
        payload: JSON.stringify({ runMs: 12_000 }),
    });
    await cell.advance(2_000);
    await accepted;
    const owners = new Map<string, number>();
    for (const row of await cell.platform.table.scan("unit/rack/")) {
        const { owner } = row.value as { readonly owner: string; };
        owners.set(owner, (owners.get(owner) ?? 0) + 1);
    }
    const [sessionBefore = "", ownedBefore = 0] = [...owners].sort(([, left], [, right]) => right - left)[0] ?? [];
    const victim = sessionBefore.slice(0, sessionBefore.indexOf("~"));
    const failures: Readonly<Record<OwnerFailure, () => void>> = {
        "VM gone": () => cell.kill(victim, true),
        "process restarted": () => {
            cell.kill(victim, false);
            cell.restart(victim);
        },
        paused: () => cell.pause(victim),
    };
    failures[ending]();
    const failedAtMs = cell.clock.monotonicMs();
    const allRacksOwned = async (): Promise<boolean> => {
        const daemons = cell.daemons().filter(daemon =>
            !daemon.process.dead() && !daemon.process.paused() && daemon.node.ready()
        );
        const views = (await Promise.all(daemons.map(daemon => daemon.node.handlers.workers({ dataCentre: "" }))))
            .flat();
        const live = views.filter(view => view.state === "live" && view.ownerDaemonId !== sessionBefore);
        return new Set(live.map(view => view.workerId)).size === racks;
    };
    while (!await allRacksOwned() && cell.clock.monotonicMs() - failedAtMs < maxTakeoverMs) {
        await cell.advance(pollIntervalMs);
    }
    const takeoverMs = cell.clock.monotonicMs() - failedAtMs;
    await cell.advance(40_000);
    const executions = cell.executions();
    const completed = new Set(executions.filter(each => each.outcome === "completed").map(each => each.taskId));
    return {
        racks,
        ending,
        ownedBefore,
        takeoverMs,
        tasks,
        tasksLost: tasks - completed.size,
        tasksRunTwice: tasksRunTwice(executions, new Set()).length,
        tasksRunAgain: executions.length - tasks,
        sessionsFenced: cell.counterTotal("sessionsFenced"),
    };
};

/** Measures 1 to 60 racks, and up to 120 in a long run, in one data centre with three daemons, for each failure of the owner. */
export const takeover: Benchmark = async ({ long, seed }) => {
    const rows: Row[] = [];
    for (const racks of long ? [1, 3, 10, 30, 60, 120] : [1, 10, 60]) {
        for (const ending of ["VM gone", "process restarted", "paused"] as const) {
            rows.push(await measureTakeover(racks, ending, seed));
        }
    }
    return rows;
};
