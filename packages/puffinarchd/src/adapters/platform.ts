/** HTTP adapters for the platform's table, object store and list of VMs. */

import type { ObjectStore, TableRow, TableStore, TransactResult, VmList, VmListing } from "puffinarch";
import { bodyOf, type HttpClient } from "./http.js";

const okStatus = 200;

/**
 * Creates the adapter for the table. A transaction without a reply is `unknown`; one that was
 * refused or not delivered is `refused`.
 *
 * @example
 * const table = createHttpTable(http, "http://127.0.0.1:7000");
 */
export const createHttpTable = (http: HttpClient, address: string): TableStore => ({
    read: async keys =>
        bodyOf(await http.call<readonly TableRow[]>("POST", `${address}/table/read`, { keys }), "table"),
    scan: async prefix =>
        bodyOf(await http.call<readonly TableRow[]>("POST", `${address}/table/scan`, { prefix }), "table"),
    transact: async transaction => {
        const result = await http.call<TransactResult>("POST", `${address}/table/transact`, transaction);
        if (result.kind === "answered") {
            return result.status === okStatus ? result.body : { outcome: "refused" };
        }
        return { outcome: result.kind === "notDelivered" ? "refused" : "unknown" };
    },
});

/**
 * Creates the adapter for the object store.
 *
 * @example
 * const objects = createHttpObjects(http, "http://127.0.0.1:7000");
 */
export const createHttpObjects = (http: HttpClient, address: string): ObjectStore => {
    const urlOf = (key: string): string => `${address}/objects/${encodeURIComponent(key)}`;
    return {
        put: async (key, body) => {
            bodyOf(await http.call("PUT", urlOf(key), { body }), "object store");
        },
        get: async key => bodyOf(await http.call<{ body?: string; }>("GET", urlOf(key)), "object store").body,
        delete: async key => {
            bodyOf(await http.call("DELETE", urlOf(key)), "object store");
        },
    };
};

/**
 * Creates the adapter for the list of VMs.
 *
 * @example
 * const vmList = createHttpVmList(http, "http://127.0.0.1:7000");
 */
export const createHttpVmList = (http: HttpClient, address: string): VmList => ({
    list: async () => bodyOf(await http.call<VmListing>("GET", `${address}/vms`), "list of VMs"),
});
