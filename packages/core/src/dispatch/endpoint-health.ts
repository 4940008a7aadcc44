import type { EndpointState, ServicePace } from "./endpoint-table.js";

/** Time in ms in which the weight of an outcome halves; a few seconds of traffic decide. */
const OUTCOME_HALF_LIFE_MS = 3_000;
/** Weight of the newest answer in the average slowness. */
const SLOWNESS_WEIGHT = 0.2;
/** Bounds of the slowness ratio of a single answer, so that one outlier does not decide. */
const SLOWNESS_RANGE = [0.2, 10] as const;
/** Wait in ms after a failed connect; it doubles with each one in a row. */
const CONNECT_BACKOFF_MS = 250;
const LONGEST_CONNECT_BACKOFF_MS = 4_000;
/** Silence in ms of an endpoint with unanswered requests after which it is avoided. */
export const SILENCE_MS = 1_500;

/** Notes the end of a request at an endpoint. */
export function noteOutcome(row: EndpointState, failed: boolean, now: number): void {
    const decay = 0.5 ** ((now - row.outcomesAt) / OUTCOME_HALF_LIFE_MS);
    row.outcomes = row.outcomes * decay + 1;
    row.failures = row.failures * decay + (failed ? 1 : 0);
    row.outcomesAt = now;
}

/** Returns the share of lately failed requests; a prior of three good ones keeps single failures small. */
export function failureRate(row: EndpointState, now: number): number {
    const decay = 0.5 ** ((now - row.outcomesAt) / OUTCOME_HALF_LIFE_MS);
    return row.failures * decay / (row.outcomes * decay + 3);
}

/** Weight of the newest answer in the average of a service. */
const PACE_WEIGHT = 0.02;

/**
 * Notes how long an answer took for its work, and compares the endpoint with its siblings. The unit of
 * work is a token to read for engines and a request for plain services.
 */
export function noteDuration(pace: ServicePace, row: EndpointState, tookMs: number, units: number): void {
    const perUnit = tookMs / Math.max(1, units);
    if (pace.msPerUnit === 0) {
        pace.msPerUnit = perUnit;
    }
    const ratio = perUnit / Math.max(Number.EPSILON, pace.msPerUnit);
    const bounded = Math.min(SLOWNESS_RANGE[1], Math.max(SLOWNESS_RANGE[0], ratio));
    pace.msPerUnit += (Math.min(perUnit, pace.msPerUnit * SLOWNESS_RANGE[1]) - pace.msPerUnit) * PACE_WEIGHT;
    row.slowness += (bounded - row.slowness) * SLOWNESS_WEIGHT;
}

/** Notes that a connection could not be made. */
export function noteConnectFailure(row: EndpointState, now: number): void {
    const backoff = Math.min(LONGEST_CONNECT_BACKOFF_MS, CONNECT_BACKOFF_MS * 2 ** row.connectFailures);
    row.connectFailures++;
    row.unreachableUntil = now + backoff;
}

/** Notes a byte from an endpoint. */
export function noteHeard(row: EndpointState): void {
    row.connectFailures = 0;
    row.unreachableUntil = -Infinity;
    row.unansweredSince = undefined;
}

/** Returns whether an endpoint has left requests without a byte for too long. */
export function isSilent(row: EndpointState, now: number): boolean {
    return row.unansweredSince !== undefined && now - row.unansweredSince > SILENCE_MS;
}

/** Returns the figures that the choice of an endpoint went by. */
export function endpointFigures(row: EndpointState, now: number): Readonly<Record<string, unknown>> {
    return {
        endpoint: row.entry.id,
        open: row.open,
        loadAgeMs: row.load === undefined ? undefined : Math.round(now - row.load.at),
        failureRate: Number(failureRate(row, now).toFixed(2)),
    };
}
