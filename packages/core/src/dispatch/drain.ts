/** Where a router stands that was told to stop. Times in ms. */
export type Drain = {
    readonly startedAt: number;
    /** Time at which open answers are cut. */
    readonly cutAt: number;
};

/** Time in ms after the signal in which long requests are still taken; the platform excuses cutting just these. */
const LONG_REQUESTS_MS = 2_800;

/** Returns whether a request that may take some time can be taken by a router that stops. */
export function takesWhileDraining(drain: Drain, longestMs: number, now: number): boolean {
    return now - drain.startedAt <= LONG_REQUESTS_MS || now + longestMs <= drain.cutAt;
}
