/** Stand-in of the platform's metadata store, as PROTOCOL.md gives it: rows with one counter of versions, transactions and feeds. */
import { listen, readJson, reply, sleep } from "./http.mjs";

const answerMs = 4;
const maxRows = 500;
const feedCheckMs = 5;

export const startStore = async ({ host }) => {
    const rows = new Map();
    const changes = [];
    let version = 0;
    const startedAtMs = performance.now();
    const nowMs = () => Math.round(performance.now() - startedAtMs);
    const idOf = ({ table, part = "", key }) => JSON.stringify([table, part, key]);

    const write = (entry, value) => {
        const row = { table: entry.table, part: entry.part ?? "", key: entry.key, schema_ver: version };
        if (value === undefined) {
            rows.delete(idOf(entry));
            changes.push({ ...row, removed: true });
        }
        else {
            rows.set(idOf(entry), { ...row, value });
            changes.push({ ...row, value });
        }
    };
    const commit = (puts, removes) => {
        version += 1;
        for (const put of puts) {
            write(put, put.value);
        }
        for (const remove of removes) {
            if (rows.has(idOf(remove))) {
                write(remove, undefined);
            }
        }
    };

    const transact = ({ expect = [], puts = [], remove = [] }) => {
        if ([...puts, ...remove].some(({ table }) => table === "op" || table === "servers")) {
            return [403, {}];
        }
        const isMet = expect.every(each => (rows.get(idOf(each))?.schema_ver ?? 0) === each.schema_ver);
        if (!isMet) {
            const found = expect.flatMap(each => rows.get(idOf(each)) ?? []);
            return [412, { rows: found, schema_ver: version, now_ms: nowMs() }];
        }
        commit(puts, remove);
        return [200, { schema_ver: version, now_ms: nowMs() }];
    };

    const rowsIn = (table, part) =>
        [...rows.values()].filter(row => row.table === table && row.part === part)
            .sort((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)));

    const get = query => {
        const from = query.get("from") ?? "";
        const target = query.get("target");
        const limit = Math.min(maxRows, Number(query.get("limit") ?? maxRows));
        const found = rowsIn(query.get("table"), query.get("part") ?? "").filter(({ key }) =>
            Buffer.compare(Buffer.from(key), Buffer.from(from)) >= 0 && (target === null || key < target)
        );
        return [200, {
            rows: found.slice(0, limit),
            has_more: found.length > limit,
            schema_ver: version,
            now_ms: nowMs(),
        }];
    };

    const feed = async query => {
        const after = Number(query.get("after") ?? 0);
        const table = query.get("table");
        const untilMs = performance.now() + Number(query.get("wait_ms") ?? 0);
        for (;;) {
            const found = changes.filter(row => row.table === table && row.schema_ver > after);
            if (found.length > 0 || performance.now() >= untilMs) {
                return [200, { rows: found, schema_ver: version, now_ms: nowMs() }];
            }
            await sleep(feedCheckMs);
        }
    };

    const server = await listen(host, async (request, response) => {
        const url = new URL(request.url, "http://store");
        const body = request.method === "POST" ? await readJson(request) : undefined;
        await sleep(answerMs);
        const handlers = {
            "/-/rows-tx": () => transact(body),
            "/-/rows-get": () => get(url.searchParams),
            "/-/rows-feed": () => feed(url.searchParams),
            "/-/rows-parts": () => [200, { parts: [...new Set([...rows.values()].map(({ part }) => part))] }],
        };
        const [status, answer] = await handlers[url.pathname]?.() ?? [404, {}];
        reply(response, status, answer);
    });

    const encode = value => Buffer.from(JSON.stringify(value), "utf8").toString("base64");
    return {
        address: server.address,
        /** What the operator and the executors write. */
        put: (table, key, value) => commit([{ table, key, value: encode(value) }], []),
        remove: (table, key) => commit([], [{ table, key }]),
        read: (table, key, part = "") => {
            const row = rows.get(idOf({ table, part, key }));
            return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
        },
        close: server.close,
    };
};
