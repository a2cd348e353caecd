/**
 * What a new holder of a home does before it places anything: it asks the owners of all racks of the home's data centre
 * what they run of the home, which also shuts the former holder out there.
 */

import { unitKey } from "../types/ownership.js";
import type { CallSession, HomeAttempt } from "../types/peer.js";
import { vmRoles } from "../types/ports.js";
import type { Membership } from "./membership.js";

/** What a recovery needs. */
export interface HomeRecoveryOptions {
    readonly homeId: string;
    readonly homeVersion: number;
    readonly dataCentre: string;
    readonly membership: Membership;
    readonly call: CallSession;
    /** Takes up what was found; resolves once it is durable. */
    readonly adopt: (found: readonly HomeAttempt[]) => Promise<void>;
}

/**
 * Makes one try at recovering; it answers true once every rack of the data centre has an owner and all of its workers
 * have answered that owner.
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
