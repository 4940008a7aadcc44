import { turnedCold } from "./cold-endpoints.js";
import { limitInForce, takeReturnSlot } from "./endpoint-limits.js";
import type { EndpointState, EndpointTable } from "./endpoint-table.js";
import { isEvacuated, isServiceEvacuated } from "./evacuations.js";
import { isInAllowedRegion, type RegionRestriction } from "./regions.js";
import type { ServiceName } from "./types.js";

/** Maximum number of remembered leaving endpoints; the oldest, which ended long ago, are evicted first. */
const MAX_LEAVING_STARTS = 1_000;

/** Time in ms after which a caller should return while all endpoints are evacuated; nobody knows for how long. */
const EVACUATED_RETURN_MS = 3_000;

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

/** Returns whether an endpoint accepts new requests, by its registration, its responses and the operator. */
export function acceptsRequests(table: EndpointTable, row: EndpointState, now: number): boolean {
    return !row.entry.leaving && !row.announcedLeaving && row.backoffUntil <= now && !isEvacuated(table, row);
}

/**
 * Returns whether an endpoint that was chosen at a time in ms is still registered, accepts new requests, and has not
 * become cold since.
 */
export function stillAcceptsRequests(table: EndpointTable, row: EndpointState, chosenAt: number, now: number): boolean {
    return table.rows.get(row.entry.id) === row
        && acceptsRequests(table, row, now)
        && !turnedCold(table.limits.cold, row.entry, chosenAt, now);
}

/** Returns whether an endpoint of a service that stays is in the regions that a request may reach. */
export function hasEndpointInRegions(
    table: EndpointTable,
    service: ServiceName,
    regions: RegionRestriction | undefined,
): boolean {
    return stayingEndpoints(table, service, regions).length > 0;
}

/** Returns whether an endpoint announced that it leaves, or is no longer registered. */
export function isLeaving(table: Pick<EndpointTable, "rows">, row: EndpointState): boolean {
    return row.entry.leaving || row.announcedLeaving || table.rows.get(row.entry.id) !== row;
}

/** Returns the time in ms until an endpoint of a service accepts requests; 0 unless all that stay are in back-off. */
export function remainingBackoffMs(
    table: EndpointTable,
    service: ServiceName,
    now: number,
    regions?: RegionRestriction,
): number {
    const remaining = stayingEndpoints(table, service, regions);
    return remaining.length === 0 ? 0 : Math.max(0, Math.min(...remaining.map((row) => row.backoffUntil)) - now);
}

/** Returns whether all endpoints of a service that stay state request limits or are cold. */
export function isServiceLimited(
    table: EndpointTable,
    service: ServiceName,
    now: number,
    regions?: RegionRestriction,
): boolean {
    const remaining = stayingEndpoints(table, service, regions);
    return remaining.length > 0
        && remaining.every((row) => limitInForce(table.limits, row.entry, now) !== undefined);
}

/** Returns the time in ms after which a caller should return whose request no endpoint accepts. */
export function returnDelayMs(
    table: EndpointTable,
    { service, regions }: { readonly service: ServiceName; readonly regions?: RegionRestriction | undefined; },
    now: number,
): number {
    if (isServiceEvacuated(table, service)) {
        return EVACUATED_RETURN_MS;
    }
    const backoffMs = remainingBackoffMs(table, service, now, regions);
    if (!isServiceLimited(table, service, now, regions)) {
        return backoffMs;
    }
    const perSecond = stayingEndpoints(table, service, regions)
        .reduce((sum, row) => sum + limitInForce(table.limits, row.entry, now)!, 0);
    return Math.max(backoffMs, takeReturnSlot(table.limits, service, perSecond, now));
}

function stayingEndpoints(table: EndpointTable, service: ServiceName, regions?: RegionRestriction): EndpointState[] {
    return (table.byService.get(service) ?? []).filter((row) =>
        !row.entry.leaving && !row.announcedLeaving && !isEvacuated(table, row)
        && isInAllowedRegion(row.entry.domain, regions)
    );
}
