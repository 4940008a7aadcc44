import { describe, expect, it } from "vitest";
import { nextShedShare, shedChance } from "./shedding.js";

// Simulates measurements of a router under an offered load, given relative to its CPU capacity.
function simulate(offered: readonly number[]): number[] {
    let share = 0;
    return offered.map((load) => {
        share = nextShedShare(share, Math.min(1, load * (1 - share)));
        return share;
    });
}

describe("shedding", () => {
    describe("a hot account whose callers stay on a small router", () => {
        it("is refused about the load that exceeds the CPU capacity", () => {
            const shares = simulate(Array.from({ length: 60 }, () => 2));
            const settled = shares.slice(20);
            expect(Math.min(...settled)).toBeGreaterThan(0.45);
            expect(Math.max(...settled)).toBeLessThan(0.7);
        });

        // Guards against requests that lie unread until their deadlines in the seconds in which callers are moved.
        it("is refused faster while its callers move to other routers", () => {
            const samplesUntilHalf = (movesCallers: boolean): number => {
                let [share, samples] = [0, 0];
                for (; share < 0.5; samples++) {
                    share = nextShedShare(share, 1, movesCallers);
                }
                return samples;
            };
            expect(samplesUntilHalf(true)).toBe(1);
            expect(samplesUntilHalf(false)).toBeGreaterThan(1);
            expect(nextShedShare(0.6, 0.5, true)).toBe(nextShedShare(0.6, 0.5));
        });

        it("is admitted in full again after the load ends", () => {
            const shares = simulate([...Array.from({ length: 20 }, () => 3), ...Array.from({ length: 20 }, () => 0.3)]);
            expect(shares.at(-1)).toBe(0);
        });

        it("is admitted in full within 3 s once its burst is over", () => {
            const shares = simulate([...Array.from({ length: 20 }, () => 3), ...Array.from({ length: 6 }, () => 0.4)]);
            expect(shares.at(-1)).toBe(0);
        });

        it("has its less urgent requests refused first, and no priority refused entirely", () => {
            const [urgent, normal, leastUrgent] = [0, 1, 2].map((priority) => shedChance(0.8, priority, 2));
            expect(urgent).toBeLessThan(normal!);
            expect(normal).toBeLessThan(leastUrgent!);
            expect(leastUrgent).toBeLessThan(1);
            expect(shedChance(0.5, 3, 2)).toBe(0.5);
        });

        it("always has some requests admitted", () => {
            expect(Math.max(...simulate(Array.from({ length: 60 }, () => 50)))).toBeLessThan(0.9);
        });
    });

    describe("a router under normal load", () => {
        it("refuses nothing", () => {
            expect(Math.max(...simulate([0.2, 0.6, 0.85, 0.5]))).toBe(0);
        });
    });
});
