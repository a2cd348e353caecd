/**
 * Stand-in for the platform's calls on machines: it lists them, and begins upkeep on order. Fencing tokens apply to each machine
 * separately; an order for upkeep that has begun or is over gets 200 again.
 */

import { serveJson, sleep } from "./http.mjs";

const maintenanceMs = 2_000;
const listMs = 5;
/** An order is carried out at once and answered after this time. */
const orderMs = 150;

export const startCloud = async ({ host, executors, backend, capacity, zones, rackOf, trace }) => {
    const machines = executors.map((executor, index) => ({
        machine: `m-${String(index + 1).padStart(2, "0")}`,
        executor,
        zone: zones[index % zones.length],
        rack: rackOf(index),
        fence: 0,
        waves: new Set(),
    }));
    /** Called as an order is carried out, `orderMs` before it is answered. */
    let onOrder = () => undefined;

    const list = () => ({
        status: 200,
        body: {
            machines: machines.map(({ machine, executor, zone, rack }) => ({
                machine,
                pool: backend,
                state: executor.id() === undefined ? "upkeep" : "up",
                zone,
                labels: ["a", rack],
                capacity,
                id: executor.id() ?? null,
            })),
            next_token: null,
        },
    });

    const upkeep = (holder, token, { machine: name, wave }) => {
        const machine = machines.find(each => each.machine === name);
        if (machine === undefined) {
            return { status: 400, body: {} };
        }
        if (token < machine.fence) {
            return { status: 409, body: { reason: "fence" } };
        }
        machine.fence = token;
        const isNew = !machine.waves.has(wave);
        if (isNew && machine.executor.id() === undefined) {
            return { status: 409, body: { reason: "busy" } };
        }
        trace({ what: isNew ? "upkeep" : "upkeepAgain", machine: name, wave, holder, token });
        if (isNew) {
            machine.waves.add(wave);
            machine.executor.crash(maintenanceMs, true);
            onOrder({ machine: name, wave, holder });
        }
        return { status: 200, body: {} };
    };

    const server = await serveJson(host, 0, async ({ method, url, headers, body }) => {
        if (method === "GET" && url.pathname === "/-/machines") {
            await sleep(listMs);
            return list();
        }
        if (method === "POST" && url.pathname === "/-/machine-upkeep") {
            const answer = upkeep(headers["x-lease-holder"], Number(headers["x-fencing-token"]), body);
            await sleep(orderMs);
            return answer;
        }
        return { status: 404, body: {} };
    });
    return {
        address: `${host}:${server.port}`,
        machines,
        setOnOrder: callback => {
            onOrder = callback;
        },
        stop: server.stop,
    };
};
