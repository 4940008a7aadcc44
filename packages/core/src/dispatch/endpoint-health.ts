import { recordContact, recordLostContact } from "./cold-endpoints.js";
import { limitFigures } from "./endpoint-limits.js";
import type { EndpointState, EndpointTable, ServicePace } from "./endpoint-table.js";
import { paceFactor } from "./load-report.js";

/** Half-life in ms of an outcome's weight, so that the last few seconds of traffic dominate. */
const OUTCOME_HALF_LIFE_MS = 3_000;
/** Weight of the newest response in the average slowness. */
const SLOWNESS_WEIGHT = 0.2;
/** Bounds of the slowness ratio of one response, so that a single outlier does not dominate. */
const SLOWNESS_RANGE = [0.2, 10] as const;
/** Back-off in ms after a failed connect; doubles with each consecutive failure. */
const CONNECT_BACKOFF_MS = 250;
const MAX_CONNECT_BACKOFF_MS = 4_000;
/** Time in ms without a byte from an endpoint with unanswered requests after which it is avoided. */
export const MAX_SILENCE_MS = 1_500;
/** Time in ms for which a send may wait for its connection. */
const MAX_CONNECT_MS = 200;

/** Records the outcome of a request at an endpoint. */
export function recordOutcome(row: EndpointState, failed: boolean, now: number): void {
    const decay = 0.5 ** ((now - row.outcomesAt) / OUTCOME_HALF_LIFE_MS);
    row.outcomes = row.outcomes * decay + 1;
    row.failures = row.failures * decay + (failed ? 1 : 0);
    row.outcomesAt = now;
}

/** Returns the recent failure rate; a prior of three successes keeps the effect of single failures small. */
export function failureRate(row: EndpointState, now: number): number {
    const decay = 0.5 ** ((now - row.outcomesAt) / OUTCOME_HALF_LIFE_MS);
    return row.failures * decay / (row.outcomes * decay + 3);
}

/** Weight of the newest response in the average of a service. */
const PACE_WEIGHT = 0.02;

/**
 * Records the response time per unit of work and compares the endpoint with the average of its service.
 * The unit of work is a prompt token for engines and a request for plain services.
 */
export function recordDuration(pace: ServicePace, row: EndpointState, tookMs: number, units: number): void {
    const perUnit = tookMs / Math.max(1, units);
    if (pace.msPerUnit === 0) {
        pace.msPerUnit = perUnit;
    }
    const ratio = perUnit / Math.max(Number.EPSILON, pace.msPerUnit);
    const bounded = Math.min(SLOWNESS_RANGE[1], Math.max(SLOWNESS_RANGE[0], ratio));
    pace.msPerUnit += (Math.min(perUnit, pace.msPerUnit * SLOWNESS_RANGE[1]) - pace.msPerUnit) * PACE_WEIGHT;
    row.slowness += (bounded - row.slowness) * SLOWNESS_WEIGHT;
}

/** Records a failed connection attempt and starts the back-off. The endpoint may restart meanwhile. */
export function recordConnectFailure(table: EndpointTable, row: EndpointState, now: number): void {
    recordLostContact(table.limits.cold, row.entry, now);
    const backoff = Math.min(MAX_CONNECT_BACKOFF_MS, CONNECT_BACKOFF_MS * 2 ** row.connectFailures);
    row.connectFailures++;
    row.unreachableUntil = now + backoff;
}

/** Records that bytes arrived from an endpoint; ends its connect back-off. */
export function recordResponseBytes(row: EndpointState): void {
    row.connectFailures = 0;
    row.unreachableUntil = -Infinity;
    row.unansweredSince = undefined;
}

/** Returns whether an endpoint with unanswered requests has sent nothing for MAX_SILENCE_MS. */
export function isSilent(row: EndpointState, now: number): boolean {
    return row.unansweredSince !== undefined && now - row.unansweredSince > MAX_SILENCE_MS;
}

/** Records that bytes of the response to a request arrived whose own bytes left at a time in ms. */
export function recordHeard(table: EndpointTable, row: EndpointState, sentAt: number, now: number): void {
    noteSilence(table, row, now);
    recordContact(table.limits.cold, row.entry, sentAt, now);
    recordResponseBytes(row);
}

/** Records that an endpoint has lost contact if it is silent; it may have restarted under its id. */
export function noteSilence(table: EndpointTable, row: EndpointState, now: number): void {
    if (isSilent(row, now)) {
        recordLostContact(table.limits.cold, row.entry, now, row.unansweredSince! + MAX_CONNECT_MS);
    }
}

/** Returns the values on which the choice of an endpoint was based. */
export function endpointFigures(
    table: EndpointTable,
    row: EndpointState,
    now: number,
): Readonly<Record<string, unknown>> {
    return {
        endpoint: row.entry.id,
        open: row.open,
        loadAgeMs: row.load === undefined ? undefined : Math.round(now - row.load.at),
        slots: row.machine?.slots,
        paceFactor: row.machine === undefined ? undefined : Number(paceFactor(row, now).toFixed(2)),
        failureRate: Number(failureRate(row, now).toFixed(2)),
        ...limitFigures(table.limits, row.entry, now),
    };
}
