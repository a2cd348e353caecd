/**
 * The network between the daemons of a deployment and what they call. Each daemon has proxies of its own to the store, to each executor and
 * to each other daemon. A daemon learns addresses from rows of the store only, so that its view of the store rewrites them.
 */

import { readFileSync, writeFileSync } from "node:fs";
import { Agent } from "node:http";
import { serveJson } from "../../../review/lib/http.mjs";
import { startAdvisor } from "./advisor.mjs";
import { followLives } from "./lives.mjs";
import { passOn } from "./passOn.mjs";
import { openProxy } from "./proxy.mjs";
import { serveRecorder } from "./recorder.mjs";

const peerPort = 20_002;
/** Applies `rewrite` to the text of each row's value. */
const rewriteRows = (rows, rewrite) =>
    rows?.map(row =>
        row.value === undefined
            ? row
            : {
                ...row,
                value: Buffer.from(rewrite(Buffer.from(row.value, "base64").toString("utf8"))).toString("base64"),
            }
    );

/**
 * Serves the store to one daemon: `shown` chooses the rows that it reads, and `toView` and `fromView` rewrite the addresses in the rows that
 * it reads and writes.
 */
const serveStoreView = ({ host, port, store, shown, toView, fromView }) => {
    const agent = new Agent({ keepAlive: true });
    return serveJson(host, port, async ({ method, url, body }) => {
        const sent = body?.puts === undefined ? body : { ...body, puts: rewriteRows(body.puts, fromView) };
        const answer = await passOn(agent, { ...store, method, path: url.pathname + url.search, body: sent });
        return answer?.body?.rows === undefined
            ? answer
            : { ...answer, body: { ...answer.body, rows: rewriteRows(shown(answer.body.rows), toView) } };
    });
};

/**
 * Puts the network between the daemons and the rest of `deployment`, whose daemons start anew with it. With `advice`, starts need tickets of
 * an advisor; with that or `keepIds`, executors tell when their lives began. `habits` are those of the executors.
 */
export const openNetwork = async ({ deployment, holdMaxMs, advice, keepIds = false, ...habits }) => {
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

    const tellsBorn = advice !== undefined || keepIds;
    const lives = followLives({ executors, store, keepIds, tellsBorn, record });
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
        : await keep(startAdvisor({ host: `${base}5`, ...advice, bornOf: lives.bornOf }));
    const nameOf = address => daemons.find((_daemon, index) => callerHost(index) === address)?.node ?? address;
    for (const [index, target] of targets.entries()) {
        await keep(
            serveRecorder({
                host: recorderHost,
                target,
                executor: executors[index],
                lives,
                habits,
                holdMaxMs,
                nameOf,
                nowS,
                record,
                advisor,
                tellsBorn,
            }),
        );
    }
    const links = [];
    for (const [index, daemon] of daemons.entries()) {
        await keep(serveStoreView({
            host: viewHost(index),
            port: storePort,
            store: { host: storeHost, port: storePort },
            shown: lives.shown,
            toView: rewriteWith(viewedHosts[index]),
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
                .replace(/stopMs: \d+/, `stopMs: ${habits.stopTakesMs}`)
                .replace("advisorAddress: null", `advisorAddress: ${JSON.stringify(advisor?.address ?? null)}`),
        );
        deployment.killDaemon(daemon, 0);
    }
    return {
        links,
        drain: lives.drain,
        stop: () => {
            for (const { stop } of open) {
                stop();
            }
        },
    };
};
