/**
 * Stands before one executor. It records each order that the executor answers: who sent it, the token, the ends that it acknowledges, and by
 * when the lease that it grants ends. It also gives the executor habits: an ID that it keeps, starts and stops that take time, and tickets.
 */

import { Agent } from "node:http";
import { serveJson, sleep } from "../../../review/lib/http.mjs";
import { passOn } from "./passOn.mjs";

/** The higher, the fewer starts take nearly the longest time. */
const startRarity = 8;
/** Time that a stop takes in the executor itself. */
const shortestStopMs = 60;
const otherLifeStatus = 421;
const paths = { start: "/-/run-start", stop: "/-/run-stop", look: "/-/hold", pace: "/-/pace" };
const keyOf = ({ task, run }) => `${task} ${run}`;

/**
 * What the executor does beyond the review's: a start takes up to `startTakesMs` after its token was checked, and a stop up to `stopTakesMs`.
 * With `acceptsWhole`, a start is not refused any more once it has been accepted; with `hidesStops`, looks do not list a run that is being
 * stopped. `call` reaches one life of the executor.
 */
const createHabits = ({ startTakesMs, stopTakesMs, acceptsWhole, hidesStops }, runs) => {
    const state = { token: 0, accepted: new Set(), begun: new Set(), stopping: new Set() };
    const raise = ({ fencing_token: token = 0 }) => {
        state.token = Math.max(state.token, token);
    };
    const start = async (body, call) => {
        const isAccepted = body.fencing_token >= state.token;
        raise(body);
        if (isAccepted && acceptsWhole) {
            state.accepted.add(keyOf(body));
        }
        if (startTakesMs > 0) {
            await sleep(startTakesMs * Math.random() ** startRarity);
        }
        state.accepted.delete(keyOf(body));
        const answer = await call(paths.start, isAccepted ? { ...body, fencing_token: state.token } : body);
        if (answer?.status === 200) {
            state.begun.add(keyOf(body));
        }
        return answer;
    };
    const stop = async (body, call) => {
        raise(body);
        const key = keyOf(body);
        const isAccepted = state.accepted.has(key);
        if (!isAccepted && !(state.begun.has(key) && runs(body.task))) {
            return call(paths.stop, body);
        }
        // Checks the token and answers with the clock, as a stop does.
        const answer = await call(paths.pace, body);
        if (answer?.status !== 200) {
            return answer;
        }
        if (isAccepted) {
            return { status: 409, body: { ...answer.body, reason: "old" } };
        }
        if (!state.stopping.has(key)) {
            state.stopping.add(key);
            const restMs = Math.random() * Math.max(0, stopTakesMs - shortestStopMs);
            setTimeout(() => call(paths.stop, { ...body, fencing_token: state.token }), restMs).unref();
        }
        return answer;
    };
    const look = async (body, call) => {
        raise(body);
        const answer = await call(paths.look, body);
        if (answer?.body?.running === undefined || !hidesStops) {
            return answer;
        }
        const running = answer.body.running.filter(([task, run]) => !state.stopping.has(keyOf({ task, run })));
        return { ...answer, body: { ...answer.body, running } };
    };
    return { [paths.start]: start, [paths.stop]: stop, [paths.look]: look };
};

/** Starts the recorder of one executor, which listens at `host` and calls it at `target`. */
export const serveRecorder = (
    { host, target, executor, lives, habits, holdMaxMs, nameOf, nowS, record, advisor, tellsBorn },
) => {
    const agent = new Agent({ keepAlive: true });
    const habitsByLife = new Map();
    const habitsOf = life => {
        habitsByLife.set(life, habitsByLife.get(life) ?? createHabits(habits, executor.runs));
        return habitsByLife.get(life);
    };
    return serveJson(host, target.port, async ({ method, url, headers, body, response }) => {
        const path = url.pathname;
        const { socket } = response.req;
        const sender = nameOf(socket.remoteAddress);
        const arrivedS = nowS();
        const { id, life, born } = lives.of(executor);
        const meant = headers["x-expected-instance"];
        const isMeant = meant === id;
        const expected = isMeant ? life : meant;
        const isUp = () => executor.id() === life;
        if (path === paths.start && advisor !== undefined && isMeant && isUp()) {
            if (!advisor.isValid(body.ticket, body.task, meant)) {
                record(`order ${path} ${body.task} run ${body.run} of ${sender} has no valid ticket at ${expected}`);
                return { status: 409, body: { clock_ms: 0, reason: "ticket" } };
            }
        }
        const call = async (callPath, callBody) => {
            const answer = await passOn(agent, {
                ...target,
                method,
                path: callPath,
                headers: expected === undefined ? {} : { "x-expected-instance": expected },
                body: callBody,
            });
            // The life that took the order is over, and the next one has another ID behind this recorder.
            return isMeant && answer?.status === otherLifeStatus ? undefined : answer;
        };
        const answer = await (isMeant && habitsOf(life)[path] || (sent => call(path, sent)))(body, call);
        if (answer === undefined) {
            socket.resetAndDestroy();
            return undefined;
        }
        if (body === undefined) {
            return answer;
        }
        const { clock_ms: clockMs, reason } = answer.body;
        const { task = "-", run = 0, deadline_ms: deadlineMs, seen_upto: seenUpto = 0, fencing_token: token } = body;
        const extendsLease = deadlineMs !== undefined && (answer.status === 200 || reason === "old");
        const leaseS = extendsLease
            ? (Number(nowS()) + Math.min(deadlineMs - clockMs, holdMaxMs) / 1_000).toFixed(3)
            : 0;
        record(
            `order ${path} ${task} run ${run} of ${sender} token ${token} seen ${seenUpto} lease ${leaseS} `
                + `arrived ${arrivedS} at ${expected} answered ${answer.status} ${reason ?? ""}`,
        );
        return tellsBorn && answer.status === 200 ? { ...answer, body: { ...answer.body, born } } : answer;
    });
};
