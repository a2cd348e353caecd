/** Steps that test single modules of a shard, each with a fake clock of its own: commits, advice, forwarding, peers, acceptance. */

import { Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    createFakeRowStore,
    jobIdOf,
    noopLog,
    noopMeter,
    readSteps,
    testQueue,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    type Admission,
    createAcceptance,
    createAccounts,
    createAdviceDispatcher,
    createCommitLog,
    createCommitWait,
    createEndedJobs,
    createForwarder,
    createPeers,
    createRowReader,
    defaultShardSettings,
    errorOf,
    journalTable,
    kindOf,
    memberTable,
    type ShardJob,
    type ShardOwner,
    sleep,
} from "puffinarch";
import { part } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

When(
    "{int} jobs are committed, each again as soon as it is durable",
    async function(this: ScenarioWorld, count: number) {
        const clock = createFakeClock();
        const store = createFakeRowStore(clock);
        const fenced: string[] = [];
        const commits = createCommitLog({
            clock,
            log: noopLog,
            meter: noopMeter,
            store: store.connect("entry-1"),
            part: "shard-0",
            ownerVersion: 0,
            sequenceVersion: 0,
            storeLatencyMs: 8,
            claimId: "1",
            encode: jobId => ({ puts: [{ table: journalTable, key: jobId, value: "{}" }], removes: [] }),
            onFenced: () => fenced.push("fenced"),
        });
        let durable = 0;
        for (let number = 0; number < count; number += 1) {
            void commits.commit(String(number)).then(() => commits.commit(String(number))).then(() => {
                durable += 1;
            });
            await clock.advance(1);
        }
        await clock.advance(1_000);
        part(this).commitOutcome = { durable, fenced: fenced.length };
    },
);

Then(
    "{int} were made durable twice, and no batch was taken for another owner's",
    function(this: ScenarioWorld, count: number) {
        assert.deepEqual(part(this).commitOutcome, { durable: count, fenced: 0 });
    },
);

When(
    "the advice desk's lane gets urgent calls of {int} ms without end, and one call of a lower priority",
    async function(this: ScenarioWorld, callMs: number) {
        const clock = createFakeClock();
        const desk = createAdviceDispatcher({
            clock,
            log: noopLog,
            meter: noopMeter,
            lanes: () => ["entry-1"],
            call: async () => {
                await sleep(clock, callMs);
                return { good: [], validMs: 1_000 };
            },
        });
        const order = (priority: number, onAnswer: () => void) => ({
            stepName: `of priority ${priority}`,
            workerIds: ["i-1"],
            costMs: callMs,
            priority,
            isNeeded: () => true,
            onAnswer,
            onFailure: () => {},
        });
        const askUrgent = (): void => desk.enqueue(order(0, askUrgent));
        askUrgent();
        askUrgent();
        desk.enqueue(order(2, () => {
            part(this).adviceServedAtMs = clock.monotonicMs();
        }));
        part(this).faultAtMs = clock.monotonicMs();
        await clock.advance(60_000);
        desk.close();
    },
);

Then(
    "the advisor has served the call of the lower priority within {int} ms",
    function(this: ScenarioWorld, limitMs: number) {
        const { adviceServedAtMs, faultAtMs } = part(this);
        assert.ok(adviceServedAtMs !== undefined, "the call was not served within a minute");
        assert.ok(adviceServedAtMs - faultAtMs <= limitMs, `served after ${adviceServedAtMs - faultAtMs} ms`);
    },
);

When(
    "a request hangs at its owner, and the shard has another owner after {int} ms",
    async function(this: ScenarioWorld, afterMs: number) {
        const clock = createFakeClock();
        let owner = "entry-1";
        const forward = createForwarder({
            clock,
            retryAfterMs: 1_000,
            shard: () => undefined,
            ownerAddress: () => owner,
            ownerLostMs: () => 0,
            onNoAnswer: () => {},
        });
        const never = new Promise<never>(() => {});
        const answer = forward.run({
            refusal: "notAccepted",
            local: () => never,
            remote: address => address === "entry-1" ? never : Promise.resolve(address),
            totalTimeoutMs: 2_500,
        });
        const beganAtMs = clock.monotonicMs();
        void answer.then(by => {
            part(this).forwarded = { by, afterMs: clock.monotonicMs() - beganAtMs };
        });
        await clock.advance(afterMs);
        owner = "entry-2";
        forward.wake();
        await clock.advance(2_000);
    },
);

