/** The daemon: a Nest application that connects a node with its adapters and its servers. */

import "reflect-metadata";
import { fastifyConnectPlugin } from "@connectrpc/connect-fastify";
import { type DynamicModule, Inject, Module, type OnApplicationShutdown } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import { FastifyAdapter, type NestFastifyApplication } from "@nestjs/platform-fastify";
import {
    ClusterService,
    ConfigurationService,
    JobService,
    PolicyService,
    WorkloadClassService,
} from "@puffinarch/schema";
import { fastifyTRPCPlugin } from "@trpc/server/adapters/fastify";
import type { FastifyInstance } from "fastify";
import { type Clock, createNode, defaultNodeSettings, failureOf, type Node, type Random, sleep } from "puffinarch";
import { createHttpClient, type HttpClient } from "./adapters/http.js";
import { createHttpUpstreams, createHttpWorkers } from "./adapters/machines.js";
import { createTrpcPeers, peerPath, peerRouter, type TrpcPeers } from "./adapters/peers.js";
import { createHttpObjects, createHttpTable, createHttpVmList } from "./adapters/platform.js";
import type { DaemonLog } from "./logging.js";
import { createMeter, type DaemonMeter } from "./metrics.js";
import { type Proxy, registerProxy } from "./proxy.js";
import { createClusterService } from "./rpc/clusterService.js";
import {
    createConfigurationService,
    createPolicyService,
    createWorkloadClassService,
} from "./rpc/configurationServices.js";
import { failureInterceptor } from "./rpc/failures.js";
import { createJobService } from "./rpc/jobService.js";
import {
    type DaemonSettings,
    defaultBalancerNoticeMs,
    defaultMaxBodyBytes,
    defaultRequestTimeoutMs,
    nodeSettings,
} from "./settings.js";

/** Settings and dependencies of a daemon. */
export interface DaemonOptions {
    readonly settings: DaemonSettings;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: DaemonLog;
}

/** A daemon that listens. */
export interface Daemon {
    readonly address: string;
    readonly node: Node;
    /** Resolves once the daemon is ready for callers. */
    readonly started: Promise<void>;
    /** Shuts down gracefully: reports itself as not ready, finishes requests in flight, hands its work over and closes. */
    stop(): Promise<void>;
}

/** Injection token of `DaemonParts`. */
const daemonParts = "daemonParts";
const platformTimeoutMs = 2_000;
/** Time for a worker's answer to a poll beyond the time that the poll may wait. */
const pollSlackMs = 2_000;
const peerTimeoutMs = 2_000;
const connectionsPerUpstream = 8;

/** Meter and clients of a daemon; `machines` calls workers and upstreams. */
interface DaemonParts {
    readonly settings: DaemonSettings;
    readonly meter: DaemonMeter;
    readonly platform: HttpClient;
    readonly machines: HttpClient;
    readonly peers: TrpcPeers;
}

/** Provides `DaemonParts`, and closes the clients of the platform and of peers when Nest shuts down. */
@Module({})
class DaemonModule implements OnApplicationShutdown {
    static register(settings: DaemonSettings): DynamicModule {
        return {
            module: DaemonModule,
            providers: [{ provide: daemonParts, useFactory: () => createParts(settings) }],
            exports: [daemonParts],
        };
    }

    constructor(@Inject(daemonParts) private readonly parts: DaemonParts) {}

    async onApplicationShutdown(): Promise<void> {
        await this.parts.platform.close();
        await this.parts.peers.close();
    }
}

const createParts = (settings: DaemonSettings, meter = createMeter()): DaemonParts => ({
    settings,
    meter,
    platform: createHttpClient({ timeoutMs: platformTimeoutMs, connectionsPerHost: 8, meter }),
    machines: createHttpClient({
        timeoutMs: (settings.timings?.pollWaitMs ?? defaultNodeSettings.pollWaitMs) + pollSlackMs,
        connectionsPerHost: 512,
        meter,
    }),
    peers: createTrpcPeers({ timeoutMs: peerTimeoutMs, meter }),
});

