/** HTTP servers for the stand-ins, on the loopback address. */

import Fastify, { type FastifyInstance } from "fastify";
import { failureOf, type StartOrder, type StopOrder, type Transaction, type Vm, type WorkerPoll } from "puffinarch";
import type { Fault } from "./faults.js";
import type { Platform } from "./platform.js";
import type { RequestScript, UpstreamStandIn } from "./upstream.js";
import type { WorkerFaults, WorkerStandIn } from "./worker.js";

const loopback = "127.0.0.1";
const bodyLimitBytes = 64 * 1024 * 1024;
const defaultScript: RequestScript = { workMs: 5, answerBytes: 64 };

/** A server that is listening. */
export interface RunningServer {
    /** Base URL. */
    readonly address: string;
    close(): Promise<void>;
}

const createServer = (): FastifyInstance => Fastify({ bodyLimit: bodyLimitBytes, forceCloseConnections: true });

const listen = async (server: FastifyInstance, port: number): Promise<RunningServer> => {
    const address = await server.listen({ host: loopback, port });
    return { address, close: () => server.close() };
};

/**
 * Serves a platform: `/table/*`, `/objects/*` and `/vms` for the daemons, `/control/*` for the test or demo that controls it.
 *
 * @example
 * const { address } = await servePlatform(platform, 0);
 */
export const servePlatform = async (platform: Platform, port: number): Promise<RunningServer> => {
    const server = createServer();
    server.setErrorHandler((error, _request, reply) => {
        void reply.code(failureOf(error).kind === "unavailable" ? 503 : 500).send(failureOf(error));
    });
    server.post<{ Body: { keys: string[]; }; }>("/table/read", ({ body }) => platform.table.read(body.keys));
    server.post<{ Body: { prefix: string; }; }>("/table/scan", ({ body }) => platform.table.scan(body.prefix));
    server.post<{ Body: Transaction; }>("/table/transact", async ({ body }, reply) => {
        const result = await platform.table.transact(body);
        if (result.outcome === "unknown") {
            reply.hijack();
            reply.raw.destroy();
            return;
        }
        return reply.code(result.outcome === "refused" ? 503 : 200).send(result);
    });
    server.get("/vms", () => platform.vmList.list());
    server.put<{ Params: { "*": string; }; Body: { body: string; }; }>("/objects/*", async ({ params, body }) => {
        await platform.objects.put(params["*"], body.body);
        return {};
    });
    server.get<{ Params: { "*": string; }; }>(
        "/objects/*",
        async ({ params }) => ({ body: await platform.objects.get(params["*"]) }),
    );
    server.delete<{ Params: { "*": string; }; }>("/objects/*", async ({ params }) => {
        await platform.objects.delete(params["*"]);
        return {};
    });
    server.post<{ Body: { target: string; faults: Fault[]; }; }>("/control/faults", async ({ body }) => {
        platform.faults.set(body.target, body.faults);
        return {};
    });
    server.post<{ Body: { set?: Vm[]; remove?: string[]; }; }>("/control/vms", async ({ body }) => {
        platform.setVms(body.set ?? []);
        platform.removeVms(body.remove ?? []);
        return {};
    });
    server.get("/control/evidence", async () => platform.evidence());
    return listen(server, port);
};

/**
 * Serves several workers on one port, each under `/workers/ID`.
 *
 * @example
 * const { address } = await serveWorkers([worker], 0);
 */
export const serveWorkers = async (workers: readonly WorkerStandIn[], port: number): Promise<RunningServer> => {
    const server = createServer();
    const byId = new Map(workers.map(worker => [worker.workerId, worker]));
    const find = (workerId: string): WorkerStandIn => {
        const worker = byId.get(workerId);
        if (worker === undefined || worker.faults().unreachable) {
            throw new Error(`worker ${workerId} does not answer`);
        }
        return worker;
    };
    server.post<{ Params: { id: string; }; Body: StartOrder; }>(
        "/workers/:id/start",
        async ({ params, body }, reply) => {
            const worker = find(params.id);
            const outcome = worker.start(body);
            if (worker.faults().losesStartReply) {
                reply.hijack();
                reply.raw.destroy();
                return;
            }
            return { outcome };
        },
    );
    server.post<{ Params: { id: string; }; Body: WorkerPoll; }>(
        "/workers/:id/poll",
        ({ params, body }) => find(params.id).poll(body),
    );
    server.post<{ Params: { id: string; }; Body: { orders: StopOrder[]; }; }>(
        "/workers/:id/stop",
        async ({ params, body }) => {
            find(params.id).stop(body.orders);
            return {};
        },
    );
    server.post<{ Params: { id: string; }; Body: { attemptId: string; cpuMillis: number; }; }>(
        "/workers/:id/throttle",
        async ({ params, body }) => {
            find(params.id).throttle(body.attemptId, body.cpuMillis);
            return {};
        },
    );
    server.post<{ Params: { id: string; }; Body: Partial<WorkerFaults>; }>(
        "/control/workers/:id",
        async ({ params, body }) => {
            byId.get(params.id)?.setFaults(body);
            return {};
        },
    );
    server.get("/control/evidence", async () => ({
        executions: workers.flatMap(worker => worker.executions()),
        overcommits: workers.reduce((sum, worker) => sum + worker.overcommits(), 0),
    }));
    return listen(server, port);
};

/**
 * Serves one upstream; each one needs its own port, so that its connections can be counted.
 *
 * @example
 * const { address } = await serveUpstream(upstream, 0);
 */
export const serveUpstream = async (upstream: UpstreamStandIn, port: number): Promise<RunningServer> => {
    const server = createServer();
    server.server.on("connection", socket => {
        if (!upstream.connect()) {
            socket.destroy();
        }
        socket.on("close", () => upstream.disconnect());
    });
    server.get("/status", async () => upstream.status());
    server.get("/control/evidence", async () => upstream.evidence());
    server.post("/control/leave", async () => {
        upstream.leave();
        return {};
    });
    server.all<{ Body: Partial<RequestScript> | undefined; }>("/*", async ({ headers, body }, reply) => {
        const requestId = String(headers["x-request-id"] ?? "");
        const idempotent = headers["x-idempotent"] === "true";
        const answer = await upstream.run(requestId, idempotent, { ...defaultScript, ...body });
        if (upstream.status().leaving) {
            reply.header("x-upstream-leaving", "true");
        }
        return answer === undefined
            ? reply.code(503).header("x-not-run", "true").send({ error: "all slots are in use" })
            : reply.header("content-type", "application/json").send(answer);
    });
    return listen(server, port);
};
