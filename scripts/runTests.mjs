// Runs every feature, or those that are named, and prints how many scenarios passed and failed, with the known failures of KNOWN-RED.txt apart.
import { loadConfiguration, runCucumber } from "@cucumber/cucumber/api";
import { existsSync, mkdirSync, readFileSync } from "node:fs";

const knownRedLimit = 3;

const readKnownRed = () => {
    if (!existsSync("KNOWN-RED.txt")) {
        return [];
    }
    return readFileSync("KNOWN-RED.txt", "utf8").split("\n").map(line => line.trim()).filter(line =>
        line !== "" && !line.startsWith("#")
    );
};

const scenariosOf = () => {
    const features = JSON.parse(readFileSync("reports/cucumber.json", "utf8"));
    return features.flatMap(feature =>
        feature.elements.filter(element => element.type === "scenario").map(element => ({
            name: `${feature.name}: ${element.name}`,
            passed: element.steps.every(step => step.result.status === "passed"),
        }))
    );
};

mkdirSync("reports", { recursive: true });
const paths = process.argv.slice(2);
const { runConfiguration } = await loadConfiguration({
    provided: paths.length === 0 ? ["features/*.feature"] : paths,
});
await runCucumber(runConfiguration);
const scenarios = scenariosOf();
const knownRed = readKnownRed();
const failed = scenarios.filter(scenario => !scenario.passed);
const excused = failed.filter(scenario => knownRed.some(line => line.startsWith(scenario.name)));
for (const { name } of failed) {
    console.log(`FAILED ${name}`);
}
for (const line of knownRed) {
    console.log(`KNOWN RED ${line}`);
}
console.log(`${scenarios.length - failed.length} passed, ${failed.length} failed`);
const tooMany = knownRed.length > knownRedLimit;
process.exit(scenarios.length > 0 && failed.length === excused.length && !tooMany ? 0 : 1);
