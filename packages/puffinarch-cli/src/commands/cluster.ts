/** `puffinarch worker`, `upstream`, `daemon`, `decision`, `log-level` and `report`. */

import {
    ClusterService,
    GetReportResponseSchema,
    GetWorkerResponseSchema,
    ListDaemonsResponseSchema,
    ListDecisionsResponseSchema,
    ListUpstreamsResponseSchema,
    ListWorkersResponseSchema,
    type Worker,
} from "@puffinarch/schema";
import type { Command } from "commander";
import { type CliContext, numberFrom } from "../context.js";
import { amountOf, type Column, tableOf, timeOf } from "../output.js";

const workerColumns: readonly Column<Worker>[] = [
    { title: "WORKER", cell: each => each.workerId },
    { title: "DATA CENTRE", cell: each => each.dataCentre },
    { title: "RACK", cell: each => each.rack },
    { title: "STATE", cell: each => each.state },
    { title: "CAPACITY", cell: each => amountOf(each.capacity) },
    { title: "RESERVED", cell: each => amountOf(each.reserved) },
    { title: "USED", cell: each => amountOf(each.used) },
    { title: "ATTEMPTS", cell: each => each.attemptIds.length },
    { title: "OWNER", cell: each => each.ownerDaemonId },
];

const addWorkerCommands = (program: Command, context: CliContext): void => {
    const worker = program.command("worker").description("Workers and what they run.");
    worker.command("list").option("--data-centre <name>", "only workers of this data centre", "")
        .action(async (flags: { readonly dataCentre: string; }, command: Command) => {
            const response = await context.caller(command, ClusterService)(client => client.listWorkers(flags));
            context.show(command, ListWorkersResponseSchema, response, () => tableOf(workerColumns, response.workers));
        });
    worker.command("get <worker-id>").action(async (workerId: string, _flags: unknown, command: Command) => {
        const response = await context.caller(command, ClusterService)(client => client.getWorker({ workerId }));
        const rows = response.worker === undefined ? [] : [response.worker];
        context.show(
            command,
            GetWorkerResponseSchema,
            response,
            () =>
                `${tableOf(workerColumns, rows)}${
                    rows.flatMap(each => each.attemptIds).map(id => `  ${id}\n`).join("")
                }`,
        );
    });
};

const addUpstreamCommands = (program: Command, context: CliContext): void => {
    program.command("upstream").description("Upstreams and their slots.")
        .command("list").option("--service <name>", "only upstreams of this service", "")
        .action(async (flags: { readonly service: string; }, command: Command) => {
            const response = await context.caller(command, ClusterService)(client => client.listUpstreams(flags));
            context.show(command, ListUpstreamsResponseSchema, response, () =>
                tableOf([
                    { title: "UPSTREAM", cell: each => each.upstreamId },
                    { title: "SERVICE", cell: each => each.service },
                    { title: "DATA CENTRE", cell: each => each.dataCentre },
                    { title: "STATE", cell: each => each.state },
                    { title: "SLOTS", cell: each => `${each.slotsInUse} of ${each.slots}` },
                    { title: "OWNER", cell: each => each.ownerDaemonId },
                ], response.upstreams));
        });
};

const addDaemonCommands = (program: Command, context: CliContext): void => {
    const daemon = program.command("daemon").description("Daemons of the cell.");
    daemon.command("list").action(async (_flags: unknown, command: Command) => {
        const response = await context.caller(command, ClusterService)(client => client.listDaemons({}));
        context.show(command, ListDaemonsResponseSchema, response, () =>
            tableOf([
                { title: "DAEMON", cell: each => each.daemonId },
                { title: "DATA CENTRE", cell: each => each.dataCentre },
                { title: "ADDRESS", cell: each => each.address },
                { title: "STATE", cell: each => each.reachable ? each.draining ? "draining" : "live" : "unreachable" },
                { title: "RACKS", cell: each => each.ownedRacks },
                { title: "UPSTREAMS", cell: each => each.ownedUpstreams },
                { title: "HOMES", cell: each => each.homes },
                { title: "QUEUED", cell: each => each.queuedTasks },
            ], response.daemons));
    });
    daemon.command("drain <daemon-id>")
        .description("Start a graceful shutdown: in-flight requests finish, work is handed over.")
        .action(async (daemonId: string, _flags: unknown, command: Command) => {
            await context.caller(command, ClusterService)(client => client.drainDaemon({ daemonId }));
            context.showFields(command, { daemonId, draining: true }, `${daemonId} is draining`);
        });
};

const addDecisionCommands = (program: Command, context: CliContext): void => {
    program.command("decision").description("Placement and routing decisions.")
        .command("list").option("--subject <id>", "only decisions about this task or request", "").option(
            "--page-size <n>",
            "1 to 1000",
            "100",
        )
        .action(async (flags: { readonly subject: string; readonly pageSize: string; }, command: Command) => {
            const request = { subject: flags.subject, pageSize: numberFrom("page-size", flags.pageSize) };
            const response = await context.caller(command, ClusterService)(client => client.listDecisions(request));
            context.show(command, ListDecisionsResponseSchema, response, () =>
                tableOf([
                    { title: "AT", cell: each => timeOf(each.atMs) },
                    { title: "KIND", cell: each => each.kind },
                    { title: "SUBJECT", cell: each => each.subject },
                    { title: "CHOSEN", cell: each => each.chosen === "" ? "-" : each.chosen },
                    { title: "REASON", cell: each => each.reason },
                    { title: "OF", cell: each => each.alternatives },
                    { title: "US", cell: each => each.durationUs.toFixed(0) },
                ], response.decisions));
        });
    program.command("log-level <level>")
        .description("Change the log level of the daemon that answers: error, warn, info or debug.")
        .action(async (level: string, _flags: unknown, command: Command) => {
            const { previous } = await context.caller(command, ClusterService)(client => client.setLogLevel({ level }));
            context.showFields(command, { previous, level }, `the log level was ${previous} and is ${level}`);
        });
};

const addReportCommand = (program: Command, context: CliContext): void => {
    program.command("report")
        .description("Waiting time, packing and control cost of the cell.")
        .action(async (_flags: unknown, command: Command) => {
            const report = await context.caller(command, ClusterService)(client => client.getReport({}));
            const lines: readonly (readonly [string, string | number])[] = [
                ["tasks accepted", report.tasksAccepted],
                ["tasks ended", report.tasksEnded],
                ["tasks queued", report.tasksQueued],
                ["tasks running", report.tasksRunning],
                ["wait p50", `${report.waitP50Ms.toFixed(1)} ms`],
                ["wait p99", `${report.waitP99Ms.toFixed(1)} ms`],
                ["packing", `${(report.packing * 100).toFixed(1)} %`],
                ["table writes", report.tableWrites],
                ["table reads", report.tableReads],
                ["requests answered", report.requestsAnswered],
                ["daemons that did not answer", report.unreachableDaemons.join(", ") || "none"],
            ];
            context.show(
                command,
                GetReportResponseSchema,
                report,
                () =>
                    tableOf(
                        [{ title: "MEASURE", cell: line => line[0] }, { title: "VALUE", cell: line => line[1] }],
                        lines,
                    ),
            );
        });
};

/**
 * Adds the commands that inspect and operate the cell.
 *
 * @example
 * addClusterCommands(program, context);
 */
export const addClusterCommands = (program: Command, context: CliContext): void => {
    addWorkerCommands(program, context);
    addUpstreamCommands(program, context);
    addDaemonCommands(program, context);
    addDecisionCommands(program, context);
    addReportCommand(program, context);
};
