import { describe, expect, it } from "vitest";
import { nextShedShare, shedChance } from "./shedding.js";

// Plays measurements of a router that is offered work, relative to what its processor can do.
function play(offered: readonly number[]): number[] {
    let share = 0;
    return offered.map((load) => {
        share = nextShedShare(share, Math.min(1, load * (1 - share)));
        return share;
    });
}

describe("shedding", () => {
    describe("a hot account whose callers stay with a small router", () => {
        it("is refused about as much as goes beyond the processor", () => {
            const shares = play(Array.from({ length: 60 }, () => 2));
            const settled = shares.slice(20);
            expect(Math.min(...settled)).toBeGreaterThan(0.45);
            expect(Math.max(...settled)).toBeLessThan(0.7);
        });

        it("is served again soon after the load has gone", () => {
            const shares = play([...Array.from({ length: 20 }, () => 3), ...Array.from({ length: 20 }, () => 0.3)]);
            expect(shares.at(-1)).toBe(0);
        });

        it("is admitted in full within 3 s once its burst is over", () => {
            const shares = play([...Array.from({ length: 20 }, () => 3), ...Array.from({ length: 6 }, () => 0.4)]);
            expect(shares.at(-1)).toBe(0);
        });

        it("loses its less urgent requests first, and none of a kind in full", () => {
            const [urgent, usual, patient] = [0, 1, 2].map((priority) => shedChance(0.8, priority, 2));
            expect(urgent).toBeLessThan(usual!);
            expect(usual).toBeLessThan(patient!);
            expect(patient).toBeLessThan(1);
            expect(shedChance(0.5, 3, 2)).toBe(0.5);
        });

        it("never gets nothing at all", () => {
            expect(Math.max(...play(Array.from({ length: 60 }, () => 50)))).toBeLessThan(0.9);
        });
    });

    describe("a router with a usual load", () => {
        it("refuses nothing", () => {
            expect(Math.max(...play([0.2, 0.6, 0.85, 0.5]))).toBe(0);
        });
    });
});
