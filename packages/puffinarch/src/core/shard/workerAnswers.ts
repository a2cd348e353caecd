/** Answers of workers to an owner, whatever their adapter does: a call that fails is a call without an answer. */

import { type FencedWorkerPort, orderOutcomes } from "../../types/cellPorts.js";
import type { Guard } from "../../utils/guard.js";

/**
 * Returns a port whose calls never reject: a call that fails may have been carried out, and counts as `unknown`.
 *
 * @example
 * const outcome = await withAnswers(port, guard).stop(target, order, 600);
 */
export const withAnswers = (port: FencedWorkerPort, guard: Guard): FencedWorkerPort => {
    const { unknown } = orderOutcomes;
    return {
        start: (...call) => guard.answer("start", () => port.start(...call), unknown),
        stop: (...call) => guard.answer("stop", () => port.stop(...call), unknown),
        look: (...call) => guard.answer("look", () => port.look(...call), { outcome: unknown }),
        pace: (...call) => guard.answer("pace", () => port.pace(...call), unknown),
    };
};
