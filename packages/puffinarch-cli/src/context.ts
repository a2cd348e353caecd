/** What every command has at hand. */

import type { DescMessage, DescService, MessageShape } from "@bufbuild/protobuf";
import type { Command } from "commander";
import { readFileSync } from "node:fs";
import { die } from "puffinarch";
import { parse } from "yaml";
import { type Caller, createCaller } from "./client.js";
import { jsonOf, type Output } from "./output.js";
import { type CliEnvironment, type CliSettings, type GlobalFlags, readCliSettings } from "./settings.js";

/** Settings, callers and output of one run of the tool. */
export interface CliContext {
    readonly output: Output;
    settings(command: Command): CliSettings;
    /** Whether JSON is asked for; also for commands that call no daemon and need no settings. */
    wantsJson(command: Command): boolean;
    caller<S extends DescService>(command: Command, service: S): Caller<S>;
    /** Writes a message as JSON with `--json`, and as the given text otherwise. */
    show<D extends DescMessage>(command: Command, schema: D, message: MessageShape<D>, text: () => string): void;
    /** Writes a short answer: the fields as JSON with `--json`, the line of text otherwise. */
    say(command: Command, fields: Readonly<Record<string, unknown>>, text: string): void;
}

/**
 * Makes the context of one run of the tool.
 *
 * @example
 * const context = createContext(output, process.env);
 */
export const createContext = (output: Output, environment: CliEnvironment): CliContext => {
    const settings = (command: Command): CliSettings =>
        readCliSettings(command.optsWithGlobals<GlobalFlags>(), environment);
    return {
        output,
        settings,
        wantsJson: command => command.optsWithGlobals<GlobalFlags>().json === true,
        caller: (command, service) => createCaller(service, settings(command)),
        show: (command, schema, message, text) =>
            output.write(settings(command).json ? jsonOf(schema, message) : text()),
        say: (command, fields, text) =>
            output.write(`${settings(command).json ? JSON.stringify(fields, undefined, 2) : text}\n`),
    };
};

/**
 * Reads a whole number from a flag or argument.
 *
 * @example
 * numberFrom("tasks", "8"); // 8
 */
export const numberFrom = (field: string, text: string): number => {
    const value = Number(text);
    const allowed = "a whole number from 0 to 4294967295";
    return /^\d+$/.test(text) && value <= 4_294_967_295
        ? value
        : die("invalid", `${field} is "${text}"; allowed: ${allowed}`, {
            violations: [{ field, value: `"${text}"`, allowed }],
        });
};

/**
 * Reads a YAML or JSON file named on the command line.
 *
 * @example
 * const document = readDocumentFile("configuration.yaml");
 */
export const readDocumentFile = (path: string): Readonly<Record<string, unknown>> => {
    const allowed = "a readable file in YAML or JSON that holds a map";
    const refuse = (cause?: unknown): never =>
        die("invalid", `file is "${path}"; allowed: ${allowed}`, {
            violations: [{ field: "file", value: `"${path}"`, allowed }],
        }, cause);
    let content: unknown;
    try {
        content = parse(readFileSync(path, "utf8"));
    }
    catch (error) {
        return refuse(error);
    }
    return typeof content === "object" && content !== null && !Array.isArray(content)
        ? content as Readonly<Record<string, unknown>>
        : refuse();
};
