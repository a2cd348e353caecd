/** Settings of the tool. Flags take precedence over the environment, and the environment over the settings file. */

import { readFileSync } from "node:fs";
import { check, die, textUpTo } from "puffinarch";
import { parse } from "yaml";
import { z } from "zod";

/** Settings of one run of the tool. */
export interface CliSettings {
    /** URLs of daemons, tried in turn until one answers. */
    readonly endpoints: readonly string[];
    readonly timeoutMs: number;
    readonly json: boolean;
    readonly author: string;
}

/** Flags that every command takes. */
export interface GlobalFlags {
    readonly endpoint?: readonly string[];
    readonly timeoutMs?: string;
    readonly json?: boolean;
    readonly settings?: string;
    readonly author?: string;
}

/** Environment variables that the tool reads. */
export interface CliEnvironment {
    readonly PUFFINARCH_ENDPOINTS?: string;
    readonly PUFFINARCH_TIMEOUT_MS?: string;
    readonly PUFFINARCH_SETTINGS?: string;
    readonly PUFFINARCH_AUTHOR?: string;
    readonly USER?: string;
}

const urlAllowed = "an http or https URL, such as http://127.0.0.1:7100";
const timeoutAllowed = "a whole number of milliseconds from 1 to 600000";

const settingsSchema = z.strictObject({
    endpoints: z.array(z.string(urlAllowed).regex(/^https?:\/\/[^\s/]+$/, urlAllowed), "a list of URLs")
        .min(1, "at least one URL, by --endpoint, PUFFINARCH_ENDPOINTS or the settings file"),
    timeoutMs: z.number(timeoutAllowed).int(timeoutAllowed).min(1, timeoutAllowed).max(600_000, timeoutAllowed),
    author: textUpTo(200).min(1, "a name, by --author, PUFFINARCH_AUTHOR or the settings file"),
});

const defaultTimeoutMs = 10_000;

const readFile = (path: string | undefined): Readonly<Record<string, unknown>> => {
    if (path === undefined) {
        return {};
    }
    try {
        return (parse(readFileSync(path, "utf8")) ?? {}) as Readonly<Record<string, unknown>>;
    }
    catch (error) {
        return die("invalid", `settings is "${path}"; allowed: a readable file in YAML`, {
            violations: [{ field: "settings", value: `"${path}"`, allowed: "a readable file in YAML" }],
        }, error);
    }
};

const numberOf = (text: string | undefined): number | undefined => text === undefined ? undefined : Number(text);

/**
 * Merges the settings from flags, environment and file; fails with the kind `invalid` and every wrong setting.
 *
 * @example
 * readCliSettings({ endpoint: ["http://127.0.0.1:7100"] }, { USER: "ana" }).endpoints.length; // 1
 */
export const readCliSettings = (flags: GlobalFlags, environment: CliEnvironment): CliSettings => {
    const file = readFile(flags.settings ?? environment.PUFFINARCH_SETTINGS);
    const merged = {
        endpoints: flags.endpoint ?? environment.PUFFINARCH_ENDPOINTS?.split(",") ?? file["endpoints"] ?? [],
        timeoutMs: numberOf(flags.timeoutMs ?? environment.PUFFINARCH_TIMEOUT_MS) ?? file["timeoutMs"]
            ?? defaultTimeoutMs,
        author: flags.author ?? environment.PUFFINARCH_AUTHOR ?? file["author"] ?? environment.USER ?? "",
    };
    return { ...check(settingsSchema, merged, "tool settings"), json: flags.json === true };
};
