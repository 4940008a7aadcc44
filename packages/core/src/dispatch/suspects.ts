import type { BodyDigest, EndpointId } from "../types/ids.js";

/** One start of an endpoint. */
export type EndpointStart = { readonly endpoint: EndpointId; readonly startedAt: number; };

/** What this router's sends tell of one start of an endpoint. */
type EndpointLife = {
    /** The start as it is registered. */
    readonly key: string;
    /** Crashes of that start that were known before: its next process may run long before it is registered. */
    readonly generation: number;
    /** Sends that have not ended. */
    readonly open: Set<TrackedSend>;
    /** Requests whose sends ended without an answer lately, and when. */
    readonly unanswered: Map<BodyDigest, number>;
    heardAt: number;
};

/** A send of a request that may crash the endpoint that runs it. */
export type TrackedSend = { readonly body: BodyDigest; readonly life: EndpointLife; };

/** The end of a start of an endpoint, and the requests that may have caused it. */
export type Crash = { readonly start: string; readonly requests: readonly BodyDigest[]; };

/** Requests that may crash the endpoints that run them. Times in ms. */
export type SuspectTable = {
    /** Starts of endpoints that crashed while they ran a request, and until when that counts, by request. */
    readonly crashes: Map<BodyDigest, Map<string, number>>;
    /** Starts of endpoints that this router sends to, by name. */
    readonly lives: Map<string, EndpointLife>;
    /** Starts at which a request went unanswered lately, by request. */
    readonly unresolved: Map<BodyDigest, Set<EndpointLife>>;
    /** How often each start is known to have crashed. */
    readonly generations: Map<string, number>;
};

/** Crashes after which a request is refused; a single one hits many innocent requests. */
const CRASH_LIMIT = 3;
/** Time in ms for which a crash counts; the caller of a request that crashes endpoints may go on for minutes. */
export const CRASH_MEMORY_MS = 600_000;
/** Time in ms for which an unanswered send counts against a silent endpoint: longer than registrations take to lapse. */
const EVIDENCE_MS = 10_000;
/** Time in ms by which bytes that an endpoint sent before it crashed may be read after its connections broke. */
const READING_MS = 250;
/** Silence in ms that shows that a lapsed endpoint ended: some drop their registration and serve on for a while. */
const SILENCE_MS = 1_000;
/** Requests and starts remembered; beyond, the oldest go. */
const REMEMBERED = 5_000;
/** Stands between the name of a start and its generation. */
const GENERATION_MARK = "#";

/** Creates an empty table. */
export function createSuspectTable(): SuspectTable {
    return { crashes: new Map(), lives: new Map(), unresolved: new Map(), generations: new Map() };
}

/** Returns the name of a start of an endpoint. */
export function startName(start: EndpointStart): string {
    return `${start.endpoint}@${start.startedAt}`;
}

/** Notes that a request is sent to an endpoint. */
export function trackSend(table: SuspectTable, start: EndpointStart, body: BodyDigest): TrackedSend {
    const life = lifeOf(table, start);
    const send = { body, life };
    life.open.add(send);
    return send;
}

function lifeOf(table: SuspectTable, start: EndpointStart): EndpointLife {
    const key = startName(start);
    const generation = table.generations.get(key) ?? 0;
    const known = table.lives.get(key);
    if (known !== undefined && (known.generation >= generation || known.open.size > 0)) {
        return known;
    }
    forgetStart(table, start);
    const life = { key, generation, open: new Set<TrackedSend>(), unanswered: new Map(), heardAt: -Infinity };
    table.lives.set(key, life);
    return life;
}

function lifeName({ key, generation }: EndpointLife): string {
    return generation === 0 ? key : key + GENERATION_MARK + generation;
}

/** Notes a byte from an endpoint, which has outlived what went unanswered there before. */
export function noteLifeSign({ life }: TrackedSend, now: number): void {
    life.heardAt = now;
}

/** Notes the end of a send; the endpoint may have crashed if no answer came. */
export function endTrackedSend(table: SuspectTable, send: TrackedSend, answered: boolean, now: number): void {
    const { body, life } = send;
    life.open.delete(send);
    if (answered || table.lives.get(life.key) !== life) {
        return;
    }
    [...life.unanswered].filter(([, at]) => now - at >= EVIDENCE_MS).forEach(([old]) =>
        forgetUnanswered(table, old, life)
    );
    life.unanswered.set(body, now);
    const lives = table.unresolved.get(body) ?? new Set();
    lives.add(life);
    table.unresolved.set(body, lives);
}

/**
 * Notes that an endpoint's process has ended. Returns the crash if any request may have caused it: those that
 * were running, and those that went unanswered and after which nothing was heard of it.
 */
