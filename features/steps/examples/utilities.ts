/** Runnable examples of the utility modules. */

import { createFakeClock } from "@puffinarch/stand-ins";
import {
    add,
    check,
    countCall,
    countReceived,
    createGuard,
    createRing,
    createSeededRandom,
    elapsedSinceMs,
    errorResponses,
    failureOf,
    momentOf,
    noResources,
    pickMember,
    readTraffic,
    scale,
    startLoop,
    wholeNumber,
    withGuardedTimers,
} from "puffinarch";
import { createMeter } from "puffinarchd/metrics";
import { z } from "zod";

const errors = (): string => `notRun is ${errorResponses.notRun.httpStatus}`;

const checkExample = (): string => {
    try {
        check(z.strictObject({ tasks: wholeNumber(1, 10) }), { tasks: 11 }, "job");
        return "valid";
    }
    catch (error) {
        const [violation] = failureOf(error).violations ?? [];
        return `${violation?.field}: ${violation?.allowed}`;
    }
};

const resources = (): string =>
    `${add(noResources, scale({ cpuMillis: 1, memoryMib: 1, accelerators: 1 }, 3)).accelerators} accelerators`;

const rendezvous = (): string =>
    pickMember("unit", ["a", "b", "c"]) === pickMember("unit", ["c", "a", "b"]) ? "the same for all" : "different";

const ring = (): string => {
    const entries = createRing<number>(2);
    [1, 2, 3].forEach(entries.push);
    return entries.newest().join(", ");
};

const moments = async (): Promise<string> => {
    const clock = createFakeClock();
    const sentAt = momentOf(clock);
    await clock.advance(300);
    return `${elapsedSinceMs(clock, sentAt)} ms`;
};

const time = async (): Promise<string> => {
    const clock = createFakeClock();
    let runs = 0;
    const loop = startLoop({
        clock,
        log: { write: () => {} },
        name: "example",
        intervalMs: 100,
        run: async () => {
            runs += 1;
        },
    });
    await clock.advance(250);
    await loop.stop();
    return `${runs} runs`;
};

const traffic = (): string => {
    const meter = createMeter();
    countCall(meter, "workers", 96);
    countReceived(meter, "workers", 210);
    const { calls, sentBytes, receivedBytes } = readTraffic(meter, "workers");
    return `${calls} call, ${sentBytes} bytes sent, ${receivedBytes} received; platform ${
        readTraffic(meter, "platform").calls
    }`;
};

const guard = async (): Promise<string> => {
    const failed: unknown[] = [];
    const clock = createFakeClock();
    const log = {
        write: (_level: string, _event: string, fields: Readonly<Record<string, unknown>>) =>
            failed.push(fields["work"]),
    };
    const guarded = createGuard({ clock, log });
    withGuardedTimers(clock, guarded).setTimer(1, () => failureOf(JSON.parse("{")));
    const answer = await guarded.answer("call", async () => "done", "unknown");
    await clock.advance(1);
    return `failed: ${[answer, ...failed].join(", ")}`;
};

const system = (): string =>
    createSeededRandom(7).next() === createSeededRandom(7).next() ? "the same for the same seed" : "different";

/** The examples by module name; each returns a line that the feature compares. */
export const utilityExamples = {
    errors,
    check: checkExample,
    resources,
    rendezvous,
    ring,
    moments,
    time,
    guard,
    traffic,
    system,
};
