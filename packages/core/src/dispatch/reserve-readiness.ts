import { relativeCapacity } from "./fleet.js";
import type { FleetMember } from "./types.js";

/** Time in ms until which a router reports that it is not ready, so that callers that stay with it are moved. */
export type ReserveReadiness = { readonly notReadyUntil: number; };

/** Inputs for whether a router in reserve reports that it is ready. */
export type ReserveQuery = {
    readonly self: FleetMember;
    /** The routers that callers are sent to, as far as this router knows. */
    readonly serving: readonly FleetMember[];
    /**
     * Capacity relative to the largest serving router below which a router in reserve moves callers away under load;
     * 0 if it never does.
     */
    readonly minCapacityShare: number;
    /** CPU utilization from 0 to 1. */
    readonly utilization: number;
    /** Requests of callers per second. */
    readonly requestRate: number;
};

/** State of a router that has just started. */
export const INITIAL_RESERVE_READINESS: ReserveReadiness = { notReadyUntil: -Infinity };

/** CPU utilization above which callers are moved away: before responses are late, and early, as a move takes 2 s. */
const MOVE_ABOVE_UTILIZATION = 0.3;
/** Requests per second from which callers cause the load; starts and changes of the configuration cause some as well. */
const MIN_REQUEST_RATE = 10;
/** Time in ms for which a router is not ready. After 10 s, callers that had moved came back and overloaded it again. */
const NOT_READY_MS = 60_000;

/**
 * Decides whether a small router in reserve reports that it is not ready. Answers the load of an account whose callers
 * all stay with one small router whatever addresses they are given: they leave a router that is not ready for another
 * one that is. Routers in reserve without load stay ready: with most routers not ready, callers do not move at all.
 */
export function nextReserveReadiness(before: ReserveReadiness, query: ReserveQuery, now: number): ReserveReadiness {
    const { self, serving, minCapacityShare, utilization, requestRate } = query;
    const isInReserve = serving.length > 0 && serving.every((member) => member.name !== self.name);
    if (!isInReserve || relativeCapacity(self.capacity, serving) >= minCapacityShare) {
        return INITIAL_RESERVE_READINESS;
    }
    const isLoaded = utilization > MOVE_ABOVE_UTILIZATION && requestRate >= MIN_REQUEST_RATE;
    return isLoaded ? { notReadyUntil: now + NOT_READY_MS } : before;
}

/** Returns whether a router reports that it is ready, as far as its load matters. */
export function isReserveReady({ notReadyUntil }: ReserveReadiness, now: number): boolean {
    return now >= notReadyUntil;
}
