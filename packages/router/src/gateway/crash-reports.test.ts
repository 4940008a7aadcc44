import { type BodyDigest, brand, type Incarnation } from "@gooseberrybend/core";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CrashReports, SUSPECT_PREFIX } from "./crash-reports.js";
import { createGatewayLogs } from "./log-sink.js";
import type { MetadataStore } from "./metadata-store.js";
import { FakeMetadataStore } from "./mocks/fake-metadata-store.js";
import { SuspectBoard } from "./suspect-board.js";

const poison = brand<BodyDigest>("poison");
const innocent = brand<BodyDigest>("innocent");
const MEMORY_MS = 600_000;

describe("crash reports", () => {
    let store: FakeMetadataStore;
    let now = 0;
    let reports: CrashReports;
    let told: string[] = [];
    const logs = createGatewayLogs({ level: "error" });

    const createReports = (incarnation: string): CrashReports =>
        new CrashReports(
            store as unknown as MetadataStore,
            brand<Incarnation>(incarnation),
            logs,
            () => undefined,
            { steady: () => now, wall: () => 1_000_000 + now },
            ({ start }, keep) => told.push(`${start} ${keep ? "to keep" : ""}`.trim()),
        );
    const createReader = (): SuspectBoard => {
        const board = new SuspectBoard(createReports("reader"), logs, () => undefined, () => now);
        board.noteItems([...store.items.values()].reverse());
        return board;
    };
    const pass = async (timeMs: number): Promise<void> => {
        now += timeMs;
        await vi.advanceTimersByTimeAsync(timeMs);
    };
    const crashThree = (requests: BodyDigest[]): void =>
        ["engine-1@1", "engine-2@1", "engine/3@1"].forEach((start) => reports.addCrash({ start, requests }));

    beforeEach(() => {
        vi.useFakeTimers();
        now = 0;
        told = [];
        store = new FakeMetadataStore();
        reports = createReports("writer");
    });

    afterEach(() => {
        reports.close();
        vi.useRealTimers();
    });

    describe("of a request that crashed three endpoints", () => {
        it("reach a router that starts later, and count for a time only", async () => {
            crashThree([poison, innocent]);
            await pass(0);
            expect(createReader().isPoison(poison)).toBe(true);
            await pass(MEMORY_MS + 1);
            expect(createReader().isPoison(poison)).toBe(false);
        });

        // Guards against incident BUDGET: a crash that could not be written once was never told.
        it.each(["unavailable", "unanswered", "late"] as const)(
            "are written again while the store is %s",
            async (mood) => {
                store.mood = mood;
                crashThree([poison]);
                await pass(5_000);
                store.mood = "well";
                await pass(600);
                store.catchUp();
                expect(createReader().isPoison(poison)).toBe(true);
                expect(store.items.size).toBe(3);
            },
        );

        it("are all written when there are more than one transaction takes", async () => {
            for (let index = 0; index < 40; index++) {
                reports.addCrash({ start: `engine-${index}@1`, requests: [poison] });
            }
            await pass(0);
            expect(store.items.size).toBe(40);
        });

        it("are told also when requests of many callers were running", async () => {
            reports.addCrash({
                start: "engine-1@1",
                requests: Array.from({ length: 200 }, (unused, n) => brand<BodyDigest>(`other-${n}`)),
            });
            reports.addCrash({ start: "engine-1@1", requests: [poison] });
            ["engine-2@1", "engine-3@1"].forEach((start) => reports.addCrash({ start, requests: [poison] }));
            await pass(0);
            expect(createReader().isPoison(poison)).toBe(true);
        });
    });

    describe("that the store does not take", () => {
        it("are told to other routers at once, and once more for them to keep", async () => {
            store.mood = "unavailable";
            reports.addCrash({ start: "engine-1@1", requests: [poison] });
            reports.keepCrash({ start: "engine-2@1", requests: [poison] });
            await pass(5_000);
            expect(told).toEqual(["engine-1@1", "engine-1@1 to keep"]);
        });

        it("need not be kept by others where the store takes them", async () => {
            reports.addCrash({ start: "engine-1@1", requests: [poison] });
            await pass(5_000);
            expect(told).toEqual(["engine-1@1"]);
        });
    });

    describe("of a request that was cleared", () => {
        it("do not count, in whatever order they are listed", async () => {
            crashThree([poison, innocent]);
            await pass(0);
            reports.addCleared(innocent);
            await pass(0);
            const reader = createReader();
            expect(reader.isPoison(innocent)).toBe(false);
            expect(reader.isPoison(poison)).toBe(true);
        });

        it("do not count when they were not written before", async () => {
            store.mood = "unavailable";
            crashThree([innocent]);
            reports.addCleared(innocent);
            store.mood = "well";
            await pass(1_000);
            expect(createReader().isPoison(innocent)).toBe(false);
        });
    });

    describe("in the store", () => {
        it("are passed over when they can't be read", async () => {
            crashThree([poison]);
            await pass(0);
            const value = Buffer.from(JSON.stringify({ at: 1_000_000, requests: [innocent] }));
            store.items.set("a", { key: `${SUSPECT_PREFIX}crashes/x`, value: Buffer.from("{"), revision: 1 });
            store.items.set("b", { key: `${SUSPECT_PREFIX}crashes/%E0`, value, revision: 2 });
            expect(createReader().isPoison(poison)).toBe(true);
        });

        it("are removed once they no longer count", async () => {
            crashThree([poison]);
            await pass(0);
            store.items.forEach((item) => reports.read(item));
            await reports.sweep();
            expect(store.items.size).toBe(3);
            await pass(MEMORY_MS + 1);
            await reports.sweep();
            expect(store.items.size).toBe(0);
        });
    });
});
