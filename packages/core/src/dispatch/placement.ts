import { rendezvousFirst } from "../support/rendezvous.js";
import type { EndpointId, FailureDomain } from "../types/ids.js";
import { failureRate, isSilent } from "./endpoint-health.js";
import type { EndpointState, EndpointTable, ServicePace } from "./endpoint-table.js";
import { takesRequests } from "./endpoint-wishes.js";
import type { EngineDeclaration, PromptPart, PromptPartId, ServiceName } from "./types.js";

/** What the choice of an endpoint goes by. */
export type PlacementQuery = {
    readonly service: ServiceName;
    /** Present for services that run models. */
    readonly engine: EngineDeclaration | undefined;
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    readonly domain: FailureDomain;
    /** Endpoints that the request was sent to before. */
    readonly tried: ReadonlySet<EndpointId>;
    /** Time in ms for which engines are expected to keep a part. */
    readonly cacheMs: number;
};

/** Cost in prompt tokens of one running request, which slows prefill and decoding alike. */
const RUNNING_COST_TOKENS = 120;
/** Weight of shared parts that are read again: reading them delays others, and what they push out is read again too. */
const SHARED_FACTOR = 10;
/** Weight of failures against load: an endpoint that fails half of its requests looks several times as busy. */
const FAILURE_WEIGHT = 12;
/** Cost in prompt tokens of a request that crosses to another failure domain. */
const DOMAIN_COST_TOKENS = 200;
/** Relative cost of a plain request that crosses to another failure domain. */
const DOMAIN_COST_SHARE = 0.3;
/** Prompt parts remembered for each endpoint; beyond, the oldest go. */
const REMEMBERED_PARTS = 2_000;

/** An endpoint that was chosen, and the work expected there before the first byte of an answer. */
export type Placement = { readonly row: EndpointState; readonly units: number; };

// The usable endpoints of a service, or those that are left when none is sound.
function usableEndpoints(table: EndpointTable, query: PlacementQuery, now: number): EndpointState[] {
    const rows = table.byService.get(query.service) ?? [];
    const taking = rows.filter((row) => takesRequests(row, now) && !query.tried.has(row.entry.id));
    const reachable = taking.filter((row) => row.unreachableUntil <= now);
    const sound = reachable.filter((row) => !isSilent(row, now));
    return sound.length > 0 ? sound : reachable;
}

/** Chooses the endpoint that is expected to answer first; chance breaks ties. */
export function chooseEndpoint(
    table: EndpointTable,
    query: PlacementQuery,
    chance: () => number,
    now: number,
): Placement | undefined {
    const rows = usableEndpoints(table, query, now);
    const home = query.engine === undefined ? undefined : homeOf(rows, query.parts);
    let best: EndpointState | undefined;
    let lowest = Infinity;
    for (const row of rows) {
        const cost = costOf(row, query, home, now) * (1 + 0.02 * chance());
        if (cost < lowest) {
            lowest = cost;
            best = row;
        }
    }
    return best === undefined ? undefined : { row: best, units: workUnits(best, query, best === home, now) };
}

function costOf(row: EndpointState, query: PlacementQuery, home: EndpointState | undefined, now: number): number {
    const penalty = (1 + FAILURE_WEIGHT * failureRate(row, now)) * Math.max(0.5, row.slowness);
    const foreign = row.entry.domain !== query.domain;
    const busy = busyRequests(row);
    if (query.engine === undefined) {
        const perSlot = (busy + 1) / Math.max(1, row.entry.slots);
        return (perSlot + (foreign ? DOMAIN_COST_SHARE / Math.max(1, row.entry.slots) : 0)) * penalty;
    }
    const reading = row.waitingPromptTokens + uncachedTokens(row, query, row === home, now);
    const crowding = busy >= query.engine.slots ? reading + query.engine.memoryTokens : 0;
    return (reading + RUNNING_COST_TOKENS * (busy + 1) + crowding) * penalty + (foreign ? DOMAIN_COST_TOKENS : 0);
}

