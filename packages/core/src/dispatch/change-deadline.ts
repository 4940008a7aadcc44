/**
 * Divides the time within which a router must act on a change of the store, from the acknowledgement of the change to
 * the arrival of the last request that ignores it. In the worst case in which the store and this router are well, the
 * parts follow one another: changes relayed by another router are already `maxRelayedAgeMs` old, then no source
 * responds until `relayEndMs`, then the store is read. What is left is for the send of a request. Times in ms.
 */
export type ChangeDeadline = {
    readonly totalMs: number;
    /** Time that a read of the store waits for changes. */
    readonly watchWaitMs: number;
    /** Time between the starts of two reads of the store: changes are batched, as each call has a cost. */
    readonly watchIntervalMs: number;
    /** Time beyond its wait after which a read of the store counts as failed, though it may still succeed. */
    readonly storeMarginMs: number;
    /** Age of the newest changes up to which another router may relay them. */
    readonly maxRelayedAgeMs: number;
    /** Time beyond its wait after which the next source is asked as well. */
    readonly hedgeDelayMs: number;
    /** Time beyond the wait after which no source is awaited any longer. */
    readonly relayMarginMs: number;
    /** Age of this router's view of the store at which it no longer waits for other routers. */
    readonly relayEndMs: number;
    /**
     * Time without progress after which a large value is also fetched from the next source. Three sources and the store
     * have their turn between `relayEndMs`, at which its change is known at the latest, and the send.
     */
    readonly valueHedgeMs: number;
    /** Time after an outage of the store for which other routers are expected to be up to date. */
    readonly peersOnlyMs: number;
};

/** Pause after a failed call while the deadline can be kept, multiplied by the failed calls in a row. */
const URGENT_RETRY_SHARE = 0.1;
/** Pause after a failed call once the deadline has passed, doubled with each one in a row; failed calls have a cost. */
const MIN_RETRY_MS = 500;
/** Longest such pause: including a call, a router is up to date within 3 s of the end of a partition. */
const MAX_RETRY_MS = 1_200;

/** Divides a deadline into its parts. */
export function divideDeadline(totalMs: number): ChangeDeadline {
    return {
        totalMs,
        watchWaitMs: 0.2 * totalMs,
        watchIntervalMs: 0.2 * totalMs,
        storeMarginMs: 0.15 * totalMs,
        maxRelayedAgeMs: 0.45 * totalMs,
        hedgeDelayMs: 0.05 * totalMs,
        relayMarginMs: 0.15 * totalMs,
        relayEndMs: 0.6 * totalMs,
        valueHedgeMs: 0.07 * totalMs,
        peersOnlyMs: 0.3 * totalMs,
    };
}

/** Returns how long a request to another router may wait for changes, by the age of this router's view of the store. */
export function relayWaitMs({ watchWaitMs, relayEndMs, relayMarginMs }: ChangeDeadline, ageMs: number): number {
    return Math.min(watchWaitMs, Math.max(0, relayEndMs - relayMarginMs - ageMs));
}

/** Returns the pause after a number of failed reads in a row, by the age of this router's view of the store. */
export function retryPauseMs({ totalMs }: ChangeDeadline, failures: number, ageMs: number): number {
    const pauseMs = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** (failures - 1));
    return ageMs < totalMs ? Math.min(pauseMs, URGENT_RETRY_SHARE * totalMs * failures) : pauseMs;
}
