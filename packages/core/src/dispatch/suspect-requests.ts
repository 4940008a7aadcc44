import type { BodyDigest, EndpointId } from "../types/ids.js";
import {
    addSuspect,
    convictedParts,
    type Crash,
    CRASH_LIMIT,
    crashedStarts,
    type CrashEvidence,
    createCrashEvidence,
    type RequestFeatures,
} from "./crash-evidence.js";
import type { PromptPartId } from "./types.js";

/** One start of an endpoint. */
export type EndpointStart = { readonly endpoint: EndpointId; readonly startedAt: number; };

/** A send that ended without a response. */
type UnansweredSend = { readonly at: number; readonly parts: readonly PromptPartId[]; };

/** This router's sends to one start of an endpoint. */
type TrackedStart = {
    /** Name of the start as registered. */
    readonly key: string;
    /** Earlier known crashes under that name: the next process may run long before it is registered. */
    readonly generation: number;
    /** In-flight sends. */
    readonly open: Set<TrackedSend>;
    /** Requests whose sends recently ended without a response. */
    readonly unanswered: Map<BodyDigest, UnansweredSend>;
    lastByteAt: number;
};

/** A send of a request that may crash the endpoint that runs it. */
export type TrackedSend = {
    readonly features: RequestFeatures;
    readonly start: TrackedStart;
    /** When the first byte of the response arrived, in ms; undefined before. */
    firstByteAt: number | undefined;
    /** True once the endpoint has responded for long enough that the parts of the prompt did not crash it. */
    partsRan: boolean;
};

/** Suspect requests, which may crash the endpoints that run them. Times in ms. */
export type SuspectTable = {
    readonly evidence: CrashEvidence;
    /** Starts that this router sends to, by name. */
    readonly starts: Map<string, TrackedStart>;
    /** Starts at which a request recently got no response, by request. */
    readonly unresolved: Map<BodyDigest, Set<TrackedStart>>;
    /** Number of known crashes of each start. */
    readonly generations: Map<string, number>;
};

/** Time in ms for which an unanswered send counts at a silent endpoint: longer than registrations take to expire. */
const UNANSWERED_MEMORY_MS = 10_000;
/** Time in ms by which bytes sent before a crash may be read after the connections were lost. */
const READ_DELAY_MS = 250;
/** Silence in ms after which an endpoint with an expired registration counts as ended: some still serve for a while. */
const EXPIRY_SILENCE_MS = 1_000;
/** Time in ms after the first byte in which a part that crashes endpoints as they begin to respond has done so. */
const PARTS_RAN_MS = 1_000;
/** Maximum number of starts remembered; the oldest are evicted first. */
const MAX_STARTS = 5_000;
/** Separates the name of a start from its generation. */
const GENERATION_SEPARATOR = "#";

/** Creates an empty table. */
export function createSuspectTable(): SuspectTable {
    return { evidence: createCrashEvidence(), starts: new Map(), unresolved: new Map(), generations: new Map() };
}

/** Returns the name of a start of an endpoint. */
export function startName(start: EndpointStart): string {
    return `${start.endpoint}@${start.startedAt}`;
}

