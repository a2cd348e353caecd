/** Validation of submitted jobs. */

import { z } from "zod";
import type { Configuration } from "../types/configuration.js";
import type { JobSpec } from "../types/job.js";
import type { Vm } from "../types/ports.js";
import { fits, largest, noResources, type Resources, scale } from "../types/resources.js";
import { check, nameSchema, rejectAll, textUpTo, wholeNumber } from "../utils/check.js";
import { die } from "../utils/errors.js";

const maxTasks = 10_000;
const maxPayloadLength = 16 * 1024;
const maxResourceAmount = 4_000_000;

const specSchema = z.strictObject({
    jobId: nameSchema,
    workloadClass: nameSchema,
    team: nameSchema,
    tasks: wholeNumber(1, maxTasks),
    taskSize: z.strictObject({
        cpuMillis: wholeNumber(1, maxResourceAmount),
        memoryMib: wholeNumber(1, maxResourceAmount),
        accelerators: wholeNumber(0, 1_024),
    }),
    atMostOnce: z.boolean("true or false"),
    payload: textUpTo(maxPayloadLength),
});

const describeResources = ({ cpuMillis, memoryMib, accelerators }: Resources): string =>
    `${cpuMillis} cpuMillis, ${memoryMib} memoryMib, ${accelerators} accelerators`;

const requireTaskFits = (spec: JobSpec, capacities: readonly Resources[]): void => {
    if (capacities.length === 0 || capacities.some(capacity => fits(spec.taskSize, capacity))) {
        return;
    }
    const limit = capacities.reduce(largest, noResources);
    die(
        "neverFits",
        `a task of ${describeResources(spec.taskSize)} fits no worker; the largest amounts are ${
            describeResources(limit)
        }`,
        {
            violations: [{
                field: "taskSize",
                value: describeResources(spec.taskSize),
                allowed: `at most ${describeResources(limit)} on one worker`,
            }],
        },
    );
};

const requireGangFits = (spec: JobSpec, capacities: readonly Resources[]): void => {
    const maxTasksAtOnce = capacities.reduce((sum, capacity) => {
        const byCpu = Math.floor(capacity.cpuMillis / spec.taskSize.cpuMillis);
        const byMemory = Math.floor(capacity.memoryMib / spec.taskSize.memoryMib);
        const byAccelerators = spec.taskSize.accelerators === 0
            ? Infinity
            : Math.floor(capacity.accelerators / spec.taskSize.accelerators);
        return sum + Math.min(byCpu, byMemory, byAccelerators);
    }, 0);
    if (capacities.length > 0 && maxTasksAtOnce < spec.tasks) {
        die(
            "neverFits",
            `all workers together can run ${maxTasksAtOnce} such tasks at once; the gang has ${spec.tasks}`,
            {
                violations: [{
                    field: "tasks",
                    value: String(spec.tasks),
                    allowed: `at most ${maxTasksAtOnce} at once`,
                }],
            },
        );
    }
};

const requireWithinQuota = (spec: JobSpec, configuration: Configuration, isGang: boolean): void => {
    const quota = configuration.document.quotas.find(each => each.team === spec.team);
    const atOnce = scale(spec.taskSize, isGang ? spec.tasks : 1);
    if (quota !== undefined && (atOnce.cpuMillis > quota.cpuMillis || atOnce.memoryMib > quota.memoryMib)) {
        die(
            "overQuota",
            `the quota of team ${spec.team} allows ${quota.cpuMillis} cpuMillis and ${quota.memoryMib} memoryMib at once`,
            {
                retryAfterMs: 60_000,
            },
        );
    }
};

/**
 * Validates a submitted job against the configuration in force and the listed workers; fails with `invalid`, `neverFits`
 * or `overQuota`.
 *
 * @example
 * const spec = checkJobSpec(input, configuration, listing.vms);
 */
export const checkJobSpec = (input: unknown, configuration: Configuration, vms: readonly Vm[]): JobSpec => {
    const spec = check(specSchema, input, "job");
    const classes = configuration.document.workloadClasses;
    const workloadClass = classes.find(each => each.name === spec.workloadClass)
        ?? rejectAll([{
            field: "workloadClass",
            value: `"${spec.workloadClass}"`,
            allowed: `one of ${classes.map(each => each.name).join(", ")}`,
        }], "job");
    const capacities = vms.flatMap(vm => vm.capacity === undefined ? [] : [vm.capacity]);
    requireTaskFits(spec, capacities);
    const isGang = workloadClass.kind === "gang";
    if (isGang) {
        requireGangFits(spec, capacities);
    }
    requireWithinQuota(spec, configuration, isGang);
    return spec;
};

/**
 * Returns whether two job specifications are equal.
 *
 * @example
 * sameSpec(spec, spec); // true
 */
export const sameSpec = (left: JobSpec, right: JobSpec): boolean => {
    const serialise = ({ jobId, workloadClass, team, tasks, taskSize, atMostOnce, payload }: JobSpec): string =>
        JSON.stringify([
            jobId,
            workloadClass,
            team,
            tasks,
            taskSize.cpuMillis,
            taskSize.memoryMib,
            taskSize.accelerators,
            atMostOnce,
            payload,
        ]);
    return serialise(left) === serialise(right);
};
