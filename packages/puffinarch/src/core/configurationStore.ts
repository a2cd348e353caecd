/**
 * The configuration in force. One head row holds the latest version, and a change is conditional on the version that
 * the operator has read. A daemon adopts only higher versions, from the table or from a peer, so a late message cannot
 * restore an older one.
 */

import type {
    ChangeContext,
    Configuration,
    ConfigurationDocument,
    Policy,
    WorkloadClass,
} from "../types/configuration.js";
import type { Clock, Log, TableRow, TableStore } from "../types/ports.js";
import { die } from "../utils/errors.js";
import { sleep } from "../utils/time.js";
import { checkDocument, diffDocuments, initialDocument } from "./configurationDocument.js";

/** The configuration in force on this daemon, and the accepted versions in the table. */
export interface ConfigurationStore {
    inForce(): Configuration;
    inForceSinceMs(): number;
    /** Reads the head row and adopts it if it is newer. */
    refresh(): Promise<void>;
    /** Adopts a version received from a peer if it is newer. */
    adopt(configuration: Configuration): void;
    /**
     * Writes a document as the next version; resolves once it is accepted. Fails with `invalid`, with `conflict` and the
     * winning version if another change came first, with `unavailable` or `notAccepted` if the table is unreachable, and with
     * `mayHaveRun` if the outcome stays unknown.
     */
    apply(document: unknown, context: ChangeContext): Promise<Configuration>;
    /** Reads one accepted version. */
    version(version: number): Promise<Configuration>;
    /** Accepted versions, newest first. */
    history(limit: number): Promise<readonly Configuration[]>;
    /** Deletes a superseded version from the history. */
    deleteVersion(version: number): Promise<void>;
    /** The policy in force, or a default for an unknown name. */
    policyOf(name: string): Policy;
    /** The workload class in force, or a default for an unknown name. */
    classOf(name: string): WorkloadClass;
}

/** Options of `createConfigurationStore`. */
export interface ConfigurationStoreOptions {
    readonly table: TableStore;
    readonly clock: Clock;
    readonly log: Log;
    /** Called after each adoption, so that peers can be informed. */
    readonly onAdopted: (configuration: Configuration) => void;
}

const headKey = "configuration/head";
const historyPrefix = "configuration/history/";
const versionDigits = 10;
const readBackTries = 10;
const readBackRetryMs = 100;
const retryAfterMs = 1_000;

const historyKey = (version: number): string => `${historyPrefix}${String(version).padStart(versionDigits, "0")}`;

const fallbackPolicy: Policy = { name: "fallback", placement: "bestFit", sampleSize: 2 };

/**
 * Creates the store; version 0, the initial document, is in force until a higher version comes from the table or a peer.
 *
 * @example
 * await store.apply(document, { expectedVersion: 0, author: "ana", reason: "first policies" });
 */
