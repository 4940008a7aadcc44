import { describe, expect, it } from "vitest";
import { brand, type EndpointId, type FailureDomain } from "../types/ids.js";
import { recordConnectFailure, recordOutcome } from "./endpoint-health.js";
import { createEndpointTable, type EndpointState, type EndpointTable, putEndpoint } from "./endpoint-table.js";
import { type LoadReport, recordLoadReport } from "./load-report.js";
import { chooseEndpoint, type PlacementQuery, rankAtEngine, recordSend } from "./placement.js";
import type { PromptPartId, ServiceName } from "./types.js";

const service = brand<ServiceName>("engines");
const domain = brand<FailureDomain>("a");
const engine = { slots: 64, memoryTokens: 500_000, tokensPerEvent: 5 };

function tableOf(count: number): EndpointTable {
    const table = createEndpointTable();
    for (let index = 0; index < count; index++) {
        putEndpoint(table, {
            id: brand<EndpointId>(`engine-${index}`),
            startedAt: 1,
            service,
            address: `10.0.0.${index}:80`,
            domain,
            slots: 6,
            leaving: false,
        });
    }
    return table;
}

function sessionQuery(session: string, request: number): PlacementQuery {
    const parts = [
        { id: brand<PromptPartId>("shared"), tokens: 500 },
        { id: brand<PromptPartId>(session), tokens: 5_000 },
        { id: brand<PromptPartId>(`${session}-${request}`), tokens: 1_000 },
    ];
    return {
        service,
        engine,
        parts,
        promptTokens: 6_500,
        domain,
        tried: new Set(),
        isRepeat: false,
        priority: 0,
        cacheMs: 10_000,
    };
}

const plainQuery: PlacementQuery = {
    service,
    engine: undefined,
    parts: [],
    promptTokens: 0,
    domain,
    tried: new Set(),
    isRepeat: false,
    priority: 0,
    cacheMs: 0,
};

function reportOf(running: number, waiting: number, slots?: number, pacePercent?: number): LoadReport {
    return { running, waiting, slots, pacePercent };
}

function choose(table: EndpointTable, query: PlacementQuery, now = 0): EndpointState {
    return chooseEndpoint(table, query, () => 0.5, now)!.row;
}

