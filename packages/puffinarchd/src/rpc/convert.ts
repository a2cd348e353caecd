/**
 * Conversions between the library's types and the schema's messages: `read...` turns a message into input that the library still
 * has to check, `to...Message` turns a value of the library into a message.
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import {
    type ConfigurationDocument as DocumentMessage,
    type ConfigurationSchema,
    type DecisionSchema,
    type JobSchema,
    type JobSpec as JobSpecMessage,
    type Resources as ResourcesMessage,
    type TaskSchema,
    TaskState as TaskStateMessage,
    type WorkloadClass as WorkloadClassMessage,
    WorkloadKind as WorkloadKindMessage,
} from "@puffinarch/schema";
import {
    type Configuration,
    type Decision,
    type Job,
    noResources,
    type Resources,
    type Task,
    type TaskState,
    type WorkloadKind,
} from "puffinarch";

const kindMessages: Readonly<Record<WorkloadKind, WorkloadKindMessage>> = {
    batch: WorkloadKindMessage.BATCH,
    service: WorkloadKindMessage.SERVICE,
    gang: WorkloadKindMessage.GANG,
};

const stateMessages: Readonly<Record<TaskState, TaskStateMessage>> = {
    queued: TaskStateMessage.QUEUED,
    starting: TaskStateMessage.STARTING,
    running: TaskStateMessage.RUNNING,
    completed: TaskStateMessage.COMPLETED,
    failed: TaskStateMessage.FAILED,
    cancelled: TaskStateMessage.CANCELLED,
    mayHaveRun: TaskStateMessage.MAY_HAVE_RUN,
};

const kindOfMessage = (message: WorkloadKindMessage): string =>
    Object.entries(kindMessages).find(([, value]) => value === message)?.[0] ?? "";

/**
 * Reads an amount of resources; a missing one is zero.
 *
 * @example
 * readResources(undefined).cpuMillis; // 0
 */
export const readResources = (message: ResourcesMessage | undefined): Resources =>
    message === undefined
        ? noResources
        : { cpuMillis: message.cpuMillis, memoryMib: message.memoryMib, accelerators: message.accelerators };

/**
 * Reads a submitted job, unchecked.
 *
 * @example
 * const input = readJobSpec(request.spec);
 */
export const readJobSpec = (message: JobSpecMessage | undefined): unknown =>
    message === undefined ? {} : {
        jobId: message.jobId,
        workloadClass: message.workloadClass,
        team: message.team,
        tasks: message.tasks,
        taskSize: readResources(message.taskSize),
        atMostOnce: message.atMostOnce,
        payload: message.payload,
    };

/**
 * Reads a workload class, unchecked.
 *
 * @example
 * const input = readWorkloadClass(request.workloadClass);
 */
export const readWorkloadClass = (message: WorkloadClassMessage | undefined): Record<string, unknown> =>
    message === undefined ? {} : {
        name: message.name,
        kind: kindOfMessage(message.kind),
        policy: message.policy,
        priority: message.priority,
    };

/**
 * Reads a policy, unchecked; a sample size of 0 stands for 2.
 *
 * @example
 * const input = readPolicy(request.policy);
 */
export const readPolicy = (
    message: { readonly name: string; readonly placement: string; readonly sampleSize: number; } | undefined,
): Record<string, unknown> =>
    message === undefined ? {} : {
        name: message.name,
        placement: message.placement,
        sampleSize: message.sampleSize === 0 ? 2 : message.sampleSize,
    };

/**
 * Reads a quota, unchecked.
 *
 * @example
 * const input = readQuota(request.quota);
 */
export const readQuota = (
    message: { readonly team: string; readonly cpuMillis: number; readonly memoryMib: number; } | undefined,
): Record<string, unknown> =>
    message === undefined ? {} : { team: message.team, cpuMillis: message.cpuMillis, memoryMib: message.memoryMib };

/**
 * Reads a configuration document, unchecked.
 *
 * @example
 * const input = readDocument(request.document);
 */
export const readDocument = (message: DocumentMessage | undefined): unknown => ({
    policies: (message?.policies ?? []).map(readPolicy),
    workloadClasses: (message?.workloadClasses ?? []).map(readWorkloadClass),
    quotas: (message?.quotas ?? []).map(readQuota),
});

/**
 * Converts a workload class.
 *
 * @example
 * const message = toWorkloadClassMessage(workloadClass);
 */
export const toWorkloadClassMessage = ({ name, kind, policy, priority }: {
    readonly name: string;
    readonly kind: WorkloadKind;
    readonly policy: string;
    readonly priority: number;
}) => ({ name, kind: kindMessages[kind], policy, priority });

/**
 * Converts a configuration.
 *
 * @example
 * const message = toConfigurationMessage(store.inForce());
 */
export const toConfigurationMessage = (configuration: Configuration): MessageInitShape<typeof ConfigurationSchema> => ({
    version: configuration.version,
    author: configuration.author,
    reason: configuration.reason,
    acceptedAtMs: configuration.acceptedAtMs,
    document: {
        policies: configuration.document.policies.map(policy => ({ ...policy })),
        workloadClasses: configuration.document.workloadClasses.map(toWorkloadClassMessage),
        quotas: configuration.document.quotas.map(quota => ({ ...quota })),
    },
});

/**
 * Converts a job.
 *
 * @example
 * const message = toJobMessage(job);
 */
export const toJobMessage = (
    { spec, homeId, acceptedAtMs, ended, taskCounts }: Job,
): MessageInitShape<typeof JobSchema> => ({
    spec: { ...spec, taskSize: { ...spec.taskSize } },
    homeId,
    acceptedAtMs,
    ended,
    taskCounts: taskCounts as Record<string, number>,
});

/**
 * Converts a task.
 *
 * @example
 * const message = toTaskMessage(task);
 */
export const toTaskMessage = (task: Task): MessageInitShape<typeof TaskSchema> => ({
    taskId: task.taskId,
    jobId: task.jobId,
    state: stateMessages[task.state],
    attempts: task.attempts,
    workerId: task.workerId ?? "",
    detail: task.detail,
    mayHaveStarted: task.mayHaveStarted,
    queuedAtMs: task.queuedAtMs,
    startedAtMs: task.startedAtMs ?? 0,
    endedAtMs: task.endedAtMs ?? 0,
});

/**
 * Converts a decision.
 *
 * @example
 * const message = toDecisionMessage(decision);
 */
export const toDecisionMessage = (decision: Decision): MessageInitShape<typeof DecisionSchema> => ({
    ...decision,
    chosen: decision.chosen ?? "",
});
