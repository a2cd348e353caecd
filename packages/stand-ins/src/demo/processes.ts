/** Starts and ends the child processes of the demo: stand-ins and daemons. */

import { type ChildProcess, fork } from "node:child_process";
import { createWriteStream, mkdirSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { Vm } from "puffinarch";
import { stringify } from "yaml";

/** A daemon that the demo started. */
export interface DemoDaemon {
    readonly vmId: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly process: ChildProcess;
}

/** The demo's child processes. */
export interface Processes {
    /** Starts a process that serves stand-ins of one kind and resolves to their addresses. */
    startStandIns(role: "platform" | "workers" | "upstreams", vms: readonly Vm[]): Promise<readonly string[]>;
    /** Starts a daemon, with optional flags for Node.js, and resolves once it is listening. */
    startDaemon(vm: Vm, platformAddress: string, nodeFlags?: readonly string[]): Promise<DemoDaemon>;
    /** Kills every process that was started. */
    killAll(): void;
}

const standInPath = fileURLToPath(new URL("./standInProcess.js", import.meta.url));
const daemonPath = createRequire(import.meta.url).resolve("puffinarchd").replace(/index\.js$/, "main.js");

/**
 * Creates the folder for settings and logs of the daemons, and a launcher whose processes are killed when this one exits.
 *
 * @example
 * const processes = createProcesses("reports/demo");
 */
export const createProcesses = (folder: string): Processes => {
    const children: ChildProcess[] = [];
    mkdirSync(folder, { recursive: true });

    const startStandIns: Processes["startStandIns"] = (role, vms) =>
        new Promise((resolve, reject) => {
            const child = fork(standInPath, [role, JSON.stringify(vms)]);
            children.push(child);
            child.once(
                "message",
                message => resolve((message as { readonly addresses: readonly string[]; }).addresses),
            );
            child.once("exit", code => reject(new Error(`the ${role} process exited with code ${code}`)));
        });

    const startDaemon: Processes["startDaemon"] = (vm, platformAddress, nodeFlags = []) =>
        new Promise((resolve, reject) => {
            const settingsPath = join(folder, `${vm.vmId}.yaml`);
            const settings = {
                vmId: vm.vmId,
                dataCentre: vm.dataCentre,
                listen: { host: "127.0.0.1", port: 0 },
                platformAddress,
                timings: { drainTimeoutMs: 10_000 },
            };
            writeFileSync(settingsPath, stringify(settings));
            const child = fork(daemonPath, ["--config", settingsPath], {
                stdio: ["ignore", "pipe", "inherit", "ipc"],
                execArgv: [...nodeFlags],
            });
            children.push(child);
            const log = createWriteStream(join(folder, `${vm.vmId}.log`));
            child.once("exit", code => reject(new Error(`daemon ${vm.vmId} exited with code ${code}`)));
            if (child.stdout === null) {
                return;
            }
            createInterface({ input: child.stdout }).on("line", line => {
                log.write(`${line}\n`);
                if (!line.includes('"event":"listening"')) {
                    return;
                }
                const { address } = JSON.parse(line) as { readonly address: string; };
                resolve({ vmId: vm.vmId, dataCentre: vm.dataCentre, address, process: child });
            });
        });

    const killAll = (): void => {
        for (const child of children) {
            child.kill("SIGKILL");
        }
    };
    process.setMaxListeners(0);
    process.once("exit", killAll);

    return { startStandIns, startDaemon, killAll };
};
