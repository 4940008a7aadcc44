import {
    INITIAL_RESERVE_READINESS,
    isReserveReady,
    nextReserveReadiness,
    type ReserveQuery,
} from "@gooseberrybend/core/dispatch";
import type { GatewayMetrics } from "./gateway-metrics.js";
import type { GatewayLogs } from "./log-sink.js";

const MS_PER_SECOND = 1_000;

/** Tracks whether this router, while in reserve, moves callers away that stay with it. */
export class ReserveMonitor {
    /** True while this router reports that it is not ready because of such callers. */
    movesCallers = false;
    private readiness = INITIAL_RESERVE_READINESS;
    private requests = 0;
    private countedSince: number | undefined;

    constructor(private readonly metrics: Pick<GatewayMetrics, "movesCallers">, private readonly logs: GatewayLogs) {}

    /** Records that a request of a caller arrived. */
    recordRequest(): void {
        this.requests++;
    }

    /** Takes the load since the last update into account. */
    update(situation: Omit<ReserveQuery, "requestRate">, now: number): void {
        const elapsedMs = Math.max(1, now - (this.countedSince ?? now));
        const query = { ...situation, requestRate: this.requests * MS_PER_SECOND / elapsedMs };
        this.requests = 0;
        this.countedSince = now;
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
            { utilization: query.utilization, requestRate: query.requestRate, serving: query.serving.length },
        );
    }
}
