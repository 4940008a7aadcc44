/** Part of its processor in use from which a router sheds more requests, and below which it sheds fewer. */
const SHED_ABOVE = 0.9;
const SHED_BELOW = 0.7;
/** Steps by which the share of refused requests grows and falls with each measurement. */
const SHED_STEP = 0.3;
const RECOVERY_STEP = 0.05;
/** Largest share; some requests are served whatever the load. */
const MOST_SHED = 0.8;

/**
 * Returns the share of new requests that a router refuses, from the share so far and the part of its
 * processor in use. What it can't serve in time is refused at once, so that callers go to another router.
 */
export function nextShedShare(share: number, utilization: number): number {
    if (utilization > SHED_ABOVE) {
        return Math.min(MOST_SHED, share + SHED_STEP);
    }
    return utilization < SHED_BELOW ? Math.max(0, share - RECOVERY_STEP) : share;
}
