import { Given, Then, When } from "@cucumber/cucumber";
import { type Cell, platformEndpoint } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { initialDocument } from "puffinarch";
import { answering, cellPart, specOf, submit, tasksOf, untilEnded } from "./cellPart.js";
import { faultsOf } from "./platformSteps.js";
import type { ScenarioWorld } from "./support.js";

const home = "leon-feria-e0";
const other = "qro-arena-e0";

const newHolder = "leon-feria-e1";

/** What has happened to the jobs when the fault comes. */
interface Phase {
    readonly runMs: number;
    readonly reach: (cell: Cell) => Promise<void>;
}

const after = (ms: number) => (cell: Cell): Promise<void> => cell.advance(ms);

const phases: Readonly<Record<string, Phase>> = {
    "are submitted": { runMs: 2_000, reach: after(0) },
    "are started": { runMs: 2_000, reach: after(25) },
    run: { runMs: 2_000, reach: after(1_200) },
    end: { runMs: 2_000, reach: after(1_995) },
    "are answered": { runMs: 2_000, reach: after(2_040) },
    "are taken over": {
        runMs: 9_000,
        reach: async cell => {
            await cell.advance(1_000);
            cell.kill(home, true);
            await cell.advance(5_200);
        },
    },
    "are handed over": {
        runMs: 4_000,
        reach: async cell => {
            await cell.advance(1_000);
            stopGracefully(cell, home);
            await cell.advance(20);
        },
    },
};

Given(
    new RegExp(`^a batch job, an at-most-once job, a service and a gang that (${Object.keys(phases).join("|")})$`),
    async function(this: ScenarioWorld, name: string) {
        const { cell } = cellPart(this);
        const phase = phases[name] ?? assert.fail(`no phase is named ${name}`);
        const { runMs } = phase;
        const daemon = cell.daemon(home);
        const script = { runMs };
        await submit(this, daemon, specOf("batch-1", { tasks: 3, script }));
        await submit(this, daemon, specOf("once-1", { tasks: 3, atMostOnce: true, script }));
        await submit(
            this,
            daemon,
            specOf("service-1", { tasks: 2, workloadClass: "interactive", script: { runMs: 2 * runMs } }),
        );
        await submit(this, daemon, specOf("gang-1", { tasks: 4, workloadClass: "gang", script }));
        assert.equal(cellPart(this).jobIds.size, 4);
        await phase.reach(cell);
    },
);

const setTable = (cell: Cell, fault: string, probability: number): void =>
    cell.platform.faults.set("table", faultsOf(fault, probability));

const outPlatform = (cell: Cell): void => {
    setTable(cell, "refuse", 1);
    cell.platform.faults.set("vmList", [{ target: "vmList", kind: "refuse", probability: 1 }]);
};

const stopGracefully = (cell: Cell, vmId: string): void => {
    void cell.daemon(vmId).node.stop();
};

const cutDataCentre = (
    cell: Cell,
    dataCentre: string,
    places: (vmId: string, vmDataCentre: string) => readonly string[],
): void => {
    for (const daemon of cell.daemons()) {
        if (daemon.dataCentre !== dataCentre) {
            continue;
        }
        for (const place of places(daemon.vmId, daemon.dataCentre)) {
            cell.cut(daemon.vmId, place);
        }
    }
};

const othersOf = (cell: Cell, vmId: string): readonly string[] =>
    cell.daemons().map(daemon => daemon.vmId).filter(each => each !== vmId);

const farMachines = (cell: Cell, dataCentre: string): readonly string[] => [
    ...cell.daemons().filter(daemon => daemon.dataCentre !== dataCentre).map(daemon => daemon.vmId),
    ...cell.workers().map(worker => worker.workerId).filter(workerId => !workerId.startsWith(dataCentre)),
];

