import { rendezvousOrder } from "../support/rendezvous.js";
import type { EndpointId } from "../types/ids.js";
import {
    type ColdEndpoints,
    coldLimitOf,
    coldPeriodOf,
    createColdEndpoints,
    type PacedLimit,
} from "./cold-endpoints.js";
import type { EndpointEntry, ServiceName } from "./types.js";

/** What is known of the request limit of one start of an endpoint. Times in ms. */
export type RequestLimit = PacedLimit & {
    /** Time at which the response or the report of another router that stated this arrived. */
    learnedAt: number;
    /** Time at which something was last heard of the limit, or a request was last sent. */
    heardAt: number;
    /** Time since then, in trial intervals, after which a request is sent regardless of the share. */
    trialAfter: number;
};

/** Request limits of endpoints, and the routers that share them. Times in ms. */
export type EndpointLimits = {
    readonly known: Map<EndpointId, RequestLimit>;
    /** Endpoints that have a limit because they are cold. */
    readonly cold: ColdEndpoints;
    /** When each router was last one that callers are sent to, by name. */
    readonly sharers: Map<string, number>;
    /** Incremented when the names of the sharers change. */
    sharersVersion: number;
    /** This router's name. */
    router: string;
    /** Number of all routers. */
    fleetSize: number;
    /** Time at which this router first knew of sharers. */
    discoveredAt: number | undefined;
    /** Latest time at which a refused caller was asked to return, by service. */
    readonly returnSlots: Map<ServiceName, number>;
};

/** A change of a known limit, in requests per second. */
export type LimitChange = { readonly before: number | undefined; readonly after: number | undefined; };

/** A limit as another router reports it; without requests per second, the endpoint no longer states one. */
export type ReportedLimit = {
    readonly endpoint: EndpointId;
    readonly startedAt: number;
    readonly perSecond: number | undefined;
};

/** A request as far as limits are concerned. */
export type LimitedSend = {
    /** True if the caller has received nothing yet and the request was sent to another endpoint before. */
    readonly isRepeat: boolean;
    /** 0 is the most urgent. */
    readonly priority: number;
};

/** Maximum number of remembered limits; the oldest are evicted first. */
const MAX_KNOWN_LIMITS = 1_000;
/** Share of a limit that is used; the rest covers routers that count the sharers differently. */
const USED_SHARE = 0.8;
/**
 * Routers that use a limited endpoint, besides one for each request per second: with two, the death or the
 * disagreement of one never doubles the rate, and more would exceed low limits by their first sends alone.
 */
const MIN_HOLDERS = 2;
/**
 * Time in ms for which a router counts as a sharer after it last served. Longer than most partitions from the
 * store, so that a router that is only cut off from it keeps its share and nobody takes it over.
 */
const SHARER_MEMORY_MS = 10_000;
/** Time in ms in which a new router discovers the others; until then it might take too large a share. */
const DISCOVERY_MS = 3_000;
/** Time in ms by which a send may precede the even pace, so that higher limits allow small bursts. */
const BURST_MS = 250;
/** Mean time in ms between the trials of the whole fleet at an endpoint; they add little to low limits. */
const TRIAL_INTERVAL_MS = 30_000;
/** Time in ms by which the report of another router may be older than a response received meanwhile. */
const REPORT_AGE_MS = 2_000;
/** Relative change of a limit that other routers are told; their own responses tell them the exact value. */
const REPORTED_CHANGE = 0.2;
/** Share of the interval between two sends in which urgent requests are preferred. */
const URGENT_INTERVAL_SHARE = 0.25;
/** Priorities below the most urgent one that are distinguished. */
const MAX_PRIORITY_STEPS = 2;
/** Maximum time in ms after which a refused caller is asked to return. */
const MAX_RETURN_MS = 10_000;

/** Creates an empty table. */
export function createEndpointLimits(): EndpointLimits {
    return {
        known: new Map(),
        cold: createColdEndpoints(),
        sharers: new Map(),
        sharersVersion: 0,
        router: "",
        fleetSize: 1,
        discoveredAt: undefined,
        returnSlots: new Map(),
    };
}