const registerHealth = (fastify: FastifyInstance, node: Node, meter: DaemonMeter): void => {
    fastify.get("/healthz", async () => ({ status: "ok" }));
    fastify.get("/readyz", async (_request, reply) => {
        const ready = node.ready();
        return reply.code(ready ? 200 : 503).send({ ready });
    });
    fastify.get("/metrics", async (_request, reply) => reply.type("text/plain; version=0.0.4").send(meter.text()));
};

const registerCalls = async (fastify: FastifyInstance, node: Node, { clock, log }: DaemonOptions): Promise<void> => {
    await fastify.register(fastifyConnectPlugin, {
        interceptors: [failureInterceptor],
        routes: router => {
            router.service(JobService, createJobService(node, clock));
            router.service(ConfigurationService, createConfigurationService(node));
            router.service(PolicyService, createPolicyService(node));
            router.service(WorkloadClassService, createWorkloadClassService(node));
            router.service(ClusterService, createClusterService(node, log));
        },
    });
    await fastify.register(fastifyTRPCPlugin, {
        prefix: peerPath,
        trpcOptions: { router: peerRouter, createContext: () => ({ node }) },
    });
};

/**
 * Starts a daemon. It listens at once, and is ready once its session is open.
 *
 * @example
 * const daemon = await startDaemon({ settings, clock, random, log });
 * await daemon.started;
 */
export const startDaemon = async (options: DaemonOptions): Promise<Daemon> => {
    const { settings, clock, random, log } = options;
    const adapter = new FastifyAdapter({ forceCloseConnections: true, bodyLimit: 4 * 1024 * 1024 });
    const app = await NestFactory.create<NestFastifyApplication>(DaemonModule.register(settings), adapter, {
        logger: false,
    });
    const parts = app.get<DaemonParts>(daemonParts);
    const fastify = adapter.getInstance() as unknown as FastifyInstance;
    const node = createNode(nodeSettings(settings), {
        table: createHttpTable(parts.platform, settings.platformAddress),
        objects: createHttpObjects(parts.platform, settings.platformAddress),
        vmList: createHttpVmList(parts.platform, settings.platformAddress),
        workers: createHttpWorkers(parts.machines),
        upstreams: createHttpUpstreams(parts.machines),
        peers: parts.peers,
        clock,
        random,
        log,
        meter: parts.meter,
    });
    registerHealth(fastify, node, parts.meter);
    await registerCalls(fastify, node, options);
    const proxy: Proxy = registerProxy(fastify, {
        node,
        clock,
        meter: parts.meter,
        requestTimeoutMs: settings.limits?.requestTimeoutMs ?? defaultRequestTimeoutMs,
        maxBodyBytes: settings.limits?.maxBodyBytes ?? defaultMaxBodyBytes,
        connectionsPerUpstream,
    });
    await app.listen(settings.listen.port, settings.listen.host);
    const address = (await app.getUrl()).replace("[::1]", settings.listen.host);
    const started = node.start(settings.advertisedAddress ?? address);
    let stopping: Promise<void> | undefined;

    const stop = async (): Promise<void> => {
        const drainTimeoutMs = settings.timings?.drainTimeoutMs ?? 30_000;
        node.announceStop();
        await sleep(clock, settings.timings?.balancerNoticeMs ?? defaultBalancerNoticeMs);
        const stopped = node.stop();
        await proxy.drain(drainTimeoutMs);
        await stopped;
        await proxy.close();
        await parts.machines.close();
        await app.close();
    };

    void node.drainRequested.then(reason => {
        log.write("info", "drainAsked", { reason });
        stopping ??= stop();
        return stopping;
    }).catch(error => log.write("error", "drainFailed", { ...failureOf(error) }));

    return {
        address,
        node,
        started,
        stop: () => {
            stopping ??= stop();
            return stopping;
        },
    };
};
