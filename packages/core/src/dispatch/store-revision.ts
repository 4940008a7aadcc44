/**
 * Factor between the eras of a store in its revisions. A store that comes back from an older copy gives out the
 * revisions since then again, in a later era; within one era, far fewer are given out than this.
 */
const REVISIONS_PER_ERA = 2 ** 36;

/** Returns the revision that orders a store's state after all states of earlier eras; 0 stands for no state. */
export function revisionOf(era: number, count: number): number {
    return count === 0 ? 0 : era * REVISIONS_PER_ERA + count;
}

/** Returns the era of a revision; 0 if the store has no eras. */
export function eraOf(revision: number): number {
    return Math.floor(revision / REVISIONS_PER_ERA);
}

/** Returns the revision as the store counts it within its era. */
export function countOf(revision: number): number {
    return revision % REVISIONS_PER_ERA;
}
