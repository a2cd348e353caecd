/** Examples of the incarnations of workers, their crashes and their lost runs; each example uses one module by itself. */

import { createFakeClock, noopLog, noopMeter } from "@puffinarch/stand-ins";
import {
    adoptRun,
    allowsStart,
    clearCrashesIfSound,
    countCrash,
    crashedRuns,
    createCorrelatedCrashes,
    createDelayedStarts,
    createEndsWithoutTask,
    createLookSlots,
    createLostRuns,
    createMissingRuns,
    createRunOrders,
    dropContextOf,
    endedByMs,
    enterIncarnation,
    holdsForOneIncarnation,
    incarnationOf,
    isOtherIncarnation,
    isSettledByLook,
    knowledgeOf,
    leaveIncarnation,
    listedByMs,
    mayArrive,
    nextAbsenceStep,
    recordStartAnswered,
    recordStartUnanswered,
    runPhases,
    withUndecided,
} from "puffinarch";
import { exampleJob, openWorker, runOf } from "./shardFixtures.js";

const crashes = (): string => {
    const job = exampleJob();
    const worker = openWorker();
    const run = { ...runOf(job), startedAtMs: 990 };
    adoptRun(worker, run);
    for (const crashed of crashedRuns(worker, 1_000)) {
        countCrash(crashed, { others: 0, nowMs: 1_000 });
    }
    const { crashes: counted } = run.task;
    clearCrashesIfSound(run, 9_000);
    return `${counted} crash, then ${run.task.crashes}`;
};

const lostRuns = (): string => {
    const worker = openWorker();
    adoptRun(worker, { ...runOf(exampleJob()), startedAtMs: 990 });
    const lost = createLostRuns(() => {});
    lost.add({ workerId: "i-1", address: "10.0.0.1:1" }, crashedRuns(worker, 1_000), 1_000);
    return `${lost.replaced("10.0.0.1:1", "i-2").length} run was lost with i-1`;
};

const delayedStarts = async (): Promise<string> => {
    const clock = createFakeClock();
    const delayed = createDelayedStarts(clock);
    const order = { taskName: "5c0e7a21d94b36f8.0.1.17", run: 2 };
    delayed.record("i-1", order);
    const before = delayed.of("i-1").length;
    await clock.advance(13_000);
    return `${before} order, then ${delayed.has("i-1", order) ? "still one" : "none"}`;
};

const missingRuns = (): string => {
    const job = exampleJob();
    const worker = { ...openWorker(), bornAtMs: 500 };
    const stopped: number[] = [];
    adoptRun(worker, runOf(job));
    adoptRun(worker, { ...runOf(job), run: 2, mayArriveUntilMs: 6_500 });
    adoptRun(worker, { ...runOf(job), run: 3, phase: runPhases.stopping });
    const missing = createMissingRuns({
        clock: createFakeClock(),
        log: noopLog,
        meter: noopMeter,
        onChange: () => {},
        onFormerGone: () => {},
        onPossibleCrash: () => {},
        onMemberLost: () => {},
        onAbsent: () => {},
        fencingToken: 7,
        lookAgain: () => {},
        refuse: () => {},
        stop: (_worker, { run }) => stopped.push(run),
        stopMs: 900,
        claimedAtMs: 0,
    });
    missing.review(worker, new Set(), 10);
    return `${3 - worker.runs.size} of 3 is gone, run ${stopped.join()} has to be stopped first`;
};

const absence = (): string => {
    const run = { ...runOf(exampleJob()), wasListed: false, startedAtMs: undefined, sentAtMs: 5_000 };
    const missing = { ...run, missingSinceMs: 5_160 };
    const refused = { ...missing, refused: true };
    const times = { stopMs: 900 };
    const steps = [
        `${nextAbsenceStep(run, false)} until ${listedByMs(run, 5_160, times)}`,
        nextAbsenceStep(missing, false),
        `${nextAbsenceStep(refused, false)} after ${endedByMs(refused, 5_330, times)}`,
    ];
    return `${knowledgeOf(run)}: ${steps.join(", ")}`;
};

const dropContext = (): string => {
    const worker = { ...openWorker(), leaseHorizonMs: 5_000 };
    const { listed, listAgeMs, leaseLeftMs, startedMsAgo } = dropContextOf(
        worker,
        { ...runOf(exampleJob()), startedAtMs: 400 },
        { nowMs: 1_000, listAgeMs: () => 300.2, claimedAtMs: 0, fencingToken: 7 },
    );
    return `${listed === true ? "" : "not "}listed, list of ${listAgeMs} ms, lease for ${leaseLeftMs} ms, `
        + `at work for ${startedMsAgo} ms`;
};

const endsWithoutTask = (): string => {
    const lines: string[] = [];
    const ends = createEndsWithoutTask({
        clock: createFakeClock(),
        log: {
            write: (_level, _event, { ends: count, acknowledgedEnd, done, jobKnown }) =>
                lines.push(`${count} end up to ${acknowledgedEnd}: ${done} done, ${jobKnown} of known jobs`),
        },
        meter: noopMeter,
        jobOf: () => undefined,
    });
    const worker = openWorker();
    ends.record(worker, { endNumber: 7, taskName: "5c0e7a21d94b36f8.0.1.17", run: 1, how: "done", checkpoint: "" });
    ends.reportAcknowledged(worker);
    const before = lines.length === 0 ? "nothing" : "a line";
    worker.acknowledgedEnd = 7;
    ends.reportAcknowledged(worker);
    return `${before}, then ${lines.join("; ")}`;
};

