import { type BodyDigest, brand, type Incarnation } from "@gooseberrybend/core";
import type { Crash, PromptPartId } from "@gooseberrybend/core/dispatch";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CrashReports, SUSPECT_PREFIX } from "./crash-reports.js";
import { createGatewayLogs } from "./log-sink.js";
import type { MetadataStore } from "./metadata-store.js";
import { FakeMetadataStore } from "./mocks/fake-metadata-store.js";
import { PoisonRequestTracker } from "./poison-request-tracker.js";

const poison = brand<BodyDigest>("poison");
const unrelated = brand<BodyDigest>("innocent");
const part = brand<PromptPartId>("part");
const CRASH_MEMORY_MS = 600_000;

function suspectsOf(requests: readonly BodyDigest[]): Omit<Crash, "start"> {
    return { suspects: requests.map((request) => ({ request, parts: [] })), isTimed: true };
}

function isRefused(tracker: PoisonRequestTracker, request: BodyDigest, parts: PromptPartId[] = []): boolean {
    return tracker.convictionOf({ request, parts }) !== undefined;
}

describe("crash reports", () => {
    let store: FakeMetadataStore;
    let now = 0;
    let reports: CrashReports;
    let notifications: string[] = [];
    const logs = createGatewayLogs({ level: "error" });

    const createReports = (incarnation: string): CrashReports =>
        new CrashReports(
            store as unknown as MetadataStore,
            brand<Incarnation>(incarnation),
            logs,
            () => undefined,
            { monotonic: () => now, wall: () => 1_000_000 + now },
            ({ start }, keep) => notifications.push(`${start} ${keep ? "to keep" : ""}`.trim()),
        );
    const createReader = (): PoisonRequestTracker => {
        const tracker = new PoisonRequestTracker(
            createReports("reader"),
            logs,
            () => undefined,
            () => now,
            () => false,
            () => 0,
        );
        tracker.applyItems([...store.items.values()].reverse());
        return tracker;
    };
    const advanceTime = async (timeMs: number): Promise<void> => {
        now += timeMs;
        await vi.advanceTimersByTimeAsync(timeMs);
    };
    const reportThreeCrashes = (requests: BodyDigest[]): void =>
        ["engine-1@1", "engine-2@1", "engine/3@1"].forEach((start) =>
            reports.addCrash({ start, ...suspectsOf(requests) })
        );

    beforeEach(() => {
        vi.useFakeTimers();
        now = 0;
        notifications = [];
        store = new FakeMetadataStore();
        reports = createReports("writer");
    });

    afterEach(() => {
        reports.close();
        vi.useRealTimers();
    });

    describe("of a request that crashed three endpoints", () => {
        it("reach a router that starts later, and expire", async () => {
            reportThreeCrashes([poison, unrelated]);
            await advanceTime(0);
            expect(isRefused(createReader(), poison)).toBe(true);
            await advanceTime(CRASH_MEMORY_MS + 1);
            expect(isRefused(createReader(), poison)).toBe(false);
        });

        // Guards against incident BUDGET: a crash whose first write failed was never reported to other routers.
        it.each(["unavailable", "unanswered", "late"] as const)(
            "are retried while the store is %s",
            async (behavior) => {
                store.behavior = behavior;
                reportThreeCrashes([poison]);
                await advanceTime(5_000);
                store.behavior = "well";
                await advanceTime(600);
                store.applyDelayedWrites();
                expect(isRefused(createReader(), poison)).toBe(true);
                expect(store.items.size).toBe(3);
            },
        );

        it("are all written if they exceed the limit of one transaction", async () => {
            for (let index = 0; index < 40; index++) {
                reports.addCrash({ start: `engine-${index}@1`, ...suspectsOf([poison]) });
            }
            await advanceTime(0);
            expect(store.items.size).toBe(40);
        });

        it("are shared even if requests of many callers were running", async () => {
            reports.addCrash({
                start: "engine-1@1",
                ...suspectsOf(Array.from({ length: 200 }, (unused, n) => brand<BodyDigest>(`other-${n}`))),
            });
            reports.addCrash({ start: "engine-1@1", ...suspectsOf([poison]) });
            ["engine-2@1", "engine-3@1"].forEach((start) => reports.addCrash({ start, ...suspectsOf([poison]) }));
            await advanceTime(0);
            expect(isRefused(createReader(), poison)).toBe(true);
        });
    });

    // Guards against incident BUDGET, prompt parts: reports named whole requests only.
    describe("of different requests with the same prompt part", () => {
        const reportCrashesOfPart = async (): Promise<void> => {
            for (const [index, name] of ["one", "two", "three"].entries()) {
                const suspects = [{ request: brand<BodyDigest>(name), parts: [part] }];
                reports.addCrash({ start: `engine-${index}@1`, suspects, isTimed: true });
                await advanceTime(1_000);
            }
        };

        it("reach a router that starts later", async () => {
            await reportCrashesOfPart();
            expect(isRefused(createReader(), unrelated, [part])).toBe(true);
            expect(isRefused(createReader(), unrelated)).toBe(false);
        });

        it("do not count once a request with the part has completed", async () => {
            await reportCrashesOfPart();
            reports.addRefutation(part);
            await advanceTime(0);
            expect(isRefused(createReader(), unrelated, [part])).toBe(false);
        });

        it("count for their requests if the reporting router does not track parts", async () => {
            for (let index = 0; index < 3; index++) {
                const value = Buffer.from(JSON.stringify({ at: 1_000_000, requests: [poison] }));
                store.items.set(`${index}`, { key: `${SUSPECT_PREFIX}crashes/e-${index}/r/1`, value, revision: index });
            }
            expect(isRefused(createReader(), poison, [part])).toBe(true);
        });
    });

    describe("that the store does not accept", () => {
        it("are sent to other routers immediately, and again with a request to store them", async () => {
            store.behavior = "unavailable";
            reports.addCrash({ start: "engine-1@1", ...suspectsOf([poison]) });
            reports.storeCrashForPeer({ start: "engine-2@1", ...suspectsOf([poison]) });
            await advanceTime(5_000);
            expect(notifications).toEqual(["engine-1@1", "engine-1@1 to keep"]);
        });

        it("are not delegated to other routers if the store accepts them", async () => {
            reports.addCrash({ start: "engine-1@1", ...suspectsOf([poison]) });
            await advanceTime(5_000);
            expect(notifications).toEqual(["engine-1@1"]);
        });
    });

    describe("of a request that was cleared", () => {
        it("do not count, in whatever order they are listed", async () => {
            reportThreeCrashes([poison, unrelated]);
            await advanceTime(0);
            reports.addRefutation(unrelated);
            await advanceTime(0);
            const reader = createReader();
            expect(isRefused(reader, unrelated)).toBe(false);
            expect(isRefused(reader, poison)).toBe(true);
        });

        it("do not count if they had not been written yet", async () => {
            store.behavior = "unavailable";
            reportThreeCrashes([unrelated]);
            reports.addRefutation(unrelated);
            store.behavior = "well";
            await advanceTime(1_000);
            expect(isRefused(createReader(), unrelated)).toBe(false);
        });
    });

    describe("in the store", () => {
        it("are skipped if they can't be read", async () => {
            reportThreeCrashes([poison]);
            await advanceTime(0);
            const value = Buffer.from(JSON.stringify({ at: 1_000_000, requests: [unrelated] }));
            store.items.set("a", { key: `${SUSPECT_PREFIX}crashes/x`, value: Buffer.from("{"), revision: 1 });
            store.items.set("b", { key: `${SUSPECT_PREFIX}crashes/%E0`, value, revision: 2 });
            expect(isRefused(createReader(), poison)).toBe(true);
        });

        it("are removed after they expire", async () => {
            reportThreeCrashes([poison]);
            await advanceTime(0);
            store.items.forEach((item) => reports.read(item));
            await reports.removeExpired();
            expect(store.items.size).toBe(3);
            await advanceTime(CRASH_MEMORY_MS + 1);
            await reports.removeExpired();
            expect(store.items.size).toBe(0);
        });
    });
});
