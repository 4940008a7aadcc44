import type { FailureDomain } from "../types/ids.js";
import { recordEvacuationEnd } from "./cold-endpoints.js";
import type { EndpointState, EndpointTable } from "./endpoint-table.js";
import type { ServiceName } from "./types.js";

/** A begin or an end of an evacuation at this router. */
export type EvacuationChange = {
    readonly kind: "began" | "ended";
    readonly domain: FailureDomain;
    /** Time in ms for which it was in force. */
    readonly ageMs: number;
    /** Number of known endpoints of the failure domain. */
    readonly endpoints: number;
};

/** Time in ms within which the operator's entries are written again to a restored store; they usually take 2 s. */
const REWRITE_MS = 5_000;

/** Returns whether the failure domain of an endpoint is evacuated. */
export function isEvacuated({ evacuations }: EndpointTable, row: EndpointState): boolean {
    return evacuations.domains.has(row.entry.domain);
}

/** Returns whether a service has endpoints that stay, and all of them are in evacuated failure domains. */
export function isServiceEvacuated(table: EndpointTable, service: ServiceName): boolean {
    const staying = (table.byService.get(service) ?? []).filter((row) => !row.entry.leaving && !row.announcedLeaving);
    return staying.length > 0 && staying.every((row) => isEvacuated(table, row));
}

/** Records that the store has an evacuation. Returns the change, undefined if it was in force already. */
export function recordEvacuation(
    table: EndpointTable,
    domain: FailureDomain,
    now: number,
): EvacuationChange | undefined {
    const { domains } = table.evacuations;
    const known = domains.get(domain);
    if (known !== undefined) {
        known.endsAt = undefined;
        return undefined;
    }
    domains.set(domain, { since: now, endsAt: undefined });
    return { kind: "began", domain, ageMs: 0, endpoints: endpointsOf(table, domain).length };
}

/** Records that an evacuation was withdrawn: the failure domain's endpoints are cold from now on. */
export function recordWithdrawal(
    table: EndpointTable,
    domain: FailureDomain,
    now: number,
): EvacuationChange | undefined {
    const { domains } = table.evacuations;
    const known = domains.get(domain);
    if (known === undefined) {
        return undefined;
    }
    domains.delete(domain);
    const rows = endpointsOf(table, domain);
    rows.forEach((row) => recordEvacuationEnd(table.limits.cold, row.entry, now));
    return { kind: "ended", domain, ageMs: now - known.since, endpoints: rows.length };
}

/**
 * Applies a read of all evacuations in the store. In a store that came back from an older copy, a missing one counts as
 * withdrawn only after the time in which the operator's entries are written again.
 */
export function replaceEvacuations(
    table: EndpointTable,
    listed: readonly FailureDomain[],
    isRestored: boolean,
    now: number,
): EvacuationChange[] {
    const { evacuations } = table;
    if (isRestored) {
        evacuations.incompleteUntil = now + REWRITE_MS;
    }
    const began = listed.map((domain) => recordEvacuation(table, domain, now));
    for (const [domain, evacuation] of evacuations.domains) {
        if (!listed.includes(domain)) {
            evacuation.endsAt ??= Math.max(now, evacuations.incompleteUntil);
        }
    }
    return [...began.filter((change) => change !== undefined), ...endMissing(table, now)];
}

/** Ends the evacuations that are still missing in a restored store; to be called several times a second. */
export function endMissing(table: EndpointTable, now: number): EvacuationChange[] {
    return [...table.evacuations.domains]
        .filter(([, { endsAt }]) => endsAt !== undefined && endsAt <= now)
        .map(([domain]) => recordWithdrawal(table, domain, now)!);
}

function endpointsOf({ rows }: EndpointTable, domain: FailureDomain): EndpointState[] {
    return [...rows.values()].filter((row) => row.entry.domain === domain);
}
