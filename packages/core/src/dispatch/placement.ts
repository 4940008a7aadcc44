import { rendezvousFirst } from "../support/rendezvous.js";
import type { EndpointId, FailureDomain } from "../types/ids.js";
import { acceptsRequests } from "./endpoint-availability.js";
import { failureRate, isSilent } from "./endpoint-health.js";
import { allowsSend, isTrialDue, recordLimitedSend } from "./endpoint-limits.js";
import type { EndpointState, EndpointTable, ServicePace } from "./endpoint-table.js";
import { busyRequests, paceFactor, slotsOf } from "./load-report.js";
import { sharedParts } from "./prompt-parts.js";
import { isInAllowedRegion, type RegionRestriction } from "./regions.js";
import type { EngineDeclaration, PromptPart, PromptPartId, ServiceName } from "./types.js";

/** Inputs for the choice of an endpoint. */
export type PlacementQuery = {
    readonly service: ServiceName;
    /** Present for services that run models. */
    readonly engine: EngineDeclaration | undefined;
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    readonly domain: FailureDomain;
    /** Endpoints that the request was sent to before. */
    readonly tried: ReadonlySet<EndpointId>;
    /** True if the request was sent before and its caller has received nothing yet. */
    readonly isRepeat: boolean;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Time in ms for which engines are expected to cache a part. */
    readonly cacheMs: number;
    /** Undefined if endpoints of all regions may be chosen. */
    readonly regions?: RegionRestriction | undefined;
};

/** Cost in prompt tokens of one running request, which slows prefill and decoding alike. */
const RUNNING_COST_TOKENS = 120;
/** Weight of shared parts that must be prefilled again: this delays others, and the parts evicted are prefilled again too. */
const SHARED_FACTOR = 10;
/** Weight of failures against load: an endpoint that fails half of its requests appears several times as busy. */
const FAILURE_WEIGHT = 12;
/** Cost in prompt tokens of a request to another failure domain. */
const DOMAIN_COST_TOKENS = 200;
/** Relative cost of a plain request to another failure domain. */
const DOMAIN_COST_SHARE = 0.3;
/** Maximum number of prompt parts remembered for each endpoint; the oldest are evicted first. */
const MAX_REMEMBERED_PARTS = 2_000;

/** A chosen endpoint, and the units of work expected there before the first response byte. */
export type Placement = { readonly row: EndpointState; readonly units: number; };

// The reachable endpoints of a service without the silent ones, or with them if all are silent.
function usableEndpoints(
    table: EndpointTable,
    query: PlacementQuery,
    random: () => number,
    now: number,
): EndpointState[] {
    const rows = table.byService.get(query.service) ?? [];
    const draw = random();
    const accepting = rows.filter((row) =>
        isInAllowedRegion(row.entry.domain, query.regions)
        && acceptsRequests(table, row, now) && !query.tried.has(row.entry.id)
        && allowsSend(table.limits, row.entry, query, draw, now)
    );
    const reachable = accepting.filter((row) => row.unreachableUntil <= now);
    const responsive = reachable.filter((row) => !isSilent(row, now));
    return responsive.length > 0 ? responsive : reachable;
}

/** Chooses the endpoint that is expected to respond first; randomness breaks ties. */
export function chooseEndpoint(
    table: EndpointTable,
    query: PlacementQuery,
    random: () => number,
    now: number,
): Placement | undefined {
    const rows = usableEndpoints(table, query, random, now);
    const preferred = query.engine === undefined ? undefined : preferredEngine(rows, query.parts);
    let best = rows.find((row) => isTrialDue(table.limits, row.entry, now));
    let lowest = best === undefined ? Infinity : -Infinity;
    for (const row of rows) {
        const cost = costOf(row, query, preferred, now) * (1 + 0.02 * random());
        if (cost < lowest) {
            lowest = cost;
            best = row;
        }
    }
    return best === undefined ? undefined : { row: best, units: workUnits(best, query, best === preferred, now) };
}

function costOf(row: EndpointState, query: PlacementQuery, preferred: EndpointState | undefined, now: number): number {
    const penalty = (1 + FAILURE_WEIGHT * failureRate(row, now)) * Math.max(0.5, row.slowness)
        * paceFactor(row, now);
    const otherDomain = row.entry.domain !== query.domain;
    const busy = busyRequests(row);
    if (query.engine === undefined) {
        const slots = Math.max(1, slotsOf(row, row.entry.slots));
        return ((busy + 1) / slots + (otherDomain ? DOMAIN_COST_SHARE / slots : 0)) * penalty;
    }
    const reading = row.waitingPromptTokens + uncachedTokens(row, query, row === preferred, now);
    const crowding = busy >= slotsOf(row, query.engine.slots) ? reading + query.engine.memoryTokens : 0;
    return (reading + RUNNING_COST_TOKENS * (busy + 1) + crowding) * penalty + (otherDomain ? DOMAIN_COST_TOKENS : 0);
}

