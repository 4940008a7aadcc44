import { nextShedShare, nextStrain, type Strain } from "@gooseberrybend/core/dispatch";
import { type EventLoopUtilization, performance } from "node:perf_hooks";
import type { GatewayLogs } from "./log-sink.js";

/** Time in ms over which the use of the processor is measured. */
export const LOAD_SAMPLE_INTERVAL_MS = 500;
/** Longest time in ms that a request counts as having waited unread; callers leave after that time. */
const MAX_LAG_MS = 1_000;

/** Measures how busy this router is, and decides what follows. */
export class LoadMonitor {
    /** Share of new requests that are refused because this router is overloaded. */
    shedShare = 0;
    /** Time in ms that what arrives lately waited before it was read. */
    lagMs = 0;
    private highLoad: Strain = { strained: false, since: -Infinity };
    private previousSample: EventLoopUtilization = performance.eventLoopUtilization();
    private measuredAt: number | undefined;

    constructor(private readonly logs: GatewayLogs) {}

    /** Whether most of the processor is in use. */
    get isUnderHighLoad(): boolean {
        return this.highLoad.strained;
    }

    /** Takes the next measurement; to be called every `GAUGE_MS`. */
    measure(hasOtherServingRouters: boolean, now: number): void {
        const sample = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(sample, this.previousSample);
        this.previousSample = sample;
        this.lagMs = Math.min(MAX_LAG_MS, Math.max(0, now - (this.measuredAt ?? now) - LOAD_SAMPLE_INTERVAL_MS));
        this.measuredAt = now;
        this.highLoad = nextStrain(this.highLoad, utilization, now);
        // Alone, a late answer is all that callers can get.
        this.setShedShare(hasOtherServingRouters ? nextShedShare(this.shedShare, utilization) : 0, utilization);
    }

    private setShedShare(share: number, utilization: number): void {
        if ((share > 0) !== (this.shedShare > 0)) {
            this.logs.host.warn(share > 0 ? "Overloaded, refusing a part." : "No more overloaded.", { utilization });
        }
        this.shedShare = share;
    }
}
