import { beforeAll, describe, expect, it } from "vitest";
import { expectNoViolations } from "./mocks/fleet-fixture.js";
import { FakeFleet } from "./mocks/index.js";

const ROUTERS = 60;

// A fan-out of 2 with 2 entries makes heartbeats spread as slowly here as among 420 routers with the default policy.
function largeFleet(): FakeFleet {
    const fleet = new FakeFleet({
        seed: 3,
        routers: ROUTERS,
        engines: 6,
        services: 2,
        slots: 64,
        budgets: { a: 10_000_000, b: 1_000_000 },
        policy: { heartbeatFanout: 2, heartbeatEntries: 2 },
    });
    fleet.run(20_000);
    return fleet;
}

function closedAllowances(fleet: FakeFleet): number {
    const rows = fleet.routers.flatMap((router) => [...router.strategy.world!.witnessed.values()]);
    return rows.reduce((sum, row) => sum + row.closedEpochs.size, 0);
}

describe("a large fleet, in which heartbeats spread slowly", () => {
    let fleet: FakeFleet;
    const listedShares: number[] = [];
    beforeAll(() => {
        fleet = largeFleet();
        for (let index = 0; index < 300; index++) {
            fleet.at(index * 100, () => void fleet.send({ account: index % 2 === 0 ? "a" : "b" }));
        }
        for (let second = 0; second < 40; second++) {
            fleet.run(1_000);
            const listed = fleet.routers.map((router) =>
                router.strategy.addresses("a" as never, fleet.clock.now).length
            );
            listedShares.push(listed.reduce((sum, count) => sum + count, 0) / ROUTERS / ROUTERS);
        }
    });

    it("lists most routers to callers at any time", () => {
        expect(Math.min(...listedShares)).toBeGreaterThan(0.8);
    });

    it("closes no allowance of a live router", () => {
        expect(closedAllowances(fleet)).toBe(0);
        expect(fleet.verdict()).toMatchObject({ answeredWhole: 300, falseRefusals: 0 });
        expectNoViolations(fleet);
    });

    it("recovers the allowance of a killed router", () => {
        const holders = new Set(Object.keys(fleet.record("a").holders));
        const router = fleet.routers.find(({ incarnation }) => holders.has(incarnation))!;
        fleet.kill(router);
        for (let index = 0; index < 60; index++) {
            fleet.at(index * 2_000, () => void fleet.send({ account: "a" }));
        }
        fleet.run(200_000);
        expect(fleet.verdict().strandedTokens).toBe(0);
        expect(fleet.record("a").holders[router.incarnation]).toBeUndefined();
        expectNoViolations(fleet);
    });
});
