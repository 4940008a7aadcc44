import { nextShedShare, nextStrain, type Strain } from "@gooseberrybend/core/dispatch";
import { type EventLoopUtilization, performance } from "node:perf_hooks";
import type { GatewayLogs } from "./log-sink.js";

/** Time in ms over which the use of the processor is measured. */
export const GAUGE_MS = 500;
/** Longest time in ms that a request counts as having waited unread; callers leave after that time. */
const MOST_LAG_MS = 1_000;

/** Measures how busy this router is, and decides what follows. */
export class LoadGauge {
    /** Share of new requests that are refused because this router is overloaded. */
    shedShare = 0;
    /** Time in ms that what arrives lately waited before it was read. */
    lagMs = 0;
    private strain: Strain = { strained: false, since: -Infinity };
    private use: EventLoopUtilization = performance.eventLoopUtilization();
    private measuredAt: number | undefined;

    constructor(private readonly logs: GatewayLogs) {}

    /** Whether most of the processor is in use. */
    get strained(): boolean {
        return this.strain.strained;
    }

    /** Takes the next measurement; to be called every `GAUGE_MS`. */
    measure(hasOthers: boolean, now: number): void {
        const use = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(use, this.use);
        this.use = use;
        this.lagMs = Math.min(MOST_LAG_MS, Math.max(0, now - (this.measuredAt ?? now) - GAUGE_MS));
        this.measuredAt = now;
        this.strain = nextStrain(this.strain, utilization, now);
        // Alone, a late answer is all that callers can get.
        this.setShedShare(hasOthers ? nextShedShare(this.shedShare, utilization) : 0, utilization);
    }

    private setShedShare(share: number, utilization: number): void {
        if ((share > 0) !== (this.shedShare > 0)) {
            this.logs.host.warn(share > 0 ? "Overloaded, refusing a part." : "No more overloaded.", { utilization });
        }
        this.shedShare = share;
    }
}
