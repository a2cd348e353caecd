// Bundles the daemon for the users' platform into one file, target/puffinarchd.cjs or the path that is given. The bundle
// starts three times as fast as the separate modules. It is built from the TypeScript sources, so that a build writes nothing
// outside target/; types are not checked here but in CI. Which file a name of a workspace stands for is said in the `exports` of
// its package, under the condition "@puffinarch/source".
import { build } from "esbuild";
import { rmSync } from "node:fs";
import { resolve } from "node:path";
import { findForeignInputs } from "./build/bundleInputs.mjs";

const resolvePath = path => new URL(`../${path}`, import.meta.url).pathname;

/**
 * Modules that the bundle replaces with smaller ones, by a pattern of the import path. An alias of esbuild would also
 * apply to the inner paths of a package. The daemon uses neither TLS nor HTTP/2, and loading the modules of Node.js for them
 * costs a start 30 ms of CPU time.
 */
const substitutes = [
    [/^undici$/, "scripts/lean/undici.cjs"],
    [/\/client-h2\.js$/, "scripts/lean/noHttp2.cjs"],
    [/^hdr-histogram-js$/, "scripts/lean/histogram.cjs"],
    [/^node:https$/, "scripts/lean/https.cjs"],
    [/^node:http2$/, "scripts/lean/http2.cjs"],
];

const substituteModules = {
    name: "substitute-modules",
    setup: ({ onResolve }) => {
        for (const [filter, path] of substitutes) {
            onResolve(
                { filter },
                // The substitutes themselves import the real modules.
                ({ importer }) => importer.includes("/scripts/lean/") ? undefined : { path: resolvePath(path) },
            );
        }
    },
};

const outputPath = process.argv[2] ?? "target/puffinarchd.cjs";
// A build that fails leaves no bundle of an earlier one, which would run in its place.
rmSync(outputPath, { force: true });
const { metafile } = await build({
    plugins: [substituteModules],
    entryPoints: [resolvePath("platform/src/main.ts")],
    absWorkingDir: resolvePath(""),
    outfile: resolve(outputPath),
    bundle: true,
    metafile: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    legalComments: "none",
    // Naming a condition leaves out "module", which the bundler otherwise adds.
    conditions: ["@puffinarch/source", "module"],
});
const foreignInputs = findForeignInputs(metafile);
if (foreignInputs.length > 0) {
    rmSync(outputPath);
    throw new Error(`the bundle would hold files that are no sources: ${foreignInputs.join(", ")}`);
}