/** Updates the routers that share limits: those that callers are sent to, now or recently. */
export function updateSharers(
    limits: EndpointLimits,
    router: string,
    serving: readonly string[],
    fleetSize: number,
    now: number,
): void {
    limits.router = router;
    if (serving.length === 0) {
        // All registrations expire in a store outage; the sharers are the same as before.
        return;
    }
    limits.fleetSize = fleetSize;
    limits.discoveredAt ??= now;
    const isNew = serving.filter((name) => !limits.sharers.has(name)).length > 0;
    serving.forEach((name) => limits.sharers.set(name, now));
    const expired = [...limits.sharers].filter(([, seenAt]) => now - seenAt > SHARER_MEMORY_MS);
    expired.forEach(([name]) => limits.sharers.delete(name));
    if (isNew || expired.length > 0) {
        limits.sharersVersion++;
    }
}

/** Returns what is known of the limit of a start of an endpoint. */
export function limitOf(limits: EndpointLimits, entry: EndpointEntry): RequestLimit | undefined {
    const limit = limits.known.get(entry.id);
    return limit?.startedAt === entry.startedAt ? limit : undefined;
}

/**
 * Returns the requests per second that an endpoint accepts from all routers together, by the lower of the limit that it
 * states and that of a cold endpoint; undefined without a limit.
 */
export function limitInForce(limits: EndpointLimits, entry: EndpointEntry, now: number): number | undefined {
    const perSecond = Math.min(
        limitOf(limits, entry)?.perSecond ?? Infinity,
        coldPeriodOf(limits.cold, entry, now)?.perSecond ?? Infinity,
    );
    return perSecond === Infinity ? undefined : perSecond;
}

/** Returns the log fields of a limit in force, none without one. */
export function limitFigures(
    limits: EndpointLimits,
    entry: EndpointEntry,
    now: number,
): Readonly<Record<string, unknown>> {
    const limit = limitOf(limits, entry);
    const cold = coldPeriodOf(limits.cold, entry, now);
    const stated = limit?.perSecond === undefined ? {} : {
        limitPerSecond: limit.perSecond,
        limitAgeMs: Math.round(now - limit.learnedAt),
        limitShare: Number(limit.share.toFixed(3)),
        sharers: limits.sharers.size,
    };
    return cold === undefined ? stated : {
        ...stated,
        cold: cold.reason,
        coldLeftMs: Math.round(cold.until - now),
        coldPerSecond: cold.perSecond,
        coldShare: Number(coldLimitOf(limits.cold, entry, now)!.share.toFixed(3)),
        sharers: limits.sharers.size,
    };
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
    random: () => number,
    now: number,
): LimitChange | undefined {
    const limit = limitOf(limits, entry);
    if (limit === undefined) {
        if (perSecond === undefined || isOfLaterStart(limits, entry)) {
            return undefined;
        }
        addLimit(limits, { endpoint: entry.id, startedAt: entry.startedAt, perSecond }, random, now);
        return { before: undefined, after: perSecond };
    }
    postponeTrial(limit, random, now);
    const before = limit.perSecond;
    if (sentAt >= limit.learnedAt) {
        setLimit(limit, perSecond, now);
    }
    else if (perSecond !== undefined && before !== undefined && perSecond < before) {
        setLimit(limit, perSecond, limit.learnedAt);
    }
    return limit.perSecond === before ? undefined : { before, after: limit.perSecond };
}

/**
 * Records a limit that another router reports. What this router heard from the endpoint within the age of a report
 * stays in force; if the two differ, one request may show which is right.
 */
export function recordReportedLimit(
    limits: EndpointLimits,
    report: ReportedLimit,
    random: () => number,
    now: number,
): LimitChange | undefined {
    const limit = limits.known.get(report.endpoint);
    if (limit === undefined || limit.startedAt < report.startedAt) {
        if (report.perSecond === undefined) {
            return undefined;
        }
        addLimit(limits, report, random, now);
        return { before: undefined, after: report.perSecond };
    }
    const before = limit.perSecond;
    if (limit.startedAt > report.startedAt || before === report.perSecond) {
        return undefined;
    }
    if (now - limit.learnedAt < REPORT_AGE_MS) {
        limit.trialAfter = 0;
        return undefined;
    }
    setLimit(limit, report.perSecond, now);
    postponeTrial(limit, random, now);
    return { before, after: report.perSecond };
}

