// Starts the daemons of a small deployment by the run command of the deploy file, with filled-in settings, waits until all are ready and stops
// them with SIGTERM. Exits with 0 if each became ready, none ended before the signal, and all ended with 0 in their grace time.
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bounds, startDeployment } from "../../review/lib/deployment.mjs";

const readyWithinMs = 60_000;
const msPerSecond = 1_000;

/** Resolves to how the process ended, "too late" if that takes longer than the grace time. */
const stopDaemon = daemon =>
    new Promise(resolve => {
        daemon.stopping = true;
        daemon.child.once("exit", (code, signal) => resolve(signal ?? `code ${code}`));
        daemon.child.kill("SIGTERM");
        setTimeout(resolve, bounds.grace_s * msPerSecond, "too late").unref();
    });

const folder = mkdtempSync(join(tmpdir(), "puffinarch-start-"));
const deployment = await startDeployment({ folder, routes: [] });
const ready = await deployment.untilReady(readyWithinMs);
const ownEnds = deployment.daemons.reduce((sum, daemon) => sum + daemon.ownEnds, 0);
const ends = ready ? await Promise.all(deployment.daemons.map(stopDaemon)) : [];
await deployment.stop();
rmSync(folder, { recursive: true });
console.log(
    `${deployment.daemons.length} daemons, ready: ${ready}, own ends: ${ownEnds}, stopped with: ${ends.join(", ")}`,
);
process.exit(ready && ownEnds === 0 && ends.every(end => end === "code 0") ? 0 : 1);
