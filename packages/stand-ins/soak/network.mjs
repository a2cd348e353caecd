/**
 * The network between the daemons of a deployment and what they call. Each daemon has proxies of its own to the store, to each executor and
 * to each other daemon. A daemon learns addresses from rows of the store only, so that its view of the store rewrites them.
 */

import { readFileSync, writeFileSync } from "node:fs";
import { Agent, request as openRequest } from "node:http";
import { serveJson, sleep } from "../../../review/lib/http.mjs";
import { startAdvisor } from "./advisor.mjs";
import { openProxy } from "./proxy.mjs";

const peerPort = 20_002;
/** The higher, the fewer starts take nearly the longest time. */
const startRarity = 8;
const jsonHeaders = { "content-type": "application/json" };

/** Passes a call on and returns its answer, or undefined where none came. */
const passOn = (agent, { host, port, method, path, headers, body }) =>
    new Promise(resolve => {
        const request = openRequest({ agent, host, port, method, path, headers: { ...jsonHeaders, ...headers } });
        request.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", () => resolve(undefined));
            response.on("end", () => {
                const text = Buffer.concat(chunks).toString("utf8");
                resolve({ status: response.statusCode, body: text === "" ? undefined : JSON.parse(text) });
            });
        });
        request.on("error", () => resolve(undefined));
        request.end(body === undefined ? undefined : JSON.stringify(body));
    });

/** Applies `rewrite` to the text of each row's value. */
const rewriteRows = (rows, rewrite) =>
    rows?.map(row =>
        row.value === undefined
            ? row
            : {
                ...row,
                value: Buffer.from(rewrite(Buffer.from(row.value, "base64").toString("utf8"), row)).toString("base64"),
            }
    );

/** Adds to the entry of an executor when its life began. */
const addBorn = (text, { table, key }, bornOf) =>
    table === "servers" ? JSON.stringify({ ...JSON.parse(text), born: bornOf(key) }) : text;

/** Serves the store to one daemon: `toView` and `fromView` rewrite the addresses in the rows that it reads and writes. */
const serveStoreView = ({ host, port, store, toView, fromView }) => {
    const agent = new Agent({ keepAlive: true });
    return serveJson(host, port, async ({ method, url, body }) => {
        const sent = body?.puts === undefined ? body : { ...body, puts: rewriteRows(body.puts, fromView) };
        const answer = await passOn(agent, { ...store, method, path: url.pathname + url.search, body: sent });
        return answer?.body?.rows === undefined
            ? answer
            : { ...answer, body: { ...answer.body, rows: rewriteRows(answer.body.rows, toView) } };
    });
};

/**
 * Stands before one executor and records each order that it answers: who sent it, the token, the ends that it acknowledges, and by when the
 * lease that it grants ends.
 */
const serveRecorder = ({ host, executor, holdMaxMs, nameOf, nowS, record, advisor, bornOf, startTakesMs }) => {
    const agent = new Agent({ keepAlive: true });
    /** Highest token that was sent to each life of the executor. */
    const highestTokens = new Map();
    /** Lets an order wait between the check of its token and the moment at which it is carried out. */
    const startLater = async (id, body) => {
        const isAccepted = body.fencing_token >= (highestTokens.get(id) ?? 0);
        await sleep(startTakesMs * Math.random() ** startRarity);
        return isAccepted ? { ...body, fencing_token: Math.max(body.fencing_token, highestTokens.get(id)) } : body;
    };
    return serveJson(host, executor.port, async ({ method, url, headers, body, response }) => {
        const sender = nameOf(response.req.socket.remoteAddress);
        const arrivedS = nowS();
        const expected = headers["x-expected-instance"];
        if (
            url.pathname === "/-/run-start" && advisor !== undefined
            && !advisor.isValid(body.ticket, body.task, expected)
        ) {
            record(
                `order ${url.pathname} ${body.task} run ${body.run} of ${sender} has no valid ticket at ${expected}`,
            );
            return { status: 409, body: { clock_ms: 0, reason: "ticket" } };
        }
        const later = url.pathname === "/-/run-start" && startTakesMs > 0 ? startLater(expected, body) : body;
        highestTokens.set(expected, Math.max(body?.fencing_token ?? 0, highestTokens.get(expected) ?? 0));
        const carriedOut = await later;
        const answer = await passOn(agent, {
            ...executor,
            method,
            path: url.pathname,
            headers: expected === undefined ? {} : { "x-expected-instance": expected },
            body: carriedOut,
        });
        if (answer === undefined || body === undefined) {
            return answer;
        }
        const { clock_ms: clockMs, reason } = answer.body;
        const { task = "-", run = 0, deadline_ms: deadlineMs, seen_upto: seenUpto = 0, fencing_token: token } = body;
        const extendsLease = deadlineMs !== undefined && (answer.status === 200 || reason === "old");
        const leaseS = extendsLease
            ? (Number(nowS()) + Math.min(deadlineMs - clockMs, holdMaxMs) / 1_000).toFixed(3)
            : 0;
        record(
            `order ${url.pathname} ${task} run ${run} of ${sender} token ${token} seen ${seenUpto} lease ${leaseS} `
                + `arrived ${arrivedS} at ${expected} answered ${answer.status} ${reason ?? ""}`,
        );
        return advisor === undefined || answer.status !== 200
            ? answer
            : { ...answer, body: { ...answer.body, born: bornOf(expected) } };
    });
};

