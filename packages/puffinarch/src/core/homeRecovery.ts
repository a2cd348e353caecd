/**
 * Recovery of a home by a new holder, before it places any task: it queries the owners of all racks of the home's data
 * centre for the home's attempts. From then on, these owners refuse requests of earlier holders.
 */

import { unitKey } from "../types/ownership.js";
import type { CallSession, HomeAttempt } from "../types/peer.js";
import { vmRoles } from "../types/ports.js";
import type { Membership } from "./membership.js";

/** Options of `createHomeRecovery`. */
export interface HomeRecoveryOptions {
    readonly homeId: string;
    readonly homeVersion: number;
    readonly dataCentre: string;
    readonly membership: Membership;
    readonly call: CallSession;
    /** Adds the attempts found to the home's state; resolves once they are durable. */
    readonly adopt: (found: readonly HomeAttempt[]) => Promise<void>;
}

/**
 * Returns a function that tries the recovery once. It resolves to true when every rack of the data centre has an owner
 * and all workers of the rack have answered that owner; to false when the recovery must be tried again.
 *
 * @example
 * const recovered = await tryRecovery();
 */
export const createHomeRecovery = (options: HomeRecoveryOptions): () => Promise<boolean> => {
    const { homeId, homeVersion, dataCentre, membership } = options;

    const racksOfDataCentre = (): ReadonlySet<string> => {
        const racks = new Set<string>();
        for (const vm of membership.listing().vms) {
            if (vm.role === vmRoles.worker && vm.dataCentre === dataCentre) {
                racks.add(unitKey("rack", dataCentre, vm.rack ?? ""));
            }
        }
        return racks;
    };

    return async () => {
        const racks = racksOfDataCentre();
        const owners = new Set([...racks].map(rackKey => membership.ownerOf(rackKey)?.sessionId));
        if (owners.has(undefined)) {
            return false;
        }
        const answers = await Promise.all(
            [...owners].map(owner => options.call(owner ?? "", "attemptsOfHome", { homeId, homeVersion })),
        );
        const decided = new Set(answers.flatMap(answer => answer.decidedRacks));
        await options.adopt(answers.flatMap(answer => answer.attempts));
        return [...racks].every(rackKey => decided.has(rackKey));
    };
};
