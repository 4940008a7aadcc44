import { seedsOf } from "@gooseberrybend/core/mocks";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { FakeSpendingFleet } from "./mocks/fake-spending-fleet.js";

/** Time in ms after the power is back from which requests must be served, and the least share of them. */
const RECOVERY_MS = 12_000;
const LEAST_SERVED_SHARE = 0.25;

// A request every 19 ms for 8,000 tokens on average: accounts last for some 60 s.
const fleetOf = (routers: number, seed: number): FakeSpendingFleet =>
    new FakeSpendingFleet({
        routers,
        accounts: 5,
        total: 5_000_000,
        requestIntervalMs: 19,
        requestTokens: [1_000, 15_000],
        seed,
    });

const passUntil = (at: number): Promise<unknown> => vi.advanceTimersByTimeAsync(at - Date.now());

describe("prepaid accounts of a fleet", () => {
    beforeEach(() => {
        vi.useFakeTimers({ now: 0 });
    });

    afterEach(() => {
        vi.clearAllTimers();
        vi.useRealTimers();
    });

    // Guards against accounts that run dry by tokens that are counted as used for routers without power.
    describe("whose routers lose power", () => {
        for (const seed of seedsOf(process.env["SPENDING_SEEDS"] ?? "1-3")) {
            it(`three times, then the store for 7 s, then power all together, serves what is owed, seed ${seed}`, async () => {
                const fleet = fleetOf(6, seed);
                for (const at of [8_000, 14_000, 20_000]) {
                    await passUntil(at);
                    fleet.losePower(0.85, 2_000);
                }
                await passUntil(27_000);
                fleet.store.behavior = "unavailable";
                await passUntil(34_500);
                fleet.store.behavior = "well";
                await passUntil(35_000);
                fleet.losePower(1, 1_300);
                await passUntil(36_300 + RECOVERY_MS + 4_000);
                const { owed, served } = fleet.figuresSince(36_300 + RECOVERY_MS);
                expect(fleet.mostUsedShare).toBeLessThanOrEqual(1);
                expect(owed).toBeGreaterThan(20);
                expect(served / owed).toBeGreaterThanOrEqual(LEAST_SERVED_SHARE);
            });
        }
    });
});
