/** Connect services for operators: policies, workload classes and the whole configuration. */

import type { ServiceImpl } from "@connectrpc/connect";
import type {
    ChangeContext as ChangeContextMessage,
    ConfigurationService,
    PolicyService,
    WorkloadClassService,
} from "@puffinarch/schema";
import {
    type ChangeContext,
    check,
    checkDocument,
    type ConfigurationDocument,
    die,
    diffDocuments,
    type Node,
    textUpTo,
    wholeNumber,
} from "puffinarch";
import { z } from "zod";
import {
    readDocument,
    readPolicy,
    readWorkloadClass,
    toConfigurationMessage,
    toWorkloadClassMessage,
} from "./convert.js";

/** Number of versions listed if a request sets none. */
const defaultHistory = 20;

const contextSchema = z.object({
    expectedVersion: wholeNumber(0, 4_294_967_295),
    author: textUpTo(200).min(1, "the name of whoever makes the change"),
    reason: textUpTo(1_000),
});

/**
 * Checks the context of a change: the version that it is based on, its author and its reason.
 *
 * @example
 * readContext({ expectedVersion: 3, author: "ana", reason: "more room" }).author; // "ana"
 */
export const readContext = (message: ChangeContextMessage | undefined): ChangeContext =>
    check(contextSchema, message ?? {}, "change context");

/**
 * Applies a change to the document in force and returns the version that results.
 *
 * @example
 * await editConfiguration(node, request.context, document => ({ ...document, quotas: [] }));
 */
export const editConfiguration = async (
    node: Node,
    context: ChangeContextMessage | undefined,
    change: (document: ConfigurationDocument) => unknown,
): Promise<number> => {
    const checked = readContext(context);
    await node.configuration.refresh().catch(() => undefined);
    return (await node.configuration.apply(change(node.configuration.inForce().document), checked)).version;
};

interface Named {
    readonly name: string;
}

const create = <T extends Named>(list: readonly T[], entry: unknown): readonly unknown[] => {
    const { name } = entry as Named;
    return list.some(each => each.name === name)
        ? die("alreadyExists", `"${name}" already exists`, {
            violations: [{ field: "name", value: `"${name}"`, allowed: "a new name" }],
        })
        : [...list, entry];
};

const update = <T extends Named>(list: readonly T[], entry: unknown): readonly unknown[] => {
    const { name } = entry as Named;
    return list.some(each => each.name === name)
        ? list.map(each => each.name === name ? entry : each)
        : die("notFound", `there is no "${name}"`);
};

const remove = <T extends Named>(list: readonly T[], name: string): readonly T[] =>
    list.some(each => each.name === name)
        ? list.filter(each => each.name !== name)
        : die("notFound", `there is no "${name}"`);

const find = <T extends Named>(list: readonly T[], name: string): T =>
    list.find(each => each.name === name) ?? die("notFound", `there is no "${name}"`);

/**
 * Creates the configuration service of a node.
 *
 * @example
 * router.service(ConfigurationService, createConfigurationService(node));
 */
export const createConfigurationService = (node: Node): ServiceImpl<typeof ConfigurationService> => ({
    getConfiguration: async ({ version }) => {
        const { configuration } = node;
        return {
            configuration: toConfigurationMessage(
                version === 0 ? configuration.inForce() : await configuration.version(version),
            ),
        };
    },
    applyConfiguration: async ({ document, context }) => ({
        configuration: toConfigurationMessage(
            await node.configuration.apply(readDocument(document), readContext(context)),
        ),
    }),
    diffConfiguration: async ({ document }) => {
        const { version, document: before } = node.configuration.inForce();
        return { againstVersion: version, difference: diffDocuments(before, checkDocument(readDocument(document))) };
    },
    listConfigurations: async ({ pageSize }) => {
        const { limit } = check(z.object({ limit: wholeNumber(0, 100) }), { limit: pageSize }, "request");
        return {
            configurations: (await node.configuration.history(limit || defaultHistory)).map(toConfigurationMessage),
        };
    },
    deleteConfiguration: async ({ version }) => {
        await node.configuration.deleteVersion(version);
        return {};
    },
    getConfigurationStatus: async () => {
        const { answers, unreachable } = await node.callAll("daemon", { detail: false });
        const accepted = Math.max(
            node.configuration.inForce().version,
            ...answers.map(each => each.configurationVersion),
        );
        return {
            acceptedVersion: accepted,
            daemons: [
                ...answers.map(each => ({
                    daemonId: each.daemonId,
                    version: each.configurationVersion,
                    inForceSinceMs: each.configurationInForceSinceMs,
                    reachable: true,
                })),
                ...unreachable.map(daemonId => ({ daemonId, reachable: false })),
            ],
        };
    },
});