Then("it is answered by the next owner after {int} ms", function(this: ScenarioWorld, afterMs: number) {
    assert.equal(part(this).forwarded?.by, "entry-2");
    assert.ok(
        (part(this).forwarded?.afterMs ?? Infinity) <= afterMs + 60,
        `answered after ${part(this).forwarded?.afterMs} ms`,
    );
});

When(
    "the caller of a submission that reaches no owner closes its connection, and an owner is found {int} ms later",
    async function(this: ScenarioWorld, laterMs: number) {
        const clock = createFakeClock();
        const owners: string[] = [];
        let isAbandoned = false;
        const forward = createForwarder({
            clock,
            retryAfterMs: 1_000,
            shard: () => undefined,
            ownerAddress: () => owners[0],
            ownerLostMs: () => 0,
            onNoAnswer: () => {},
        });
        forward.run({
            refusal: "notAccepted",
            local: () => Promise.resolve("local"),
            remote: address => Promise.resolve(address),
            totalTimeoutMs: 2_500,
            isAbandoned: () => isAbandoned,
        }).then(by => {
            part(this).forwarded = { by, afterMs: 0 };
        }, () => {});
        await clock.advance(300);
        isAbandoned = true;
        await clock.advance(laterMs);
        owners.push("entry-1");
        forward.wake();
        await clock.advance(2_000);
    },
);

Then("the submission is not forwarded", function(this: ScenarioWorld) {
    assert.equal(part(this).forwarded, undefined);
});

When(
    "a ping of a peer is lost, and one that was sent {int} ms later is answered at once",
    async function(this: ScenarioWorld, afterMs: number) {
        const clock = createFakeClock();
        const self = { memberId: "entry-1", address: "http://a:1", dataCentre: "leon-feria", incarnation: "1" };
        const peer = { ...self, memberId: "entry-2", address: "http://b:1" };
        let calls = 0;
        const peers = createPeers({
            clock,
            log: noopLog,
            self,
            members: {
                call: async (_address, _name, _input, timeoutMs) => {
                    calls += 1;
                    if (calls === 1) {
                        await sleep(clock, timeoutMs);
                        throw errorOf({ kind: "mayHaveRun", message: "no answer" });
                    }
                    return { incarnation: "1", leaving: false, ownedToken: 0 } as never;
                },
            },
            reader: createRowReader({ log: noopLog, meter: noopMeter }),
            ownerVersion: () => 0,
            onOwner: () => {},
        });
        peers.applyRows([{
            table: memberTable,
            part: "",
            key: peer.memberId,
            value: JSON.stringify(peer),
            version: 1,
        }]);
        void peers.ping(peer);
        await clock.advance(afterMs);
        void peers.ping(peer);
        await clock.advance(1_000);
        part(this).isPeerSilent = peers.isSilent(peer.memberId);
    },
);

Then("the peer is not silent", function(this: ScenarioWorld) {
    assert.equal(part(this).isPeerSilent, false);
});

/** An admission that refuses nothing. */
const admitAll: Admission = {
    admit: () => undefined,
    track: submission => submission,
    accepted: () => {},
    inProgress: () => 0,
};