const simpleFaults: Readonly<Record<string, (cell: Cell) => void>> = {
    "the home daemon is killed": cell => cell.kill(home, true),
    "the home daemon is killed and started again on its VM": cell => {
        cell.kill(home, false);
        cell.restart(home);
    },
    "the home daemon is killed twice": cell => {
        cell.kill(home, false);
        cell.restart(home);
        cell.clock.setTimer(5_000, () => {
            cell.kill(home, false);
            cell.restart(home);
        });
    },
    "the home daemon is paused": cell => cell.pause(home),
    "the new holder is killed": cell => {
        cell.kill(newHolder, true);
        cell.addDaemon("leon-feria-e9", "leon-feria");
    },
    "the new holder is paused": cell => cell.pause(newHolder),
    "the new holder is cut off from the platform": cell => cell.cut(newHolder, platformEndpoint),
    "another daemon is killed": cell => cell.kill(other, true),
    "another daemon is paused": cell => cell.pause(other),
    "two daemons of one data centre are killed": cell => {
        cell.kill(home, true);
        cell.kill("leon-feria-e1", true);
        cell.addDaemon("leon-feria-e2", "leon-feria");
    },
    "the platform is out": outPlatform,
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
            const { jobs } = (cell.daemons()[index % cell.daemons().length] ?? cell.daemon(newHolder)).node;
            const spec = specOf(`wave-${index}`, { script: { runMs: 30_000 } });
            jobs.submit(spec).then(() => jobs.cancel(spec.jobId)).catch(() => undefined);
        }
    },
    "a job that never fits is submitted": cell => {
        const taskSize = { cpuMillis: 1_000_000, memoryMib: 1, accelerators: 0 };
        cell.daemon(newHolder).node.jobs.submit(specOf("giant", { taskSize })).catch(() => undefined);
    },
    "tasks use twice what they declared": cell => {
        const spec = specOf("greedy", { script: { runMs: 3_000, usedShare: 2 } });
        cell.daemon(newHolder).node.jobs.submit(spec).catch(() => undefined);
    },
    "the platform is slow": cell => setTable(cell, "slow", 1),
    "the platform loses every second reply": cell => setTable(cell, "loseReply", 0.5),
    "the platform answers late": cell => setTable(cell, "late", 0.5),
    "the data centres are cut off from each other": cell =>
        cutDataCentre(cell, "leon-feria", () => farMachines(cell, "leon-feria")),
    "a data centre is cut off from the platform": cell => cutDataCentre(cell, "leon-feria", () => [platformEndpoint]),
    "the home daemon is cut off from the platform": cell => cell.cut(home, platformEndpoint),
    "the home daemon is cut off from its peers": cell => othersOf(cell, home).forEach(vmId => cell.cut(home, vmId)),
    "a worker is lost": cell => cell.killWorker("leon-feria-w0"),
    "a worker is unreachable": cell => cell.worker("leon-feria-w0").setFaults({ unreachable: true }),
    "a worker fails everything": cell => cell.worker("leon-feria-w0").setFaults({ failsEverything: true }),
    "workers lose the replies to starts": cell =>
        cell.workers().forEach(worker => worker.setFaults({ losesStartReply: true })),
    "the home daemon is stopped gracefully": cell => stopGracefully(cell, home),
    "another daemon is stopped gracefully": cell => stopGracefully(cell, other),
};

const runFault = (cell: Cell, name: string): void => {
    const whole = simpleFaults[name];
    if (whole !== undefined) {
        whole(cell);
        return;
    }
    for (const part of name.split(" and ")) {
        const fault = simpleFaults[part] ?? assert.fail(`no fault is named ${part}`);
        fault(cell);
    }
};

const faultPattern = new RegExp(
    `^((?:${Object.keys(simpleFaults).join("|")})(?: and (?:${Object.keys(simpleFaults).join("|")}))*)$`,
);

When(faultPattern, function(this: ScenarioWorld, name: string) {
    runFault(cellPart(this).cell, name);
});

const heal = (cell: Cell): void => {
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
    new RegExp(`^(${Object.keys(simpleFaults).join("|")}), twice$`),
    async function(this: ScenarioWorld, name: string) {
        const { cell } = cellPart(this);
        runFault(cell, name);
        await cell.advance(5_000);
        heal(cell);
        await cell.advance(1_000);
        runFault(cell, name);
    },
);

When("everything is healed", function(this: ScenarioWorld) {
    heal(cellPart(this).cell);
});

When("every worker is lost", function(this: ScenarioWorld) {
    const { cell } = cellPart(this);
    for (const worker of cell.workers()) {
        cell.killWorker(worker.workerId);
    }
});

Then("every task is answered within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const { cell, jobIds } = cellPart(this);
    for (const jobId of jobIds) {
        await untilEnded(cell, jobId, limitMs);
    }
    assert.ok(answering(cell));
});

Then("the tasks of re-runnable jobs are all {string}", async function(this: ScenarioWorld, state: string) {
    const { cell, reRunnable } = cellPart(this);
    for (const jobId of reRunnable) {
        for (const task of await tasksOf(cell, jobId)) {
            assert.equal(task.state, state, `${task.taskId}: ${task.detail}`);
        }
    }
});

Then("the tasks of the at-most-once job are {string}", async function(this: ScenarioWorld, allowed: string) {
    const { cell, onceOnly } = cellPart(this);
    for (const jobId of onceOnly) {
        for (const task of await tasksOf(cell, jobId)) {
            assert.ok(allowed.split(" or ").includes(task.state), `${task.taskId} is ${task.state}: ${task.detail}`);
        }
    }
});
