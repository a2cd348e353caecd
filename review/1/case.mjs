/** One large submission is accepted among small ones; every accepted submission has to be completed. */

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
const largeAtMs = 8_000;
const smallEveryMs = 200;
/** The large submission; without the trouble the same work comes in submissions of `partTasks` tasks. */
const large = { count: 5_000, cpu: 40, mem_mb: 32, estimate_ms: 3_000 };
const partTasks = 100;
const partEveryMs = 200;
const small = { count: 1, cpu: 500, mem_mb: 256, estimate_ms: 800 };

const main = async () => {
    const deployment = await startDeployment({ folder, routes });
    const { record, executors, daemons, rotation, front, store } = deployment;
    try {
        if (!await deployment.untilReady(20_000)) {
            return failedCode;
        }
        await sleep(2_000);
        const requester = createRequester({ rotation, front, host, prefix, record });
        const jobs = [];
        const handIn = async (label, step) => {
            const job = { id: newId(), label, cpu: step.cpu, cpuNow: step.count * step.cpu, outcome: "open" };
            jobs.push(job);
            const body = { spec: JSON.stringify({ workMs: step.estimate_ms }), steps: [step] };
            job.outcome = await requester.submit(
                job.id,
                body,
                `${label}, ${step.count} tasks of ${step.cpu} thousandths of a core`,
            );
        };
        const sent = [];
        const sendLarge = async () => {
            if (withTrouble) {
                sent.push(handIn("large", large));
                return;
            }
            for (let part = 0; part < large.count / partTasks; part += 1) {
                sent.push(handIn("part", { ...large, count: partTasks }));
                await sleep(partEveryMs);
            }
        };
        const beganMs = performance.now();
        let largeSent = false;
        while (performance.now() - beganMs < trafficMs) {
            if (!largeSent && performance.now() - beganMs >= largeAtMs) {
                largeSent = true;
                sent.push(sendLarge());
            }
            sent.push(handIn("small", small));
            await sleep(smallEveryMs);
        }
        await Promise.all(sent);
        record("the traffic has ended");
        const lost = await findLost({ jobs, executors, requester, record });
        const ownEnds = daemons.reduce((sum, { ownEnds: ends }) => sum + ends, 0);
        record(`transactions refused by the store: ${store.refused()}; processes that ended by themselves: ${ownEnds}`);
        record(lost.length > 0 ? `rule broken: LOST for ${lost.length} accepted submissions` : "the rule held");
        return lost.length > 0 ? brokenCode : heldCode;
    }
    finally {
        await deployment.stop();
    }
};

runCase(main);
