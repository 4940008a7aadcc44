import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { GatewayMetrics } from "./gateway-metrics.js";
import type { LoadMonitor } from "./load-monitor.js";
import type { GatewayLogs } from "./log-sink.js";

/**
 * Time in ms after its request was read within which a caller that leaves is taken to have left before that: its close
 * lay behind the request in the connection.
 */
const GONE_BEFORE_READ_MS = 50;

/** Turns of the event loop; `uvMetricsInfo` exists from Node.js 20.18 on. */
type LoopTiming = { readonly uvMetricsInfo?: { readonly loopCount: number; }; };

/** What arrived since the last report. */
type ArrivalCounts = {
    connections: number;
    requests: number;
    firstRequests: number;
    gone: number;
    goneBeforeRead: number;
};

const NO_ARRIVALS: ArrivalCounts = { connections: 0, requests: 0, firstRequests: 0, gone: 0, goneBeforeRead: 0 };

/**
 * Counts the connections and requests of callers against the turns of the event loop, each of which accepts one
 * connection: if the two are nearly equal, connections wait before the process.
 */
export class ArrivalMonitor {
    private counts = { ...NO_ARRIVALS };
    private turnsBefore = eventLoopTurns();
    private reportedAt: number | undefined;
    /** Connections that have carried a request. */
    private readonly usedConnections = new WeakSet<Socket>();

    constructor(
        private readonly metrics: Pick<GatewayMetrics, "acceptedConnections" | "eventLoopTurns" | "callerGoneSeconds">,
        private readonly logs: GatewayLogs,
    ) {}

    /** Records that a connection of a caller was accepted. */
    recordConnection(): void {
        this.counts.connections++;
        this.metrics.acceptedConnections.inc();
    }

    /** Records that a request was read from a connection. */
    recordRequest(connection: Socket): void {
        this.counts.requests++;
        this.counts.firstRequests += this.usedConnections.has(connection) ? 0 : 1;
        this.usedConnections.add(connection);
    }

    /** Records that a caller left without a response, a time in ms after its request was read. */
    recordCallerGone(afterMs: number): void {
        this.counts.gone++;
        this.counts.goneBeforeRead += afterMs <= GONE_BEFORE_READ_MS ? 1 : 0;
        this.metrics.callerGoneSeconds.observe(afterMs / 1_000);
    }

    /** Starts the next interval; logs the last one if this router is under high load. */
    report({ isUnderHighLoad, utilization }: Pick<LoadMonitor, "isUnderHighLoad" | "utilization">, now: number): void {
        const turnsNow = eventLoopTurns();
        const turns = turnsNow - this.turnsBefore;
        if (isUnderHighLoad && this.reportedAt !== undefined && this.counts.requests > 0) {
            this.logs.host.info("Arrivals under high load.", {
                ...this.counts,
                turns,
                intervalMs: Math.round(now - this.reportedAt),
                utilization,
            });
        }
        this.metrics.eventLoopTurns.inc(turns);
        this.counts = { ...NO_ARRIVALS };
        this.turnsBefore = turnsNow;
        this.reportedAt = now;
    }
}

function eventLoopTurns(): number {
    return (performance.nodeTiming as unknown as LoopTiming).uvMetricsInfo?.loopCount ?? 0;
}
