/** Callers that keep their connections open, and hand in jobs of several steps for as long as a play lasts. */

import { Agent, request as openRequest } from "node:http";
import { sleep } from "../../../review/lib/http.mjs";

export const host = "nony24.example";
export const prefix = "/lohu930/";
const callTimeoutMs = 3_000;
const retryPauseMs = 300;
const maxAttempts = 6;
const betweenJobsMs = 220;
/** Share of jobs that last longer than any takeover: the rows of their runs are old when the owner changes. */
const longShare = 0.06;
const longWorkMs = [12_000, 45_000];

const newJob = random => {
    const between = (least, most) => Math.round(least + random() * (most - least));
    const workMs = random() < longShare ? between(...longWorkMs) : between(500, 6_000);
    const steps = Array.from({ length: between(1, 3) }, (_each, index) => ({
        count: between(1, 6),
        cpu: 500,
        mem_mb: 256,
        estimate_ms: workMs,
        ...index > 0 ? { after: [index - 1] } : {},
    }));
    return { spec: JSON.stringify({ workMs }), steps };
};

/** Starts to hand jobs in; `isOver` ends it. Returns the outcomes by their name. */
export const handInJobs = async ({ deployment, random, isOver, newJobOf = newJob, betweenMs = betweenJobsMs }) => {
    const { rotation, front, record } = deployment;
    const agent = new Agent({ keepAlive: true, maxSockets: 8 });
    const outcomes = { accepted: 0, refused: 0, unknown: 0 };
    const call = (daemon, id, body) =>
        new Promise(resolve => {
            const text = JSON.stringify(body);
            const request = openRequest({
                agent,
                method: "POST",
                host: daemon.ip,
                port: front,
                path: prefix + id,
                headers: {
                    host,
                    "x-request-deadline": String(callTimeoutMs),
                    "content-type": "application/json",
                    "content-length": Buffer.byteLength(text),
                },
            }, response => {
                response.resume();
                response.on("end", () => resolve(response.statusCode));
                response.on("error", () => resolve(0));
            });
            request.setTimeout(callTimeoutMs, () => request.destroy());
            request.on("error", () => resolve(0));
            request.on("close", () => resolve(0));
            request.end(text);
        });
    const handIn = async body => {
        const id = Array.from({ length: 16 }, () => Math.floor(random() * 16).toString(16)).join("");
        let outcome = "refused";
        for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
            const daemons = rotation();
            const status = await call(daemons[Math.floor(random() * daemons.length)], id, body);
            if (status >= 200 && status < 300) {
                outcome = "accepted";
                break;
            }
            outcome = status === 429 || status === 503 ? outcome : "unknown";
            await sleep(retryPauseMs);
        }
        outcomes[outcome] += 1;
        record(`job ${id} of ${body.steps.map(({ count }) => count).join("+")} tasks of ${body.spec}: ${outcome}`);
    };
    const sent = [];
    while (!isOver()) {
        sent.push(handIn(newJobOf(random)));
        await sleep(betweenMs);
    }
    await Promise.all(sent);
    agent.destroy();
    return outcomes;
};
