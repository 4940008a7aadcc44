import type { BodyDigest, EndpointId } from "../types/ids.js";

/** One start of an endpoint. */
export type EndpointStart = { readonly endpoint: EndpointId; readonly startedAt: number; };

type BrokenSend = { readonly body: BodyDigest; readonly at: number; };

/** Requests that may crash the endpoints that run them. */
export type SuspectTable = {
    /** Starts of endpoints that crashed while they ran a request, by request. */
    readonly crashes: Map<BodyDigest, Set<string>>;
    /** Sends that broke lately, by endpoint start. */
    readonly broken: Map<string, BrokenSend[]>;
};

/** Crashes after which a request is refused; a single one hits many innocent requests. */
const CRASH_LIMIT = 3;
/** Time in ms after a broken send within which a failed connect shows that the endpoint crashed. */
const EVIDENCE_MS = 2_000;
/** Requests remembered; beyond, the oldest go. */
const REMEMBERED = 5_000;

/** Creates an empty table. */
export function createSuspectTable(): SuspectTable {
    return { crashes: new Map(), broken: new Map() };
}

/** Returns the name of a start of an endpoint. */
export function startName(start: EndpointStart): string {
    return `${start.endpoint}@${start.startedAt}`;
}

/** Notes that a send broke before it was answered. */
export function noteBrokenSend(table: SuspectTable, start: EndpointStart, body: BodyDigest, now: number): void {
    const sends = table.broken.get(startName(start)) ?? [];
    table.broken.set(startName(start), [...sends.filter((send) => now - send.at < EVIDENCE_MS), { body, at: now }]);
    forgetOldest(table.broken);
}

/** Notes that an endpoint refuses connections. Returns the requests that may have crashed it. */
export function noteCrash(table: SuspectTable, start: EndpointStart, now: number): BodyDigest[] {
    const name = startName(start);
    const bodies = (table.broken.get(name) ?? [])
        .filter((send) => now - send.at < EVIDENCE_MS)
        .map((send) => send.body);
    table.broken.delete(name);
    bodies.forEach((body) => addCrash(table, body, name));
    return bodies;
}

/** Adds a crash that this or another router saw. */
export function addCrash(table: SuspectTable, body: BodyDigest, start: string): void {
    const starts = table.crashes.get(body) ?? new Set();
    starts.add(start);
    table.crashes.set(body, starts);
    forgetOldest(table.crashes);
}

/** Notes that a request ran to its end, which clears it. Returns the number of its crashes until then. */
export function clearSuspect(table: SuspectTable, body: BodyDigest): number {
    const crashes = crashCount(table, body);
    table.crashes.delete(body);
    return crashes;
}

/** Returns how many starts of endpoints crashed while they ran a request. */
export function crashCount(table: SuspectTable, body: BodyDigest): number {
    return table.crashes.get(body)?.size ?? 0;
}

/** Returns whether a request has crashed too many endpoints to be run again. */
export function isPoison(table: SuspectTable, body: BodyDigest): boolean {
    return crashCount(table, body) >= CRASH_LIMIT;
}

function forgetOldest(map: Map<string, unknown>): void {
    if (map.size > REMEMBERED) {
        map.delete(map.keys().next().value!);
    }
}
