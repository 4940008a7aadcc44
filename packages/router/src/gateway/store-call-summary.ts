import type { GatewayMetrics } from "./gateway-metrics.js";
import type { GatewayLogs } from "./log-sink.js";

/** Interval in ms of the log line that sums up the calls to the store. */
export const STORE_SUMMARY_INTERVAL_MS = 10_000;

/** Counts the calls to the store by operation and result, for the metrics and a periodic log line. */
export class StoreCallSummary {
    private readonly calls = new Map<string, number>();

    constructor(private readonly metrics: Pick<GatewayMetrics, "storeCalls">, private readonly logs: GatewayLogs) {}

    /** Counts a call. */
    count(operation: string, result: string): void {
        this.metrics.storeCalls.inc({ operation, result });
        const name = `${operation} ${result}`;
        this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
    }

    /** Logs the calls since the last time; to be called every `STORE_SUMMARY_INTERVAL_MS`. */
    log(): void {
        this.logs.store.info("Store calls since the last summary.", {
            lastMs: STORE_SUMMARY_INTERVAL_MS,
            ...Object.fromEntries(this.calls),
        });
        this.calls.clear();
    }
}
