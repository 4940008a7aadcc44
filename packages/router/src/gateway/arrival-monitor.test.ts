import type { Socket } from "node:net";
import { describe, expect, it } from "vitest";
import { ArrivalMonitor } from "./arrival-monitor.js";
import { createGatewayMetrics } from "./gateway-metrics.js";
import { createGatewayLogs, LogSink } from "./log-sink.js";

const connection = (): Socket => ({}) as Socket;

describe("the arrivals at a router", () => {
    const lines: Record<string, unknown>[] = [];
    const sink = new LogSink((text, done) => {
        lines.push(...text.trim().split("\n").map((line) => JSON.parse(line) as Record<string, unknown>));
        done(undefined);
    });
    const report = (arrivals: ArrivalMonitor, isUnderHighLoad: boolean, now: number): unknown => {
        lines.length = 0;
        arrivals.report({ isUnderHighLoad, utilization: 0.9 }, now);
        return lines[0];
    };

    it("are logged under high load only, each interval by itself", () => {
        const arrivals = new ArrivalMonitor(createGatewayMetrics(), createGatewayLogs({ level: "info" }, sink));
        const kept = connection();
        report(arrivals, true, 0);
        arrivals.recordConnection();
        arrivals.recordRequest(kept);
        arrivals.recordRequest(kept);
        arrivals.recordRequest(connection());
        arrivals.recordCallerGone(3);
        arrivals.recordCallerGone(900);
        expect(report(arrivals, true, 500)).toMatchObject({
            connections: 1,
            requests: 3,
            firstRequests: 2,
            gone: 2,
            goneBeforeRead: 1,
            intervalMs: 500,
        });
        arrivals.recordRequest(kept);
        expect(report(arrivals, true, 1_000)).toMatchObject({ connections: 0, requests: 1, firstRequests: 0, gone: 0 });
        arrivals.recordRequest(kept);
        expect(report(arrivals, false, 1_500)).toBeUndefined();
    });
});
