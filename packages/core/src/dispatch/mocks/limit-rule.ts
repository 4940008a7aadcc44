/** Length in ms of the windows in which requests to an endpoint with a request limit are counted. */
const WINDOW_MS = 4_000;
/** Time in ms from the first statement of a limit until it is binding, and after a fault of a router. */
export const STABILITY_WINDOW_MS = 3_000;
/** Time in ms from a response with a limit until its router counts as informed. */
export const INFORMED_AFTER_MS = 500;

/** Returns the number of requests that an endpoint may get in a window. */
export function allowedInWindow(perSecond: number): number {
    return 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;
}

/** Returns the maximum number of requests in a window of a length in ms, from their times in ms in ascending order. */
export function maxInWindow(times: readonly number[], windowMs = WINDOW_MS): number {
    let first = 0;
    let max = 0;
    times.forEach((at, index) => {
        while (times[first]! <= at - windowMs) {
            first++;
        }
        max = Math.max(max, index - first + 1);
    });
    return max;
}
