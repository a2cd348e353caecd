/** Checking and comparing configuration documents; pure. */

import { z } from "zod";
import { placementNames } from "../plugins/placements.js";
import type { ConfigurationDocument } from "../types/configuration.js";
import { workloadKinds } from "../types/job.js";
import { check, nameSchema, oneOf, rejectAll, wholeNumber } from "../utils/check.js";
import type { Violation } from "../utils/errors.js";

const maxCpuMillis = 4_000_000_000;

const policySchema = z.strictObject({
    name: nameSchema,
    placement: oneOf(placementNames),
    sampleSize: wholeNumber(1, 64),
});

const workloadClassSchema = z.strictObject({
    name: nameSchema,
    kind: oneOf(Object.values(workloadKinds)),
    policy: nameSchema,
    priority: wholeNumber(0, 9),
});

const quotaSchema = z.strictObject({
    team: nameSchema,
    cpuMillis: wholeNumber(1, maxCpuMillis),
    memoryMib: wholeNumber(1, maxCpuMillis),
});

const documentSchema = z.strictObject({
    policies: z.array(policySchema, "a list of policies").max(1_000, "at most 1,000 policies"),
    workloadClasses: z.array(workloadClassSchema, "a list of workload classes").max(1_000, "at most 1,000 classes"),
    quotas: z.array(quotaSchema, "a list of quotas").max(10_000, "at most 10,000 quotas"),
});

/** The document that a new cluster starts with. */
export const initialDocument: ConfigurationDocument = {
    policies: [
        { name: "pack", placement: "bestFit", sampleSize: 2 },
        { name: "spread", placement: "worstFit", sampleSize: 2 },
        { name: "together", placement: "gang", sampleSize: 2 },
    ],
    workloadClasses: [
        { name: "interactive", kind: "service", policy: "spread", priority: 8 },
        { name: "batch", kind: "batch", policy: "pack", priority: 3 },
        { name: "gang", kind: "gang", policy: "together", priority: 5 },
    ],
    quotas: [],
};

const repeats = (list: string, field: string, names: readonly string[]): readonly Violation[] => {
    const violations: Violation[] = [];
    const seen = new Set<string>();
    for (const [index, name] of names.entries()) {
        if (seen.has(name)) {
            violations.push({ field: `${list}[${index}].${field}`, value: `"${name}"`, allowed: "a name used once" });
        }
        seen.add(name);
    }
    return violations;
};

const danglingPolicies = (document: ConfigurationDocument): readonly Violation[] => {
    const violations: Violation[] = [];
    const names = document.policies.map(policy => policy.name);
    for (const [index, workloadClass] of document.workloadClasses.entries()) {
        if (!names.includes(workloadClass.policy)) {
            violations.push({
                field: `workloadClasses[${index}].policy`,
                value: `"${workloadClass.policy}"`,
                allowed: names.length === 0 ? "a policy of this document; there is none" : `one of ${names.join(", ")}`,
            });
        }
    }
    return violations;
};

/**
 * Checks a document whole; fails with the kind `invalid` and every violation at once.
 *
 * @example
 * checkDocument(initialDocument).policies.length; // 3
 */
export const checkDocument = (input: unknown): ConfigurationDocument => {
    const document = check(documentSchema, input, "configuration");
    const violations = [
        ...repeats("policies", "name", document.policies.map(policy => policy.name)),
        ...repeats("workloadClasses", "name", document.workloadClasses.map(each => each.name)),
        ...repeats("quotas", "team", document.quotas.map(quota => quota.team)),
        ...danglingPolicies(document),
    ];
    return violations.length === 0 ? document : rejectAll(violations, "configuration");
};

const linesOf = (document: ConfigurationDocument): readonly string[] => [
    ...document.policies.map(each => `policy ${each.name}: ${each.placement}, sampleSize ${each.sampleSize}`),
    ...document.workloadClasses.map(each =>
        `class ${each.name}: ${each.kind}, policy ${each.policy}, priority ${each.priority}`
    ),
    ...document.quotas.map(each => `quota ${each.team}: ${each.cpuMillis} cpuMillis, ${each.memoryMib} memoryMib`),
];

/**
 * Shows what changes from one document to the next, a line each, removed ones marked `-` and added ones `+`.
 *
 * @example
 * diffDocuments(initialDocument, initialDocument); // ""
 */
export const diffDocuments = (before: ConfigurationDocument, after: ConfigurationDocument): string => {
    const old = linesOf(before);
    const fresh = linesOf(after);
    const removed = old.filter(line => !fresh.includes(line)).map(line => `- ${line}`);
    const added = fresh.filter(line => !old.includes(line)).map(line => `+ ${line}`);
    return [...removed, ...added].join("\n");
};