// Estimates the requests at an endpoint from its last report and this router's own sends since.
function busyRequests(row: EndpointState): number {
    if (row.load === undefined) {
        return row.open;
    }
    const reported = row.load.running + row.load.waiting;
    return Math.max(row.open, reported + row.open - row.openAtLoad);
}

// The endpoint that all routers prefer for a session, by rendezvous hashing.
function homeOf(rows: readonly EndpointState[], parts: readonly PromptPart[]): EndpointState | undefined {
    const session = sessionPart(parts);
    if (session === undefined) {
        return undefined;
    }
    const first = rendezvousFirst(session.id, rows.map((row) => row.entry.id));
    return rows.find((row) => row.entry.id === first);
}

// The last part belongs to the request alone; the one before it is the longest that others share.
function sessionPart(parts: readonly PromptPart[]): PromptPart | undefined {
    return parts.length < 2 ? undefined : parts[parts.length - 2];
}

function uncachedTokens(row: EndpointState, query: PlacementQuery, isHome: boolean, now: number): number {
    if (query.parts.length === 0) {
        return query.promptTokens;
    }
    let uncached = 0;
    let broken = false;
    query.parts.forEach((part, index) => {
        const shared = index < query.parts.length - 1;
        broken ||= !(shared && (isHome || now - (row.parts.get(part.id) ?? -Infinity) < query.cacheMs));
        uncached += broken ? part.tokens * (shared ? SHARED_FACTOR : 1) : 0;
    });
    return uncached;
}

/** Time to read a prompt that engines take in any case, in prompt tokens. */
const FIXED_COST_TOKENS = 1_500;

// The unit of work is a token to read for engines and a request for plain services.
function workUnits(row: EndpointState, query: PlacementQuery, isHome: boolean, now: number): number {
    if (query.engine === undefined) {
        return 1;
    }
    return FIXED_COST_TOKENS + row.waitingPromptTokens + uncachedTokens(row, query, isHome, now);
}

/** Returns the pace of a service. */
export function paceOf(table: EndpointTable, service: ServiceName): ServicePace {
    const known = table.paces.get(service);
    if (known !== undefined) {
        return known;
    }
    const created = { msPerUnit: 0 };
    table.paces.set(service, created);
    return created;
}

/** Notes that a request was sent to an endpoint. */
export function noteSend(row: EndpointState, query: PlacementQuery, now: number): void {
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

/** Notes the first byte of an answer, which ends the reading of the prompt. */
export function noteFirstByte(row: EndpointState, query: PlacementQuery): void {
    if (query.engine !== undefined) {
        row.waitingPromptTokens = Math.max(0, row.waitingPromptTokens - query.promptTokens);
    }
}

/** Takes in a load report. */
export function noteLoad(row: EndpointState, running: number, waiting: number, now: number): void {
    row.load = { running, waiting, at: now };
    row.openAtLoad = row.open;
}

function rememberPart(row: EndpointState, part: PromptPartId, now: number): void {
    row.parts.delete(part);
    row.parts.set(part, now);
    if (row.parts.size > REMEMBERED_PARTS) {
        row.parts.delete(row.parts.keys().next().value!);
    }
}

/** Highest rank that engines know. */
const LOWEST_RANK = 9;
/** Ranks for each step of a declared priority. */
const RANKS_PER_PRIORITY = 3;
/** Expected reading time, relative to the target, from which a request goes behind shorter ones of its priority. */
const LONG_SHARES = [0.1, 0.35] as const;

/**
 * Returns the rank of a request at an engine; 0 is served first. Within a declared priority, short
 * prompts go first, since one long prompt would make many others late.
 */
export function rankAtEngine(priority: number, readingMs: number, targetMs: number): number {
    const step = LONG_SHARES.filter((share) => readingMs > share * targetMs).length;
    return Math.min(LOWEST_RANK, priority * RANKS_PER_PRIORITY + step);
}
