import {
    type EndpointTable,
    hasEndpointInRegions,
    isServiceEvacuated,
    isServiceLimited,
    type PlacementQuery,
} from "@gooseberrybend/core/dispatch";
import type { ServerResponse } from "node:http";

/** HTTP status of a refusal, by its cause. */
export const refusalStatus = {
    "no-route": 404,
    "unknown-key": 401,
    "bad-request": 400,
    "too-large": 413,
    "budget-exhausted": 402,
    "budget-unavailable": 503,
    "no-configuration": 503,
    "no-endpoint": 503,
    "no-endpoint-in-regions": 503,
    "endpoint-full": 503,
    "endpoints-limited": 503,
    "endpoints-evacuated": 503,
    "deadline-exceeded": 503,
    "deadline-unreachable": 503,
    "account-over-share": 503,
    "draining": 503,
    "router-overloaded": 503,
    /** The router lacks memory or connections for the request. */
    "router-full": 503,
    "poison-request": 503,
    "may-have-run": 502,
    "timed-out": 504,
} as const;

/** Cause of a refusal. */
export type RefusalCause = keyof typeof refusalStatus;

/** Returns why no endpoint can be chosen. */
export function noEndpointCause(
    endpoints: EndpointTable,
    { service, regions }: Pick<PlacementQuery, "service" | "regions">,
    now: number,
): RefusalCause {
    if (isServiceEvacuated(endpoints, service)) {
        return "endpoints-evacuated";
    }
    if (regions !== undefined && !hasEndpointInRegions(endpoints, service, regions)) {
        return "no-endpoint-in-regions";
    }
    return isServiceLimited(endpoints, service, now, regions) ? "endpoints-limited" : "no-endpoint";
}

/** Refuses a request. Statuses 429 and 503 state that it has not run and never will. */
export function sendRefusal(response: ServerResponse, cause: RefusalCause, retryAfterMs: number | undefined): void {
    response.end(writeRefusalHead(response, cause, retryAfterMs));
}

/** Refuses a request whose body still arrives: the response is whole, but not ended, so that its connection stays. */
export function writeRefusal(response: ServerResponse, cause: RefusalCause, retryAfterMs: number | undefined): void {
    response.write(writeRefusalHead(response, cause, retryAfterMs));
}

// Returns the body.
function writeRefusalHead(response: ServerResponse, cause: RefusalCause, retryAfterMs: number | undefined): string {
    const body = JSON.stringify({ error: cause });
    response.writeHead(refusalStatus[cause], {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...(retryAfterMs === undefined ? {} : { "retry-after": (retryAfterMs / 1_000).toFixed(3) }),
    });
    return body;
}

/** Range in ms of the retry delay, so that callers don't retry at the same time. */
const RETRY_AFTER_RANGE_MS = [150, 450] as const;

/** Range in ms of the retry delay of a router whose callers are moving to others, which takes 1 to 2 s. */
const MOVE_RETRY_RANGE_MS = [1_200, 2_400] as const;

/** Returns a retry delay in ms after which callers that are moving have another router; `random` is in [0, 1). */
export function moveRetryMs(random: number): number {
    const [minMs, maxMs] = MOVE_RETRY_RANGE_MS;
    return minMs + random * (maxMs - minMs);
}

/** Returns a short retry delay in ms; `random` is in [0, 1). */
export function retryAfterMs(random: number): number {
    const [minMs, maxMs] = RETRY_AFTER_RANGE_MS;
    return minMs + random * (maxMs - minMs);
}
