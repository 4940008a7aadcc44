import type { EndpointId } from "../types/ids.js";
import type { ColdRule, EndpointEntry, ServiceName } from "./types.js";

/** This router's share of the request limit of an endpoint, and the pace of its sends. Times in ms. */
export type PacedLimit = {
    /** Start of the endpoint for which the share was computed. */
    startedAt: number;
    /** Requests per second from all routers together; undefined for no limit. */
    perSecond: number | undefined;
    /** Requests per second that this router may send; 0 if it leaves the endpoint to other routers. */
    share: number;
    /** Version of the sharers from which the share was computed. */
    shareVersion: number;
    /** Time of the next send at an even pace. */
    nextSendAt: number;
    /** Maximum number of routers that use the endpoint. */
    maxHolders: number;
    /** Time by which a send may precede the even pace. */
    burstMs: number;
};

/** Why an endpoint counts as cold. */
export type ColdReason = "registration" | "response" | "evacuation-ended" | "contact-lost";

/** What is known of the cold periods of an endpoint, and the pace of sends in them. Times in ms. */
export type ColdEndpoint = PacedLimit & {
    /** End of the time that its newest registration with a cold time stated, and the revision of that registration. */
    registeredUntil: number;
    registeredRevision: number;
    /** End of the time that its responses stated. */
    statedUntil: number;
    /** Time at which this router learned that an evacuation of the endpoint's failure domain ended. */
    evacuationEndedAt: number | undefined;
    /** Time at which this router last found the endpoint unreachable, silent or crashed. */
    lostAt: number | undefined;
    /** Time since which it may have restarted. */
    lostSince: number;
    /** Time of the first contact after that. */
    contactAt: number | undefined;
    /** Start of the current or last period in which it counted as cold. */
    since: number;
};

/** Requests that a cold endpoint tolerates in one second: its limit times `ratio`, plus `slack`. */
export type ColdBound = { readonly ratio: number; readonly slack: number; };

/** Cold endpoints, and the rules of their services. */
export type ColdEndpoints = {
    readonly known: Map<EndpointId, ColdEndpoint>;
    rules: ReadonlyMap<ServiceName, ColdRule>;
    bound: ColdBound;
};

/** A period in which an endpoint is cold. Times in ms. */
export type ColdPeriod = { readonly reason: ColdReason; readonly until: number; readonly perSecond: number; };

/** Maximum number of remembered endpoints; the oldest are evicted first. */
const MAX_KNOWN = 1_000;
/**
 * Time in ms within which an endpoint that was lost is expected to be back. Once it and the time of a cold start have
 * passed, the endpoint counts as warm even without contact: a router without a share never makes contact, and would not
 * use the endpoint for the rest of a store outage.
 */
const MAX_RETURN_MS = 30_000;

/** Creates an empty table. The bound is the usual one of deployments that state none. */
export function createColdEndpoints(): ColdEndpoints {
    return { known: new Map(), rules: new Map(), bound: { ratio: 1.5, slack: 5 } };
}

/** Returns the cold period of an endpoint that ends last, if it is cold. */
export function coldPeriodOf(cold: ColdEndpoints, entry: EndpointEntry, now: number): ColdPeriod | undefined {
    const endpoint = cold.known.get(entry.id);
    const rule = cold.rules.get(entry.service);
    if (endpoint === undefined || rule === undefined) {
        return undefined;
    }
    const evacuatedUntil = (endpoint.evacuationEndedAt ?? -Infinity) + rule.startMs;
    const untilByLoss = lostUntil(endpoint, rule);
    const until = Math.max(endpoint.registeredUntil, endpoint.statedUntil, evacuatedUntil, untilByLoss);
    if (until <= now) {
        return undefined;
    }
    const ends: readonly (readonly [ColdReason, number])[] = [
        ["registration", endpoint.registeredUntil],
        ["response", endpoint.statedUntil],
        ["evacuation-ended", evacuatedUntil],
        ["contact-lost", untilByLoss],
    ];
    const [reason] = ends.find(([, end]) => end === until)!;
    return { reason, until, perSecond: rule.perSecond };
}

// An endpoint that was lost is cold already before the next contact: many requests could be sent before its response.
function lostUntil({ lostAt, contactAt }: ColdEndpoint, { startMs }: ColdRule): number {
    if (lostAt === undefined || startMs === 0) {
        return -Infinity;
    }
    return (contactAt ?? lostAt + MAX_RETURN_MS) + startMs;
}