/**
 * Returns whether the next request should go to a limited endpoint to learn whether its limit still holds: neither its
 * share nor its cost may bring it one, as it is likely to have reported a high load last.
 */
export function isTrialDue(limits: EndpointLimits, entry: EndpointEntry, now: number): boolean {
    const limit = limitOf(limits, entry);
    return limit?.perSecond !== undefined
        && now >= limit.heardAt + TRIAL_INTERVAL_MS * limits.fleetSize * limit.trialAfter
        && coldPeriodOf(limits.cold, entry, now) === undefined;
}

/** Returns whether this router may send a request to an endpoint. `draw` is random in [0, 1), one for each request. */
export function allowsSend(
    limits: EndpointLimits,
    entry: EndpointEntry,
    send: LimitedSend,
    draw: number,
    now: number,
): boolean {
    const coldLimit = coldLimitOf(limits.cold, entry, now);
    if (coldLimit !== undefined && !hasRoom(limits, entry, coldLimit, send, draw, now)) {
        return false;
    }
    const limit = limitOf(limits, entry);
    return limit?.perSecond === undefined
        || isTrialDue(limits, entry, now)
        || hasRoom(limits, entry, limit, send, draw, now);
}

function hasRoom(
    limits: EndpointLimits,
    entry: EndpointEntry,
    limit: PacedLimit,
    send: LimitedSend,
    draw: number,
    now: number,
): boolean {
    const share = updateShare(limits, entry.id, limit, now);
    if (share === 0) {
        return false;
    }
    const intervalMs = 1_000 / share;
    if (send.isRepeat) {
        // First sends come first: a repeat only takes what they left for a whole interval.
        return now >= limit.nextSendAt + intervalMs;
    }
    const idleMs = now - (limit.nextSendAt - limit.burstMs);
    const steps = Math.min(MAX_PRIORITY_STEPS, Math.max(0, send.priority));
    return idleMs >= 0 && (idleMs >= URGENT_INTERVAL_SHARE * intervalMs || draw < 2 ** -steps);
}

/** Records that a request is sent to an endpoint. */
export function recordLimitedSend(
    limits: EndpointLimits,
    entry: EndpointEntry,
    random: () => number,
    now: number,
): void {
    const coldLimit = coldLimitOf(limits.cold, entry, now);
    if (coldLimit !== undefined) {
        recordPacedSend(limits, entry, coldLimit, now);
    }
    const limit = limitOf(limits, entry);
    if (limit?.perSecond !== undefined) {
        postponeTrial(limit, random, now);
        recordPacedSend(limits, entry, limit, now);
    }
}

function recordPacedSend(limits: EndpointLimits, entry: EndpointEntry, limit: PacedLimit, now: number): void {
    const share = updateShare(limits, entry.id, limit, now);
    if (share > 0) {
        limit.nextSendAt = Math.max(limit.nextSendAt, now) + 1_000 / share;
    }
}

/**
 * Returns the names of the routers that use an endpoint with a limit, in order. Each router computes them alone.
 * Equal shares for all would not do: with 195 routers, one request of each exceeds any low limit.
 */
export function limitHolders(limits: EndpointLimits, report: ReportedLimit): string[] {
    const count = MIN_HOLDERS + Math.floor(report.perSecond ?? 0);
    return rendezvousOrder(`${report.endpoint}/${report.startedAt}`, limits.sharers.keys()).slice(0, count);
}

/**
 * Returns what this router should report of an endpoint's limit, given the last report. Many routers learn of a limit
 * at once, so only those that go on using the endpoint report it. Its end is noticed by these, or by a trial of any.
 */
