// Plays one day of the users' bench for each kind of trouble in benchmarks/days/troubles.json, twice in the day, and prints
// a table by kind. By hand: node scripts/playTroubles.mjs BENCH SITE.toml [--only NAME] [--jobs N] [--twice SECONDS]
import { execFile } from "node:child_process";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const [bench, site, ...rest] = process.argv.slice(2);
const option = (name, fallback) => rest.includes(name) ? rest[rest.indexOf(name) + 1] : fallback;
const only = option("--only", undefined);
const jobs = Number(option("--jobs", "4"));
const firstAtS = 8;
const secondAtS = Number(option("--twice", "18"));
const folder = join("target", "days");

const siteText = readFileSync(site, "utf8");
const zone = /\{ name = "([^"]+)", region/.exec(siteText)?.[1];
const service = /services = \[\s*\{ name = "([^"]+)"/.exec(siteText)?.[1];
const quiet = /\[\[day\]\]\nname = "quiet-1"[\s\S]*?(?=\n\[\[day\]\]|$)/.exec(siteText)?.[0];

const toml = entry =>
    `{ ${Object.entries(entry).map(([key, value]) => `${key} = ${JSON.stringify(value)}`).join(", ")} }`;

const dayOf = ({ name, plan, ...trouble }) => {
    const where = trouble.kind === "zone_cut" ? { zone } : trouble.how?.startsWith("servers") ? { service } : {};
    const entries = [firstAtS, secondAtS].map(at => `  ${toml({ at, ...trouble, ...where })},`).join("\n");
    return quiet
        .replace(/name = "quiet-1"/, `name = "${name}"`)
        .replace(/length_s = .*\n/, "")
        .replace(/plan = \[[\s\S]*?\n\]/, `plan = [\n${plan ? entries : ""}\n]`)
        .replace(/faults = \[[\s\S]*?\n\]/, `faults = [\n${plan ? "" : entries}\n]`);
};

const play = trouble =>
    new Promise(resolve => {
        const path = join(folder, `${trouble.name}.toml`);
        writeFileSync(path, dayOf(trouble));
        const words = ["run", site, path, "--why", `one trouble by itself: ${trouble.name}`];
        execFile(bench, words, { maxBuffer: 64 * 1024 * 1024 }, (error, stdout, stderr) => {
            const text = stdout + stderr;
            writeFileSync(join(folder, `${trouble.name}.txt`), text);
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

mkdirSync(folder, { recursive: true });
const troubles = JSON.parse(readFileSync("benchmarks/days/troubles.json", "utf8"));
const left = troubles.filter(({ name }) => only === undefined || name === only);
const rows = [];
const worker = async () => {
    for (let next = left.shift(); next !== undefined; next = left.shift()) {
        const row = await play(next);
        rows.push(row);
        console.log(`| ${row.name} | ${row.worth} | ${row.served} | ${row.broken} |`);
    }
};
console.log("| trouble | worth | served | broken |\n| --- | --- | --- | --- |");
await Promise.all(Array.from({ length: jobs }, worker));
console.log(`${rows.length} played, ${rows.filter(row => row.broken !== "").length} broken or not played`);
