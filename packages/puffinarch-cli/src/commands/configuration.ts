/** `puffinarch policy`, `class`, `quota` and `config`. */

import { fromJson, type JsonValue } from "@bufbuild/protobuf";
import {
    ApplyConfigurationResponseSchema,
    ClusterService,
    type Configuration,
    type ConfigurationDocument,
    ConfigurationDocumentSchema,
    ConfigurationService,
    DiffConfigurationResponseSchema,
    GetConfigurationResponseSchema,
    GetConfigurationStatusResponseSchema,
    GetPolicyResponseSchema,
    GetQuotaResponseSchema,
    GetWorkloadClassResponseSchema,
    ListConfigurationsResponseSchema,
    ListPoliciesResponseSchema,
    ListQuotasResponseSchema,
    ListWorkloadClassesResponseSchema,
    type Policy,
    PolicyService,
    type QuotaUsage,
    SetQuotaResponseSchema,
    type WorkloadClass,
    WorkloadClassService,
    WorkloadKind,
} from "@puffinarch/schema";
import type { Command } from "commander";
import { die } from "puffinarch";
import { stringify } from "yaml";
import { type CliContext, numberFrom, readDocumentFile } from "../context.js";
import { amountOf, type Column, tableOf, timeOf } from "../output.js";

/** Answer to a change. */
interface AcceptedChange {
    readonly version: number;
}

interface ChangeFlags {
    readonly expectedVersion?: string;
    readonly reason: string;
}

const policyColumns: readonly Column<Policy>[] = [
    { title: "POLICY", cell: policy => policy.name },
    { title: "PLACEMENT", cell: policy => policy.placement },
    { title: "SAMPLE SIZE", cell: policy => policy.sampleSize },
];

const classColumns: readonly Column<WorkloadClass>[] = [
    { title: "CLASS", cell: each => each.name },
    { title: "KIND", cell: each => WorkloadKind[each.kind].toLowerCase() },
    { title: "POLICY", cell: each => each.policy },
    { title: "PRIORITY", cell: each => each.priority },
];

const quotaColumns: readonly Column<QuotaUsage>[] = [
    { title: "TEAM", cell: each => each.quota?.team ?? "" },
    { title: "LIMIT", cell: ({ quota }) => `${(quota?.cpuMillis ?? 0) / 1_000} cpu, ${quota?.memoryMib ?? 0} MiB` },
    { title: "IN USE", cell: each => amountOf(each.inUse) },
];

const versionColumns: readonly Column<Configuration>[] = [
    { title: "VERSION", cell: each => each.version },
    { title: "AUTHOR", cell: each => each.author },
    { title: "ACCEPTED", cell: each => timeOf(each.acceptedAtMs) },
    { title: "REASON", cell: each => each.reason },
];

/** Adds the options that every change of the configuration takes. */
const withChangeOptions = (command: Command): Command =>
    command
        .option("--expected-version <n>", "version that the change is based on; the one in force by default")
        .option("--reason <text>", "reason for the change", "");

const kinds: Readonly<Record<string, WorkloadKind>> = {
    batch: WorkloadKind.BATCH,
    service: WorkloadKind.SERVICE,
    gang: WorkloadKind.GANG,
};

const kindFrom = (text: string): WorkloadKind =>
    kinds[text] ?? die("invalid", `kind is "${text}"; allowed: one of ${Object.keys(kinds).join(", ")}`, {
        violations: [{ field: "kind", value: `"${text}"`, allowed: `one of ${Object.keys(kinds).join(", ")}` }],
    });

/** Builds the context of a change. Without `--expected-version` the change is based on the version in force. */
const changeContext = async (context: CliContext, command: Command, flags: ChangeFlags) => {
    const { author } = context.settings(command);
    if (flags.expectedVersion !== undefined) {
        return { expectedVersion: numberFrom("expected-version", flags.expectedVersion), author, reason: flags.reason };
    }
    const { configuration } = await context.caller(command, ConfigurationService)(client =>
        client.getConfiguration({})
    );
    return { expectedVersion: configuration?.version ?? 0, author, reason: flags.reason };
};