When("a job is accepted while a resend of it waits for a batch that stalls", async function(this: ScenarioWorld) {
    const clock = createFakeClock();
    const jobs = new Map<string, ShardJob>();
    const stallsFromMs = 300;
    let commitsBegun = 0;
    const commits = {
        commit: async () => {},
        confirm: async () => {},
        setAsideReason: () => undefined,
        withdraw: () => true,
        stalledMs: () => clock.monotonicMs() > stallsFromMs ? 5_000 : 0,
        expectedWaitMs: () => 0,
        answeredAtMs: () => 0,
        written: async () => {},
        probe: () => {},
        stop: () => {},
    };
    const submit = createAcceptance({
        maxHeldTasks: 100,
        backlogMs: () => 0,
        explainOversized: () => undefined,
        clock,
        log: noopLog,
        meter: noopMeter,
        jobs,
        queueOf: () => testQueue,
        accounts: createAccounts(),
        admission: admitAll,
        nextOrder: 1,
        commits,
        commitWait: createCommitWait({
            clock,
            settings: defaultShardSettings,
            commits,
            ownershipLost: new Promise<never>(() => {}),
        }),
        commit: async job => {
            commitsBegun += 1;
            await sleep(clock, commitsBegun === 1 ? 100 : 10_000);
            job.stored = true;
        },
        scheduleJob: () => {},
        dropPlannedStarts: () => {},
        endedJobs: Promise.resolve(createEndedJobs({ clock, retentionMs: 0, write: commits.commit })),
    });
    const submission = {
        jobId: jobIdOf(1),
        queueKey: testQueue.key,
        dataCentre: "leon-feria",
        payload: "plan",
        steps: readSteps("1"),
        schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
    };
    const { resendAnswers } = part(this);
    const send = async (): Promise<void> => {
        resendAnswers.push(await submit(submission).then(() => "accepted", (error: unknown) => kindOf(error)));
    };
    void send();
    await clock.advance(50);
    void send();
    await clock.advance(2_000);
    resendAnswers.push(jobs.has(submission.jobId) ? "known" : "unknown");
});

When(
    "a job that was cancelled is submitted and sent again while the store does not answer",
    async function(this: ScenarioWorld) {
        const clock = createFakeClock();
        const never = new Promise<never>(() => {});
        const commits = {
            commit: () => never,
            confirm: () => never,
            setAsideReason: () => undefined,
            withdraw: () => false,
            stalledMs: () => 5_000,
            expectedWaitMs: () => 0,
            answeredAtMs: () => 0,
            written: () => never,
            probe: () => {},
            stop: () => {},
        };
        const commitWait = createCommitWait({ clock, settings: defaultShardSettings, commits, ownershipLost: never });
        const endedJobs = createEndedJobs({ clock, retentionMs: 180_000, write: commits.commit });
        const submission = {
            jobId: jobIdOf(1),
            queueKey: testQueue.key,
            dataCentre: "leon-feria",
            payload: "plan",
            steps: readSteps("1"),
            schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
        };
        void endedJobs.recordCancel(submission);
        const submit = createAcceptance({
            clock,
            log: noopLog,
            meter: noopMeter,
            jobs: new Map(),
            queueOf: () => testQueue,
            accounts: createAccounts(),
            admission: admitAll,
            nextOrder: 1,
            commits,
            commitWait,
            maxHeldTasks: 100,
            backlogMs: () => 0,
            explainOversized: () => undefined,
            commit: commits.commit,
            scheduleJob: () => {},
            dropPlannedStarts: () => {},
            endedJobs: Promise.resolve(endedJobs),
        });
        const shard = { submit } as unknown as ShardOwner;
        const forwarder = createForwarder({
            clock,
            retryAfterMs: 1_000,
            shard: () => shard,
            ownerAddress: () => undefined,
            ownerLostMs: () => 0,
            onNoAnswer: () => {},
        });
        for (let attempt = 0; attempt < 2; attempt += 1) {
            const request = { refusal: "notAccepted" as const, totalTimeoutMs: 2_500 };
            void forwarder.run({
                ...request,
                local: owner => owner.submit(submission),
                remote: () => never,
            }).catch((error: unknown) => part(this).resendAnswers.push(kindOf(error)));
            await clock.advance(300);
        }
    },
);

Then("both are answered at once with {string}", function(this: ScenarioWorld, kind: string) {
    assert.deepEqual(part(this).resendAnswers, [kind, kind]);
});

Then("both are answered as accepted, and the job is known", function(this: ScenarioWorld) {
    assert.deepEqual(part(this).resendAnswers, ["accepted", "accepted", "known"]);
});
