import { limitOf, takeReturnSlot } from "./endpoint-limits.js";
import type { EndpointState, EndpointTable } from "./endpoint-table.js";
import type { ServiceName } from "./types.js";

/** Maximum number of remembered leaving endpoints; the oldest, which ended long ago, are evicted first. */
const MAX_LEAVING_STARTS = 1_000;

/** Records that a response announced that the endpoint leaves; this holds until it restarts. */
export function recordLeaving(table: EndpointTable, row: EndpointState): void {
    row.announcedLeaving = true;
    table.leavingStarts.set(row.entry.id, row.entry.startedAt);
    if (table.leavingStarts.size > MAX_LEAVING_STARTS) {
        table.leavingStarts.delete(table.leavingStarts.keys().next().value!);
    }
}

/** Records a back-off in ms requested by an endpoint; never shortens an earlier one. */
export function recordBackoff(row: EndpointState, backoffMs: number, now: number): void {
    row.backoffUntil = Math.max(row.backoffUntil, now + backoffMs);
}

/** Returns whether an endpoint accepts new requests, according to its registration and its responses. */
export function acceptsRequests(row: EndpointState, now: number): boolean {
    return !row.entry.leaving && !row.announcedLeaving && row.backoffUntil <= now;
}

/** Returns whether an endpoint that was chosen earlier is still registered and accepts new requests. */
export function stillAcceptsRequests(table: EndpointTable, row: EndpointState, now: number): boolean {
    return table.rows.get(row.entry.id) === row && acceptsRequests(row, now);
}

/** Returns whether an endpoint announced that it leaves, or is no longer registered. */
export function isLeaving(table: Pick<EndpointTable, "rows">, row: EndpointState): boolean {
    return row.entry.leaving || row.announcedLeaving || table.rows.get(row.entry.id) !== row;
}

/** Returns the time in ms until an endpoint of a service accepts requests; 0 unless all that stay are in back-off. */
export function remainingBackoffMs(table: EndpointTable, service: ServiceName, now: number): number {
    const remaining = stayingEndpoints(table, service);
    return remaining.length === 0 ? 0 : Math.max(0, Math.min(...remaining.map((row) => row.backoffUntil)) - now);
}

/** Returns whether all endpoints of a service that stay state request limits. */
export function isServiceLimited(table: EndpointTable, service: ServiceName): boolean {
    const remaining = stayingEndpoints(table, service);
    return remaining.length > 0
        && remaining.every((row) => limitOf(table.limits, row.entry)?.perSecond !== undefined);
}

/** Returns the time in ms after which a caller should return whose request no endpoint accepts. */
export function returnDelayMs(table: EndpointTable, service: ServiceName, now: number): number {
    const backoffMs = remainingBackoffMs(table, service, now);
    if (!isServiceLimited(table, service)) {
        return backoffMs;
    }
    const perSecond = stayingEndpoints(table, service)
        .reduce((sum, row) => sum + limitOf(table.limits, row.entry)!.perSecond!, 0);
    return Math.max(backoffMs, takeReturnSlot(table.limits, service, perSecond, now));
}

function stayingEndpoints(table: EndpointTable, service: ServiceName): EndpointState[] {
    return (table.byService.get(service) ?? []).filter((row) => !row.entry.leaving && !row.announcedLeaving);
}