/** Reads a configuration file. Files name kinds in short, such as `batch`; the schema's JSON form is `WORKLOAD_KIND_BATCH`. */
const documentFrom = (path: string): ConfigurationDocument => {
    const content = readDocumentFile(path);
    const classes = Array.isArray(content["workloadClasses"])
        ? content["workloadClasses"] as Record<string, unknown>[]
        : [];
    const named = classes.map(each => ({ ...each, kind: `WORKLOAD_KIND_${String(each["kind"]).toUpperCase()}` }));
    try {
        return fromJson(ConfigurationDocumentSchema, { ...content, workloadClasses: named } as JsonValue);
    }
    catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        const allowed = "policies, workloadClasses and quotas as docs/operators/configuration.md shows";
        return die("invalid", `the file does not hold a valid configuration: ${message}`, {
            violations: [{ field: "file", value: `"${path}"`, allowed }],
        });
    }
};

const documentText = ({ policies, workloadClasses, quotas }: ConfigurationDocument): string =>
    stringify({
        policies: policies.map(({ name, placement, sampleSize }) => ({ name, placement, sampleSize })),
        workloadClasses: workloadClasses.map(({ name, kind, policy, priority }) => ({
            name,
            kind: WorkloadKind[kind].toLowerCase(),
            policy,
            priority,
        })),
        quotas: quotas.map(({ team, cpuMillis, memoryMib }) => ({ team, cpuMillis, memoryMib })),
    });

const addPolicyCommands = (program: Command, context: CliContext): void => {
    const policy = program.command("policy").description("Named policies for the placement of tasks.");
    policy.command("list").action(async (_flags: unknown, command: Command) => {
        const response = await context.caller(command, PolicyService)(client => client.listPolicies({}));
        context.show(command, ListPoliciesResponseSchema, response, () => tableOf(policyColumns, response.policies));
    });
    policy.command("get <name>").action(async (name: string, _flags: unknown, command: Command) => {
        const response = await context.caller(command, PolicyService)(client => client.getPolicy({ name }));
        context.show(
            command,
            GetPolicyResponseSchema,
            response,
            () => tableOf(policyColumns, response.policy === undefined ? [] : [response.policy]),
        );
    });
    for (const verb of ["create", "update"] as const) {
        withChangeOptions(policy.command(`${verb} <name>`))
            .requiredOption("--placement <handler>", "bestFit, worstFit, firstFit, randomOfK or gang")
            .option("--sample-size <n>", "number of candidates that randomOfK compares", "2")
            .addHelpText(
                "after",
                `\nExample:\n  puffinarch policy ${verb} tight --placement bestFit --reason "denser nights"`,
            )
            .action(
                async (
                    name: string,
                    flags: ChangeFlags & { readonly placement: string; readonly sampleSize: string; },
                    command: Command,
                ) => {
                    const request = {
                        policy: {
                            name,
                            placement: flags.placement,
                            sampleSize: numberFrom("sample-size", flags.sampleSize),
                        },
                        context: await changeContext(context, command, flags),
                    };
                    const response = await context.caller(command, PolicyService)((client): Promise<AcceptedChange> =>
                        verb === "create" ? client.createPolicy(request) : client.updatePolicy(request)
                    );
                    context.showFields(
                        command,
                        { version: response.version },
                        `version ${response.version} is accepted`,
                    );
                },
            );
    }
    withChangeOptions(policy.command("delete <name>")).action(
        async (name: string, flags: ChangeFlags, command: Command) => {
            const request = { name, context: await changeContext(context, command, flags) };
            const { version } = await context.caller(command, PolicyService)(client => client.deletePolicy(request));
            context.showFields(command, { version }, `version ${version} is accepted`);
        },
    );
};

