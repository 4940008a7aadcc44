import { type AccountId, brand } from "../types/ids.js";
import { acceptsRequests } from "./endpoint-availability.js";
import { isSilent } from "./endpoint-health.js";
import type { EndpointState, EndpointTable } from "./endpoint-table.js";
import { busyRequests, paceFactor, slotsOf } from "./load-report.js";
import { FIXED_COST_TOKENS, type PlacementQuery, RANK_STEP_SHARE } from "./placement.js";
import type { ServiceName } from "./types.js";

/** Where admission control is in force: nowhere, at services whose endpoints all report their pace, or everywhere. */
export type AdmissionMode = "off" | "reported" | "always";

/** Recent use of a service by a client account at this router. Times in ms. */
type AccountUse = {
    /** Admitted work, decayed over time: prompt tokens at engines, requests at plain services. */
    units: number;
    at: number;
    /** Latest time at which a refused caller of the account was asked to return. */
    returnAt: number;
};

/** What this router has learned of a service. Times in ms, 0 before the first response. */
type ServiceDemand = {
    /** Low estimate of the time to the first byte per unit of work, without a queue. */
    leastMsPerUnit: number;
    /** Time for which a request occupies a slot: the average of streams, a low estimate of plain responses. */
    slotMs: number;
    readonly uses: Map<AccountId, AccountUse>;
    /** Latest time at which a caller was asked to return whose deadline could not be met. */
    returnAt: number;
};

/** State of the admission control of one router, by service. */
export type AdmissionState = Map<ServiceName, ServiceDemand>;

/** A request that asks for admission. */
export type AdmissionRequest = {
    readonly query: PlacementQuery;
    readonly account: AccountId | undefined;
    /** Time in ms until its deadline. */
    readonly timeLeftMs: number;
    /** True if it continues a response that another request began; it is not refused for its account's share. */
    readonly isContinuation: boolean;
};

/** Why a request is refused. It has not run. */
export type AdmissionCause = "deadline-unreachable" | "account-over-share";

/** Log fields of a decision. */
export type AdmissionFigures = Readonly<Record<string, number | undefined>>;

/** Decision about a request; a retry time in ms belongs to each refusal. */
export type AdmissionDecision =
    /** The figures are present if capacity is short. */
    | { readonly kind: "admit"; readonly figures: AdmissionFigures | undefined; }
    | {
        readonly kind: "refuse";
        readonly cause: AdmissionCause;
        readonly retryAfterMs: number;
        readonly figures: AdmissionFigures;
    };

/** Times in ms of a complete response, and its work in the units of the placement. */
export type ServedTimes = { readonly firstByteMs: number; readonly totalMs: number; readonly units: number; };

/** Share of the measured times that a refusal relies on: they include the network and slow callers. */
const CERTAIN_SHARE = 0.5;
/** Weight of a new sample in the average time of streams, and of a higher one in low estimates. */
const AVERAGE_WEIGHT = 0.05;
const RISE_WEIGHT = 0.01;
/**
 * Bounds in ms of the age up to which a report shows that an endpoint is full: for as long as the requests that wait by
 * it need to start. Endpoints that seem full get few requests, so that their reports are seldom renewed; once these are
 * older, requests go there again and renew them.
 */
const REPORT_AGE_RANGE_MS = [250, 2_000] as const;
/** Time in ms in which the use of an account loses half of its weight; bursts of a second are not held against it. */
const USE_HALF_LIFE_MS = 2_000;
/** Units below which a use is forgotten. */
const MIN_USE_UNITS = 0.01;
/** Part of all use from which an account counts among those that share a service. */
const MIN_ACTIVE_SHARE = 0.01;
/** Multiple of an equal share that accounts may use in a shortage, as their use fluctuates. */
const SHARE_TOLERANCE = 1.25;
/** The same for requests of the most urgent priority, which are refused later. */
const URGENT_SHARE_TOLERANCE = 1.5;
/** Bounds in ms of the retry time of a refused caller. */
const MIN_RETURN_MS = 150;
const MAX_RETURN_MS = 10_000;
/** Share of the expected capacity at which callers are asked to return; new requests use the rest. */
const RETURN_RATE_SHARE = 0.8;
/** Account of requests that have none. */
const NO_ACCOUNT = brand<AccountId>("");
const ADMITTED: AdmissionDecision = { kind: "admit", figures: undefined };

/** Load of the usable endpoints of a service, as far as a request is concerned. Times in ms. */
type ServiceLoad = {
    isShort: boolean;
    endpoints: number;
    slots: number;
    /** Lowest bound of the time to the first byte, and lowest expected time, of all endpoints. */
    leastMs: number;
    expectedMs: number;
};

