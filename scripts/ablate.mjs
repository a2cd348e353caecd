// Plays days of the users' bench with each policy of the shard switched back in turn, and prints a table of worth by policy and
// day. By hand, in a checkout of its own, since it changes the settings template while it runs:
// node scripts/ablate.mjs BENCH SITE.toml --days scale-1,trouble-2 [--only NAME] [--times N]
import { execFile } from "node:child_process";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const [bench, site, ...rest] = process.argv.slice(2);
const option = (name, fallback) => rest.includes(name) ? rest[rest.indexOf(name) + 1] : fallback;
const days = option("--days", "scale-1").split(",");
const times = Number(option("--times", "1"));
const template = join("deploy", "settings.template.yaml");
const folder = join("target", "ablation");

const variants = {
    "as it is": {},
    "order by acceptance": { order: "acceptance" },
    "packing by spread": { packing: "spread" },
    "no room planned": { room: "none" },
    "all three": { order: "acceptance", packing: "spread", room: "none" },
};

const run = words =>
    new Promise(resolve => {
        execFile(bench, words, { maxBuffer: 64 * 1024 * 1024 }, (_error, stdout, stderr) => resolve(stdout + stderr));
    });

const play = async (name, day, number) => {
    const text = await run(["run", site, day, "--jobs", "1", "--why", `ablation: ${name}, ${day}`]);
    writeFileSync(join(folder, `${name.replaceAll(" ", "-")}-${day}-${number}.txt`), text);
    const worth = /^worth (-?[\d.]+) = /m.exec(text)?.[1];
    const broken = /([A-Z]{4,7}) broken/.exec(text)?.[1];
    return worth === undefined ? "no figure" : broken === undefined ? worth : `${worth} (${broken} broken)`;
};

const playAll = async (name, policies) => {
    const lines = Object.entries(policies).map(([key, value]) => `  ${key}: ${value}`);
    writeFileSync(template, lines.length === 0 ? unchanged : `${unchanged}policies:\n${lines.join("\n")}\n`);
    await run(["build"]);
    const plays = days.flatMap(day => Array.from({ length: times }, (_, number) => play(name, day, number)));
    const figures = await Promise.all(plays);
    console.log(
        `| ${name} | ${
            days.map((_, index) => figures.slice(index * times, (index + 1) * times).join(", ")).join(" | ")
        } |`,
    );
};

const unchanged = readFileSync(template, "utf8");
mkdirSync(folder, { recursive: true });
console.log(`| policy | ${days.join(" | ")} |\n| --- |${days.map(() => " --- |").join("")}`);
try {
    for (const [name, policies] of Object.entries(variants)) {
        if (option("--only", name) === name) {
            await playAll(name, policies);
        }
    }
}
finally {
    writeFileSync(template, unchanged);
}
