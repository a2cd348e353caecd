/**
 * Soak of the users' deployment with real processes: plays seeds, or a directed scene, and judges whether a task ran twice.
 *
 *     npm run soak -- --seeds 10 --from 1
 *     npm run soak -- --scene pausedOwner --pauses 3000,4500,6000
 *     npm run soak -- --play handOvers --for 60000 --seeds 3
 *
 * `--play handOvers` tells owners to stop, one after the other, among executors that check tickets and take some milliseconds to begin a run.
 * `--play restarts` does so beside jobs that last, among executors that keep their IDs, restart together, may drain before, and take up to
 * 0.9 s for a stop. In any play, `--keep-ids` has executors keep their IDs, `--hide-stops` has their looks not list a run that is being
 * stopped, and `--late-starts MS` has them begin a run up to that long after they have accepted it for good.
 * `--keep FOLDER` keeps the order of events and the daemons' logs of each play with a breach, with `--all` those of all plays. `--judge FILE`
 * judges a kept `record.txt` again.
 */

import { copyFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { backend, bounds, startDeployment } from "../../../review/lib/deployment.mjs";
import { send, sleep } from "../../../review/lib/http.mjs";
import { brokenCode, failedCode, heldCode, runCase } from "../../../review/lib/runCase.mjs";
import { causeFaults, createRandom, handOverAgain, pauseOwner, restartTogether } from "./faults.mjs";
import { judge } from "./judge.mjs";
import { handInJobs, host, prefix } from "./load.mjs";
import { openNetwork } from "./network.mjs";

const advice = { decideMs: 19, eachMs: 0.28, validMs: 2_000 };
const routesFor = isAdvised => [{
    name: "r-3hwrr6x",
    host,
    path_prefix: prefix,
    type: "unsafe",
    timeout_ms: 3_000,
    target_runtime_ms: 250,
    priority: 0,
    backend,
    attempts: 5,
    stretch: 2.2,
    ...isAdvised ? { advice: { decide_ms: advice.decideMs, each_ms: advice.eachMs, valid_ms: advice.validMs } } : {},
}];
const readyWithinMs = 30_000;
const warmUpMs = 4_000;
/** Old enough that a run's row no longer says that its start may still arrive. */
const sceneWarmUpMs = 22_000;
const faultsMs = [30_000, 35_000];
/** Time after the last fault in which a successor starts again what it counts as lost. */
const settleMs = 12_000;
const feedWaitMs = 5_000;
const maxTries = 3;
/** Breaches printed for each play; `--judge` prints all. */
const maxLines = 4;

/** Follows the owner row in the store itself, beside all proxies; records each claim. */
const followOwner = ({ store, record, isOver }) => {
    const [storeHost, port] = store.address.split(":");
    let owner;
    let version = 0;
    const follow = async () => {
        while (!isOver()) {
            const path = `/-/rows-feed?table=puffinarch-owner&after=${version}&wait_ms=${feedWaitMs}`;
            const { status, body } = await send("GET", { host: storeHost, port, path, timeoutMs: 2 * feedWaitMs });
            for (const row of status === 200 ? body.rows : []) {
                version = row.schema_ver;
                owner = JSON.parse(Buffer.from(row.value, "base64").toString("utf8")).memberId;
                record(`${owner} owns the shard, token ${version}`);
            }
        }
    };
    void follow();
    return () => owner;
};

/** Jobs of the directed scene: half of the tasks last through the whole takeover. */
const sceneJob = random => ({
    spec: JSON.stringify({ workMs: random() < 0.5 ? 60_000 : 1_000 + Math.round(random() * 5_000) }),
    steps: [{ count: 3, cpu: 300, mem_mb: 128, estimate_ms: 5_000 }],
});

const longShare = 0.15;
const mostTasks = 24;

/** Jobs with many starts: most of a few tasks and some of many. */
const busyJob = random => {
    const between = (least, most) => Math.round(least + random() * (most - least));
    const workMs = random() < longShare ? between(4_000, 15_000) : between(300, 2_000);
    const steps = Array.from({ length: between(1, 3) }, (_each, index) => ({
        count: between(2, 2 + (mostTasks - 2) * random() ** 2),
        cpu: 1_500,
        mem_mb: 512,
        estimate_ms: workMs,
        ...index > 0 ? { after: [index - 1] } : {},
    }));
    return { spec: JSON.stringify({ workMs }), steps };
};

const lastingShare = 0.06;
/** Longer than any play. */
const lastingWorkMs = 600_000;

/** Busy jobs, and some that last until they are cancelled. */
const lastingJob = random =>
    random() < lastingShare
        ? {
            spec: JSON.stringify({ workMs: lastingWorkMs }),
            steps: [{ count: 8, cpu: 500, mem_mb: 256, estimate_ms: 5_000, long_running: true }],
        }
        : busyJob(random);

/** Tells owners to stop for `forMs`. */
const playHandOvers = async ({ forMs, ...context }) => {
    const untilMs = performance.now() + forMs;
    await handOverAgain({ ...context, isOver: () => performance.now() > untilMs });
};

const scenes = {
    seed: {
        warmUpMs,
        play: async ({ random, ...context }) => {
            const untilMs = performance.now() + faultsMs[0] + random() * (faultsMs[1] - faultsMs[0]);
            await causeFaults({ ...context, random, isOver: () => performance.now() > untilMs });
        },
    },
    pausedOwner: { warmUpMs: sceneWarmUpMs, newJobOf: sceneJob, play: pauseOwner },
    handOvers: {
        warmUpMs,
        newJobOf: busyJob,
        betweenMs: 110,
        network: { advice, startTakesMs: 250 },
        play: playHandOvers,
    },
    restarts: {
        warmUpMs,
        newJobOf: lastingJob,
        betweenMs: 110,
        network: { advice, startTakesMs: 250, stopTakesMs: 900, keepIds: true },
        play: context => playHandOvers({ ...context, crash: restartTogether }),
    },
    lateAnswers: {
        warmUpMs: sceneWarmUpMs,
        newJobOf: sceneJob,
        play: context => pauseOwner({ ...context, silent: true }),
    },
};

/** Plays one scene; returns its breaches and figures. */
const playScene = async ({ scene, seed, forMs, folder, habits }) => {
    process.env.KEEP_LOG = join(folder, "daemons.log");
    const deployment = await startDeployment({ folder, routes: routesFor(scene.network?.advice !== undefined) });
    const { record } = deployment;
    let over = false;
    let network;
    try {
        network = await openNetwork({
            deployment,
            holdMaxMs: bounds.hold_max_ms,
            startTakesMs: 0,
            stopTakesMs: bounds.stop_ms,
            ...scene.network,
            ...habits,
        });
        record(`the play began at ${new Date().toISOString()}`);
        const ownerOf = followOwner({ ...deployment, isOver: () => over });
        if (!await deployment.untilReady(readyWithinMs)) {
            throw new Error(`the daemons did not become ready; see ${folder}`);
        }
        const random = createRandom(seed);
        const jobs = handInJobs({
            deployment,
            random: createRandom(~seed),
            newJobOf: scene.newJobOf,
            betweenMs: scene.betweenMs,
            isOver: () => over,
        });
        await sleep(scene.warmUpMs);
        await scene.play({ deployment, network, random, ownerOf, forMs });
        record("the faults are over");
        await sleep(settleMs);
        over = true;
        const outcomes = await jobs;
        const text = readFileSync(join(folder, "record.txt"), "utf8");
        const { breaches, figures } = judge(text);
        const claims = text.match(/owns the shard/g)?.length ?? 0;
        return { breaches, figures: { ...figures, claims, ...outcomes } };
    }
    finally {
        over = true;
        await deployment.stop();
        network?.stop();
    }
};

/** Plays a scene again where two of its parts have chosen the same port. */
const playWithFreePorts = async play => {
    for (let tries = 1;; tries += 1) {
        try {
            return await playScene(play);
        }
        catch (error) {
            if (error.code !== "EADDRINUSE" || tries === maxTries) {
                throw error;
            }
        }
    }
};

const { values } = parseArgs({
    options: {
        play: { type: "string", default: "seed" },
        seeds: { type: "string", default: "1" },
        from: { type: "string", default: "1" },
        scene: { type: "string" },
        pauses: { type: "string", default: "3000,4000,4500,5000,6000,8000,10000" },
        keep: { type: "string" },
        all: { type: "boolean", default: false },
        judge: { type: "string" },
        for: { type: "string", default: "60000" },
        "keep-ids": { type: "boolean", default: false },
        "hide-stops": { type: "boolean", default: false },
        "late-starts": { type: "string" },
    },
});

/** What the options change in the executors of a play. */
const habits = {
    hidesStops: values["hide-stops"],
    ...values["keep-ids"] ? { keepIds: true } : {},
    ...values["late-starts"] === undefined ? {} : { acceptsWhole: true, startTakesMs: Number(values["late-starts"]) },
};

/** The plays that the options ask for, each with its name. */
const plays = () => {
    const from = Number(values.from);
    if (values.scene !== undefined) {
        return values.pauses.split(",").map(pause => ({
            name: `${values.scene}-${pause}`,
            scene: scenes[values.scene],
            seed: from,
            forMs: Number(pause),
        }));
    }
    return Array.from({ length: Number(values.seeds) }, (_each, index) => ({
        name: `${values.play}-${from + index}`,
        scene: scenes[values.play],
        forMs: Number(values.for),
        seed: from + index,
    }));
};

const main = async () => {
    if (values.judge !== undefined) {
        const { breaches, figures } = judge(readFileSync(values.judge, "utf8"));
        process.stdout.write(`${[JSON.stringify(figures), ...breaches].join("\n")}\n`);
        return breaches.length > 0 ? brokenCode : heldCode;
    }
    let code = heldCode;
    for (const play of plays()) {
        const folder = mkdtempSync(join(tmpdir(), "puffinarch-soak-"));
        try {
            const { breaches, figures } = await playWithFreePorts({ ...play, folder, habits });
            process.stdout.write(`${play.name}: ${breaches.length} breaches, ${JSON.stringify(figures)}\n`);
            for (const breach of breaches.slice(0, maxLines)) {
                process.stdout.write(`    ${breach}\n`);
            }
            if (breaches.length > 0) {
                code = brokenCode;
            }
            if (values.keep !== undefined && (breaches.length > 0 || values.all)) {
                const kept = join(values.keep, play.name);
                mkdirSync(kept, { recursive: true });
                for (const file of ["record.txt", "daemons.log"]) {
                    copyFileSync(join(folder, file), join(kept, file));
                }
            }
        }
        catch (error) {
            process.stdout.write(`${play.name}: not played: ${error.message}\n`);
            code = failedCode;
        }
        rmSync(folder, { recursive: true, force: true });
    }
    return code;
};

runCase(main);
