import { describe, expect, it } from "vitest";
import { brand, type EndpointId, type FailureDomain } from "../types/ids.js";
import { recordBackoff, recordLeaving, remainingBackoffMs } from "./endpoint-availability.js";
import { createEndpointTable, type EndpointTable, putEndpoint, removeEndpoint } from "./endpoint-table.js";
import { chooseEndpoint, type PlacementQuery } from "./placement.js";
import type { EndpointEntry, ServiceName } from "./types.js";

const service = brand<ServiceName>("library");
const domain = brand<FailureDomain>("a");

function entryOf(name: string, changes: Partial<EndpointEntry> = {}): EndpointEntry {
    const id = brand<EndpointId>(name);
    return { id, startedAt: 1, service, address: `${name}:80`, domain, slots: 6, leaving: false, ...changes };
}

function tableOf(...names: string[]): EndpointTable {
    const table = createEndpointTable();
    names.forEach((name) => putEndpoint(table, entryOf(name)));
    return table;
}

function chosen(table: EndpointTable, now: number): string | undefined {
    const query: PlacementQuery = {
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
    return chooseEndpoint(table, query, () => 0.5, now)?.row.entry.id;
}

describe("endpoint availability from responses", () => {
    describe("a leaving endpoint", () => {
        it("is excluded at once, regardless of later registrations", () => {
            const table = tableOf("one", "two");
            recordLeaving(table, table.rows.get(brand<EndpointId>("one"))!);
            putEndpoint(table, entryOf("one"));
            for (let now = 0; now < 10; now++) {
                expect(chosen(table, now)).toBe("two");
            }
        });

        it("stays excluded when its registration expires and returns", () => {
            const table = tableOf("one");
            recordLeaving(table, table.rows.get(brand<EndpointId>("one"))!);
            removeEndpoint(table, brand<EndpointId>("one"));
            putEndpoint(table, entryOf("one"));
            expect(chosen(table, 0)).toBeUndefined();
        });

        it("is used again after a restart", () => {
            const table = tableOf("one");
            recordLeaving(table, table.rows.get(brand<EndpointId>("one"))!);
            putEndpoint(table, entryOf("one", { startedAt: 2 }));
            expect(chosen(table, 0)).toBe("one");
        });

        it("is not chosen even if all endpoints leave", () => {
            const table = tableOf("one", "two");
            table.rows.forEach((row) => recordLeaving(table, row));
            expect(chosen(table, 0)).toBeUndefined();
        });
    });

    describe("an endpoint in back-off", () => {
        it("is excluded until the back-off ends", () => {
            const table = tableOf("one", "two");
            recordBackoff(table.rows.get(brand<EndpointId>("one"))!, 2_000, 100);
            expect(chosen(table, 2_099)).toBe("two");
            recordBackoff(table.rows.get(brand<EndpointId>("two"))!, 5_000, 100);
            expect(chosen(table, 2_100)).toBe("one");
        });

        it("does not shorten its back-off in a later response", () => {
            const table = tableOf("one");
            const row = table.rows.get(brand<EndpointId>("one"))!;
            recordBackoff(row, 2_000, 0);
            recordBackoff(row, 100, 50);
            expect(chosen(table, 1_999)).toBeUndefined();
        });

        it("yields the time until the first one accepts requests if all are in back-off", () => {
            const table = tableOf("one", "two");
            recordBackoff(table.rows.get(brand<EndpointId>("one"))!, 2_000, 0);
            expect(remainingBackoffMs(table, service, 500)).toBe(0);
            recordBackoff(table.rows.get(brand<EndpointId>("two"))!, 900, 0);
            expect(remainingBackoffMs(table, service, 500)).toBe(400);
            expect(chosen(table, 500)).toBeUndefined();
        });
    });
});