/** What an endpoint's queue looks like; the age of its report in ms. */
type RowLoad = {
    readonly busy: number;
    readonly slots: number;
    readonly pace: number;
    readonly reportAgeMs: number;
};

/** Decides whether a request may be sent. A refusal hands out the next return time. */
export function decideAdmission(
    state: AdmissionState,
    table: EndpointTable,
    request: AdmissionRequest,
    mode: AdmissionMode,
    now: number,
): AdmissionDecision {
    if (mode === "off") {
        return ADMITTED;
    }
    const demand = demandOf(state, request.query.service);
    const load = serviceLoad(table, demand, request, mode, now);
    if (load === undefined) {
        return ADMITTED;
    }
    const routers = Math.max(1, table.limits.sharers.size);
    const intervalMs = demand.slotMs * routers / (RETURN_RATE_SHARE * load.slots);
    const figures = {
        leastMs: Math.round(load.leastMs),
        expectedMs: Math.round(load.expectedMs),
        timeLeftMs: Math.round(request.timeLeftMs),
        endpoints: load.endpoints,
    };
    if (load.leastMs > request.timeLeftMs) {
        const capacityAt = now + Math.max(0, load.expectedMs - request.timeLeftMs);
        demand.returnAt = nextReturn(demand.returnAt, capacityAt, intervalMs, now);
        return { kind: "refuse", cause: "deadline-unreachable", retryAfterMs: demand.returnAt - now, figures };
    }
    const share = accountShare(demand, request, now);
    const shareFigures = {
        ...figures,
        accounts: share.accounts,
        usedUnits: Math.round(share.usedUnits),
        shareUnits: share.accounts <= 1 ? undefined : Math.round(share.shareUnits),
    };
    if (request.isContinuation || share.use === undefined || share.usedUnits <= share.shareUnits) {
        return { kind: "admit", figures: shareFigures };
    }
    const capacityAt = now + USE_HALF_LIFE_MS * Math.log2(share.usedUnits / share.shareUnits);
    share.use.returnAt = nextReturn(share.use.returnAt, capacityAt, intervalMs * share.accounts, now);
    return {
        kind: "refuse",
        cause: "account-over-share",
        retryAfterMs: share.use.returnAt - now,
        figures: shareFigures,
    };
}

// Returns undefined if the request needs no further decision. Most requests end at the first endpoint.
function serviceLoad(
    table: EndpointTable,
    demand: ServiceDemand,
    { query, timeLeftMs }: AdmissionRequest,
    mode: AdmissionMode,
    now: number,
): ServiceLoad | undefined {
    const load: ServiceLoad = { isShort: true, endpoints: 0, slots: 0, leastMs: Infinity, expectedMs: Infinity };
    for (const row of table.byService.get(query.service) ?? []) {
        if (!isUsable(table, row, query, now)) {
            continue;
        }
        if (mode === "reported" && row.machine === undefined) {
            return undefined;
        }
        const slots = Math.max(1, slotsOf(row, query.engine?.slots ?? row.entry.slots));
        const reportAgeMs = now - (row.load?.at ?? now);
        const rowLoad = { busy: busyRequests(row), slots, pace: paceFactor(row, now), reportAgeMs };
        const leastMs = leastFirstByteMs(demand, query, rowLoad);
        const isFull = row.open >= slots || isFullByReport(row, demand, rowLoad);
        if (!isFull && leastMs <= timeLeftMs) {
            return undefined;
        }
        load.isShort &&= isFull;
        load.endpoints++;
        load.slots += slots;
        load.leastMs = Math.min(load.leastMs, leastMs);
        load.expectedMs = Math.min(load.expectedMs, expectedFirstByteMs(demand, query, rowLoad));
    }
    return load.endpoints > 0 && (load.isShort || load.leastMs > timeLeftMs) ? load : undefined;
}

function isUsable(table: EndpointTable, row: EndpointState, query: PlacementQuery, now: number): boolean {
    return acceptsRequests(table, row, now) && row.unreachableUntil <= now && !isSilent(row, now)
        && !query.tried.has(row.entry.id);
}

function isFullByReport(
    { load }: EndpointState,
    { slotMs }: ServiceDemand,
    { busy, slots, reportAgeMs }: RowLoad,
): boolean {
    if (load === undefined || (load.waiting === 0 && busy < slots)) {
        return false;
    }
    const [minAgeMs, maxAgeMs] = REPORT_AGE_RANGE_MS;
    const startMs = (load.waiting + 1) * slotMs / slots;
    return reportAgeMs <= Math.min(maxAgeMs, Math.max(minAgeMs, startMs));
}