const addClassCommands = (program: Command, context: CliContext): void => {
    const workloadClass = program.command("class").description("Workload classes; each refers to a policy.");
    workloadClass.command("list").action(async (_flags: unknown, command: Command) => {
        const response = await context.caller(command, WorkloadClassService)(client => client.listWorkloadClasses({}));
        context.show(
            command,
            ListWorkloadClassesResponseSchema,
            response,
            () => tableOf(classColumns, response.workloadClasses),
        );
    });
    workloadClass.command("get <name>").action(async (name: string, _flags: unknown, command: Command) => {
        const response = await context.caller(command, WorkloadClassService)(client =>
            client.getWorkloadClass({ name })
        );
        const rows = response.workloadClass === undefined ? [] : [response.workloadClass];
        context.show(command, GetWorkloadClassResponseSchema, response, () => tableOf(classColumns, rows));
    });
    for (const verb of ["create", "update"] as const) {
        withChangeOptions(workloadClass.command(`${verb} <name>`))
            .requiredOption("--kind <kind>", "batch, service or gang")
            .requiredOption("--policy <name>", "policy that places its tasks")
            .option("--priority <n>", "0 to 9; tasks with a higher priority are placed first", "3")
            .action(
                async (
                    name: string,
                    flags: ChangeFlags & { readonly kind: string; readonly policy: string; readonly priority: string; },
                    command: Command,
                ) => {
                    const request = {
                        workloadClass: {
                            name,
                            kind: kindFrom(flags.kind),
                            policy: flags.policy,
                            priority: numberFrom("priority", flags.priority),
                        },
                        context: await changeContext(context, command, flags),
                    };
                    const response = await context.caller(command, WorkloadClassService)((
                        client,
                    ): Promise<AcceptedChange> =>
                        verb === "create" ? client.createWorkloadClass(request) : client.updateWorkloadClass(request)
                    );
                    context.showFields(
                        command,
                        { version: response.version },
                        `version ${response.version} is accepted`,
                    );
                },
            );
    }
    withChangeOptions(workloadClass.command("delete <name>")).action(
        async (name: string, flags: ChangeFlags, command: Command) => {
            const request = { name, context: await changeContext(context, command, flags) };
            const { version } = await context.caller(command, WorkloadClassService)(client =>
                client.deleteWorkloadClass(request)
            );
            context.showFields(command, { version }, `version ${version} is accepted`);
        },
    );
};

const addQuotaCommands = (program: Command, context: CliContext): void => {
    const quota = program.command("quota").description(
        "Limits on the resources that the running tasks of a team hold at once.",
    );
    quota.command("list").action(async (_flags: unknown, command: Command) => {
        const response = await context.caller(command, ClusterService)(client => client.listQuotas({}));
        context.show(command, ListQuotasResponseSchema, response, () => tableOf(quotaColumns, response.quotas));
    });
    quota.command("get <team>").action(async (team: string, _flags: unknown, command: Command) => {
        const response = await context.caller(command, ClusterService)(client => client.getQuota({ team }));
        context.show(
            command,
            GetQuotaResponseSchema,
            response,
            () => tableOf(quotaColumns, response.quota === undefined ? [] : [response.quota]),
        );
    });
    const set = async (
        team: string,
        amount: { readonly cpuMillis: number; readonly memoryMib: number; },
        flags: ChangeFlags,
        command: Command,
    ) => {
        const request = { quota: { team, ...amount }, context: await changeContext(context, command, flags) };
        const response = await context.caller(command, ClusterService)(client => client.setQuota(request));
        context.show(command, SetQuotaResponseSchema, response, () => `version ${response.version} is accepted\n`);
    };
    withChangeOptions(quota.command("set <team>"))
        .requiredOption("--cpu-millis <n>", "thousandths of a core")
        .requiredOption("--memory-mib <n>", "mebibytes")
        .action((
            team: string,
            flags: ChangeFlags & { readonly cpuMillis: string; readonly memoryMib: string; },
            command: Command,
        ) => set(
            team,
            {
                cpuMillis: numberFrom("cpu-millis", flags.cpuMillis),
                memoryMib: numberFrom("memory-mib", flags.memoryMib),
            },
            flags,
            command,
        ));
    withChangeOptions(quota.command("delete <team>")).action((team: string, flags: ChangeFlags, command: Command) =>
        set(team, { cpuMillis: 0, memoryMib: 0 }, flags, command)
    );
};

