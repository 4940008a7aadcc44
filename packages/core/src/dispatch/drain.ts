/** Drain state of a router that received the stop signal. Times in ms. */
export type Drain = {
    readonly startedAt: number;
    /** Time at which open responses are cut off. */
    readonly cutAt: number;
};

/** Time in ms after the signal during which long requests are still accepted; the platform excuses cutting only these. */
const LONG_REQUEST_GRACE_MS = 2_800;

/** Returns whether a draining router accepts a request that may take up to longestMs. */
export function acceptsWhileDraining(drain: Drain, longestMs: number, now: number): boolean {
    return now - drain.startedAt <= LONG_REQUEST_GRACE_MS || now + longestMs <= drain.cutAt;
}
