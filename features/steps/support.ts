/** State of one scenario, and what must be closed after it. */

import { After, setDefaultTimeout, setWorldConstructor } from "@cucumber/cucumber";
import { type ErrorKind, type Failure, failureOf } from "puffinarch";

setDefaultTimeout(300_000);

/** One scenario's own place for what its steps share; each steps file keeps its part under its own key. */
export class ScenarioWorld {
    readonly parts = new Map<string, unknown>();
    readonly closers: (() => Promise<void>)[] = [];
}

setWorldConstructor(ScenarioWorld);

After(async function(this: ScenarioWorld) {
    for (const close of this.closers.reverse()) {
        await close();
    }
});

/**
 * Gives a steps file its part of the scenario's state, made on first use.
 *
 * @example
 * const state = partOf(world, "journal", () => ({ writes: 0 }));
 */
export const partOf = <T>(world: ScenarioWorld, name: string, make: () => T): T => {
    const known = world.parts.get(name);
    if (known !== undefined) {
        return known as T;
    }
    const made = make();
    world.parts.set(name, made);
    return made;
};

/** How a call ended. */
export type Ending<T> = { readonly value: T; readonly failure?: undefined; } | {
    readonly value?: undefined;
    readonly failure: Failure;
};

/**
 * Waits for a call's ending, good or bad.
 *
 * @example
 * const ending = await endingOf(jobs.submit(spec));
 */
export const endingOf = async <T>(call: Promise<T>): Promise<Ending<T>> => {
    try {
        return { value: await call };
    }
    catch (error) {
        return { failure: failureOf(error) };
    }
};

/**
 * Names an ending: the kind of its failure, or the word for success.
 *
 * @example
 * kindOfEnding({ value: 1 }, "done"); // "done"
 */
export const kindOfEnding = (ending: Ending<unknown> | undefined, success: string): ErrorKind | string =>
    ending === undefined ? "open" : ending.failure?.kind ?? success;
