import { describe, expect, it } from "vitest";
import { memberOf } from "./mocks/fleet-members.js";
import {
    INITIAL_RESERVE_READINESS,
    isReserveReady,
    nextReserveReadiness,
    type ReserveQuery,
} from "./reserve-readiness.js";

const large = ["a", "b"].map((domain) => memberOf(`large-${domain}`, { capacity: { cores: 1.35, linkMbps: 140 } }));
const small = memberOf("small-1", { capacity: { cores: 0.3, linkMbps: 7 } });
const loaded: ReserveQuery = {
    self: small,
    serving: large,
    minCapacityShare: 0.25,
    utilization: 0.7,
    requestRate: 90,
};

const isReadyAfter = (query: ReserveQuery, elapsedMs = 0): boolean =>
    isReserveReady(nextReserveReadiness(INITIAL_RESERVE_READINESS, query, 0), elapsedMs);

// Guards against the load of one account whose callers stay with a small router, which drowned while others were idle.
describe("readiness in reserve", () => {
    describe("of a small router whose callers stay with it", () => {
        it("ends under load, for so long that they do not soon come back", () => {
            expect(isReadyAfter(loaded)).toBe(false);
            expect(isReadyAfter(loaded, 59_000)).toBe(false);
            expect(isReadyAfter(loaded, 60_000)).toBe(true);
        });

        it("stays away while the load lasts", () => {
            let state = INITIAL_RESERVE_READINESS;
            for (let now = 0; now <= 120_000; now += 500) {
                state = nextReserveReadiness(state, { ...loaded, utilization: now % 4_000 === 0 ? 0.5 : 0.2 }, now);
                expect(isReserveReady(state, now)).toBe(false);
            }
        });

        it("is back at once when callers are sent to it, also under load", () => {
            const before = nextReserveReadiness(INITIAL_RESERVE_READINESS, loaded, 0);
            const after = nextReserveReadiness(before, { ...loaded, serving: [...large, small] }, 500);
            expect(isReserveReady(after, 500)).toBe(true);
        });
    });

    describe("of other routers", () => {
        it("does not end with any capacity but a small one, or if it is switched off", () => {
            expect(isReadyAfter({ ...loaded, self: memberOf("large-c", { capacity: large[0]!.capacity }) })).toBe(true);
            expect(isReadyAfter({ ...loaded, minCapacityShare: 0 })).toBe(true);
        });

        // Guards against most routers that are not ready at once because they start or read a new configuration.
        it("does not end by load that is not due to callers", () => {
            expect(isReadyAfter({ ...loaded, requestRate: 2 })).toBe(true);
            expect(isReadyAfter({ ...loaded, utilization: 0.3 })).toBe(true);
        });

        // Guards against a fleet cut off from each other in which no router is ready.
        it("does not depend on the load of a router that knows no serving one, or only itself", () => {
            expect(isReadyAfter({ ...loaded, serving: [] })).toBe(true);
            expect(isReadyAfter({ ...loaded, serving: [small] })).toBe(true);
        });
    });
});
