// Runs one day of the users' bench for each fault or planned change in benchmarks/days/troubles.json, which occurs twice in
// the day, and prints a table with a row for each. Each day is the site's day "quiet-1" with only these two entries. To be run
// by hand; --jobs is the number of days that run at a time, and --twice the time of the second entry in seconds:
// node scripts/playTroubles.mjs BENCH SITE.toml [--only NAME] [--jobs N] [--twice SECONDS]
import { execFile } from "node:child_process";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const [bench, site, ...rest] = process.argv.slice(2);
const readOption = (name, fallback) => rest.includes(name) ? rest[rest.indexOf(name) + 1] : fallback;
const only = readOption("--only", undefined);
const concurrency = Number(readOption("--jobs", "4"));
const firstAtS = 8;
const secondAtS = Number(readOption("--twice", "18"));
const outputFolder = join("target", "days");

const siteText = readFileSync(site, "utf8");
const zone = /\{ name = "([^"]+)", region/.exec(siteText)?.[1];
const service = /services = \[\s*\{ name = "([^"]+)"/.exec(siteText)?.[1];
const quietDay = /\[\[day\]\]\nname = "quiet-1"[\s\S]*?(?=\n\[\[day\]\]|$)/.exec(siteText)?.[0];

const toTomlTable = entry =>
    `{ ${Object.entries(entry).map(([key, value]) => `${key} = ${JSON.stringify(value)}`).join(", ")} }`;

const createDay = ({ name, plan, ...trouble }) => {
    const target = trouble.kind === "zone_cut" ? { zone } : trouble.how?.startsWith("servers") ? { service } : {};
    const entries = [firstAtS, secondAtS].map(at => `  ${toTomlTable({ at, ...trouble, ...target })},`).join("\n");
    return quietDay
        .replace(/name = "quiet-1"/, `name = "${name}"`)
        .replace(/length_s = .*\n/, "")
        .replace(/plan = \[[\s\S]*?\n\]/, `plan = [\n${plan ? entries : ""}\n]`)
        .replace(/faults = \[[\s\S]*?\n\]/, `faults = [\n${plan ? "" : entries}\n]`);
};

const runTrouble = trouble =>
    new Promise(resolve => {
        const path = join(outputFolder, `${trouble.name}.toml`);
        writeFileSync(path, createDay(trouble));
        const args = ["run", site, path, "--why", `one trouble by itself: ${trouble.name}`];
        execFile(bench, args, { maxBuffer: 64 * 1024 * 1024 }, (error, stdout, stderr) => {
            const text = stdout + stderr;
            writeFileSync(join(outputFolder, `${trouble.name}.txt`), text);
            const row = text.split("\n").find(line => line.startsWith(`${trouble.name} `)) ?? "";
            const [, score = "", worth = "", served = ""] = /\d+\/\d+\s+(\S+)\s+(\S+)\s+(\S+)/.exec(row) ?? [];
            const broken = /BROKEN: ([^(]*)/.exec(row)?.[1]?.trim() ?? "";
            resolve({
                name: trouble.name,
                score,
                worth,
                served,
                broken: row === "" ? `not played: ${text.trim().split("\n").at(-1)}` : broken,
            });
        });
    });

mkdirSync(outputFolder, { recursive: true });
const troubles = JSON.parse(readFileSync("benchmarks/days/troubles.json", "utf8"));
const queue = troubles.filter(({ name }) => only === undefined || name === only);
const rows = [];
const worker = async () => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
        const row = await runTrouble(next);
        rows.push(row);
        console.log(`| ${row.name} | ${row.worth} | ${row.served} | ${row.broken} |`);
    }
};
console.log("| trouble | worth | served | broken |\n| --- | --- | --- | --- |");
await Promise.all(Array.from({ length: concurrency }, worker));
console.log(`${rows.length} played, ${rows.filter(row => row.broken !== "").length} broken or not played`);
