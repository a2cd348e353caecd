import { Given, Then, When } from "@cucumber/cucumber";
import { type Cell, platformEndpoint } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { initialDocument } from "puffinarch";
import { cellPart, createJobSpec, readyDaemon, submit, tasksOf, waitUntilFinal } from "./cellPart.js";
import { createTableFaults } from "./platformSteps.js";
import type { ScenarioWorld } from "./support.js";

/** The daemon that holds the home of the jobs, another daemon, and the one that takes the home over. */
const homeVmId = "leon-feria-e0";
const otherVmId = "qro-arena-e0";
const takeoverVmId = "leon-feria-e1";

/** A phase of the jobs' lives in which a fault is injected. */
interface Phase {
    /** How long each task runs. */
    readonly runMs: number;
    /** Advances the cell from the submission of the jobs to this phase. */
    readonly advanceToPhase: (cell: Cell) => Promise<void>;
}

const advanceBy = (ms: number) => (cell: Cell): Promise<void> => cell.advance(ms);

const phases: Readonly<Record<string, Phase>> = {
    "are submitted": { runMs: 2_000, advanceToPhase: advanceBy(0) },
    "are started": { runMs: 2_000, advanceToPhase: advanceBy(25) },
    run: { runMs: 2_000, advanceToPhase: advanceBy(1_200) },
    end: { runMs: 2_000, advanceToPhase: advanceBy(1_995) },
    "are answered": { runMs: 2_000, advanceToPhase: advanceBy(2_040) },
    "are taken over": {
        runMs: 9_000,
        advanceToPhase: async cell => {
            await cell.advance(1_000);
            cell.kill(homeVmId, true);
            await cell.advance(5_200);
        },
    },
    "are handed over": {
        runMs: 4_000,
        advanceToPhase: async cell => {
            await cell.advance(1_000);
            stopGracefully(cell, homeVmId);
            await cell.advance(20);
        },
    },
};

Given(
    new RegExp(`^a batch job, an at-most-once job, a service and a gang that (${Object.keys(phases).join("|")})$`),
    async function(this: ScenarioWorld, name: string) {
        const { cell } = cellPart(this);
        const phase = phases[name] ?? assert.fail(`unknown phase "${name}"`);
        const { runMs } = phase;
        const daemon = cell.daemon(homeVmId);
        const script = { runMs };
        await submit(this, daemon, createJobSpec("batch-1", { tasks: 3, script }));
        await submit(this, daemon, createJobSpec("once-1", { tasks: 3, atMostOnce: true, script }));
        await submit(
            this,
            daemon,
            createJobSpec("service-1", { tasks: 2, workloadClass: "interactive", script: { runMs: 2 * runMs } }),
        );
        await submit(this, daemon, createJobSpec("gang-1", { tasks: 4, workloadClass: "gang", script }));
        assert.equal(cellPart(this).jobIds.size, 4);
        await phase.advanceToPhase(cell);
    },
);

const setTable = (cell: Cell, fault: string, probability: number): void =>
    cell.platform.faults.set("table", createTableFaults(fault, probability));

const failPlatform = (cell: Cell): void => {
    setTable(cell, "refuse", 1);
    cell.platform.faults.set("vmList", [{ target: "vmList", kind: "refuse", probability: 1 }]);
};

const stopGracefully = (cell: Cell, vmId: string): void => {
    void cell.daemon(vmId).node.stop();
};

const cutDataCentre = (
    cell: Cell,
    dataCentre: string,
    disconnectedFrom: (vmId: string, vmDataCentre: string) => readonly string[],
): void => {
    for (const daemon of cell.daemons()) {
        if (daemon.dataCentre !== dataCentre) {
            continue;
        }
        for (const place of disconnectedFrom(daemon.vmId, daemon.dataCentre)) {
            cell.cut(daemon.vmId, place);
        }
    }
};

const otherVmIds = (cell: Cell, vmId: string): readonly string[] =>
    cell.daemons().map(daemon => daemon.vmId).filter(each => each !== vmId);

const machinesInOtherDataCentres = (cell: Cell, dataCentre: string): readonly string[] => [
    ...cell.daemons().filter(daemon => daemon.dataCentre !== dataCentre).map(daemon => daemon.vmId),
    ...cell.workers().map(worker => worker.workerId).filter(workerId => !workerId.startsWith(dataCentre)),
];

