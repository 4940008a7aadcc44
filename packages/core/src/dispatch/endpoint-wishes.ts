import type { EndpointState, EndpointTable } from "./endpoint-table.js";
import type { ServiceName } from "./types.js";

/** Starts that said that they leave and are remembered; beyond, the oldest go, which ended long ago. */
const REMEMBERED_LEAVING = 1_000;

/** Notes that an endpoint said in an answer that it leaves; this holds until it starts again. */
export function noteLeaving(table: EndpointTable, row: EndpointState): void {
    row.saidLeaving = true;
    table.saidLeaving.set(row.entry.id, row.entry.startedAt);
    if (table.saidLeaving.size > REMEMBERED_LEAVING) {
        table.saidLeaving.delete(table.saidLeaving.keys().next().value!);
    }
}

/** Notes that an endpoint wants no requests for a time in ms. */
export function noteQuiet(row: EndpointState, quietMs: number, now: number): void {
    row.quietUntil = Math.max(row.quietUntil, now + quietMs);
}

/** Returns whether an endpoint takes new requests, by its registration and its answers. */
export function takesRequests(row: EndpointState, now: number): boolean {
    return !row.entry.leaving && !row.saidLeaving && row.quietUntil <= now;
}

/** Returns the time in ms until an endpoint of a service takes requests again, 0 unless all that stay want quiet. */
export function quietMs(table: EndpointTable, service: ServiceName, now: number): number {
    const staying = (table.byService.get(service) ?? []).filter((row) => !row.entry.leaving && !row.saidLeaving);
    return staying.length === 0 ? 0 : Math.max(0, Math.min(...staying.map((row) => row.quietUntil)) - now);
}
