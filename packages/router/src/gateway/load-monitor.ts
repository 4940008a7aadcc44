import { type HighLoadState, nextHighLoadState, nextShedShare } from "@gooseberrybend/core/dispatch";
import { type EventLoopUtilization, performance } from "node:perf_hooks";
import type { GatewayLogs } from "./log-sink.js";

/** Interval in ms over which the event loop utilization is measured. */
export const LOAD_SAMPLE_INTERVAL_MS = 500;
/** Maximum time in ms that a request is assumed to have waited in the turn of the event loop before the current one. */
const MAX_LAG_MS = 1_000;
/** Minimum time in ms that the event loop waits between two requests if nothing is left to read. */
const MIN_IDLE_MS = 0.5;

/** Measures the load of this router, and derives the share of requests to refuse. */
export class LoadMonitor {
    /** Share of new requests that are refused because this router is overloaded. */
    shedShare = 0;
    /** CPU utilization in the last interval, from 0 to 1. */
    utilization = 0;
    /** Estimated time in ms that requests waited in the last turn of the event loop in which the sample was late. */
    private lastLagMs = 0;
    private highLoad: HighLoadState = { strained: false, since: -Infinity };
    private previousSample: EventLoopUtilization = performance.eventLoopUtilization();
    private measuredAt: number | undefined;
    /** Total time in ms for which the event loop had waited for events at the last admitted request, and its time. */
    private idleMs = 0;
    private admittedAt = -Infinity;
    /** Time after which the event loop has waited for events. */
    private idleAfter = -Infinity;

    constructor(private readonly logs: GatewayLogs) {}

    /** Whether this router is under high load. */
    get isUnderHighLoad(): boolean {
        return this.highLoad.strained;
    }

    /**
     * Returns the estimated time in ms that a request which is read now has lain unread. While the sample is overdue,
     * the event loop has not waited for events since it was due, so the request came before that for certain.
     */
    unreadMs(now: number): number {
        const overdueMs = now - (this.measuredAt ?? now) - LOAD_SAMPLE_INTERVAL_MS;
        return this.lastLagMs + Math.max(0, overdueMs);
    }

    /**
     * Returns the maximum time in ms for which a request that is admitted now, or the end of its body, has lain unread,
     * also in the queue of connections to accept: nothing was there when the event loop last waited for events.
     */
    maxUnreadMs(now: number, idleMs = performance.eventLoopUtilization().idle): number {
        if (idleMs - this.idleMs >= MIN_IDLE_MS) {
            this.idleAfter = this.admittedAt;
        }
        this.idleMs = idleMs;
        this.admittedAt = now;
        return now - this.idleAfter;
    }

    /** Takes the next sample; to be called every `LOAD_SAMPLE_INTERVAL_MS`. */
    measure(now: number): void {
        const sample = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(sample, this.previousSample);
        this.previousSample = sample;
        this.utilization = utilization;
        this.lastLagMs = Math.min(MAX_LAG_MS, Math.max(0, now - (this.measuredAt ?? now) - LOAD_SAMPLE_INTERVAL_MS));
        this.measuredAt = now;
        this.highLoad = nextHighLoadState(this.highLoad, utilization, now);
    }

    /** Adjusts the share of requests to refuse to the last sample. */
    adjustShedding(hasOtherServingRouters: boolean, movesCallers: boolean): void {
        const { utilization } = this;
        // Without other routers, a late response is the best that callers can get.
        const share = hasOtherServingRouters ? nextShedShare(this.shedShare, utilization, movesCallers) : 0;
        if ((share > 0) !== (this.shedShare > 0)) {
            this.logs.host.warn(
                share > 0
                    ? "Router overloaded; refusing a share of the requests."
                    : "Router no longer overloaded; refusing no more requests.",
                { utilization },
            );
        }
        this.shedShare = share;
    }
}
