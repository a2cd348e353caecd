/**
 * Lives of the executors, and the IDs by which daemons know them. The review's executors have a new ID in each life; with `keepIds` daemons
 * know an executor by its first one for good, and tell its lives apart by when they began.
 */

const serversTable = "servers";

/** Follows the lives of `executors`, whose entries are rows of `store`; with `tellsBorn`, entries say when a life began. */
export const followLives = ({ executors, store, keepIds, tellsBorn, record }) => {
    /** Executor by each ID that it has had. */
    const byId = new Map();
    const all = executors.map(executor => ({ executor, id: executor.id(), life: undefined, born: 0 }));
    const refresh = each => {
        const life = each.executor.id();
        if (life !== undefined && life !== each.life) {
            const born = Math.max(Date.now(), each.born + 1);
            Object.assign(each, { id: keepIds ? each.id : life, life, born, drainsUntilMs: undefined });
            byId.set(life, each);
            record(`life ${life} of ${each.id} born ${born}`);
        }
        return each;
    };
    const find = id => {
        for (const each of all) {
            refresh(each);
        }
        return byId.get(id);
    };
    const entryOf = ({ born, drainsUntilMs }, value) => {
        const entry = { ...JSON.parse(Buffer.from(value, "base64").toString("utf8")), born };
        const drain = drainsUntilMs === undefined ? {} : {
            state: "draining",
            drain_remaining_ms: Math.max(0, Math.round(drainsUntilMs - performance.now())),
        };
        return Buffer.from(JSON.stringify({ ...entry, ...drain })).toString("base64");
    };
    return {
        /** The executor's present life, or its last one while it is down, and the ID by which daemons know it. */
        of: executor => refresh(all.find(each => each.executor === executor)),
        bornOf: id => find(id)?.born,
        /** Lets the executor's entry say that it drains, until its next life. */
        drain: (executor, forMs) => {
            const each = all.find(other => other.executor === executor);
            each.drainsUntilMs = performance.now() + forMs;
            store.put(serversTable, each.life, store.get(serversTable, each.life));
        },
        /** Rows as daemons see them. The entry of a former life is not shown beside that of the next one under the same ID. */
        shown: rows =>
            rows.flatMap(row => {
                if (row.table !== serversTable || !tellsBorn) {
                    return [row];
                }
                const each = find(row.key);
                if (each === undefined || keepIds && each.life !== row.key) {
                    return keepIds ? [] : [row];
                }
                const key = keepIds ? each.id : row.key;
                return [{ ...row, key, ...row.value === undefined ? {} : { value: entryOf(each, row.value) } }];
            }),
    };
};
