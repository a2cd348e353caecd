// Measures what each policy of the shard contributes: runs days of the users' bench with the default policies and with each of
// them replaced by a simpler one, and prints a table of the worth that the bench reports, by policy and day. To be run by hand,
// in a checkout of its own, since it changes deploy/settings.template.yaml while it runs:
// node scripts/ablate.mjs BENCH SITE.toml --days scale-1,trouble-2 [--only NAME] [--times N]
import { execFile } from "node:child_process";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const [bench, site, ...rest] = process.argv.slice(2);
const readOption = (name, fallback) => rest.includes(name) ? rest[rest.indexOf(name) + 1] : fallback;
const days = readOption("--days", "scale-1").split(",");
const runsPerDay = Number(readOption("--times", "1"));
const template = join("deploy", "settings.template.yaml");
const outputFolder = join("target", "ablation");

const variants = {
    "as it is": {},
    "order by acceptance": { order: "acceptance" },
    "packing by spread": { packing: "spread" },
    "no room planned": { room: "none" },
    "all three": { order: "acceptance", packing: "spread", room: "none" },
};

const runBench = args =>
    new Promise(resolve => {
        execFile(bench, args, { maxBuffer: 64 * 1024 * 1024 }, (_error, stdout, stderr) => resolve(stdout + stderr));
    });

const runDay = async (name, day, runNumber) => {
    const text = await runBench(["run", site, day, "--jobs", "1", "--why", `ablation: ${name}, ${day}`]);
    writeFileSync(join(outputFolder, `${name.replaceAll(" ", "-")}-${day}-${runNumber}.txt`), text);
    const worth = /^worth (-?[\d.]+) = /m.exec(text)?.[1];
    const broken = /([A-Z]{4,7}) broken/.exec(text)?.[1];
    return worth === undefined ? "no figure" : broken === undefined ? worth : `${worth} (${broken} broken)`;
};

const runVariant = async (name, policies) => {
    const lines = Object.entries(policies).map(([key, value]) => `  ${key}: ${value}`);
    writeFileSync(
        template,
        lines.length === 0 ? originalTemplate : `${originalTemplate}policies:\n${lines.join("\n")}\n`,
    );
    await runBench(["build"]);
    const runs = days.flatMap(day =>
        Array.from({ length: runsPerDay }, (_, runNumber) => runDay(name, day, runNumber))
    );
    const figures = await Promise.all(runs);
    console.log(
        `| ${name} | ${
            days.map((_, index) => figures.slice(index * runsPerDay, (index + 1) * runsPerDay).join(", ")).join(" | ")
        } |`,
    );
};

const originalTemplate = readFileSync(template, "utf8");
mkdirSync(outputFolder, { recursive: true });
console.log(`| policy | ${days.join(" | ")} |\n| --- |${days.map(() => " --- |").join("")}`);
try {
    for (const [name, policies] of Object.entries(variants)) {
        if (readOption("--only", name) === name) {
            await runVariant(name, policies);
        }
    }
}
finally {
    writeFileSync(template, originalTemplate);
}
