import { seedsOf } from "@gooseberrybend/core/mocks";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type DayPlan, describeDay, playDay } from "./mocks/power-loss-day.js";

const PLANS: readonly Omit<DayPlan, "routers" | "seed">[] = [
    {},
    { hasCrashSeries: true },
    { outage: [20_000, 29_000] },
    { outage: [34_000, 39_900] },
    { restart: "well" },
    { restart: "slow" },
    { restart: "cut" },
    { supply: 0.95 },
    { supply: 0.8 },
];

describe("prepaid accounts on a day that ends with a loss of power or a restart of all", () => {
    beforeEach(() => {
        vi.useFakeTimers({ now: 0 });
    });
    afterEach(() => {
        vi.clearAllTimers();
        vi.useRealTimers();
    });

    // Prints a table for tuning, by hand: sizes of fleets and indices of plans are given, as large fleets take minutes.
    describe.runIf(process.env["SPENDING_TABLE"] !== undefined)("measured", () => {
        const [sizes = "6", indices = "0-7", seeds = "1-1"] = process.env["SPENDING_TABLE"]?.split(";") ?? [];
        for (const routers of sizes.split(",").map(Number)) {
            for (const index of seedsOf(indices)) {
                for (const seed of seedsOf(seeds)) {
                    it(`${routers} routers, ${JSON.stringify(PLANS[index])}, seed ${seed}`, async ({ task }) => {
                        const figures = await playDay({ ...PLANS[index], routers, seed });
                        process.stdout.write(`${task.name}: ${describeDay(figures)}\n`);
                    }, 600_000);
                }
            }
        }
    });

    // Guards against whole shares of allowances that count as used for processes that were without power for a time.
    describe("without power for a time", () => {
        for (const plan of [{}, { hasCrashSeries: true }, { supply: 0.95 }, { supply: 0.8 }]) {
            it(`lose few of the tokens that are left, ${JSON.stringify(plan)}`, async () => {
                const { lost, left, servedShare, mostUsedShare, outcomes } = await playDay({
                    ...plan,
                    routers: 6,
                    seed: 1,
                });
                expect(mostUsedShare).toBeLessThanOrEqual(1);
                expect(lost / left).toBeLessThan(0.035);
                expect(servedShare).toBeGreaterThan(0.95);
                const exhausted = Object.keys(outcomes).filter((outcome) => outcome.startsWith("exhausted"));
                // Tokens that other routers hold, or that are not reclaimed yet, are refused with a retry time.
                expect(exhausted.filter((outcome) => outcome !== "exhausted, counted as used")).toEqual([]);
            });
        }
    });

    // Guards against tokens of processes that end in order, which nobody can spend.
    describe("restarted in turn", () => {
        const lostShareOf = async (restart: DayPlan["restart"]): Promise<number> => {
            const { lost, left, mostUsedShare } = await playDay({ restart, routers: 6, seed: 1 });
            expect(mostUsedShare).toBeLessThanOrEqual(1);
            return lost / left;
        };

        it("lose none while the store is slow", async () => {
            expect(await lostShareOf("slow")).toBeLessThan(0.01);
        });

        it("lose few while the store is cut", async () => {
            expect(await lostShareOf("cut")).toBeLessThan(0.02);
        });
    });

    // Guards against bounds so tight that routers stop serving while the store is away.
    describe("without the store for a time", () => {
        it("serve nearly all requests, most at once", async () => {
            const { outageOutcomes, mostUsedShare } = await playDay({ outage: [20_000, 29_000], routers: 6, seed: 1 });
            const { served = 0, "served later": later = 0, ...refused } = outageOutcomes;
            expect(mostUsedShare).toBeLessThanOrEqual(1);
            expect(served).toBeGreaterThan(0.92 * (served + later));
            expect(Object.values(refused).reduce((sum, count) => sum + count, 0)).toBeLessThan(0.01 * served);
        });
    });
});
