/**
 * Loopback TCP proxy with faults: bytes that pass late, are held without a reset, or are held in one direction only, and connections that
 * are reset. Each direction keeps the order of its bytes.
 */

import { connect, createServer } from "node:net";

/** No fault. */
export const sound = { delayMs: 0, holdUp: false, holdDown: false, reset: false, dropOnClose: true };

/** Passes what one side of a connection sends to the other; `release` runs again after each change of the fault. */
const createPump = ({ from, to, delayMs, isHeld }) => {
    const queue = [];
    let timer;
    const release = () => {
        clearTimeout(timer);
        while (queue.length > 0 && !isHeld()) {
            const waitMs = queue[0].atMs - performance.now();
            if (waitMs > 0) {
                timer = setTimeout(release, waitMs);
                return;
            }
            const { chunk } = queue.shift();
            if (chunk === undefined) {
                to.end();
            }
            else if (!to.destroyed) {
                to.write(chunk);
            }
        }
    };
    const add = chunk => {
        queue.push({ chunk, atMs: performance.now() + delayMs() });
        release();
    };
    from.on("data", add);
    from.on("end", () => add(undefined));
    return { release, isEmpty: () => queue.length === 0 };
};

/**
 * Opens a proxy from `host:port` to `target`, connecting from `localAddress`, by which the other side knows the caller. `set(fault)`
 * changes the fault of all connections. Where a caller gives a connection up, the bytes that are still held are dropped with
 * `dropOnClose`; otherwise they arrive once the fault is over, as calls that are carried out late.
 */
export const openProxy = async ({ host, port, target, localAddress }) => {
    let fault = sound;
    const connections = new Set();
    const server = createServer({ allowHalfOpen: true, noDelay: true }, caller => {
        if (fault.reset) {
            caller.resetAndDestroy();
            return;
        }
        const callee = connect({ ...target, localAddress, allowHalfOpen: true, noDelay: true });
        const up = createPump({ from: caller, to: callee, delayMs: () => fault.delayMs, isHeld: () => fault.holdUp });
        const down = createPump({ from: callee, to: caller, delayMs: () => 0, isHeld: () => fault.holdDown });
        const connection = {
            release: () => {
                up.release();
                down.release();
            },
            reset: () => {
                connections.delete(connection);
                caller.resetAndDestroy();
                callee.resetAndDestroy();
            },
        };
        connections.add(connection);
        caller.on("error", () => undefined);
        callee.on("error", () => undefined);
        callee.on("close", () => {
            connections.delete(connection);
            if (!fault.holdDown) {
                caller.destroy();
            }
        });
        caller.on("close", () => {
            if (up.isEmpty() || fault.dropOnClose) {
                callee.destroy();
                return;
            }
            callee.on("data", () => undefined);
            callee.setTimeout(15_000, () => callee.destroy());
        });
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    return {
        set: next => {
            fault = next;
            for (const connection of [...connections]) {
                if (fault.reset) {
                    connection.reset();
                }
                else {
                    connection.release();
                }
            }
        },
        stop: () => {
            server.close();
            for (const connection of [...connections]) {
                connection.reset();
            }
        },
    };
};
