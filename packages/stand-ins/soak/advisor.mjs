/** Stand-in for the advisor, which names the executors that may run a step and issues tickets for them, and what executors check of these. */

import { serveJson, sleep } from "../../../review/lib/http.mjs";

const maxWaiting = 32;

/** Starts the advisor. `bornOf` tells when the present life of an executor began. */
export const startAdvisor = async ({ host, decideMs, eachMs, validMs, bornOf }) => {
    /** The calls of each calling machine, which are handled one after the other. */
    const queues = new Map();
    const ticketFor = (step, id, untilMs) => [step, id, bornOf(id), untilMs].join("@");
    const server = await serveJson(host, 0, async ({ body, response }) => {
        const caller = response.req.socket.remoteAddress;
        const queue = queues.get(caller) ?? { length: 0, last: Promise.resolve() };
        queues.set(caller, queue);
        if (queue.length >= maxWaiting) {
            return { status: 429, body: {} };
        }
        queue.length += 1;
        queue.last = queue.last.then(() => sleep(decideMs + eachMs * body.workers.length));
        await queue.last;
        queue.length -= 1;
        const untilMs = Math.floor(performance.now() + validMs);
        return {
            status: 200,
            body: { good: body.workers.map(id => [id, ticketFor(body.step, id, untilMs)]), valid_ms: validMs },
        };
    });
    return {
        address: `${host}:${server.port}`,
        stop: server.stop,
        isValid: (ticket, task, id) => {
            const [step, holder, born, untilMs] = (ticket ?? "").split("@");
            return task.startsWith(`${step}.`) && holder === id && Number(born) === bornOf(id)
                && performance.now() < Number(untilMs);
        },
    };
};
