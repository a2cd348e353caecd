/**
 * Process that serves stand-ins of one kind: `standInProcess.js platform|workers|upstreams JSON`, where the JSON lists the VMs. It
 * sends their addresses to its parent process as a message and exits with it.
 */

import { createSystemClock, createSystemRandom, type Vm } from "puffinarch";
import { createPlatform, defaultPlatformLimits } from "../platform.js";
import { servePlatform, serveUpstream, serveWorkers } from "../serve.js";
import { createUpstream } from "../upstream.js";
import { createWorker } from "../worker.js";

const clock = createSystemClock();

const startFunctions: Readonly<Record<string, (vms: readonly Vm[]) => Promise<readonly string[]>>> = {
    platform: async () => {
        const platform = createPlatform(clock, createSystemRandom(), defaultPlatformLimits);
        return [(await servePlatform(platform, 0)).address];
    },
    workers: async vms => {
        const workers = vms.map(vm =>
            createWorker(clock, vm.vmId, vm.capacity ?? { cpuMillis: 0, memoryMib: 0, accelerators: 0 })
        );
        return [(await serveWorkers(workers, 0)).address];
    },
    upstreams: async vms => {
        const served = await Promise.all(vms.map(vm => serveUpstream(createUpstream(clock, vm.vmId), 0)));
        return served.map(each => each.address);
    },
};

const [role = "", vms = "[]"] = process.argv.slice(2);
process.on("disconnect", () => process.exit(0));
const addresses = await startFunctions[role]?.(JSON.parse(vms) as readonly Vm[]);
process.send?.({ addresses });