const faultInjections: Readonly<Record<string, (cell: Cell) => void>> = {
    "the home daemon is killed": cell => cell.kill(homeVmId, true),
    "the home daemon is killed and started again on its VM": cell => {
        cell.kill(homeVmId, false);
        cell.restart(homeVmId);
    },
    "the home daemon is killed twice": cell => {
        cell.kill(homeVmId, false);
        cell.restart(homeVmId);
        cell.clock.setTimer(5_000, () => {
            cell.kill(homeVmId, false);
            cell.restart(homeVmId);
        });
    },
    "the home daemon is paused": cell => cell.pause(homeVmId),
    "the new holder is killed": cell => {
        cell.kill(takeoverVmId, true);
        cell.addDaemon("leon-feria-e9", "leon-feria");
    },
    "the new holder is paused": cell => cell.pause(takeoverVmId),
    "the new holder is cut off from the platform": cell => cell.cut(takeoverVmId, platformEndpoint),
    "another daemon is killed": cell => cell.kill(otherVmId, true),
    "another daemon is paused": cell => cell.pause(otherVmId),
    "two daemons of one data centre are killed": cell => {
        cell.kill(homeVmId, true);
        cell.kill("leon-feria-e1", true);
        cell.addDaemon("leon-feria-e2", "leon-feria");
    },
    "the platform is out": failPlatform,
    "operators race": cell => {
        for (const [index, daemon] of cell.daemons().entries()) {
            const policies = [...initialDocument.policies, {
                name: `operator-${index}`,
                placement: "bestFit" as const,
                sampleSize: 2,
            }];
            const context = { expectedVersion: 0, author: `operator-${index}`, reason: "a race" };
            daemon.node.configuration.apply({ ...initialDocument, policies }, context).catch(() => undefined);
        }
    },
    "a wave of cancels comes": cell => {
        for (let index = 0; index < 40; index += 1) {
            const { jobs } = (cell.daemons()[index % cell.daemons().length] ?? cell.daemon(takeoverVmId)).node;
            const spec = createJobSpec(`wave-${index}`, { script: { runMs: 30_000 } });
            jobs.submit(spec).then(() => jobs.cancel(spec.jobId)).catch(() => undefined);
        }
    },
    "a job that never fits is submitted": cell => {
        const taskSize = { cpuMillis: 1_000_000, memoryMib: 1, accelerators: 0 };
        cell.daemon(takeoverVmId).node.jobs.submit(createJobSpec("giant", { taskSize })).catch(() => undefined);
    },
    "tasks use twice what they declared": cell => {
        const spec = createJobSpec("greedy", { script: { runMs: 3_000, usedShare: 2 } });
        cell.daemon(takeoverVmId).node.jobs.submit(spec).catch(() => undefined);
    },
    "the platform is slow": cell => setTable(cell, "slow", 1),
    "the platform loses every second reply": cell => setTable(cell, "loseReply", 0.5),
    "the platform answers late": cell => setTable(cell, "late", 0.5),
    "the data centres are cut off from each other": cell =>
        cutDataCentre(cell, "leon-feria", () => machinesInOtherDataCentres(cell, "leon-feria")),
    "a data centre is cut off from the platform": cell => cutDataCentre(cell, "leon-feria", () => [platformEndpoint]),
    "the home daemon is cut off from the platform": cell => cell.cut(homeVmId, platformEndpoint),
    "the home daemon is cut off from its peers": cell =>
        otherVmIds(cell, homeVmId).forEach(vmId => cell.cut(homeVmId, vmId)),
    "a worker is lost": cell => cell.killWorker("leon-feria-w0"),
    "a worker is unreachable": cell => cell.worker("leon-feria-w0").setFaults({ unreachable: true }),
    "a worker fails everything": cell => cell.worker("leon-feria-w0").setFaults({ failsEverything: true }),
    "workers lose the replies to starts": cell =>
        cell.workers().forEach(worker => worker.setFaults({ losesStartReply: true })),
    "the home daemon is stopped gracefully": cell => stopGracefully(cell, homeVmId),
    "another daemon is stopped gracefully": cell => stopGracefully(cell, otherVmId),
};

const injectFault = (cell: Cell, name: string): void => {
    // The name of a single fault may contain " and ", so the whole name is looked up before it is split.
    const injectWhole = faultInjections[name];
    if (injectWhole !== undefined) {
        injectWhole(cell);
        return;
    }
    for (const part of name.split(" and ")) {
        const fault = faultInjections[part] ?? assert.fail(`unknown fault "${part}"`);
        fault(cell);
    }
};

const faultPattern = new RegExp(
    `^((?:${Object.keys(faultInjections).join("|")})(?: and (?:${Object.keys(faultInjections).join("|")}))*)$`,
);

When(faultPattern, function(this: ScenarioWorld, name: string) {
    injectFault(cellPart(this).cell, name);
});

const clearFaults = (cell: Cell): void => {
    cell.platform.faults.set("table", []);
    cell.platform.faults.set("tableWrites", []);
    cell.platform.faults.set("vmList", []);
    cell.healAll();
    for (const worker of cell.workers()) {
        worker.setFaults({ failsEverything: false, losesStartReply: false, unreachable: false });
    }
    for (const daemon of cell.daemons()) {
        daemon.process.resume();
    }
};

When(
    new RegExp(`^(${Object.keys(faultInjections).join("|")}), twice$`),
    async function(this: ScenarioWorld, name: string) {
        const { cell } = cellPart(this);
        injectFault(cell, name);
        await cell.advance(5_000);
        clearFaults(cell);
        await cell.advance(1_000);
        injectFault(cell, name);
    },
);

When("every fault is cleared", function(this: ScenarioWorld) {
    clearFaults(cellPart(this).cell);
});

When("every worker is lost", function(this: ScenarioWorld) {
    const { cell } = cellPart(this);
    for (const worker of cell.workers()) {
        cell.killWorker(worker.workerId);
    }
});

Then("every task is final within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const { cell, jobIds } = cellPart(this);
    for (const jobId of jobIds) {
        await waitUntilFinal(cell, jobId, limitMs);
    }
    assert.ok(readyDaemon(cell));
});

Then("the tasks of re-runnable jobs are all {string}", async function(this: ScenarioWorld, state: string) {
    const { cell, rerunnableJobIds } = cellPart(this);
    for (const jobId of rerunnableJobIds) {
        for (const task of await tasksOf(cell, jobId)) {
            assert.equal(task.state, state, `${task.taskId}: ${task.detail}`);
        }
    }
});

Then("the tasks of the at-most-once job are {string}", async function(this: ScenarioWorld, allowed: string) {
    const { cell, atMostOnceJobIds } = cellPart(this);
    for (const jobId of atMostOnceJobIds) {
        for (const task of await tasksOf(cell, jobId)) {
            assert.ok(allowed.split(" or ").includes(task.state), `${task.taskId} is ${task.state}: ${task.detail}`);
        }
    }
});