// Expected time in ms: the requests that wait there by the last report, their time in the slots, the prompt, the pace.
function expectedFirstByteMs(demand: ServiceDemand, query: PlacementQuery, { busy, slots, pace }: RowLoad): number {
    const rounds = Math.max(0, busy + 1 - slots) / slots;
    return (rounds * demand.slotMs + demand.leastMsPerUnit * leastWork(query)) * pace;
}

// A lower bound of that time. Requests that run may all end at once, so only whole rounds of the slots count;
// the queue may have shrunk since the report; engines serve urgent requests first; slow machines may become usual.
function leastFirstByteMs(
    demand: ServiceDemand,
    query: PlacementQuery,
    { busy, slots, pace, reportAgeMs }: RowLoad,
): number {
    const aheadShare = query.engine === undefined ? 1 : Math.min(1, query.priority * RANK_STEP_SHARE);
    const rounds = Math.floor(Math.max(0, busy - slots) * aheadShare / slots);
    const certainShare = CERTAIN_SHARE * Math.min(1, pace);
    return Math.max(0, rounds * demand.slotMs * certainShare - reportAgeMs)
        + demand.leastMsPerUnit * leastWork(query) * certainShare;
}

// Shared parts of a prompt may be cached; the last part never is.
function leastWork(query: PlacementQuery): number {
    return query.engine === undefined ? 1 : query.parts.at(-1)?.tokens ?? query.promptTokens;
}

// Callers return in the order in which they were refused, as fast as they can be served, so newer ones gain nothing.
function nextReturn(previous: number, capacityAt: number, intervalMs: number, now: number): number {
    const earliest = Math.max(now + MIN_RETURN_MS, capacityAt, previous + intervalMs);
    return Math.min(now + MAX_RETURN_MS, earliest);
}

type AccountShare = {
    readonly use: AccountUse | undefined;
    readonly usedUnits: number;
    /** Units up to which the account is admitted; infinite without other accounts. */
    readonly shareUnits: number;
    readonly accounts: number;
};

// An account below its share is admitted whatever the size of its request, and a refused one's use decays: none starves.
function accountShare(demand: ServiceDemand, { query, account }: AdmissionRequest, now: number): AccountShare {
    const use = demand.uses.get(account ?? NO_ACCOUNT);
    let total = 0;
    for (const [id, other] of demand.uses) {
        decay(other, now);
        if (other.units < MIN_USE_UNITS) {
            demand.uses.delete(id);
        }
        total += other.units;
    }
    let accounts = 0;
    for (const other of demand.uses.values()) {
        accounts += other.units >= MIN_ACTIVE_SHARE * total ? 1 : 0;
    }
    const tolerance = query.priority === 0 ? URGENT_SHARE_TOLERANCE : SHARE_TOLERANCE;
    return {
        use,
        usedUnits: use?.units ?? 0,
        shareUnits: accounts <= 1 ? Infinity : tolerance * total / accounts,
        accounts,
    };
}

function decay(use: AccountUse, now: number): void {
    use.units *= 0.5 ** ((now - use.at) / USE_HALF_LIFE_MS);
    use.at = now;
}

/** Records that a request was admitted, for the share of its account. */
export function recordAdmitted(
    state: AdmissionState,
    { query, account = NO_ACCOUNT }: Pick<AdmissionRequest, "query" | "account">,
    now: number,
): void {
    const { uses } = demandOf(state, query.service);
    const units = query.engine === undefined ? 1 : FIXED_COST_TOKENS + query.promptTokens;
    const use = uses.get(account);
    if (use === undefined) {
        uses.set(account, { units, at: now, returnAt: -Infinity });
        return;
    }
    decay(use, now);
    use.units += units;
}

/** Records the times of a complete response that an endpoint gave by running its request. */
export function recordServed(state: AdmissionState, query: PlacementQuery, served: ServedTimes): void {
    const demand = demandOf(state, query.service);
    demand.leastMsPerUnit = lowEstimate(demand.leastMsPerUnit, served.firstByteMs / Math.max(1, served.units));
    if (query.engine === undefined) {
        // A plain response includes its time in the queue, so the average would grow with the queue.
        demand.slotMs = lowEstimate(demand.slotMs, served.totalMs);
        return;
    }
    const streamMs = served.totalMs - served.firstByteMs;
    demand.slotMs += demand.slotMs === 0 ? streamMs : (streamMs - demand.slotMs) * AVERAGE_WEIGHT;
}

function lowEstimate(current: number, sample: number): number {
    return current === 0 || sample < current ? sample : current + (sample - current) * RISE_WEIGHT;
}

function demandOf(state: AdmissionState, service: ServiceName): ServiceDemand {
    const existing = state.get(service);
    if (existing !== undefined) {
        return existing;
    }
    const created = { leastMsPerUnit: 0, slotMs: 0, uses: new Map(), returnAt: -Infinity };
    state.set(service, created);
    return created;
}
