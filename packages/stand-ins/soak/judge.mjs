/**
 * Judges the rule TWICE from the record of a play: what the executors did, which ends were acknowledged, and by when their leases ended.
 * A daemon's own account does not count.
 */

const linePattern = /^(\S+) (.*)$/;
const startPattern = /^start (\S+) run (\d+) at (\S+)$/;
const endPattern = /^end (\S+) run (\d+) (\S+) at (\S+)$/;
const crashPattern = /^crash at (\S+)/;
const orderPattern =
    /^order (\S+) (\S+) run (\d+) of (\S+) token (\S+) seen (\d+) lease (\S+) arrived (\S+) at (\S+) answered (\d+)/;
const ownEndPattern = /^process of (\S+) ended by itself: code (\S+), signal (\S+)$/;
const toldPattern = /^(\S+) is told to stop$/;
/** A lease that was extended this close to its end may have lapsed before; such an end does not count as acknowledged. */
const lapseSlackS = 0.01;

const parse = text => {
    const runs = [];
    const byKey = new Map();
    const orders = [];
    const ownEnds = [];
    const ends = new Map();
    const told = new Set();
    for (const [order, line] of text.split("\n").entries()) {
        const [, time, what] = linePattern.exec(line) ?? [];
        const atS = Number(time);
        const [, task, number, executor] = startPattern.exec(what) ?? [];
        if (task !== undefined) {
            const run = {
                task,
                run: Number(number),
                executor,
                startedS: atS,
                order,
                endOrder: Infinity,
                endedS: Infinity,
            };
            runs.push(run);
            byKey.set(`${executor} ${task} ${run.run}`, run);
        }
        const ended = endPattern.exec(what);
        if (ended !== null) {
            const [, name, runNumber, how, id] = ended;
            const endNumber = (ends.get(id) ?? 0) + 1;
            ends.set(id, endNumber);
            Object.assign(byKey.get(`${id} ${name} ${runNumber}`) ?? {}, {
                endedS: atS,
                endOrder: order,
                how,
                endNumber,
            });
        }
        const crashed = crashPattern.exec(what)?.[1];
        for (const run of crashed === undefined ? [] : runs) {
            if (run.executor === crashed && run.endOrder === Infinity) {
                Object.assign(run, { endedS: atS, endOrder: order, how: "crashed" });
            }
        }
        const sent = orderPattern.exec(what);
        if (sent !== null) {
            const [, path, name, runNumber, sender, token, seen, lease, arrived, id, status] = sent;
            orders.push({
                path,
                key: `${id} ${name} ${runNumber}`,
                executor: id,
                sender,
                token,
                seen: status === "200" && path === "/-/hold" ? Number(seen) : 0,
                leaseS: Number(lease),
                arrivedS: Number(arrived),
            });
        }
        const stopped = toldPattern.exec(what)?.[1];
        if (stopped !== undefined) {
            told.add(stopped);
        }
        const [, node, code] = ownEndPattern.exec(what) ?? [];
        if (node !== undefined && !(told.delete(node) && code === "0")) {
            ownEnds.push(`ENDED: ${what} at ${time}`);
        }
    }
    return { runs, orders, ownEnds };
};

/** Times at which the leases of each executor lapsed, as its orders tell. */
const lapsesOf = orders => {
    const leases = new Map();
    for (const { executor, leaseS, arrivedS } of [...orders].sort((left, right) => left.arrivedS - right.arrivedS)) {
        const { untilS = Infinity, lapses = [] } = leases.get(executor) ?? {};
        if (leaseS > 0) {
            if (untilS < arrivedS + lapseSlackS) {
                lapses.push(untilS);
            }
            leases.set(executor, { untilS: Math.max(untilS === Infinity ? 0 : untilS, leaseS), lapses });
        }
    }
    return leases;
};

const describeRun = (run, orders) => {
    const key = `${run.executor} ${run.task} ${run.run}`;
    const { sender, token, arrivedS } = orders.find(each => each.key === key && each.path === "/-/run-start") ?? {};
    return `run ${run.run} at ${run.executor} from ${run.startedS} to ${run.endedS} ${run.how ?? "at work"}, `
        + `ordered by ${sender} with token ${token} at ${arrivedS}`;
};

/**
 * Returns the breaches as lines, and the figures of the play.
 *
 * @example
 * const { breaches, figures } = judge(readFileSync("record.txt", "utf8"));
 */
export const judge = text => {
    const { runs, orders, ownEnds } = parse(text);
    const leases = lapsesOf(orders);
    const breaches = [...ownEnds];

    const acknowledgedS = ({ executor, endNumber }) =>
        Math.min(
            ...orders.filter(order => order.executor === executor && order.seen >= endNumber)
                .map(({ arrivedS }) => arrivedS),
        );
    const isNoted = run => {
        const atS = run.how === "done" ? acknowledgedS(run) : Infinity;
        const { untilS = 0, lapses = [] } = leases.get(run.executor) ?? {};
        return atS !== Infinity
            && ![...lapses, untilS].some(lapseS => lapseS > run.endedS - lapseSlackS && lapseS < atS + lapseSlackS);
    };

    const byTask = new Map();
    for (const run of runs) {
        byTask.set(run.task, [...byTask.get(run.task) ?? [], run]);
    }
    for (const [task, ofTask] of byTask) {
        for (const run of ofTask) {
            for (const former of ofTask) {
                if (former.order >= run.order) {
                    continue;
                }
                const overlap = former.endOrder > run.order;
                if (overlap || isNoted(former)) {
                    breaches.push(
                        `TWICE${overlap ? "" : " after an acknowledged end"}: ${task}: ${describeRun(former, orders)}; `
                            + describeRun(run, orders),
                    );
                }
            }
        }
    }
    return {
        breaches,
        figures: {
            starts: runs.length,
            done: runs.filter(({ how }) => how === "done").length,
            stopped: runs.filter(({ how }) => how === "stopped").length,
            crashed: runs.filter(({ how }) => how === "crashed").length,
            lapsed: runs.filter(({ how }) => how === "lapsed").length,
            again: runs.filter(({ run }) => run > 1).length,
            tasks: byTask.size,
        },
    };
};
