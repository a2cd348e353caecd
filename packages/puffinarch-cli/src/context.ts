/** Context of the commands: settings, calls to daemons and output. */

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
    /** Returns whether `--json` was given; works without valid settings, for commands that call no daemon. */
    wantsJson(command: Command): boolean;
    caller<S extends DescService>(command: Command, service: S): Caller<S>;
    /** Writes a message as JSON with `--json`, and as the given text otherwise. */
    show<D extends DescMessage>(command: Command, schema: D, message: MessageShape<D>, text: () => string): void;
    /** Writes fields as JSON with `--json`, and a line of text otherwise. */
    showFields(command: Command, fields: Readonly<Record<string, unknown>>, text: string): void;
}

/**
 * Creates the context of one run of the tool.
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
        showFields: (command, fields, text) =>
            output.write(`${settings(command).json ? JSON.stringify(fields, undefined, 2) : text}\n`),
    };
};

/**
 * Reads a whole number from a flag or argument; fails with the kind `invalid` for anything else.
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
 * Reads a YAML or JSON file named on the command line; fails with the kind `invalid` if it holds no map.
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
