/** State that the steps of one scenario share, and the cleanup after it. */

import { After, setDefaultTimeout, setWorldConstructor } from "@cucumber/cucumber";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { type ErrorKind, type Failure, failureOf } from "puffinarch";

setDefaultTimeout(300_000);

/** State of one scenario. */
export class ScenarioWorld {
    /** State of each steps file, under a key of its own. */
    readonly parts = new Map<string, unknown>();
    /** Cleanups that run after the scenario, the newest first. */
    readonly closers: (() => Promise<void>)[] = [];
}

setWorldConstructor(ScenarioWorld);

After(async function(this: ScenarioWorld) {
    for (const close of this.closers.reverse()) {
        await close();
    }
});

/**
 * Returns the state that a steps file keeps in a scenario, created on first use.
 *
 * @example
 * const state = partOf(world, "journal", () => ({ writes: 0 }));
 */
export const partOf = <T>(world: ScenarioWorld, name: string, create: () => T): T => {
    const existing = world.parts.get(name);
    if (existing !== undefined) {
        return existing as T;
    }
    const created = create();
    world.parts.set(name, created);
    return created;
};

/**
 * Listens on a free port of the loopback address until the scenario ends, and returns the address.
 *
 * @example
 * const address = await listen(world, createServer((_request, response) => response.end("{}")));
 */
export const listen = async (world: ScenarioWorld, server: Server): Promise<string> => {
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    world.closers.push(async () => {
        server.closeAllConnections();
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** The outcome of a call: its value or its failure. */
export type CallOutcome<T> = { readonly value: T; readonly failure?: undefined; } | {
    readonly value?: undefined;
    readonly failure: Failure;
};

/**
 * Waits for a call and returns its outcome instead of throwing.
 *
 * @example
 * const ending = await endingOf(jobs.submit(spec));
 */
export const outcomeOf = async <T>(call: Promise<T>): Promise<CallOutcome<T>> => {
    try {
        return { value: await call };
    }
    catch (error) {
        return { failure: failureOf(error) };
    }
};

/**
 * Names the outcome of a call: the kind of its failure, `success` if it has none, `open` while there is no outcome.
 *
 * @example
 * kindOfEnding({ value: 1 }, "done"); // "done"
 */
export const outcomeKind = (ending: CallOutcome<unknown> | undefined, success: string): ErrorKind | string =>
    ending === undefined ? "open" : ending.failure?.kind ?? success;

/**
 * Returns the JSON text of lists within each other.
 *
 * @example
 * nestedText(3); // "[[[]]]"
 */
export const nestedText = (depth: number): string => `${"[".repeat(depth)}${"]".repeat(depth)}`;
