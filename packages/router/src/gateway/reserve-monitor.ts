import {
    INITIAL_RESERVE_READINESS,
    isReserveReady,
    nextReserveReadiness,
    type ReserveQuery,
} from "@gooseberrybend/core/dispatch";
import type { GatewayMetrics } from "./gateway-metrics.js";
import type { GatewayLogs } from "./log-sink.js";

/** Tracks whether this router, while in reserve, moves callers away that stay with it. */
export class ReserveMonitor {
    /** True while this router reports that it is not ready because of such callers. */
    movesCallers = false;
    private readiness = INITIAL_RESERVE_READINESS;

    constructor(private readonly metrics: Pick<GatewayMetrics, "movesCallers">, private readonly logs: GatewayLogs) {}

    /** Takes the load of the last interval into account. */
    update(query: ReserveQuery, now: number): void {
        this.readiness = nextReserveReadiness(this.readiness, query, now);
        const isReady = isReserveReady(this.readiness, now);
        if (isReady !== this.movesCallers) {
            return;
        }
        this.movesCallers = !isReady;
        this.metrics.movesCallers.set(isReady ? 0 : 1);
        this.logs.fleet.info(
            isReady
                ? "Router in reserve reports that it is ready again."
                : "Router in reserve is under load; reporting that it is not ready, so that callers move to others.",
            { utilization: query.utilization, serving: query.serving.length },
        );
    }
}