export const createConfigurationStore = (
    { table, clock, log, onAdopted }: ConfigurationStoreOptions,
): ConfigurationStore => {
    let inForce: Configuration = {
        version: 0,
        document: initialDocument,
        author: "",
        reason: "initial",
        acceptedAtMs: 0,
    };
    let inForceSinceMs = clock.nowMs();

    const adopt = (configuration: Configuration): void => {
        if (configuration.version <= inForce.version) {
            return;
        }
        inForce = configuration;
        inForceSinceMs = clock.nowMs();
        log.write("info", "configurationInForce", { version: configuration.version, author: configuration.author });
        onAdopted(configuration);
    };

    const readHead = async (): Promise<TableRow | undefined> => {
        const [row] = await table.read([headKey]);
        return row;
    };

    const rejectConflict = (winner: Configuration, document: ConfigurationDocument): never =>
        die("conflict", `version ${winner.version} by ${winner.author} is in force`, {
            winningVersion: winner.version,
            difference: diffDocuments(winner.document, document),
        });

    const writeVersion = async (next: Configuration, head: TableRow | undefined) =>
        table.transact({
            conditions: [{ key: headKey, version: head?.version ?? "absent" }],
            puts: [{ key: headKey, value: next }, { key: historyKey(next.version), value: next }],
            deletes: [],
        });

    const isSame = (left: Configuration, right: Configuration): boolean =>
        JSON.stringify(left) === JSON.stringify(right);

    /** Resolves a conflict or an unknown outcome: the history row of the version shows which change was accepted. */
    const resolveOutcome = async (next: Configuration, head: TableRow | undefined): Promise<Configuration> => {
        for (let triesLeft = readBackTries; triesLeft > 0; triesLeft -= 1) {
            await sleep(clock, readBackRetryMs);
            const rows = await table.read([headKey, historyKey(next.version)]).catch(() => undefined);
            if (rows === undefined) {
                continue;
            }
            const accepted = rows.find(row => row.key === historyKey(next.version))?.value as Configuration | undefined;
            if (accepted !== undefined) {
                return isSame(accepted, next) ? next : rejectConflict(accepted, next.document);
            }
            const retried = await writeVersion(next, head);
            if (retried.outcome === "committed") {
                return next;
            }
        }
        return die(
            "mayHaveRun",
            `version ${next.version} may have been accepted; read the configuration before you try again`,
            {
                retryAfterMs,
            },
        );
    };

    const apply = async (input: unknown, context: ChangeContext): Promise<Configuration> => {
        const document = checkDocument(input);
        const head = await readHead();
        const current = (head?.value as Configuration | undefined) ?? inForce;
        if (current.version !== context.expectedVersion) {
            adopt(current);
            return rejectConflict(current, document);
        }
        const { author, reason, expectedVersion } = context;
        const next: Configuration = {
            version: expectedVersion + 1,
            document,
            author,
            reason,
            acceptedAtMs: clock.nowMs(),
        };
        const { outcome } = await writeVersion(next, head);
        if (outcome === "refused") {
            return die("notAccepted", "the platform's table is unreachable; nothing was changed", { retryAfterMs });
        }
        if (outcome === "conflict" || outcome === "unknown") {
            await resolveOutcome(next, head);
        }
        adopt(next);
        return next;
    };

    const history = async (limit: number): Promise<readonly Configuration[]> => {
        const rows = await table.scan(historyPrefix);
        return rows.map(row => row.value as Configuration).reverse().slice(0, limit);
    };

    const version = async (requested: number): Promise<Configuration> => {
        if (requested === inForce.version) {
            return inForce;
        }
        const [row] = await table.read([historyKey(requested)]);
        return row === undefined
            ? die("notFound", `there is no version ${requested} in the history`)
            : row.value as Configuration;
    };

    const deleteVersion = async (requested: number): Promise<void> => {
        const head = (await readHead())?.value as Configuration | undefined;
        if (requested === (head?.version ?? inForce.version)) {
            die("invalid", `version ${requested} is in force`, {
                violations: [{ field: "version", value: String(requested), allowed: "a superseded version" }],
            });
        }
        const [row] = await table.read([historyKey(requested)]);
        if (row === undefined) {
            return die("notFound", `there is no version ${requested} in the history`);
        }
        const { outcome } = await table.transact({
            conditions: [{ key: row.key, version: row.version }],
            puts: [],
            deletes: [row.key],
        });
        if (outcome === "refused" || outcome === "unknown") {
            die("unavailable", "the platform's table is unreachable", { retryAfterMs });
        }
    };

    return {
        inForce: () => inForce,
        inForceSinceMs: () => inForceSinceMs,
        refresh: async () => {
            const head = await readHead();
            if (head !== undefined) {
                adopt(head.value as Configuration);
            }
        },
        adopt,
        apply,
        version,
        history,
        deleteVersion,
        policyOf: name => inForce.document.policies.find(policy => policy.name === name) ?? fallbackPolicy,
        classOf: name =>
            inForce.document.workloadClasses.find(each => each.name === name)
                ?? { name, kind: "batch", policy: fallbackPolicy.name, priority: 0 },
    };
};
