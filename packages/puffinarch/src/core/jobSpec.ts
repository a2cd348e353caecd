/** Checking what callers submit. */

import { z } from "zod";
import type { Configuration } from "../types/configuration.js";
import type { JobSpec } from "../types/job.js";
import type { Vm } from "../types/ports.js";
import { fits, largest, noResources, type Resources, scale } from "../types/resources.js";
import { check, nameSchema, rejectAll, textUpTo, wholeNumber } from "../utils/check.js";
import { die } from "../utils/errors.js";

const maxTasks = 10_000;
const maxPayloadLength = 16 * 1024;
const maxAmount = 4_000_000;

const specSchema = z.strictObject({
    jobId: nameSchema,
    workloadClass: nameSchema,
    team: nameSchema,
    tasks: wholeNumber(1, maxTasks),
    taskSize: z.strictObject({
        cpuMillis: wholeNumber(1, maxAmount),
        memoryMib: wholeNumber(1, maxAmount),
        accelerators: wholeNumber(0, 1_024),
    }),
    atMostOnce: z.boolean("true or false"),
    payload: textUpTo(maxPayloadLength),
});

const show = ({ cpuMillis, memoryMib, accelerators }: Resources): string =>
    `${cpuMillis} cpuMillis, ${memoryMib} memoryMib, ${accelerators} accelerators`;

const refuseUnlessFits = (spec: JobSpec, capacities: readonly Resources[]): void => {
    if (capacities.length === 0 || capacities.some(capacity => fits(spec.taskSize, capacity))) {
        return;
    }
    const limit = capacities.reduce(largest, noResources);
    die("neverFits", `a task of ${show(spec.taskSize)} fits no worker; the largest amounts are ${show(limit)}`, {
        violations: [{
            field: "taskSize",
            value: show(spec.taskSize),
            allowed: `at most ${show(limit)} on one worker`,
        }],
    });
};

const refuseGangOverAll = (spec: JobSpec, capacities: readonly Resources[]): void => {
    const places = capacities.reduce((sum, capacity) => {
        const byCpu = Math.floor(capacity.cpuMillis / spec.taskSize.cpuMillis);
        const byMemory = Math.floor(capacity.memoryMib / spec.taskSize.memoryMib);
        const byAccelerators = spec.taskSize.accelerators === 0
            ? Infinity
            : Math.floor(capacity.accelerators / spec.taskSize.accelerators);
        return sum + Math.min(byCpu, byMemory, byAccelerators);
    }, 0);
    if (capacities.length > 0 && places < spec.tasks) {
        die("neverFits", `all workers together hold ${places} such tasks at once, and the gang has ${spec.tasks}`, {
            violations: [{ field: "tasks", value: String(spec.tasks), allowed: `at most ${places} at once` }],
        });
    }
};

const refuseOverQuota = (spec: JobSpec, configuration: Configuration, isGang: boolean): void => {
    const quota = configuration.document.quotas.find(each => each.team === spec.team);
    const atOnce = scale(spec.taskSize, isGang ? spec.tasks : 1);
    if (quota !== undefined && (atOnce.cpuMillis > quota.cpuMillis || atOnce.memoryMib > quota.memoryMib)) {
        die(
            "overQuota",
            `team ${spec.team} may hold ${quota.cpuMillis} cpuMillis and ${quota.memoryMib} memoryMib at once`,
            {
                retryAfterMs: 60_000,
            },
        );
    }
};

/**
 * Checks a job whole against the configuration in force and the workers listed; fails with `invalid`, `neverFits`
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
    refuseUnlessFits(spec, capacities);
    const isGang = workloadClass.kind === "gang";
    if (isGang) {
        refuseGangOverAll(spec, capacities);
    }
    refuseOverQuota(spec, configuration, isGang);
    return spec;
};

/**
 * Tells whether two submissions ask for the same job.
 *
 * @example
 * sameSpec(spec, spec); // true
 */
export const sameSpec = (left: JobSpec, right: JobSpec): boolean => {
    const text = ({ jobId, workloadClass, team, tasks, taskSize, atMostOnce, payload }: JobSpec): string =>
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
    return text(left) === text(right);
};