/** Returns the pace of sends to a cold endpoint; undefined if it is not cold. */
export function coldLimitOf(cold: ColdEndpoints, entry: EndpointEntry, now: number): PacedLimit | undefined {
    const period = coldPeriodOf(cold, entry, now);
    if (period === undefined) {
        return undefined;
    }
    const limit = cold.known.get(entry.id)!;
    const { perSecond } = period;
    // Two sets of holders without a common router, each sending once in a second, stay within the bound.
    const maxHolders = Math.max(1, Math.floor((perSecond * cold.bound.ratio + cold.bound.slack) / 2));
    if (limit.perSecond !== perSecond || limit.startedAt !== entry.startedAt || limit.maxHolders !== maxHolders) {
        Object.assign(limit, { perSecond, startedAt: entry.startedAt, maxHolders, shareVersion: -1 });
    }
    return limit;
}

/** Returns whether an endpoint has become cold since a request was queued for it at a time in ms. */
export function turnedCold(cold: ColdEndpoints, entry: EndpointEntry, queuedAt: number, now: number): boolean {
    return coldPeriodOf(cold, entry, now) !== undefined && cold.known.get(entry.id)!.since > queuedAt;
}

/**
 * Records a registration that arrived. `writtenAfter` is a time in ms before which it was not written: if the endpoint
 * was lost or an evacuation ended before, the registration tells whether it is cold since. Stated times are never cut.
 */
export function recordColdRegistration(
    cold: ColdEndpoints,
    entry: EndpointEntry,
    revision: number,
    writtenAfter: number,
    now: number,
): void {
    const { coldMs = 0 } = entry;
    const known = cold.known.get(entry.id);
    if (coldMs > 0 && revision > (known?.registeredRevision ?? -Infinity)) {
        const endpoint = beginPeriod(cold, entry, now);
        endpoint.registeredRevision = revision;
        endpoint.registeredUntil = Math.max(endpoint.registeredUntil, now + coldMs);
    }
    if (known?.lostAt !== undefined && known.lostAt <= writtenAfter) {
        known.lostAt = undefined;
        known.contactAt = undefined;
    }
    if (known?.evacuationEndedAt !== undefined && known.evacuationEndedAt <= writtenAfter) {
        known.evacuationEndedAt = undefined;
    }
}

/** Records the time in ms for which a response states that its endpoint stays cold. */
export function recordStatedCold(cold: ColdEndpoints, entry: EndpointEntry, remainingMs: number, now: number): void {
    if (remainingMs > 0) {
        const endpoint = beginPeriod(cold, entry, now);
        endpoint.statedUntil = Math.max(endpoint.statedUntil, now + remainingMs);
    }
}

/**
 * Records that an endpoint was found unreachable, silent or crashed: it may have restarted under its id, at the earliest
 * at the time `since` in ms.
 */
export function recordLostContact(cold: ColdEndpoints, entry: EndpointEntry, now: number, since = now): void {
    const endpoint = beginPeriod(cold, entry, now);
    if (endpoint.lostAt === undefined || endpoint.contactAt !== undefined) {
        endpoint.lostSince = since;
    }
    endpoint.lostAt = now;
    endpoint.contactAt = undefined;
}

/**
 * Records that bytes of the response to a request arrived whose own bytes left at a time in ms. If that was before the
 * endpoint was lost, it has not restarted since: a restart ends its connections.
 */
export function recordContact(cold: ColdEndpoints, entry: EndpointEntry, sentAt: number, now: number): void {
    const endpoint = cold.known.get(entry.id);
    if (endpoint?.lostAt === undefined) {
        return;
    }
    if (sentAt < endpoint.lostSince) {
        endpoint.lostAt = undefined;
        endpoint.contactAt = undefined;
        return;
    }
    endpoint.contactAt ??= now;
}

/** Records that an evacuation of an endpoint's failure domain ended. */
export function recordEvacuationEnd(cold: ColdEndpoints, entry: EndpointEntry, now: number): void {
    beginPeriod(cold, entry, now).evacuationEndedAt = now;
}

// The sends of a new period start at an even pace, without a request at hand.
function beginPeriod(cold: ColdEndpoints, entry: EndpointEntry, now: number): ColdEndpoint {
    const known = cold.known.get(entry.id);
    if (known === undefined) {
        return addEndpoint(cold, entry, now);
    }
    if (coldPeriodOf(cold, entry, now) === undefined) {
        Object.assign(known, { since: now, share: 0, shareVersion: -1 });
    }
    return known;
}

function addEndpoint(cold: ColdEndpoints, entry: EndpointEntry, now: number): ColdEndpoint {
    const created: ColdEndpoint = {
        startedAt: entry.startedAt,
        perSecond: undefined,
        share: 0,
        shareVersion: -1,
        nextSendAt: now,
        maxHolders: Infinity,
        burstMs: 0,
        registeredUntil: -Infinity,
        registeredRevision: -Infinity,
        statedUntil: -Infinity,
        evacuationEndedAt: undefined,
        lostAt: undefined,
        lostSince: -Infinity,
        contactAt: undefined,
        since: now,
    };
    cold.known.set(entry.id, created);
    if (cold.known.size > MAX_KNOWN) {
        cold.known.delete(cold.known.keys().next().value!);
    }
    return created;
}
