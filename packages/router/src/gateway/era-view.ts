import { ERA_SETTLE_MS, type EraStanding } from "@gooseberrybend/core/dispatch";

/** Age in ms of the last read of all records up to which a router's memory of them counts as complete. */
const MAX_WITNESS_AGE_MS = 5_000;

/** What this router knows of the eras of the store. Times in ms. */
export class EraView {
    /** Whether this router had read all records until the store went away before this era. */
    isWitness = false;
    private era: number | undefined;
    private seenAt = -Infinity;

    /**
     * Records the era of a response; `allChangesAgeMs` is the time since this router read all changes, if it does.
     * Returns whether the era is a later one.
     */
    advance(era: number, allChangesAgeMs: number | undefined, now: number): boolean {
        if (this.era !== undefined && era <= this.era) {
            return false;
        }
        const isFirst = this.era === undefined;
        this.isWitness = !isFirst && allChangesAgeMs !== undefined && allChangesAgeMs <= MAX_WITNESS_AGE_MS;
        this.era = era;
        this.seenAt = now;
        return !isFirst;
    }

    /** Returns what this router can say about earlier eras. */
    standing(now: number): EraStanding {
        const isSettled = (this.era ?? 0) === 0 || now - this.seenAt >= ERA_SETTLE_MS;
        return { isWitness: this.isWitness, isSettled };
    }
}
