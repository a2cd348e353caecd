/** Validation and comparison of configuration documents; pure functions. */

import { z } from "zod";
import { placementNames } from "../plugins/placements.js";
import type { ConfigurationDocument } from "../types/configuration.js";
import { workloadKinds } from "../types/job.js";
import { check, nameSchema, oneOf, rejectAll, wholeNumber } from "../utils/check.js";
import type { Violation } from "../utils/errors.js";

const maxQuotaAmount = 4_000_000_000;

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
    cpuMillis: wholeNumber(1, maxQuotaAmount),
    memoryMib: wholeNumber(1, maxQuotaAmount),
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

const duplicateViolations = (list: string, field: string, names: readonly string[]): readonly Violation[] => {
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

const unknownPolicyViolations = (document: ConfigurationDocument): readonly Violation[] => {
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
 * Validates a document. Fails with `invalid`, with all violations of the schema or, if there are none, with all duplicate
 * names and unknown policies.
 *
 * @example
 * checkDocument(initialDocument).policies.length; // 3
 */
export const checkDocument = (input: unknown): ConfigurationDocument => {
    const document = check(documentSchema, input, "configuration");
    const violations = [
        ...duplicateViolations("policies", "name", document.policies.map(policy => policy.name)),
        ...duplicateViolations("workloadClasses", "name", document.workloadClasses.map(each => each.name)),
        ...duplicateViolations("quotas", "team", document.quotas.map(quota => quota.team)),
        ...unknownPolicyViolations(document),
    ];
    return violations.length === 0 ? document : rejectAll(violations, "configuration");
};

const describeDocument = (document: ConfigurationDocument): readonly string[] => [
    ...document.policies.map(each => `policy ${each.name}: ${each.placement}, sampleSize ${each.sampleSize}`),
    ...document.workloadClasses.map(each =>
        `class ${each.name}: ${each.kind}, policy ${each.policy}, priority ${each.priority}`
    ),
    ...document.quotas.map(each => `quota ${each.team}: ${each.cpuMillis} cpuMillis, ${each.memoryMib} memoryMib`),
];

/**
 * Returns the difference of two documents, a line per policy, class or quota: `-` marks removed lines and `+` added ones.
 *
 * @example
 * diffDocuments(initialDocument, initialDocument); // ""
 */
export const diffDocuments = (before: ConfigurationDocument, after: ConfigurationDocument): string => {
    const oldLines = describeDocument(before);
    const newLines = describeDocument(after);
    const removed = oldLines.filter(line => !newLines.includes(line)).map(line => `- ${line}`);
    const added = newLines.filter(line => !oldLines.includes(line)).map(line => `+ ${line}`);
    return [...removed, ...added].join("\n");
};
