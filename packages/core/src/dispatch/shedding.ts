/** Part of its processor in use from which a router admits less, and below which it admits more. */
const SHED_ABOVE = 0.9;
const SHED_BELOW = 0.8;
/** Part in use from which the processor may be asked for much more than it has. */
const SATURATED = 0.97;
/** Factors on the admitted share in one measurement: of a saturated router, of one near its limit, and of a calm one. */
const SATURATED_FACTOR = 0.7;
const STRAINED_FACTOR = 0.85;
const MOST_GROWTH = 1.5;
/** Part of its processor that a router is meant to use while it sheds. */
const WANTED_USE = 0.85;
/** Largest share; some requests are served whatever the load. */
const MOST_SHED = 0.8;

/**
 * Returns the share of new requests that a router refuses, from the share so far and the part of its
 * processor in use. What it can't serve in time is refused at once, so that callers go to another router.
 */
export function nextShedShare(share: number, utilization: number): number {
    const admitted = (1 - share) * admissionFactor(utilization);
    return Math.min(MOST_SHED, Math.max(0, 1 - admitted));
}

function admissionFactor(utilization: number): number {
    if (utilization > SHED_ABOVE) {
        return utilization > SATURATED ? SATURATED_FACTOR : STRAINED_FACTOR;
    }
    return utilization < SHED_BELOW ? Math.min(MOST_GROWTH, WANTED_USE / Math.max(utilization, Number.EPSILON)) : 1;
}

/**
 * Returns the chance that a router which sheds a share of its load refuses a request. Urgent requests
 * go last; the share grows until enough is refused in all.
 */
export function shedChance(share: number, priority: number, lowestPriority: number): number {
    return share ** (1 + Math.max(0, lowestPriority - priority));
}
