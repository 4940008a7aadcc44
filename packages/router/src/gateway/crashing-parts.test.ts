import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { FakeCrashingFleet, type FakeCrashingFleetOptions } from "./mocks/fake-crashing-fleet.js";

/** Requests with the part that may still reach endpoints after the fifth crash and the stability window. */
const MAX_LATE_ARRIVALS = 3;
/** Least share of sound requests that begin at once while requests with the part still come. */
const MIN_SOUND_SHARE = 0.5;

/** Stability windows in ms of fleets of these sizes, and their load. */
const fleets = [
    { routers: 6, endpoints: 8, soundPerSecond: 60, windowMs: 3_000 },
    { routers: 73, endpoints: 63, soundPerSecond: 300, windowMs: 4_000 },
    { routers: 195, endpoints: 55, soundPerSecond: 300, windowMs: 5_000 },
];

// Guards against incident BUDGET, prompt parts, in fleets of any size: each router sees few of the crashes, and few
// of the completions that show which parts are sound.
describe("a prompt part that crashes endpoints", () => {
    let fleet: FakeCrashingFleet | undefined;

    beforeEach(() => {
        vi.useFakeTimers({ now: 0 });
    });

    afterEach(() => {
        fleet?.stop();
        vi.clearAllTimers();
        vi.useRealTimers();
    });

    const advance = (stepMs: number): Promise<unknown> => vi.advanceTimersByTimeAsync(stepMs);
    const fleetOf = (options: Partial<FakeCrashingFleetOptions> & (typeof fleets)[number]): FakeCrashingFleet => {
        fleet = new FakeCrashingFleet({ poisonPerSecond: 1, sessions: 40, downMs: 3_000, seed: 32, ...options });
        return fleet;
    };

    describe.each(fleets)("before $routers routers", (size) => {
        it.each([0.7, 3, 12])("is held back at %d requests a second, and sound requests are not", async (rate) => {
            const { windowMs } = size;
            const crashing = fleetOf({ ...size, poisonPerSecond: rate });
            await crashing.run(30_000, advance);
            expect(crashing.poisonCrashes.length).toBeGreaterThanOrEqual(3);
            expect(crashing.lateArrivals(windowMs)).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
            const limitAt = crashing.poisonCrashes.slice(0, 5).at(-1)!;
            expect(crashing.soundShare(limitAt + 2 * windowMs)).toBeGreaterThanOrEqual(MIN_SOUND_SHARE);
        });

        it("is held back where sessions are so many that each is rare", async () => {
            const crashing = fleetOf({ ...size, sessions: 5_000 });
            await crashing.run(30_000, advance);
            expect(crashing.lateArrivals(size.windowMs)).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
            expect(crashing.soundShare(0)).toBeGreaterThanOrEqual(0.99);
        });

        it("is not seen in failures that have another cause", async () => {
            const failing = fleetOf({ ...size, soundPerSecond: 60 });
            failing.stopPoison();
            for (const share of [0.25, 0.5, 1, 0.1, 0.1, 1]) {
                failing.endTogether(Math.ceil(share * size.endpoints));
                await failing.run(5_000, advance);
            }
            expect(failing.soundShare(0)).toBe(1);
        });
    });
});