export function noteEnd(table: SuspectTable, start: EndpointStart, now: number): Crash | undefined {
    return blame(table, start, (life, at) => isSilentSince(life, at, now), now);
}

/** Notes that an endpoint has started again; what was heard of it lately may have been the new process already. */
export function noteRebirth(table: SuspectTable, start: EndpointStart, now: number): Crash | undefined {
    return blame(table, start, (unusedLife, at) => now - at < EVIDENCE_MS, now);
}

function blame(
    table: SuspectTable,
    start: EndpointStart,
    counts: (life: EndpointLife, unansweredAt: number) => boolean,
    now: number,
): Crash | undefined {
    const life = table.lives.get(startName(start));
    if (life === undefined) {
        return undefined;
    }
    const unanswered = [...life.unanswered].filter(([, at]) => counts(life, at)).map(([body]) => body);
    const requests = [...new Set([...[...life.open].map((send) => send.body), ...unanswered])];
    forgetStart(table, start);
    requests.forEach((body) => addCrash(table, body, lifeName(life), now));
    return requests.length === 0 ? undefined : { start: lifeName(life), requests };
}

/**
 * Notes that the registration of an endpoint that did not say that it leaves is gone. Returns the crash if any
 * request may have caused it, and undefined for an endpoint that was heard lately.
 */
export function noteLapse(table: SuspectTable, start: EndpointStart, now: number): Crash | undefined {
    const life = table.lives.get(startName(start));
    if (life !== undefined && now - life.heardAt >= SILENCE_MS) {
        return noteEnd(table, start, now);
    }
    forgetStart(table, start);
    return undefined;
}

/** Forgets what was sent to an endpoint that ended as planned. */
export function forgetStart(table: SuspectTable, start: EndpointStart): void {
    const life = table.lives.get(startName(start));
    if (life !== undefined) {
        table.lives.delete(life.key);
        [...life.unanswered.keys()].forEach((body) => forgetUnanswered(table, body, life));
    }
}

/** Adds a crash that this or another router saw at a time in ms. */
export function addCrash(table: SuspectTable, body: BodyDigest, start: string, at: number): void {
    const [key, generation] = start.split(GENERATION_MARK);
    noteGeneration(table.generations, key!, Number(generation ?? 0) + 1);
    const starts = table.crashes.get(body) ?? new Map<string, number>();
    starts.set(start, Math.max(starts.get(start) ?? 0, at + CRASH_MEMORY_MS));
    table.crashes.set(body, starts);
    if (table.crashes.size > REMEMBERED) {
        forgetOldest(table.crashes);
    }
}

/** Notes that a request ran to a good end, which clears it. Returns the number of its crashes until then. */
export function clearSuspect(table: SuspectTable, body: BodyDigest, now: number): number {
    const crashes = crashCount(table, body, now);
    table.crashes.delete(body);
    table.unresolved.get(body)?.forEach((life) => life.unanswered.delete(body));
    table.unresolved.delete(body);
    return crashes;
}

/** Returns how many starts of endpoints crashed while they ran a request. */
export function crashCount(table: SuspectTable, body: BodyDigest, now: number): number {
    return [...table.crashes.get(body)?.values() ?? []].filter((until) => until > now).length;
}

/**
 * Returns whether a request has crashed too many endpoints to be run again. Endpoints that it silenced count
 * as well, at this router and for as long as nothing is heard of them.
 */
export function isPoison(table: SuspectTable, body: BodyDigest, now: number): boolean {
    const crashed = table.crashes.get(body);
    const silenced = [...table.unresolved.get(body) ?? []]
        .filter((life) => !crashed?.has(lifeName(life)) && isSilentSince(life, life.unanswered.get(body)!, now));
    return crashCount(table, body, now) + silenced.length >= CRASH_LIMIT;
}

function noteGeneration(generations: SuspectTable["generations"], key: string, generation: number): void {
    generations.set(key, Math.max(generations.get(key) ?? 0, generation));
    if (generations.size > REMEMBERED) {
        generations.delete(generations.keys().next().value!);
    }
}

function isSilentSince(life: EndpointLife, at: number, now: number): boolean {
    return now - at < EVIDENCE_MS && life.heardAt - READING_MS <= at;
}

function forgetUnanswered(table: SuspectTable, body: BodyDigest, life: EndpointLife): void {
    life.unanswered.delete(body);
    const lives = table.unresolved.get(body);
    lives?.delete(life);
    if (lives?.size === 0) {
        table.unresolved.delete(body);
    }
}

// Requests that were running at a single crash go first, as most of them are innocent.
function forgetOldest(crashes: SuspectTable["crashes"]): void {
    for (const [body, starts] of crashes) {
        if (starts.size === 1) {
            crashes.delete(body);
            return;
        }
    }
    crashes.delete(crashes.keys().next().value!);
}
