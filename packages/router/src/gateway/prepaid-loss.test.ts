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

    // Guards against grants that count ended processes by less than they used.
    it("never use more than the total", async () => {
        for (const plan of PLANS.filter(({ restart }) => restart !== "well")) {
            vi.clearAllTimers();
            vi.setSystemTime(0);
            expect((await playDay({ ...plan, routers: 3, seed: 1 })).mostUsedShare).toBeLessThanOrEqual(1);
        }
    });
});
