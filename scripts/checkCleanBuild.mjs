// Clones the commit into an empty folder, builds it there and starts and stops the daemons of a small deployment, by the commands of
// the deploy file alone and in an empty environment. Needs nothing that is installed.
import { spawnSync } from "node:child_process";
import { execPath } from "node:process";
import { fileURLToPath } from "node:url";
import { openCheckout } from "./cleanBuild/checkout.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));

const checkBuild = checkout => {
    const startedMs = performance.now();
    const { status, output } = checkout.build();
    process.stdout.write(output);
    console.log(`the build command ended with ${status} after ${Math.round(performance.now() - startedMs)} ms`);
    return status === 0;
};

const checkStart = ({ folder, environment }) =>
    spawnSync(execPath, ["scripts/cleanBuild/startDeployment.mjs"], { cwd: folder, env: environment, stdio: "inherit" })
        .status === 0;

const checkout = openCheckout(root, "commit");
try {
    process.exitCode = checkBuild(checkout) && checkStart(checkout) ? 0 : 1;
}
finally {
    checkout.remove();
}
