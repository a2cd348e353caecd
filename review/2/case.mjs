/** An hourly submission that began a year ago is accepted among small ones; every accepted submission has to be completed. */

import { fileURLToPath } from "node:url";
import { backend, startDeployment } from "../lib/deployment.mjs";
import { sleep } from "../lib/http.mjs";
import { findLost } from "../lib/lostCheck.mjs";
import { createRequester, newId } from "../lib/requester.mjs";
import { brokenCode, failedCode, heldCode, runCase } from "../lib/runCase.mjs";

const folder = fileURLToPath(new URL(".", import.meta.url));
const withTrouble = process.env.TROUBLE !== "0";
const host = "nony24.example";
const prefix = "/lohu930/";
const routes = [{
    name: "r-3hwrr6x",
    host,
    path_prefix: prefix,
    type: "unsafe",
    timeout_ms: 3_000,
    target_runtime_ms: 250,
    priority: 0,
    backend,
    attempts: 2,
    stretch: 2.2,
}];
const trafficMs = 24_000;
const scheduledAtMs = 8_000;
const smallEveryMs = 200;
const small = { count: 1, cpu: 500, mem_mb: 256, estimate_ms: 800 };
const hourMs = 3_600_000;
const hoursOfYear = 365 * 24;
/** One occurrence: 40 tasks of a tenth of a core. */
const scheduled = { count: 40, cpu: 100, mem_mb: 64, estimate_ms: 500 };

const main = async () => {
    const deployment = await startDeployment({ folder, routes });
    const { record, executors, daemons, rotation, front } = deployment;
    try {
        if (!await deployment.untilReady(20_000)) {
            return failedCode;
        }
        await sleep(2_000);
        const requester = createRequester({ rotation, front, host, prefix, record });
        const jobs = [];
        const handIn = async (label, step, cpuNow, schedule) => {
            const job = { id: newId(), label, cpu: step.cpu, cpuNow, outcome: "open" };
            jobs.push(job);
            const body = { spec: JSON.stringify({ workMs: step.estimate_ms }), steps: [step], ...schedule };
            job.outcome = await requester.submit(job.id, body, label);
        };
        // Without the trouble, the same schedule begins now. Only whether it is known and answered is checked of it.
        const beganAgoMs = withTrouble ? hoursOfYear * hourMs : 0;
        const handInScheduled = () =>
            handIn("scheduled", scheduled, Infinity, {
                start_at_ms: Date.now() - beganAgoMs,
                interval_ms: hourMs,
                repeat_count: 2 * hoursOfYear,
            });
        const sent = [];
        const beganMs = performance.now();
        let isScheduled = false;
        while (performance.now() - beganMs < trafficMs) {
            if (!isScheduled && performance.now() - beganMs >= scheduledAtMs) {
                isScheduled = true;
                sent.push(handInScheduled());
            }
            sent.push(handIn("small", small, small.cpu, {}));
            await sleep(smallEveryMs);
        }
        await Promise.all(sent);
        record("the traffic has ended");
        const lost = await findLost({ jobs, executors, requester, record });
        const ownEnds = daemons.map(({ node, ownEnds: ends }) => `${node} ${ends}`).join(", ");
        record(`processes that ended by themselves, without any impairment: ${ownEnds}`);
        record(lost.length > 0 ? `rule broken: LOST for ${lost.length} accepted submissions` : "the rule held");
        return lost.length > 0 ? brokenCode : heldCode;
    }
    finally {
        await deployment.stop();
    }
};

runCase(main);