/** Records that a request is sent to an endpoint. */
export function trackSend(table: SuspectTable, start: EndpointStart, features: RequestFeatures): TrackedSend {
    const tracked = trackedStartOf(table, start);
    const send = { features, start: tracked, firstByteAt: undefined, partsRan: false };
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

/**
 * Records bytes from an endpoint, which shows that it survived the requests unanswered before. Returns true once for
 * a send, when the endpoint has streamed a successful response for long enough that the parts did not crash it.
 */
export function recordBytes(send: TrackedSend, isStreaming: boolean, now: number): boolean {
    send.start.lastByteAt = now;
    send.firstByteAt ??= now;
    if (!isStreaming || send.partsRan || now - send.firstByteAt < PARTS_RAN_MS) {
        return false;
    }
    send.partsRan = true;
    return true;
}

/** Returns whether bytes show that an endpoint still ran after it closed the connection of a send, at a time in ms. */
export function ranAfter({ start: tracked }: TrackedSend, closedAt: number): boolean {
    return tracked.lastByteAt - READ_DELAY_MS > closedAt;
}

/** Records the end of a send; without a response, the endpoint may have crashed. */
export function endTrackedSend(table: SuspectTable, send: TrackedSend, answered: boolean, now: number): void {
    const { features: { request }, start: tracked } = send;
    tracked.open.delete(send);
    if (answered || table.starts.get(tracked.key) !== tracked) {
        return;
    }
    [...tracked.unanswered].filter(([, { at }]) => now - at >= UNANSWERED_MEMORY_MS).forEach(([old]) =>
        removeUnanswered(table, old, tracked)
    );
    tracked.unanswered.set(request, { at: now, parts: suspectParts(send) });
    const trackedStarts = table.unresolved.get(request) ?? new Set();
    trackedStarts.add(tracked);
    table.unresolved.set(request, trackedStarts);
}

/**
 * Records that an endpoint's process has ended. Returns the crash if any request may have caused it: those that
 * were running, and unanswered ones after which no bytes arrived from it.
 */
export function recordEnd(table: SuspectTable, start: EndpointStart, now: number): Crash | undefined {
    return attributeCrash(table, start, (tracked, at) => isSilentSince(tracked, at, now), true, now);
}

/** Records that an endpoint restarted; recent bytes may have come from the new process already. */
export function recordRestart(table: SuspectTable, start: EndpointStart, now: number): Crash | undefined {
    return attributeCrash(table, start, (unusedStart, at) => now - at < UNANSWERED_MEMORY_MS, false, now);
}

function attributeCrash(
    table: SuspectTable,
    start: EndpointStart,
    mayHaveCaused: (tracked: TrackedStart, unansweredAt: number) => boolean,
    isTimed: boolean,
    now: number,
): Crash | undefined {
    const tracked = table.starts.get(startName(start));
    if (tracked === undefined) {
        return undefined;
    }
    const unanswered = [...tracked.unanswered].filter(([, { at }]) => mayHaveCaused(tracked, at))
        .map(([request, { parts }]) => ({ request, parts }));
    const open = [...tracked.open].map((send) => ({ request: send.features.request, parts: suspectParts(send) }));
    discardStart(table, start);
    const crash = {
        start: generationName(tracked),
        suspects: [...open, ...unanswered],
        isTimed,
    };
    addCrash(table, crash, now);
    return crash.suspects.length === 0 ? undefined : crash;
}

function suspectParts({ features, partsRan }: TrackedSend): readonly PromptPartId[] {
    return partsRan ? [] : features.parts;
}

/**
 * Records the expiry of the registration of an endpoint that did not announce that it leaves. Returns the crash
 * if any request may have caused it, and undefined if the endpoint recently sent bytes.
 */
export function recordExpiry(table: SuspectTable, start: EndpointStart, now: number): Crash | undefined {
    const tracked = table.starts.get(startName(start));
    if (tracked !== undefined && now - tracked.lastByteAt >= EXPIRY_SILENCE_MS) {
        return attributeCrash(table, start, (unanswered, at) => isSilentSince(unanswered, at, now), false, now);
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
export function addCrash(table: SuspectTable, crash: Crash, at: number): void {
    const { suspects, start } = crash;
    if (suspects.length === 0) {
        return;
    }
    const [key, generation] = start.split(GENERATION_SEPARATOR);
    recordGeneration(table.generations, key!, Number(generation ?? 0) + 1);
    suspects.forEach((features) => addSuspect(table.evidence, features, crash, at));
}

/** Forgets at which endpoints a request was left unanswered, as it has completed since. */
export function clearUnanswered(table: SuspectTable, request: BodyDigest): void {
    table.unresolved.get(request)?.forEach((tracked) => tracked.unanswered.delete(request));
    table.unresolved.delete(request);
}

/**
 * Returns whether a request has crashed too many endpoints to be run again. Endpoints that left it unanswered
 * count as well, at this router only and until bytes arrive from them.
 */
export function isPoison({ evidence, unresolved }: SuspectTable, request: BodyDigest, now: number): boolean {
    const crashed = crashedStarts(evidence, request, now);
    const silenced = [...unresolved.get(request) ?? []]
        .filter((tracked) =>
            !crashed.includes(generationName(tracked))
            && isSilentSince(tracked, tracked.unanswered.get(request)!.at, now)
        );
    return crashed.length + silenced.length >= CRASH_LIMIT;
}

/** Returns the first part of a prompt that is held responsible for crashes. */
export function poisonPart(
    { evidence }: SuspectTable,
    parts: readonly PromptPartId[],
    now: number,
): PromptPartId | undefined {
    const convicted = convictedParts(evidence, now);
    return parts.find((part) => convicted.has(part));
}

function recordGeneration(generations: SuspectTable["generations"], key: string, generation: number): void {
    generations.set(key, Math.max(generations.get(key) ?? 0, generation));
    if (generations.size > MAX_STARTS) {
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
