import type { BodyDigest, EndpointId } from "../types/ids.js";
import type { PromptPartId } from "./types.js";

/** What may crash the endpoints that run a request: the request itself, or a part of its prompt. */
export type RequestFeatures = {
    /** Identical for all attempts of the same request by the same caller. */
    readonly request: BodyDigest;
    /** Parts of the prompt that other requests may share, in order. */
    readonly parts: readonly PromptPartId[];
};

/** One start of an endpoint. */
export type EndpointStart = { readonly endpoint: EndpointId; readonly startedAt: number; };

/** This router's sends to one start of an endpoint. */
type TrackedStart = {
    /** Name of the start as registered. */
    readonly key: string;
    /** Earlier known crashes under that name: the next process may run long before it is registered. */
    readonly generation: number;
    /** In-flight sends. */
    readonly open: Set<TrackedSend>;
    /** Requests whose sends recently ended without a response, and when. */
    readonly unanswered: Map<BodyDigest, number>;
    lastByteAt: number;
};

/** A send of a request that may crash the endpoint that runs it. */
export type TrackedSend = { readonly body: BodyDigest; readonly start: TrackedStart; };

/** The crash of a start of an endpoint, and the requests that may have caused it. */
export type Crash = { readonly start: string; readonly requests: readonly BodyDigest[]; };

/** Suspect requests, which may crash the endpoints that run them. Times in ms. */
export type SuspectTable = {
    /** Starts that crashed while they ran a request, and until when the crash counts, by request. */
    readonly crashes: Map<BodyDigest, Map<string, number>>;
    /** Starts that this router sends to, by name. */
    readonly starts: Map<string, TrackedStart>;
    /** Starts at which a request recently got no response, by request. */
    readonly unresolved: Map<BodyDigest, Set<TrackedStart>>;
    /** Number of known crashes of each start. */
    readonly generations: Map<string, number>;
};

/** Crashes after which a request is refused; a single crash also affects many unrelated requests. */
const CRASH_LIMIT = 3;
/** Time in ms for which a crash counts; the caller of a poison request may repeat it for minutes. */
export const CRASH_MEMORY_MS = 600_000;
/** Time in ms for which an unanswered send counts at a silent endpoint: longer than registrations take to expire. */
const UNANSWERED_MEMORY_MS = 10_000;
/** Time in ms by which bytes sent before a crash may be read after the connections were lost. */
const READ_DELAY_MS = 250;
/** Silence in ms after which an endpoint with an expired registration counts as ended: some still serve for a while. */
const EXPIRY_SILENCE_MS = 1_000;
/** Maximum number of requests and of starts remembered; the oldest are evicted first. */
const MAX_ENTRIES = 5_000;
/** Separates the name of a start from its generation. */
const GENERATION_SEPARATOR = "#";

/** Creates an empty table. */
export function createSuspectTable(): SuspectTable {
    return { crashes: new Map(), starts: new Map(), unresolved: new Map(), generations: new Map() };
}

/** Returns the name of a start of an endpoint. */
export function startName(start: EndpointStart): string {
    return `${start.endpoint}@${start.startedAt}`;
}

/** Records that a request is sent to an endpoint. */
export function trackSend(table: SuspectTable, start: EndpointStart, body: BodyDigest): TrackedSend {
    const tracked = trackedStartOf(table, start);
    const send = { body, start: tracked };
    tracked.open.add(send);
    return send;
}

function trackedStartOf(table: SuspectTable, start: EndpointStart): TrackedStart {
    const key = startName(start);
    const generation = table.generations.get(key) ?? 0;
    const existing = table.starts.get(key);
    if (existing !== undefined && (existing.generation >= generation || existing.open.size > 0)) {
        return existing;
    }
    discardStart(table, start);
    const tracked = { key, generation, open: new Set<TrackedSend>(), unanswered: new Map(), lastByteAt: -Infinity };
    table.starts.set(key, tracked);
    return tracked;
}

function generationName({ key, generation }: TrackedStart): string {
    return generation === 0 ? key : key + GENERATION_SEPARATOR + generation;
}

/** Records bytes from an endpoint, which shows that it survived the requests unanswered before. */
export function recordBytes({ start: tracked }: TrackedSend, now: number): void {
    tracked.lastByteAt = now;
}

/** Records the end of a send; without a response, the endpoint may have crashed. */
export function endTrackedSend(table: SuspectTable, send: TrackedSend, answered: boolean, now: number): void {
    const { body, start: tracked } = send;
    tracked.open.delete(send);
    if (answered || table.starts.get(tracked.key) !== tracked) {
        return;
    }
    [...tracked.unanswered].filter(([, at]) => now - at >= UNANSWERED_MEMORY_MS).forEach(([old]) =>
        removeUnanswered(table, old, tracked)
    );
    tracked.unanswered.set(body, now);
    const trackedStarts = table.unresolved.get(body) ?? new Set();
    trackedStarts.add(tracked);
    table.unresolved.set(body, trackedStarts);
}

/**
 * Records that an endpoint's process has ended. Returns the crash if any request may have caused it: those that
 * were running, and unanswered ones after which no bytes arrived from it.
 */