/**
 * Puts the network between the daemons and the rest of `deployment`, whose daemons start anew with it. With `advice`, starts need tickets of
 * an advisor, and executors tell when their lives began; a start takes up to `startTakesMs` after its token was checked.
 */
export const openNetwork = async ({ deployment, holdMaxMs, advice, startTakesMs = 0 }) => {
    const { store, executors, daemons, record, startedAt } = deployment;
    const [storeHost, storePortText] = store.address.split(":");
    const storePort = Number(storePortText);
    const base = storeHost.slice(0, storeHost.lastIndexOf(".") + 1);
    const nowS = () => ((performance.now() - startedAt) / 1_000).toFixed(3);
    const targets = executors.map(executor => {
        const { address, zone } = store.get("servers", executor.id());
        return { host: address.split(":")[0], port: Number(address.split(":")[1]), zone };
    });
    const executorHost = `${base}2`;
    const recorderHost = `${base}4`;
    const proxyHost = index => `${base}${50 + index}`;
    const callerHost = index => `${base}${70 + index}`;
    const viewHost = index => `${base}${90 + index}`;
    const peerHost = (index, other) => `${base}${100 + daemons.length * index + other}`;

    const births = new Map();
    const bornOf = id => {
        births.set(id, births.get(id) ?? Math.floor(Date.now()));
        return births.get(id);
    };
    const open = [];
    const keep = async opening => {
        const opened = await opening;
        open.push(opened);
        return opened;
    };
    const addressPattern = new RegExp(`${base.replaceAll(".", "\\.")}(\\d+):(\\d+)`, "g");
    /** Addresses as all daemons write them, by those that one daemon sees, and the other way round for each daemon. */
    const realHosts = new Map();
    const viewedHosts = daemons.map((_daemon, index) => {
        const viewed = new Map([[executorHost, proxyHost(index)]]);
        realHosts.set(proxyHost(index), executorHost);
        for (const [other, { ip }] of daemons.entries()) {
            if (other !== index) {
                viewed.set(ip, peerHost(index, other));
                realHosts.set(peerHost(index, other), ip);
            }
        }
        return viewed;
    });
    const rewriteWith = hosts => text =>
        text.replaceAll(addressPattern, (all, last, port) => {
            const host = hosts.get(base + last);
            return host === undefined ? all : `${host}:${port}`;
        });

    const advisor = advice === undefined
        ? undefined
        : await keep(startAdvisor({ host: `${base}5`, ...advice, bornOf }));
    const nameOf = address => daemons.find((_daemon, index) => callerHost(index) === address)?.node ?? address;
    for (const executor of targets) {
        await keep(
            serveRecorder({
                host: recorderHost,
                executor,
                holdMaxMs,
                nameOf,
                nowS,
                record,
                advisor,
                bornOf,
                startTakesMs,
            }),
        );
    }
    const links = [];
    for (const [index, daemon] of daemons.entries()) {
        await keep(serveStoreView({
            host: viewHost(index),
            port: storePort,
            store: { host: storeHost, port: storePort },
            toView: (text, row) => {
                const viewed = rewriteWith(viewedHosts[index])(text);
                return advisor === undefined ? viewed : addBorn(viewed, row, bornOf);
            },
            fromView: rewriteWith(realHosts),
        }));
        const proxy = (host, port, targetHost) =>
            keep(openProxy({ host, port, target: { host: targetHost, port }, localAddress: callerHost(index) }));
        const toStore = await proxy(proxyHost(index), storePort, viewHost(index));
        const toExecutors = [];
        for (const { port, zone } of targets) {
            toExecutors.push({ zone, ...await proxy(proxyHost(index), port, recorderHost) });
        }
        const toPeers = [];
        for (const [other, { ip }] of daemons.entries()) {
            if (other !== index) {
                toPeers.push(await proxy(peerHost(index, other), peerPort, ip));
            }
        }
        links.push({ daemon, toStore, toExecutors, toPeers });
        const settings = readFileSync(daemon.settingsPath, "utf8");
        writeFileSync(
            daemon.settingsPath,
            settings.replace(store.address, `${proxyHost(index)}:${storePort}`)
                .replace("advisorAddress: null", `advisorAddress: ${JSON.stringify(advisor?.address ?? null)}`),
        );
        deployment.killDaemon(daemon, 0);
    }
    return {
        links,
        stop: () => {
            for (const { stop } of open) {
                stop();
            }
        },
    };
};