export function limitToReport(
    limits: EndpointLimits,
    entry: EndpointEntry,
    last: ReportedLimit | undefined,
): ReportedLimit | undefined {
    const limit = limitOf(limits, entry);
    if (limit === undefined) {
        return undefined;
    }
    const report = { endpoint: entry.id, startedAt: entry.startedAt, perSecond: limit.perSecond };
    const isFirst = last === undefined || last.startedAt < report.startedAt;
    const isNew = isFirst
        ? report.perSecond !== undefined
        : last.startedAt === report.startedAt && differs(report.perSecond, last.perSecond);
    if (!isNew) {
        return undefined;
    }
    const isReporter = report.perSecond === undefined || limitHolders(limits, report).includes(limits.router);
    return isReporter ? report : undefined;
}

function differs(perSecond: number | undefined, last: number | undefined): boolean {
    return perSecond === undefined || last === undefined
        ? perSecond !== last
        : Math.abs(perSecond - last) > REPORTED_CHANGE * last;
}

/**
 * Returns the time in ms after which a refused caller of a service should return whose endpoints accept this many
 * requests per second in total. Callers are spread at the rate at which their requests can be sent.
 */
export function takeReturnSlot(limits: EndpointLimits, service: ServiceName, perSecond: number, now: number): number {
    const perRouter = USED_SHARE * perSecond / Math.max(1, limits.sharers.size);
    const latest = Math.max(now, limits.returnSlots.get(service) ?? -Infinity);
    const slot = Math.min(now + MAX_RETURN_MS, latest + 1_000 / perRouter);
    limits.returnSlots.set(service, slot);
    return slot - now;
}

function updateShare(limits: EndpointLimits, endpoint: EndpointId, limit: PacedLimit, now: number): number {
    if (limits.discoveredAt === undefined || now - limits.discoveredAt < DISCOVERY_MS) {
        return 0;
    }
    if (limit.shareVersion === limits.sharersVersion) {
        return limit.share;
    }
    const report = { endpoint, startedAt: limit.startedAt, perSecond: limit.perSecond };
    const holders = limitHolders(limits, report).slice(0, limit.maxHolders);
    const before = limit.share;
    limit.share = holders.includes(limits.router) ? USED_SHARE * limit.perSecond! / holders.length : 0;
    limit.shareVersion = limits.sharersVersion;
    if (limit.share > 0) {
        // A router that takes over a share starts without a request at hand; a raised one must not wait for the old pace.
        const paced = now + 1_000 / limit.share;
        limit.nextSendAt = before === 0 ? paced : Math.min(limit.nextSendAt, paced);
    }
    return limit.share;
}

// A response of an earlier start may arrive after the endpoint has started again.
function isOfLaterStart(limits: EndpointLimits, entry: EndpointEntry): boolean {
    return (limits.known.get(entry.id)?.startedAt ?? -Infinity) > entry.startedAt;
}

function setLimit(limit: RequestLimit, perSecond: number | undefined, learnedAt: number): void {
    limit.learnedAt = learnedAt;
    if (limit.perSecond !== perSecond) {
        limit.perSecond = perSecond;
        limit.share = perSecond === undefined ? 0 : limit.share;
        limit.shareVersion = -1;
    }
}

function addLimit(limits: EndpointLimits, report: ReportedLimit, random: () => number, now: number): void {
    const { endpoint, startedAt, perSecond } = report;
    limits.known.delete(endpoint);
    limits.known.set(endpoint, {
        startedAt,
        perSecond,
        learnedAt: now,
        share: 0,
        shareVersion: -1,
        nextSendAt: now,
        maxHolders: Infinity,
        burstMs: BURST_MS,
        heardAt: now,
        trialAfter: trialDelay(random),
    });
    if (limits.known.size > MAX_KNOWN_LIMITS) {
        limits.known.delete(limits.known.keys().next().value!);
    }
}

function postponeTrial(limit: RequestLimit, random: () => number, now: number): void {
    limit.heardAt = now;
    limit.trialAfter = trialDelay(random);
}

// Exponential with a mean of one interval for each router of the fleet: together they keep the interval, however many.
function trialDelay(random: () => number): number {
    return -Math.log(1 - random());
}
