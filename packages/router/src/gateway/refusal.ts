import type { ServerResponse } from "node:http";

/** Why a request was not served, and the status that says so. */
export const refusalStatus = {
    "no-route": 404,
    "unknown-key": 401,
    "bad-request": 400,
    "too-large": 413,
    "budget-exhausted": 402,
    "budget-unavailable": 503,
    "no-configuration": 503,
    "no-endpoint": 503,
    "endpoint-full": 503,
    "deadline-exceeded": 503,
    "draining": 503,
    "router-overloaded": 503,
    "poison-request": 503,
    "may-have-run": 502,
    "timed-out": 504,
} as const;

/** Why a request was not served. */
export type RefusalCause = keyof typeof refusalStatus;

/** Answers a request that is not served. Statuses 429 and 503 say that it has not run and never will. */
export function sendRefusal(response: ServerResponse, cause: RefusalCause, retryAfterMs: number | undefined): void {
    const body = JSON.stringify({ error: cause });
    response.writeHead(refusalStatus[cause], {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...(retryAfterMs === undefined ? {} : { "retry-after": (retryAfterMs / 1_000).toFixed(3) }),
    });
    response.end(body);
}

/** Wait in ms that the caller of a request which crashes endpoints is asked for. */
export const POISON_RETRY_AFTER_MS = 5_000;

/** Range in ms of the wait that callers are asked for, so that they do not come back together. */
const RETRY_AFTER_RANGE_MS = [150, 450] as const;

/** Returns a short wait in ms; chance is in [0, 1). */
export function retryAfterMs(random: number): number {
    const [minMs, maxMs] = RETRY_AFTER_RANGE_MS;
    return minMs + random * (maxMs - minMs);
}