describe("placement", () => {
    describe("sessions", () => {
        it("are placed on the same engine by every router", () => {
            for (let session = 0; session < 50; session++) {
                const query = sessionQuery(`session-${session}`, 1);
                expect(choose(tableOf(8), query).entry.id).toBe(choose(tableOf(8), query).entry.id);
            }
        });

        it("spread over all engines", () => {
            const table = tableOf(8);
            const engines = Array.from(
                { length: 200 },
                (unusedItem, index) => choose(table, sessionQuery(`s-${index}`, 1)),
            );
            expect(new Set(engines).size).toBe(8);
        });

        it("leave a hot engine once its queue costs more than prefilling the session again", () => {
            const table = tableOf(8);
            const preferred = choose(table, sessionQuery("hot", 0));
            const onPreferred: boolean[] = [];
            for (let request = 1; request <= 60; request++) {
                const row = choose(table, sessionQuery("hot", request));
                onPreferred.push(row === preferred);
                recordSend(table, row, sessionQuery("hot", request), () => 0.5, 0);
            }
            expect(onPreferred.slice(0, 5)).not.toContain(false);
            expect(onPreferred).toContain(false);
        });

        it("mostly stay on their engines when one leaves", () => {
            const before = tableOf(8);
            const after = tableOf(7);
            const moved = Array.from({ length: 200 }, (unusedItem, index) => sessionQuery(`s-${index}`, 1))
                .filter((query) => choose(before, query).entry.id !== choose(after, query).entry.id);
            expect(moved.length).toBeLessThan(60);
        });
    });

    describe("bursts of plain requests", () => {
        it("fill endpoints evenly", () => {
            const table = tableOf(4);
            for (let request = 0; request < 24; request++) {
                recordSend(table, choose(table, plainQuery), plainQuery, () => 0.5, 0);
            }
            expect([...table.rows.values()].map((row) => row.open)).toEqual([6, 6, 6, 6]);
        });

        it("go to the endpoint that reports the least load", () => {
            const table = tableOf(2);
            const [busy, idle] = [...table.rows.values()];
            recordLoadReport(busy!, reportOf(6, 4), 0);
            recordLoadReport(idle!, reportOf(0, 0), 0);
            expect(choose(table, plainQuery)).toBe(idle);
        });
    });

    // Each case is one endpoint more loaded or slower than another, as on hosts that other work shares.
    describe("load reports with four figures", () => {
        const pairOf = (): [EndpointTable, EndpointState, EndpointState] => {
            const table = tableOf(2);
            return [table, ...[...table.rows.values()] as [EndpointState, EndpointState]];
        };

        it("keep requests off a machine that is slow now, but not once the report is old", () => {
            const [table, slow, usual] = pairOf();
            recordLoadReport(slow, reportOf(0, 0, 6, 300), 0);
            recordLoadReport(usual, reportOf(1, 0, 6, 100), 0);
            expect(choose(table, plainQuery, 10)).toBe(usual);
            expect(choose(table, plainQuery, 500)).toBe(slow);
        });

        it("replace the registered slots", () => {
            const [table, small, large] = pairOf();
            recordLoadReport(small, reportOf(2, 0, 3, 100), 0);
            recordLoadReport(large, reportOf(3, 0, 12, 100), 0);
            expect(choose(table, plainQuery)).toBe(large);
        });

        it("change nothing without the pace", () => {
            const [table, one, other] = pairOf();
            recordLoadReport(one, reportOf(2, 0, 1), 0);
            recordLoadReport(other, reportOf(3, 0, 100), 0);
            expect(choose(table, plainQuery)).toBe(one);
        });

        it("leave the last valid figures in force where one is invalid", () => {
            const [table, one, other] = pairOf();
            recordLoadReport(one, reportOf(3, 0, 6, 100), 0);
            recordLoadReport(one, { running: undefined, waiting: 2, slots: 0, pacePercent: 0 }, 50);
            expect(one.load).toEqual({ running: 3, waiting: 2, at: 50 });
            expect(one.machine).toEqual({ slots: 6, pacePercent: 100, at: 0 });
            recordLoadReport(other, { running: undefined, waiting: 2, slots: undefined, pacePercent: 100 }, 0);
            expect(other.load).toBeUndefined();
            expect(choose(table, plainQuery)).toBe(other);
        });
    });

    describe("a degraded endpoint", () => {
        it("receives few requests if it fails half of them", () => {
            const table = tableOf(4);
            const degraded = [...table.rows.values()][0]!;
            let sent = 0;
            for (let request = 0; request < 200; request++) {
                const row = choose(table, plainQuery, request * 10);
                sent += row === degraded ? 1 : 0;
                recordOutcome(row, row === degraded && request % 2 === 0, request * 10);
                if (request < 8) {
                    recordOutcome(degraded, true, request * 10);
                }
            }
            expect(sent).toBeLessThan(20);
        });

        it("is used again after the back-off of a failed connect", () => {
            const table = tableOf(1);
            const row = [...table.rows.values()][0]!;
            recordConnectFailure(table, row, 0);
            expect(chooseEndpoint(table, plainQuery, () => 0, 100)).toBeUndefined();
            expect(choose(table, plainQuery, 300)).toBe(row);
        });
    });

    describe("endpoints that leave", () => {
        it("receive no further requests", () => {
            const table = tableOf(1);
            const { entry } = [...table.rows.values()][0]!;
            putEndpoint(table, { ...entry, leaving: true });
            expect(chooseEndpoint(table, plainQuery, () => 0, 0)).toBeUndefined();
        });

        it("start with fresh state when they restart under the same id", () => {
            const table = tableOf(1);
            const before = [...table.rows.values()][0]!;
            recordSend(table, before, plainQuery, () => 0.5, 0);
            expect(putEndpoint(table, { ...before.entry, startedAt: 2 })).toBe(before);
            expect([...table.rows.values()][0]!.open).toBe(0);
        });
    });

    describe("ranks at engines", () => {
        it("separate priorities and serve short prompts first within a priority", () => {
            expect(rankAtEngine(0, 500, 300)).toBeLessThan(rankAtEngine(1, 10, 300));
            expect(rankAtEngine(1, 10, 300)).toBeLessThan(rankAtEngine(1, 200, 300));
            expect(rankAtEngine(9, 500, 300)).toBe(9);
        });
    });
});