const unansweredStart = (): string => {
    const run = { ...runOf(exampleJob()), mayArriveUntilMs: 6_500 };
    const at = (nowMs: number): string => `${mayArrive(run, nowMs) ? "" : "not "}at ${nowMs} ms`;
    const isSettled = holdsForOneIncarnation(run, { ticketsNameIncarnation: true });
    return `it may arrive ${at(2_000)}, ${at(9_000)}; one with a ticket of one incarnation is ${
        isSettled ? "settled by a look" : "awaited"
    }`;
};

const lookSlots = (): string => {
    const slots = createLookSlots(createFakeClock());
    return Array.from({ length: 4 }, () => `${slots.pauseMs(20)} ms`).join(", ");
};

const startBreaker = (): string => {
    const worker = openWorker();
    const run = { ...runOf(exampleJob()), phase: runPhases.planned };
    recordStartUnanswered(worker, 1_000, 1_150);
    recordStartUnanswered(worker, 1_001, 1_151);
    const restMs = worker.avoidUntilMs - 1_150;
    adoptRun(worker, run);
    const halfOpen = allowsStart(worker);
    recordStartAnswered(worker);
    return `${restMs} ms without starts, then ${halfOpen ? "all" : "one at a time"}, then ${
        allowsStart(worker) ? "all" : "none"
    }`;
};

const runOrders = async (): Promise<string> => {
    const clock = createFakeClock();
    const worker = openWorker();
    const delayedStarts = createDelayedStarts(clock);
    let token = 7;
    let looks = 0;
    const orders = createRunOrders({
        clock,
        log: noopLog,
        meter: noopMeter,
        worker,
        workers: {
            start: async () => "unknown",
            stop: async () => "done",
            pace: async () => "done",
            look: async () => ({ outcome: "unknown" }),
        },
        target: () => ({ workerId: "i-1", address: "10.0.0.1:1" }),
        leaseMs: 5_000,
        stopMs: 900,
        leaseLimitMs: 10_000,
        mayGetFormerLooks: false,
        orderPauseMs: 100,
        unansweredStartMs: 6_500,
        ticketsNameIncarnation: false,
        delayedStarts,
        isClosed: () => false,
        token: () => token,
        renewToken: () => {},
        isOvertaken: () => false,
        endsLink: () => false,
        lookSoon: () => {
            looks += 1;
        },
        onStarted: () => {},
        onNotStarted: () => {},
        onUnanswered: async () => {
            token = 8;
        },
    });
    worker.clock = { localMs: 0, clockMs: 0 };
    const run = { ...runOf(exampleJob()), phase: runPhases.starting };
    adoptRun(worker, run);
    await orders.start(run, "");
    return `${delayedStarts.of("i-1").length} order without an answer, ${looks} look under token ${token}`;
};

const incarnations = (): string => {
    const { workerId, bornAtMs } = incarnationOf({ ...openWorker(), bornAtMs: 1_000 });
    const next = isOtherIncarnation(bornAtMs, 900) ? "another one" : "the same one";
    return `${workerId}, then ${next}; ${isOtherIncarnation(undefined, 900) ? "another" : "maybe the same"}`;
};

const nextIncarnation = (): string => {
    const clock = createFakeClock();
    const former = { ...openWorker(), bornAtMs: 500 };
    const job = exampleJob();
    const [shown, unshown] = [runOf(job), { ...runOf(job), run: 2, wasListed: false }];
    adoptRun(former, shown);
    adoptRun(former, unshown);
    const delayed = createDelayedStarts(clock);
    const left = leaveIncarnation(former, delayed, 1_000);
    const next = enterIncarnation(former, left, {
        bornAtMs: 900,
        listed: undefined,
        leaseHorizonMs: 11_000,
        nowMs: 1_000,
    });
    const settled = isSettledByLook(unshown, delayed) ? "by its next look" : "by a stop";
    const suspects = withUndecided(next, left.suspects).length;
    return `${next.runs.size} of 2 runs may be there, ${knowledgeOf(unshown)}, settled ${settled}; `
        + `${suspects} may have crashed the incarnation before`;
};

const correlatedCrashes = (): string => {
    const crashes = createCorrelatedCrashes();
    const first = { workerId: "i-1", bornAtMs: 500 };
    const second = { workerId: "i-2", bornAtMs: 500 };
    crashes.record(first, 1_000, []);
    crashes.record(second, 1_100, []);
    crashes.answered(second);
    crashes.answered({ ...first, bornAtMs: 1_200 });
    return `${crashes.countOthersAt(1_050, exampleJob())} worker fell silent`;
};

/** Examples of the modules about incarnations of workers, by the module's name. */
export const shardIncarnationExamples: Readonly<Record<string, () => string | Promise<string>>> = {
    crashes,
    lostRuns,
    incarnations,
    delayedStarts,
    absence,
    missingRuns,
    dropContext,
    endsWithoutTask,
    unansweredStart,
    lookSlots,
    startBreaker,
    runOrders,
    nextIncarnation,
    correlatedCrashes,
};