// Session affinity: the engine that all routers prefer for a session, by rendezvous hashing.
function preferredEngine(rows: readonly EndpointState[], parts: readonly PromptPart[]): EndpointState | undefined {
    const session = sessionPart(parts);
    if (session === undefined) {
        return undefined;
    }
    const first = rendezvousFirst(session, rows.map((row) => row.entry.id));
    return rows.find((row) => row.entry.id === first);
}

function sessionPart(parts: readonly PromptPart[]): PromptPartId | undefined {
    return sharedParts(parts).at(-1);
}

function uncachedTokens(row: EndpointState, query: PlacementQuery, isPreferred: boolean, now: number): number {
    if (query.parts.length === 0) {
        return query.promptTokens;
    }
    let uncached = 0;
    let prefixBroken = false;
    query.parts.forEach((part, index) => {
        const shared = index < query.parts.length - 1;
        prefixBroken ||= !(shared && (isPreferred || now - (row.parts.get(part.id) ?? -Infinity) < query.cacheMs));
        uncached += prefixBroken ? part.tokens * (shared ? SHARED_FACTOR : 1) : 0;
    });
    return uncached;
}

/** Fixed prefill cost of any prompt, in prompt tokens. */
export const FIXED_COST_TOKENS = 1_500;

// The unit of work is a prompt token for engines and a request for plain services.
function workUnits(row: EndpointState, query: PlacementQuery, isPreferred: boolean, now: number): number {
    if (query.engine === undefined) {
        return 1;
    }
    return FIXED_COST_TOKENS + row.waitingPromptTokens + uncachedTokens(row, query, isPreferred, now);
}

/** Returns the pace of a service, creating it if missing. */
export function paceOf(table: EndpointTable, service: ServiceName): ServicePace {
    const existing = table.paces.get(service);
    if (existing !== undefined) {
        return existing;
    }
    const created = { msPerUnit: 0 };
    table.paces.set(service, created);
    return created;
}

/** Records that a request was sent to an endpoint. */
export function recordSend(
    table: EndpointTable,
    row: EndpointState,
    query: PlacementQuery,
    random: () => number,
    now: number,
): void {
    recordLimitedSend(table.limits, row.entry, random, now);
    row.open++;
    row.unansweredSince ??= now;
    if (query.engine === undefined) {
        return;
    }
    row.waitingPromptTokens += query.promptTokens;
    for (const part of query.parts) {
        rememberPart(row, part.id, now);
    }
}

/** Records the first response byte, which ends the prefill of the prompt. */
export function recordFirstByte(row: EndpointState, query: PlacementQuery): void {
    if (query.engine !== undefined) {
        row.waitingPromptTokens = Math.max(0, row.waitingPromptTokens - query.promptTokens);
    }
}

function rememberPart(row: EndpointState, part: PromptPartId, now: number): void {
    row.parts.delete(part);
    row.parts.set(part, now);
    if (row.parts.size > MAX_REMEMBERED_PARTS) {
        row.parts.delete(row.parts.keys().next().value!);
    }
}

/** Maximum rank that engines support; the least urgent. */
const MAX_RANK = 9;
/** Ranks for each step of a declared priority. */
const RANKS_PER_PRIORITY = 3;
/** Step of a declared priority as a share of all ranks. */
export const RANK_STEP_SHARE = RANKS_PER_PRIORITY / MAX_RANK;
/** Expected prefill times, as shares of the target, above which a request ranks behind shorter ones. */
const LONG_PROMPT_TARGET_SHARES = [0.1, 0.35] as const;

/**
 * Returns the rank of a request at an engine; 0 is served first. Within a declared priority, short
 * prompts are served first, because one long prompt would delay many others.
 */
export function rankAtEngine(priority: number, readingMs: number, targetMs: number): number {
    const step = LONG_PROMPT_TARGET_SHARES.filter((share) => readingMs > share * targetMs).length;
    return Math.min(MAX_RANK, priority * RANKS_PER_PRIORITY + step);
}
