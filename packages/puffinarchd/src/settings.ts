/** Settings of the daemon, read from a YAML file. The whole file is checked, and every wrong field is reported with its line. */

import {
    check,
    defaultNodeSettings,
    logLevels,
    nameSchema,
    type NodeSettings,
    oneOf,
    rejectAll,
    upstreamChoiceNames,
    type Violation,
    wholeNumber,
} from "puffinarch";
import { z } from "zod";
import { checkYaml, readSettingsFile } from "./settingsFile.js";

const urlAllowed = "an http URL with an IP address and a port, such as http://127.0.0.1:7000";
const urlSchema = z.string(urlAllowed).regex(/^http:\/\/(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, urlAllowed);
const hostAllowed = "an IP number, such as 127.0.0.1";
const hostSchema = z.string(hostAllowed).regex(/^(\d{1,3}\.){3}\d{1,3}$/, hostAllowed);
const durationMs = wholeNumber(1, 3_600_000);

const timingSchema = z.strictObject({
    leaseMs: durationMs,
    pollWaitMs: wholeNumber(0, 60_000),
    startValidityMs: durationMs,
    reservationMs: durationMs,
    deathGraceMs: durationMs,
    sessionLeaseMs: durationMs,
    renewIntervalMs: durationMs,
    promiseMs: durationMs,
    starvationMs: durationMs,
    earlyStartMs: durationMs,
    maintainIntervalMs: durationMs,
    retentionMs: wholeNumber(1, 30 * 24 * 3_600_000),
    refreshIntervalMs: durationMs,
    gossipIntervalMs: durationMs,
    pumpIntervalMs: durationMs,
    reconcileIntervalMs: durationMs,
    claimTimeoutMs: durationMs,
    statusIntervalMs: durationMs,
    drainTimeoutMs: durationMs,
    balancerNoticeMs: durationMs,
}).partial();

const limitSchema = z.strictObject({
    journalBatchesPerSecond: wholeNumber(1, 10_000),
    urgentBatchesPerSecond: wholeNumber(0, 10_000),
    snapshotBatches: wholeNumber(1, 1_000_000),
    maxPendingEntries: wholeNumber(1, 1_000_000),
    slotsPerUpstream: wholeNumber(1, 1_024),
    maxQueuedRequests: wholeNumber(1, 100_000),
    requestTimeoutMs: durationMs,
    maxBodyBytes: wholeNumber(1, 256 * 1024 * 1024),
}).partial();

const settingsSchema = z.strictObject({
    vmId: nameSchema,
    dataCentre: nameSchema,
    listen: z.strictObject({ host: hostSchema, port: wholeNumber(0, 65_535) }),
    /** Address at which peers reach this daemon; the listening address if it is missing. */
    advertisedAddress: urlSchema.optional(),
    platformAddress: urlSchema,
    logLevel: oneOf(logLevels).optional(),
    upstreamChoice: oneOf(upstreamChoiceNames).optional(),
    timings: timingSchema.optional(),
    limits: limitSchema.optional(),
});

/** Contents of the settings file, without defaults filled in. */
export type DaemonSettings = z.infer<typeof settingsSchema>;

/** How long a stopping daemon keeps serving, so that the load balancer can notice that it is not ready. */
export const defaultBalancerNoticeMs = 500;
/** Time limit of a request whose caller sets none. */
export const defaultRequestTimeoutMs = 10_000;
/** Largest body of a request, in bytes. */
export const defaultMaxBodyBytes = 1024 * 1024;

/** Finds timings that are valid on their own but break a guarantee in combination. */
const inconsistentTimings = (settings: DaemonSettings): readonly Violation[] => {
    const timings = { ...defaultNodeSettings, ...settings.timings };
    const violations: Violation[] = [];
    if (timings.deathGraceMs <= timings.startValidityMs) {
        violations.push({
            field: "timings.deathGraceMs",
            value: String(timings.deathGraceMs),
            allowed: `more than startValidityMs, which is ${timings.startValidityMs}`,
        });
    }
    if (timings.leaseMs < 3 * timings.pollWaitMs) {
        violations.push({
            field: "timings.leaseMs",
            value: String(timings.leaseMs),
            allowed: `at least three times pollWaitMs, which is ${timings.pollWaitMs}`,
        });
    }
    if (timings.sessionLeaseMs < 3 * timings.renewIntervalMs) {
        violations.push({
            field: "timings.sessionLeaseMs",
            value: String(timings.sessionLeaseMs),
            allowed: `at least three times renewIntervalMs, which is ${timings.renewIntervalMs}`,
        });
    }
    if (timings.promiseMs > timings.sessionLeaseMs) {
        violations.push({
            field: "timings.promiseMs",
            value: String(timings.promiseMs),
            allowed: `at most sessionLeaseMs, which is ${timings.sessionLeaseMs}`,
        });
    }
    return violations;
};

/**
 * Checks the text of a settings file; fails with the kind `invalid` and every violation with its line.
 *
 * @example
 * parseSettings("vmId: vm-1\n..."); // fails and names the fields that are missing
 */
export const parseSettings = (text: string): DaemonSettings =>
    checkYaml(text, input => {
        const settings = check(settingsSchema, input, "settings file");
        const wrong = inconsistentTimings(settings);
        return wrong.length === 0 ? settings : rejectAll(wrong, "settings file");
    });

/**
 * Reads and checks a settings file.
 *
 * @example
 * const settings = readSettings("puffinarchd.yaml");
 */
export const readSettings = (path: string): DaemonSettings => parseSettings(readSettingsFile(path));

/**
 * Returns the settings of the node, with defaults for what the file leaves out.
 *
 * @example
 * nodeSettings(settings).leaseMs; // 10000
 */
export const nodeSettings = (settings: DaemonSettings): NodeSettings => {
    const {
        journalBatchesPerSecond,
        urgentBatchesPerSecond,
        snapshotBatches,
        maxPendingEntries,
        slotsPerUpstream,
        maxQueuedRequests,
    } = {
        ...defaultNodeSettings,
        ...settings.limits,
    };
    return {
        ...defaultNodeSettings,
        ...settings.timings,
        journalBatchesPerSecond,
        urgentBatchesPerSecond,
        snapshotBatches,
        maxPendingEntries,
        slotsPerUpstream,
        maxQueuedRequests,
        upstreamChoice: settings.upstreamChoice ?? defaultNodeSettings.upstreamChoice,
        vmId: settings.vmId,
        dataCentre: settings.dataCentre,
    };
};
