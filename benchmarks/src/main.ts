/** `npm run bench -- NAME [--json] [--long]`: runs one benchmark; with `--json` the last line is one JSON object. */

import { Argument, Command } from "commander";
import type { Benchmark, Row } from "./benchmark.js";
import { journal } from "./journal.js";
import { placement } from "./placement.js";
import { storm } from "./storm.js";
import { takeover } from "./takeover.js";
import { waiting } from "./waiting.js";

const benchmarks: Readonly<Record<string, Benchmark>> = { placement, journal, takeover, waiting, storm };

const show = (rows: readonly Row[]): string => {
    const names = Object.keys(rows[0] ?? {});
    const cells = [names, ...rows.map(row => names.map(name => String(row[name] ?? "")))];
    const widths = names.map((_name, column) => Math.max(...cells.map(line => line[column]?.length ?? 0)));
    return cells.map(line => line.map((cell, column) => cell.padStart(widths[column] ?? 0)).join("  ")).join("\n");
};

const program = new Command("bench")
    .addArgument(new Argument("<name>", "benchmark").choices(Object.keys(benchmarks)))
    .option("--json", "end with one JSON object")
    .option("--long", "more settings and longer runs")
    .option("--seed <n>", "seed of the inputs", "1");

program.parse();
const [name = ""] = program.args;
const flags = program.opts<{ readonly json?: boolean; readonly long?: boolean; readonly seed: string; }>();
const rows = await benchmarks[name]?.({ long: flags.long === true, seed: Number(flags.seed) }) ?? [];
process.stdout.write(`${show(rows)}\n`);
if (flags.json === true) {
    process.stdout.write(`${JSON.stringify({ benchmark: name, rows })}\n`);
}
process.exit();
