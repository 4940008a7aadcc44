import { describe, expect, it } from "vitest";
import { type BodyDigest, brand, type EndpointId } from "../types/ids.js";
import {
    addCrash,
    clearSuspect,
    createSuspectTable,
    isPoison,
    noteBrokenSend,
    noteCrash,
    type SuspectTable,
} from "./suspects.js";

const poison = brand<BodyDigest>("poison");
const innocent = brand<BodyDigest>("innocent");

function crash(table: SuspectTable, name: string, now: number): void {
    const start = { endpoint: brand<EndpointId>(name), startedAt: 1 };
    noteBrokenSend(table, start, poison, now);
    noteCrash(table, start, now + 100);
}

describe("suspects", () => {
    describe("a request that crashes endpoints", () => {
        it("is refused after three crashes and not before", () => {
            const table = createSuspectTable();
            crash(table, "engine-1", 0);
            crash(table, "engine-2", 1_000);
            expect(isPoison(table, poison)).toBe(false);
            crash(table, "engine-3", 2_000);
            expect(isPoison(table, poison)).toBe(true);
        });

        it("counts one crash of an endpoint once, whoever saw it", () => {
            const table = createSuspectTable();
            ["a", "b", "c"].forEach(() => addCrash(table, poison, "engine-1@1"));
            expect(isPoison(table, poison)).toBe(false);
        });

        it("counts crashes that other routers saw", () => {
            const table = createSuspectTable();
            crash(table, "engine-1", 0);
            addCrash(table, poison, "engine-2@1");
            addCrash(table, poison, "engine-3@1");
            expect(isPoison(table, poison)).toBe(true);
        });
    });

    describe("an innocent request", () => {
        it("is cleared once it runs to its end", () => {
            const table = createSuspectTable();
            ["engine-1@1", "engine-2@1", "engine-3@1"].forEach((start) => addCrash(table, innocent, start));
            clearSuspect(table, innocent);
            expect(isPoison(table, innocent)).toBe(false);
        });

        it("is not blamed when its answer was lost and the endpoint lives", () => {
            const table = createSuspectTable();
            const start = { endpoint: brand<EndpointId>("engine-1"), startedAt: 1 };
            noteBrokenSend(table, start, innocent, 0);
            expect(noteCrash(table, start, 10_000)).toEqual([]);
        });
    });
});
