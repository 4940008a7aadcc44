import type { ServiceName } from "./types.js";

/** Fleet-wide bounds of repeated sends to a service. */
export type RetryBounds = {
    /** Repeats per request. */
    readonly ratio: number;
    /** Repeats beyond the ratio that the whole fleet may make in a window. */
    readonly slack: number;
    readonly windowMs: number;
};

type Sends = { readonly firsts: number[]; readonly repeats: number[]; };

/** Times in ms of the first and repeated sends of this router, by service. */
export type RetryQuota = Map<ServiceName, Sends>;

/** Share of the bound that is used; the rest is reserved for routers that are not known yet. */
const USED_SHARE = 0.8;

/** Records a first send to a service. */
export function recordFirstSend(quota: RetryQuota, service: ServiceName, windowMs: number, now: number): void {
    const { firsts } = sendsOf(quota, service);
    dropBefore(firsts, now - windowMs);
    firsts.push(now);
}

/**
 * Takes a repeat out of the quota. The ratio counts this router's own requests only and the slack is
 * divided among the routers, so that all of them together stay within the bound of the fleet.
 */
export function takeRepeat(
    quota: RetryQuota,
    service: ServiceName,
    bounds: RetryBounds,
    /** This router's share of the slack. */
    slackShare: number,
    now: number,
): boolean {
    const sends = sendsOf(quota, service);
    dropBefore(sends.firsts, now - bounds.windowMs);
    dropBefore(sends.repeats, now - bounds.windowMs);
    const allowed = USED_SHARE * (bounds.ratio * sends.firsts.length + bounds.slack * slackShare);
    if (sends.repeats.length + 1 > allowed) {
        return false;
    }
    sends.repeats.push(now);
    return true;
}

function sendsOf(quota: RetryQuota, service: ServiceName): Sends {
    const existing = quota.get(service);
    if (existing !== undefined) {
        return existing;
    }
    const created = { firsts: [], repeats: [] };
    quota.set(service, created);
    return created;
}

function dropBefore(times: number[], limit: number): void {
    const firstRetained = times.findIndex((time) => time > limit);
    times.splice(0, firstRetained < 0 ? times.length : firstRetained);
}
