import { describe, expect, it } from "vitest";
import { LOAD_SAMPLE_INTERVAL_MS, LoadMonitor } from "./load-monitor.js";
import { createGatewayLogs } from "./log-sink.js";

describe("the maximum time that requests lie unread", () => {
    const monitorWith = (...admitted: [now: number, idleMs: number][]): number[] => {
        const monitor = new LoadMonitor(createGatewayLogs({ level: "error" }));
        return admitted.map(([now, idleMs]) => monitor.maxUnreadMs(now, idleMs));
    };

    it("is the time since the request before if the event loop has waited in between", () => {
        expect(monitorWith([0, 0], [10, 5], [30, 20]).slice(1)).toEqual([10, 20]);
    });

    // Guards against requests of callers that left while an overloaded router read others.
    it("grows while the event loop does not wait, though each read takes some time", () => {
        const reads = Array.from({ length: 100 }, (unused, index): [number, number] => [100 + index, 50 + index / 100]);
        expect(monitorWith([0, 0], ...reads).at(-1)).toBe(199);
    });

    it("is not known before the event loop has waited", () => {
        expect(monitorWith([5, 0])).toEqual([Infinity]);
    });
});

describe("the time that requests lie unread", () => {
    const monitorAt = (...samples: number[]): LoadMonitor => {
        const monitor = new LoadMonitor(createGatewayLogs({ level: "error" }));
        samples.forEach((now) => monitor.measure(now));
        return monitor;
    };

    it("is none while the event loop is idle", () => {
        const monitor = monitorAt(0, LOAD_SAMPLE_INTERVAL_MS);
        expect(monitor.unreadMs(LOAD_SAMPLE_INTERVAL_MS + 400)).toBe(0);
    });

    // Guards against answers after the route's time-out of requests that a busy router read late.
    it("grows for as long as the event loop is held, without a limit", () => {
        const monitor = monitorAt(0, LOAD_SAMPLE_INTERVAL_MS);
        expect(monitor.unreadMs(2 * LOAD_SAMPLE_INTERVAL_MS + 1_900)).toBe(1_900);
    });

    it("contains the time in the turn before, as an estimate that is limited", () => {
        expect(monitorAt(0, LOAD_SAMPLE_INTERVAL_MS + 300).unreadMs(LOAD_SAMPLE_INTERVAL_MS + 300)).toBe(300);
        expect(monitorAt(0, 5_000).unreadMs(5_000)).toBe(1_000);
        expect(monitorAt(0, 5_000).unreadMs(5_000 + LOAD_SAMPLE_INTERVAL_MS + 700)).toBe(1_700);
    });
});