const addConfigReads = (config: Command, context: CliContext): void => {
    config.command("get")
        .description("Show the configuration in force, or an earlier version.")
        .option("--version-number <n>", "the version to show", "0")
        .action(async (flags: { readonly versionNumber: string; }, command: Command) => {
            const version = numberFrom("version-number", flags.versionNumber);
            const response = await context.caller(command, ConfigurationService)(client =>
                client.getConfiguration({ version })
            );
            const { configuration } = response;
            context.show(
                command,
                GetConfigurationResponseSchema,
                response,
                () =>
                    `# version ${configuration?.version ?? 0}\n${
                        configuration?.document === undefined ? "" : documentText(configuration.document)
                    }`,
            );
        });
    config.command("diff <file>")
        .description("Show what applying a file would change.")
        .action(async (file: string, _flags: unknown, command: Command) => {
            const document = documentFrom(file);
            const response = await context.caller(command, ConfigurationService)(client =>
                client.diffConfiguration({ document })
            );
            context.show(
                command,
                DiffConfigurationResponseSchema,
                response,
                () =>
                    response.difference === ""
                        ? `no difference to version ${response.againstVersion}\n`
                        : `${response.difference}\n`,
            );
        });
    config.command("status")
        .description("Show the version in force on each daemon.")
        .action(async (_flags: unknown, command: Command) => {
            const response = await context.caller(command, ConfigurationService)(client =>
                client.getConfigurationStatus({})
            );
            context.show(command, GetConfigurationStatusResponseSchema, response, () =>
                tableOf([
                    { title: "DAEMON", cell: each => each.daemonId },
                    { title: "VERSION", cell: each => each.reachable ? each.version : "unreachable" },
                    { title: "IN FORCE SINCE", cell: each => timeOf(each.inForceSinceMs) },
                ], response.daemons));
        });
    config.command("history")
        .description("List the versions, newest first.")
        .action(async (_flags: unknown, command: Command) => {
            const response = await context.caller(command, ConfigurationService)(client =>
                client.listConfigurations({})
            );
            context.show(
                command,
                ListConfigurationsResponseSchema,
                response,
                () => tableOf(versionColumns, response.configurations),
            );
        });
};

const addConfigChanges = (config: Command, context: CliContext): void => {
    withChangeOptions(config.command("apply <file>"))
        .description("Apply a file as the next version.")
        .addHelpText(
            "after",
            '\nExample:\n  puffinarch config apply configuration.yaml --expected-version 4 --reason "festival week"',
        )
        .action(async (file: string, flags: ChangeFlags, command: Command) => {
            const request = { document: documentFrom(file), context: await changeContext(context, command, flags) };
            const response = await context.caller(command, ConfigurationService)(client =>
                client.applyConfiguration(request)
            );
            context.show(
                command,
                ApplyConfigurationResponseSchema,
                response,
                () => `version ${response.configuration?.version ?? 0} is accepted\n`,
            );
        });
    config.command("delete <version>")
        .description("Remove a superseded version from the history.")
        .action(async (version: string, _flags: unknown, command: Command) => {
            await context.caller(command, ConfigurationService)(client =>
                client.deleteConfiguration({ version: numberFrom("version", version) })
            );
            context.showFields(
                command,
                { removedVersion: Number(version) },
                `version ${version} is removed from the history`,
            );
        });
};

/**
 * Adds the commands on the configuration and its parts.
 *
 * @example
 * addConfigurationCommands(program, context);
 */
export const addConfigurationCommands = (program: Command, context: CliContext): void => {
    addPolicyCommands(program, context);
    addClassCommands(program, context);
    addQuotaCommands(program, context);
    const config = program.command("config").description("The whole versioned configuration.");
    addConfigReads(config, context);
    addConfigChanges(config, context);
};
