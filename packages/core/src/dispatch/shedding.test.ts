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
