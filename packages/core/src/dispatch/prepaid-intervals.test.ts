import { describe, expect, it } from "vitest";
import { checkpointIntervalMs, conflictPauseMs, reviewIntervalMs } from "./prepaid-intervals.js";

describe("intervals of allowance writes", () => {
    describe("in a small fleet", () => {
        it("limits the tokens lost in a crash", () => {
            expect(checkpointIntervalMs(3)).toBe(600);
            expect(reviewIntervalMs(3)).toBe(1_000);
        });
    });

    describe("in a large fleet", () => {
        it("grows more slowly than the number of holders", () => {
            const perSecond = (holders: number): number => holders * 1_000 / checkpointIntervalMs(holders);
            expect(perSecond(18)).toBeLessThan(2.5 * perSecond(3));
        });

        it("keeps checkpoint and review intervals well below a store outage", () => {
            expect(checkpointIntervalMs(400)).toBe(1_500);
            expect(reviewIntervalMs(400)).toBe(2_000);
        });
    });

    describe("after a power loss, when all routers reclaim their holdings", () => {
        // Counts conflicts while all routers write one record; a write fails if the record changed since it was read.
        function conflictsOf(routers: number, pause: (conflicts: number, chance: number) => number): number {
            const CALL_MS = 8;
            let seed = 7;
            const chance = (): number => (seed = seed * 16_807 % 2_147_483_647) / 2_147_483_647;
            const states = Array.from({ length: routers }, () => ({ at: 0, readAt: 0, conflicts: 0, done: false }));
            let changedAt = -1;
            let total = 0;
            while (states.some(({ done }) => !done)) {
                const next = states.filter(({ done }) => !done).reduce((one, other) =>
                    one.at <= other.at ? one : other
                );
                const landsAt = next.at + CALL_MS;
                if (changedAt >= next.readAt) {
                    total++;
                    next.readAt = landsAt;
                    next.at = landsAt + pause(next.conflicts++, chance());
                }
                else {
                    changedAt = landsAt;
                    next.done = true;
                }
            }
            return total;
        }

        it("causes less than a third of the conflicts with pauses", () => {
            const without = conflictsOf(60, () => 0);
            const paused = conflictsOf(60, conflictPauseMs);
            expect(paused).toBeLessThan(without / 3);
        });
    });
});
