/** Connect service for operators: workers, upstreams, daemons, quotas, decisions, the log level and reports. */

import type { ServiceImpl } from "@connectrpc/connect";
import type { ClusterService } from "@puffinarch/schema";
import { check, die, type LogLevel, logLevels, type Node, oneOf, type Quota, type Task } from "puffinarch";
import { z } from "zod";
import type { DaemonLog } from "../logging.js";
import { editConfiguration } from "./configurationServices.js";
import { readQuota, toDecisionMessage } from "./convert.js";
import { pageSizeOf } from "./jobService.js";

/** Second half of the sentence `task ID ...` that explains a task's state. */
const explanations: Readonly<Record<Task["state"], (task: Task) => string>> = {
    queued: task => `waits for a worker with room; ${task.detail === "" ? "no attempt yet" : task.detail}`,
    starting: task => `is being started on ${task.workerId}`,
    running: task => `runs on ${task.workerId}`,
    completed: task => `completed on ${task.workerId}`,
    failed: task => `failed on ${task.workerId}: ${task.detail}`,
    cancelled: task => `was cancelled; ${task.mayHaveStarted ? "it may have started" : "it never started"}`,
    mayHaveRun: task => `may have run on ${task.workerId}: ${task.detail}`,
};

/**
 * Creates the cluster service of a node.
 *
 * @example
 * router.service(ClusterService, createClusterService(node, log));
 */
export const createClusterService = (node: Node, log: DaemonLog): ServiceImpl<typeof ClusterService> => {
    const workers = async (dataCentre: string) => {
        const { answers, unreachable } = await node.callAll("workers", { dataCentre });
        return {
            workers: answers.flat().map(each => ({ ...each, attemptIds: [...each.attemptIds] })),
            unreachableDaemons: [...unreachable],
        };
    };

    const decisions = async (subject: string, limit: number) => {
        const { answers, unreachable } = await node.callAll("decisions", { subject, limit });
        const newest = answers.flat().sort((left, right) => right.atMs - left.atMs).slice(0, limit);
        return { decisions: newest.map(toDecisionMessage), unreachableDaemons: [...unreachable] };
    };

    const usageOf = (quota: Quota) => ({ quota: { ...quota }, inUse: node.teamUse(quota.team) });
    const quotas = () => node.configuration.inForce().document.quotas;

    return {
        listWorkers: ({ dataCentre }) => workers(dataCentre),
        getWorker: async ({ workerId }) => {
            const listed = await workers("");
            const worker = listed.workers.find(each => each.workerId === workerId);
            return { worker: worker ?? die("notFound", `no reachable daemon owns a worker ${workerId}`) };
        },
        listUpstreams: async ({ service }) => {
            const { answers, unreachable } = await node.callAll("upstreams", { service });
            return { upstreams: answers.flat().map(each => ({ ...each })), unreachableDaemons: [...unreachable] };
        },
        listDaemons: async () => {
            const { answers, unreachable } = await node.callAll("daemon", { detail: true });
            const unreachableEntries = unreachable.map(daemonId => {
                const session = node.membership.session(daemonId);
                const { vmId = "", dataCentre = "", address = "" } = session ?? {};
                return { daemonId, vmId, dataCentre, address, reachable: false };
            });
            return { daemons: [...answers.map(each => ({ ...each })), ...unreachableEntries] };
        },
        drainDaemon: async ({ daemonId }) => {
            await node.call(daemonId, "drain", { reason: "requested by an operator" });
            return {};
        },
        listQuotas: async () => ({ quotas: quotas().map(usageOf) }),
        getQuota: async ({ team }) => ({
            quota: usageOf(quotas().find(each => each.team === team) ?? die("notFound", `team ${team} has no quota`)),
        }),
        setQuota: async ({ quota, context }) => {
            const entry = readQuota(quota);
            const isRemoval = quota?.cpuMillis === 0 && quota.memoryMib === 0;
            const version = await editConfiguration(node, context, document => {
                const others = document.quotas.filter(each => each.team !== quota?.team);
                return { ...document, quotas: isRemoval ? others : [...others, entry] };
            });
            return { version };
        },
        listDecisions: ({ subject, pageSize }) => decisions(subject, pageSizeOf(pageSize)),
        explainTask: async ({ taskId }) => {
            const task = await node.jobs.task(taskId);
            const found = await decisions(taskId, pageSizeOf(0));
            return { explanation: `task ${taskId} ${explanations[task.state](task)}`, decisions: found.decisions };
        },
        setLogLevel: async ({ level }) => {
            const checked = check(z.object({ level: oneOf(logLevels) }), { level }, "request");
            const previous: LogLevel = log.level();
            log.setLevel(checked.level);
            return { previous };
        },
        getReport: async () => {
            const { answers, unreachable } = await node.callAll("nodeReport", { detail: true });
            const sum = (pick: (each: (typeof answers)[number]) => number): number =>
                answers.reduce((total, each) => total + pick(each), 0);
            const capacity = sum(each => each.capacityCpuMillis);
            return {
                tasksAccepted: sum(each => each.tasksAccepted),
                tasksEnded: sum(each => each.tasksEnded),
                tasksQueued: sum(each => each.tasksQueued),
                tasksRunning: sum(each => each.tasksRunning),
                waitP50Ms: Math.max(0, ...answers.map(each => each.waitP50Ms)),
                waitP99Ms: Math.max(0, ...answers.map(each => each.waitP99Ms)),
                packing: capacity === 0 ? 0 : sum(each => each.reservedCpuMillis) / capacity,
                tableWrites: sum(each => each.tableWrites),
                tableReads: sum(each => each.tableReads),
                requestsAnswered: sum(each => each.requestsAnswered),
                unreachableDaemons: [...unreachable],
            };
        },
    };
};
