/**
 * A task that uses no processor time, as one that works on a GPU or waits for another service: its `cpu` is 0 and thus left out, and the figure in its
 * row of `running` is 0.
 */
import { bounds, newJobId, runCase } from "../lib-2/deployment.mjs";
import { sleep } from "../lib-2/http.mjs";

const machines = Array.from({ length: 8 }, (_each, index) => ({
    labels: [index === 0 ? "b" : "a"],
    capacity: { cpu: 16_000, mem_mb: 32_768, gpu: index === 0 ? 8 : 0 },
}));
const workMs = 4_000;
const usedCpu = 400;
const warmUpMs = 2_000;
const trafficMs = 20_000;
const watchedMs = 12_000;
const idleLimitMs = 3_000;

await runCase(import.meta.url, { machines, routes: [{ attempts: 3 }] }, async (deployment, isTroubled) => {
    const { events, record, submit, stateOf, nowMs } = deployment;
    const cpu = isTroubled ? 0 : usedCpu;
    let isOver = false;
    const short = async () => {
        while (!isOver) {
            const step = { count: 3, cpu: 1_000, mem_mb: 128, estimate_ms: 800, requires: "a" };
            await submit(newJobId(), { spec: JSON.stringify({ workMs: 800, usedCpu: 1_000 }), steps: [step] });
            await sleep(500);
        }
    };
    const traffic = short();
    await sleep(warmUpMs);
    const jobId = newJobId();
    await submit(jobId, {
        spec: JSON.stringify({ workMs, usedCpu: cpu }),
        steps: [{ count: 1, ...cpu === 0 ? {} : { cpu }, mem_mb: 1_024, gpu: 2, estimate_ms: workMs }],
    });
    await sleep(trafficMs);
    isOver = true;
    await traffic;
    await sleep(1_000 * bounds.finish_s);
    const fromMs = nowMs();
    await sleep(watchedMs);
    const state = await stateOf(jobId);
    const task = `${jobId}.0.0.0`;
    const runs = events.filter(each => each.task === task && each.kind === "started");
    const ends = events.filter(each => each.task === task && each.kind === "ended");
    let idleMs = 0;
    for (const end of ends) {
        const next = runs.find(({ run }) => run > end.run);
        if (next !== undefined && end.atMs >= fromMs) {
            idleMs = Math.max(idleMs, next.atMs - end.atMs);
        }
    }
    record({
        kind: "outcome",
        jobId,
        state,
        runs: runs.length,
        stopped: ends.filter(({ how }) => how === "stopped").length,
        idleMs,
    });
    if (state === "completed") {
        return [];
    }
    const text =
        `submission ${jobId} is shown as ${state} ${
            nowMs() - runs[0].atMs
        } ms after its first start, a task of ${workMs} ms; it was started `
        + `${runs.length} times and stopped by the system ${ends.length} times; ${bounds.finish_s} s after the traffic nothing of it runs for ${idleMs} ms on end`;
    return idleMs >= idleLimitMs ? [text] : [`(within the bound) ${text}`].slice(1);
});
