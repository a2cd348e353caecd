/**
 * Stand-in for the platform's store of rows: conditional transactions, reads in pages and a change feed, with the limits that the
 * pages name (entries and bytes of a call, bytes of a row).
 */

import { serveJson, sleep } from "./http.mjs";

const maxEntries = 100;
const maxCallBytes = 1_000_000;
const maxPageRows = 500;
const maxPageBytes = 1_000_000;
const answerMs = 2;
/** Tables that only the operator and the executors write. */
const foreignTables = new Set(["op", "servers"]);

const idOf = ({ table, part = "", key }) => `${table}\u0000${part}\u0000${key}`;
const byteOrder = (left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key));

/** Starts the store; `record` gets a line for each refused call, at most one a second. */
export const startStore = async ({ host, rowBytes, txMs, record }) => {
    const rows = new Map();
    const history = [];
    const waiting = new Set();
    let version = 0;
    let lastTransaction = Promise.resolve();
    let refusedLoggedAtMs = -Infinity;
    let refused = 0;

    const nowMs = () => Math.round(performance.now());
    const wire = row => ({ ...row, schema_ver: row.version, version: undefined });

    const apply = (puts, removes) => {
        version += 1;
        for (const { table, part = "", key, value } of puts) {
            const row = { table, part, key, value, version };
            rows.set(idOf(row), row);
            history.push(row);
        }
        for (const { table, part = "", key } of removes) {
            if (rows.delete(idOf({ table, part, key }))) {
                history.push({ table, part, key, removed: true, version });
            }
        }
        for (const wake of [...waiting]) {
            wake();
        }
        return version;
    };

    const refuse = (status, error) => {
        refused += 1;
        if (performance.now() - refusedLoggedAtMs > 1_000) {
            refusedLoggedAtMs = performance.now();
            record(`store refuses a transaction: ${status} ${error} (${refused} refused so far)`);
        }
        return { status, body: { error } };
    };

    const transact = async (body, size) => {
        const { expect = [], puts = [], remove = [] } = body;
        const all = [...expect, ...puts, ...remove];
        if (all.length > maxEntries || size > maxCallBytes) {
            return refuse(400, `the call has ${all.length} entries and ${size} bytes`);
        }
        if ([...puts, ...remove].some(({ table }) => foreignTables.has(table))) {
            return refuse(403, "this table belongs to the platform");
        }
        if (body.across !== true && new Set(all.map(({ part = "" }) => part)).size > 1) {
            return refuse(400, "the entries are of several parts");
        }
        for (const { table, key, value } of puts) {
            const bytes = Buffer.byteLength(value, "base64");
            if (bytes > rowBytes) {
                return refuse(400, `the row ${table} ${key} has ${bytes} bytes, row_bytes is ${rowBytes}`);
            }
        }
        // One transaction after the other, as in one part.
        const turn = lastTransaction.then(() => sleep(txMs));
        lastTransaction = turn;
        await turn;
        const failed = expect.filter(each => (rows.get(idOf(each))?.version ?? 0) !== each.schema_ver);
        if (failed.length > 0) {
            const current = expect.flatMap(each => rows.get(idOf(each)) ?? []);
            return { status: 412, body: { rows: current.map(wire), schema_ver: version, now_ms: nowMs() } };
        }
        return { status: 200, body: { schema_ver: apply(puts, remove), now_ms: nowMs() } };
    };

    const read = ({ table, part = "", from = "", target, limit = maxPageRows }) => {
        const all = [...rows.values()].filter(row =>
            row.table === table && row.part === part && row.key >= from && (target === undefined || row.key < target)
        ).sort(byteOrder);
        const page = [];
        let bytes = 0;
        for (const row of all) {
            bytes += row.value.length;
            if (page.length >= Math.min(Number(limit), maxPageRows) || page.length > 0 && bytes > maxPageBytes) {
                break;
            }
            page.push(row);
        }
        return {
            status: 200,
            body: { rows: page.map(wire), has_more: page.length < all.length, schema_ver: version, now_ms: nowMs() },
        };
    };

    const feed = async ({ table, after, wait_ms: waitMs = "0" }) => {
        const changes = () => history.filter(row => row.table === table && row.version > Number(after));
        if (changes().length === 0) {
            await new Promise(resolve => {
                const end = () => {
                    clearTimeout(timer);
                    waiting.delete(wake);
                    resolve();
                };
                const wake = () => {
                    if (changes().length > 0) {
                        end();
                    }
                };
                const timer = setTimeout(end, Math.min(30_000, Number(waitMs)));
                waiting.add(wake);
            });
        }
        return { status: 200, body: { rows: changes().map(wire), schema_ver: version, now_ms: nowMs() } };
    };

    const server = await serveJson(host, 0, async ({ method, url, body }) => {
        const query = Object.fromEntries(url.searchParams);
        if (method === "POST" && url.pathname === "/-/rows-tx") {
            return transact(body, JSON.stringify(body).length);
        }
        await sleep(answerMs);
        if (method === "GET" && url.pathname === "/-/rows-get") {
            return read(query);
        }
        if (method === "GET" && url.pathname === "/-/rows-feed") {
            return feed(query);
        }
        return { status: 404, body: { error: "no such call" } };
    });

    const encode = value => Buffer.from(JSON.stringify(value)).toString("base64");
    return {
        address: `${host}:${server.port}`,
        /** Writes a row of the operator or of an executor. */
        put: (table, key, value) => apply([{ table, key, value: encode(value) }], []),
        get: (table, key) => {
            const row = rows.get(idOf({ table, key }));
            return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
        },
        remove: (table, key) => apply([], [{ table, key }]),
        refused: () => refused,
        stop: server.stop,
    };
};