/**
 * Creates the policy service of a node.
 *
 * @example
 * router.service(PolicyService, createPolicyService(node));
 */
export const createPolicyService = (node: Node): ServiceImpl<typeof PolicyService> => ({
    createPolicy: async ({ policy, context }) => {
        const entry = readPolicy(policy);
        const version = await editConfiguration(
            node,
            context,
            document => ({ ...document, policies: create(document.policies, entry) }),
        );
        return { policy: find(node.configuration.inForce().document.policies, policy?.name ?? ""), version };
    },
    listPolicies: async () => {
        const { document, version } = node.configuration.inForce();
        return { policies: document.policies.map(policy => ({ ...policy })), version };
    },
    getPolicy: async ({ name }) => {
        const { document, version } = node.configuration.inForce();
        return { policy: find(document.policies, name), version };
    },
    updatePolicy: async ({ policy, context }) => {
        const entry = readPolicy(policy);
        const version = await editConfiguration(
            node,
            context,
            document => ({ ...document, policies: update(document.policies, entry) }),
        );
        return { policy: find(node.configuration.inForce().document.policies, policy?.name ?? ""), version };
    },
    deletePolicy: async ({ name, context }) => ({
        version: await editConfiguration(
            node,
            context,
            document => ({ ...document, policies: remove(document.policies, name) }),
        ),
    }),
});

/**
 * Creates the workload class service of a node.
 *
 * @example
 * router.service(WorkloadClassService, createWorkloadClassService(node));
 */
export const createWorkloadClassService = (node: Node): ServiceImpl<typeof WorkloadClassService> => {
    const classes = () => node.configuration.inForce().document.workloadClasses;
    const editClasses = async (
        context: ChangeContextMessage | undefined,
        name: string,
        change: (document: ConfigurationDocument) => readonly unknown[],
    ) => {
        const version = await editConfiguration(
            node,
            context,
            document => ({ ...document, workloadClasses: change(document) }),
        );
        return { workloadClass: toWorkloadClassMessage(find(classes(), name)), version };
    };
    return {
        createWorkloadClass: ({ workloadClass, context }) =>
            editClasses(
                context,
                workloadClass?.name ?? "",
                document => create(document.workloadClasses, readWorkloadClass(workloadClass)),
            ),
        listWorkloadClasses: async () => ({
            workloadClasses: classes().map(toWorkloadClassMessage),
            version: node.configuration.inForce().version,
        }),
        getWorkloadClass: async ({ name }) => ({
            workloadClass: toWorkloadClassMessage(find(classes(), name)),
            version: node.configuration.inForce().version,
        }),
        updateWorkloadClass: ({ workloadClass, context }) =>
            editClasses(
                context,
                workloadClass?.name ?? "",
                document => update(document.workloadClasses, readWorkloadClass(workloadClass)),
            ),
        deleteWorkloadClass: async ({ name, context }) => ({
            version: await editConfiguration(
                node,
                context,
                document => ({ ...document, workloadClasses: remove(document.workloadClasses, name) }),
            ),
        }),
    };
};