export function recordEnd(table: SuspectTable, start: EndpointStart, now: number): Crash | undefined {
    return attributeCrash(table, start, (tracked, at) => isSilentSince(tracked, at, now), now);
}

/** Records that an endpoint restarted; recent bytes may have come from the new process already. */
export function recordRestart(table: SuspectTable, start: EndpointStart, now: number): Crash | undefined {
    return attributeCrash(table, start, (unusedStart, at) => now - at < UNANSWERED_MEMORY_MS, now);
}

function attributeCrash(
    table: SuspectTable,
    start: EndpointStart,
    mayHaveCaused: (tracked: TrackedStart, unansweredAt: number) => boolean,
    now: number,
): Crash | undefined {
    const tracked = table.starts.get(startName(start));
    if (tracked === undefined) {
        return undefined;
    }
    const unanswered = [...tracked.unanswered].filter(([, at]) => mayHaveCaused(tracked, at)).map(([body]) => body);
    const requests = [...new Set([...[...tracked.open].map((send) => send.body), ...unanswered])];
    discardStart(table, start);
    requests.forEach((body) => addCrash(table, body, generationName(tracked), now));
    return requests.length === 0 ? undefined : { start: generationName(tracked), requests };
}

/**
 * Records the expiry of the registration of an endpoint that did not announce that it leaves. Returns the crash
 * if any request may have caused it, and undefined if the endpoint recently sent bytes.
 */
export function recordExpiry(table: SuspectTable, start: EndpointStart, now: number): Crash | undefined {
    const tracked = table.starts.get(startName(start));
    if (tracked !== undefined && now - tracked.lastByteAt >= EXPIRY_SILENCE_MS) {
        return recordEnd(table, start, now);
    }
    discardStart(table, start);
    return undefined;
}

/** Discards the sends to a start of an endpoint, such as one that ended as planned. */
export function discardStart(table: SuspectTable, start: EndpointStart): void {
    const tracked = table.starts.get(startName(start));
    if (tracked !== undefined) {
        table.starts.delete(tracked.key);
        [...tracked.unanswered.keys()].forEach((body) => removeUnanswered(table, body, tracked));
    }
}

/** Adds a crash that this or another router detected at a time in ms. */
export function addCrash(table: SuspectTable, body: BodyDigest, start: string, at: number): void {
    const [key, generation] = start.split(GENERATION_SEPARATOR);
    recordGeneration(table.generations, key!, Number(generation ?? 0) + 1);
    const starts = table.crashes.get(body) ?? new Map<string, number>();
    starts.set(start, Math.max(starts.get(start) ?? 0, at + CRASH_MEMORY_MS));
    table.crashes.set(body, starts);
    if (table.crashes.size > MAX_ENTRIES) {
        evictOldest(table.crashes);
    }
}

/** Clears a request that completed successfully. Returns the number of crashes attributed to it until then. */
export function clearSuspect(table: SuspectTable, body: BodyDigest, now: number): number {
    const crashes = crashCount(table, body, now);
    table.crashes.delete(body);
    table.unresolved.get(body)?.forEach((tracked) => tracked.unanswered.delete(body));
    table.unresolved.delete(body);
    return crashes;
}

/** Returns how many starts of endpoints crashed while they ran a request. */
export function crashCount(table: SuspectTable, body: BodyDigest, now: number): number {
    return [...table.crashes.get(body)?.values() ?? []].filter((until) => until > now).length;
}

/**
 * Returns whether a request has crashed too many endpoints to be run again. Endpoints that left it unanswered
 * count as well, at this router only and until bytes arrive from them.
 */
export function isPoison(table: SuspectTable, body: BodyDigest, now: number): boolean {
    const crashed = table.crashes.get(body);
    const silenced = [...table.unresolved.get(body) ?? []]
        .filter((tracked) =>
            !crashed?.has(generationName(tracked)) && isSilentSince(tracked, tracked.unanswered.get(body)!, now)
        );
    return crashCount(table, body, now) + silenced.length >= CRASH_LIMIT;
}

function recordGeneration(generations: SuspectTable["generations"], key: string, generation: number): void {
    generations.set(key, Math.max(generations.get(key) ?? 0, generation));
    if (generations.size > MAX_ENTRIES) {
        generations.delete(generations.keys().next().value!);
    }
}

function isSilentSince(tracked: TrackedStart, at: number, now: number): boolean {
    return now - at < UNANSWERED_MEMORY_MS && tracked.lastByteAt - READ_DELAY_MS <= at;
}

function removeUnanswered(table: SuspectTable, body: BodyDigest, tracked: TrackedStart): void {
    tracked.unanswered.delete(body);
    const trackedStarts = table.unresolved.get(body);
    trackedStarts?.delete(tracked);
    if (trackedStarts?.size === 0) {
        table.unresolved.delete(body);
    }
}

// Requests with a single crash are evicted first, as most of them are unrelated to it.
function evictOldest(crashes: SuspectTable["crashes"]): void {
    for (const [body, starts] of crashes) {
        if (starts.size === 1) {
            crashes.delete(body);
            return;
        }
    }
    crashes.delete(crashes.keys().next().value!);
}
