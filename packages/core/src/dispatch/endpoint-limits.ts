import type { EndpointId } from "../types/ids.js";
import type { EndpointEntry } from "./types.js";

/** What is known of the request limit of one start of an endpoint. Times in ms. */
export type RequestLimit = {
    readonly startedAt: number;
    /** Requests per second from all routers together; undefined once the endpoint states none. */
    perSecond: number | undefined;
    /** Time at which the response that stated this arrived. */
    learnedAt: number;
};

/** Request limits of endpoints. */
export type EndpointLimits = { readonly known: Map<EndpointId, RequestLimit>; };

/** A change of a known limit, in requests per second. */
export type LimitChange = { readonly before: number | undefined; readonly after: number | undefined; };

/** Maximum number of remembered limits; the oldest are evicted first. */
const MAX_KNOWN_LIMITS = 1_000;

/** Creates an empty table. */
export function createEndpointLimits(): EndpointLimits {
    return { known: new Map() };
}

/** Returns what is known of the limit of a start of an endpoint. */
export function limitOf(limits: EndpointLimits, entry: EndpointEntry): RequestLimit | undefined {
    const limit = limits.known.get(entry.id);
    return limit?.startedAt === entry.startedAt ? limit : undefined;
}

/** Returns the log fields of a limit in force, none without one. */
export function limitFigures(
    limits: EndpointLimits,
    entry: EndpointEntry,
    now: number,
): Readonly<Record<string, unknown>> {
    const limit = limitOf(limits, entry);
    return limit?.perSecond === undefined
        ? {}
        : { limitPerSecond: limit.perSecond, limitAgeMs: Math.round(now - limit.learnedAt) };
}

/**
 * Records what a response states about the limit: requests per second, or undefined for none. Responses can
 * overtake each other, so a response to a request that was sent before the newest one arrived never loosens a limit.
 */
export function recordStatedLimit(
    limits: EndpointLimits,
    entry: EndpointEntry,
    perSecond: number | undefined,
    sentAt: number,
    now: number,
): LimitChange | undefined {
    const limit = limitOf(limits, entry);
    if (limit === undefined) {
        if (perSecond === undefined) {
            return undefined;
        }
        addLimit(limits, entry, perSecond, now);
        return { before: undefined, after: perSecond };
    }
    const before = limit.perSecond;
    if (sentAt >= limit.learnedAt) {
        limit.perSecond = perSecond;
        limit.learnedAt = now;
    }
    else if (perSecond !== undefined && before !== undefined) {
        limit.perSecond = Math.min(before, perSecond);
    }
    return limit.perSecond === before ? undefined : { before, after: limit.perSecond };
}

function addLimit(limits: EndpointLimits, entry: EndpointEntry, perSecond: number, now: number): void {
    limits.known.delete(entry.id);
    limits.known.set(entry.id, { startedAt: entry.startedAt, perSecond, learnedAt: now });
    if (limits.known.size > MAX_KNOWN_LIMITS) {
        limits.known.delete(limits.known.keys().next().value!);
    }
}
