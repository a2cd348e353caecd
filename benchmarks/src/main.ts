/**
 * `npm run bench -- NAME [--json] [--long] [--seed N]`: runs one benchmark and prints its rows as a table; with `--json` the last
 * line is one JSON object with the same rows.
 */

import { Argument, Command } from "commander";
import type { Benchmark, Row } from "./benchmark.js";
import { journal } from "./journal.js";
import { pass } from "./pass.js";
import { placement } from "./placement.js";
import { storm } from "./storm.js";
import { takeover } from "./takeover.js";
import { waiting } from "./waiting.js";

const benchmarks: Readonly<Record<string, Benchmark>> = { placement, journal, takeover, waiting, storm, pass };

const formatTable = (rows: readonly Row[]): string => {
    const columns = Object.keys(rows[0] ?? {});
    const lines = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? "")))];
    const widths = columns.map((_column, index) => Math.max(...lines.map(line => line[index]?.length ?? 0)));
    return lines.map(line => line.map((cell, index) => cell.padStart(widths[index] ?? 0)).join("  ")).join("\n");
};

const program = new Command("bench")
    .addArgument(new Argument("<name>", "name of the benchmark").choices(Object.keys(benchmarks)))
    .option("--json", "also print the rows as one JSON object, on the last line")
    .option("--long", "measure more settings or run longer; may take more than a minute")
    .option("--seed <n>", "seed of the generated inputs", "1");

program.parse();
const [name = ""] = program.args;
const flags = program.opts<{ readonly json?: boolean; readonly long?: boolean; readonly seed: string; }>();
const rows = await benchmarks[name]?.({ long: flags.long === true, seed: Number(flags.seed) }) ?? [];
process.stdout.write(`${formatTable(rows)}\n`);
if (flags.json === true) {
    process.stdout.write(`${JSON.stringify({ benchmark: name, rows })}\n`);
}
process.exit();
