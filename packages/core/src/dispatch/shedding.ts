/** CPU utilization above which a router admits less, and below which it admits more. */
const SHED_ABOVE = 0.9;
const SHED_BELOW = 0.8;
/** CPU utilization above which the offered load may far exceed the capacity. */
const SATURATED_ABOVE = 0.97;
/** Factors on the admitted share per measurement: saturated, under high load, and maximum below SHED_BELOW. */
const SATURATED_FACTOR = 0.7;
const HIGH_LOAD_FACTOR = 0.85;
/** The same for a saturated router whose callers are moving to others: what it keeps is served in time. */
const MOVING_FACTOR = 0.4;
const MAX_GROWTH_FACTOR = 1.5;
/** Target CPU utilization while a router sheds load. */
const TARGET_UTILIZATION = 0.85;
/** Maximum shed share; some requests are served under any load. */
const MAX_SHED_SHARE = 0.8;

/**
 * Returns the share of new requests to refuse, from the previous share and the CPU utilization (both 0 to 1).
 * Requests that can't be served in time are refused at once, so that callers go to another router. `movesCallers` is
 * true while the callers are moving to other routers.
 */
export function nextShedShare(share: number, utilization: number, movesCallers = false): number {
    const factor = movesCallers && utilization > SATURATED_ABOVE ? MOVING_FACTOR : admissionFactor(utilization);
    const admitted = (1 - share) * factor;
    return Math.min(MAX_SHED_SHARE, Math.max(0, 1 - admitted));
}

function admissionFactor(utilization: number): number {
    if (utilization > SHED_ABOVE) {
        return utilization > SATURATED_ABOVE ? SATURATED_FACTOR : HIGH_LOAD_FACTOR;
    }
    return utilization < SHED_BELOW
        ? Math.min(MAX_GROWTH_FACTOR, TARGET_UTILIZATION / Math.max(utilization, Number.EPSILON))
        : 1;
}

/**
 * Returns the probability of refusing a request at a given shed share. Urgent requests are refused last;
 * the share grows until enough requests are refused in total.
 */
export function shedChance(share: number, priority: number, lowestPriority: number): number {
    return share ** (1 + Math.max(0, lowestPriority - priority));
}
