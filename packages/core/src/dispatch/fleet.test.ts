import { describe, expect, it } from "vitest";
import { createRandom, randomFraction } from "../support/random.js";
import {
    addressesForCaller,
    changeSources,
    fleetShareOf,
    type HighLoadState,
    nextHighLoadState,
    servingRouters,
    storeWatchersOf,
} from "./fleet.js";
import { memberOf } from "./mocks/fleet-members.js";
import type { FleetMember } from "./types.js";

const small = { cores: 0.3, linkMbps: 7 };
const large = { cores: 1.35, linkMbps: 140 };

// Two large and 15 small routers in each of four failure domains.
function unequalFleet(): FleetMember[] {
    return ["a", "b", "c", "d"].flatMap((domain) => [
        ...[1, 2].map((index) => memberOf(`large-${domain}${index}`, { capacity: large }, domain)),
        ...Array.from(
            { length: 15 },
            (unused, index) => memberOf(`small-${domain}${index}`, { capacity: small }, domain),
        ),
    ]);
}

function equalFleet(size: number): FleetMember[] {
    return Array.from({ length: size }, (unused, index) => memberOf(`router-${index}`, {}, `domain-${index % 3}`));
}

describe("fleet", () => {
    describe("the routers that callers are sent to", () => {
        it("are the large ones of an unequal fleet, in every failure domain", () => {
            const serving = servingRouters(unequalFleet());
            expect(serving.every((member) => member.name.startsWith("large"))).toBe(true);
            expect(new Set(serving.map((member) => member.domain)).size).toBe(4);
        });

        it("are half of a uniform fleet, spread over the failure domains", () => {
            const serving = servingRouters(equalFleet(12));
            expect(serving).toHaveLength(6);
            for (const domain of ["domain-0", "domain-1", "domain-2"]) {
                expect(serving.filter((member) => member.domain === domain)).toHaveLength(2);
            }
        });

        it("are the same for all routers, regardless of the order of members", () => {
            const fleet = unequalFleet();
            const names = (members: readonly FleetMember[]): string[] =>
                servingRouters(members).map(({ name }) => name);
            expect(names([...fleet].reverse())).toEqual(names(fleet));
        });

        it("leave a choice after a crash", () => {
            expect(servingRouters(equalFleet(4))).toHaveLength(3);
            expect(servingRouters(equalFleet(2))).toHaveLength(2);
            expect(servingRouters([])).toEqual([]);
        });

        it("are replaced from the remaining routers when they crash", () => {
            const fleet = unequalFleet().filter((member) => member.name.startsWith("small"));
            expect(servingRouters(fleet).length).toBeGreaterThanOrEqual(30);
        });

        it("increase in number under high load", () => {
            const fleet = equalFleet(12);
            const baseline = servingRouters(fleet).map(({ name }) => name);
            const loaded = fleet.map((member) => ({ ...member, strained: baseline.includes(member.name) }));
            expect(servingRouters(loaded)).toHaveLength(12);
            const oneLoaded = fleet.map((member) => ({ ...member, strained: member.name === baseline[0] }));
            expect(servingRouters(oneLoaded)).toHaveLength(7);
        });
    });

    describe("the shares of fleet-wide budgets", () => {
        it("add up to 1", () => {
            const fleet = unequalFleet();
            const serving = servingRouters(fleet);
            const sum = fleet.reduce((total, { name }) => total + fleetShareOf(name, serving, fleet.length), 0);
            expect(sum).toBeCloseTo(1);
        });

        it("are larger for routers that callers are sent to", () => {
            const fleet = equalFleet(12);
            const serving = servingRouters(fleet);
            const other = fleet.find((member) => !serving.includes(member))!;
            expect(fleetShareOf(serving[0]!.name, serving, 12)).toBeGreaterThan(fleetShareOf(other.name, serving, 12));
        });

        it("are 1 for a router that knows no other", () => {
            expect(fleetShareOf("router-1", [], 0)).toBe(1);
        });
    });

    describe("the routers that follow the store", () => {
        it("are three of those that callers are sent to, regardless of the fleet size", () => {
            for (const size of [4, 24, 400]) {
                const serving = servingRouters(equalFleet(size));
                const storeWatchers = storeWatchersOf(serving);
                expect(storeWatchers).toHaveLength(3);
                expect(serving).toEqual(expect.arrayContaining(storeWatchers));
                expect(new Set(storeWatchers.map(({ domain }) => domain)).size).toBe(3);
            }
        });

        it("are all routers if there are fewer than three", () => {
            expect(storeWatchersOf(equalFleet(2))).toHaveLength(2);
        });

        // Guards against news that come late to all routers: small ones that serve while the large ones are under high
        // load became the watchers, and read the changes of all keys for seconds after a partition.
        it("are large ones while small ones serve as well", () => {
            const strained = unequalFleet().map((member) => ({ ...member, strained: member.capacity === large }));
            const serving = servingRouters(strained);
            expect(serving.some(({ capacity }) => capacity === small)).toBe(true);
            const storeWatchers = storeWatchersOf(serving);
            expect(storeWatchers.map(({ capacity }) => capacity)).toEqual([large, large, large]);
            expect(new Set(storeWatchers.map(({ domain }) => domain)).size).toBe(3);
        });

        it("are three, small ones among them, if only one is large", () => {
            const serving = unequalFleet().filter(({ name, capacity }) => capacity === small || name === "large-a1");
            const storeWatchers = storeWatchersOf(serving);
            expect(storeWatchers).toHaveLength(3);
            expect(storeWatchers[0]!.name).toBe("large-a1");
        });

        it("stay the same when another router leaves", () => {
            const fleet = equalFleet(60);
            const storeWatchers = storeWatchersOf(fleet);
            const remaining = fleet.filter((member) =>
                member !== fleet.find((other) => !storeWatchers.includes(other))
            );
            expect(storeWatchersOf(remaining)).toEqual(storeWatchers);
        });
    });

    describe("the routers that forward store changes", () => {
        it("are those of the same failure domain first, in an order specific to each router", () => {
            const serving = equalFleet(12);
            const sources = changeSources(serving, memberOf("asker", {}, "domain-1"));
            const sameDomain = serving.filter((member) => member.domain === "domain-1").map((member) =>
                member.peerAddress
            );
            expect(new Set(sources.slice(0, 4))).toEqual(new Set(sameDomain));
            const firsts = Array.from(
                { length: 30 },
                (unused, index) => changeSources(serving, memberOf(`asker-${index}`, {}, "domain-1"))[0],
            );
            expect(new Set(firsts).size).toBe(4);
        });
    });

    describe("high load", () => {
        const normal = { strained: false, since: 0 };
        const highLoad = { strained: true, since: 0 };

        it("starts above the upper utilization threshold and ends at the lower one", () => {
            expect(nextHighLoadState(normal, 0.5, 10_000).strained).toBe(false);
            expect(nextHighLoadState(normal, 0.7, 10_000)).toEqual({ strained: true, since: 10_000 });
            expect(nextHighLoadState(highLoad, 0.5, 10_000).strained).toBe(true);
            expect(nextHighLoadState(highLoad, 0.2, 10_000).strained).toBe(false);
        });

        it("lasts a minimum time, so that short peaks do not cause frequent store writes", () => {
            let state: HighLoadState = normal;
            let changes = 0;
            for (let now = 500; now <= 30_000; now += 500) {
                const next = nextHighLoadState(state, now % 1_000 === 0 ? 0.1 : 0.9, now);
                changes += next.strained === state.strained ? 0 : 1;
                state = next;
            }
            expect(changes).toBeLessThanOrEqual(12);
        });
    });

    describe("a response to a caller", () => {
        it("names at most 64 addresses", () => {
            expect(addressesForCaller(equalFleet(200), 0, () => 0.5)).toHaveLength(64);
        });

        // Guards against callers sent to routers that were killed: chosen ones with a long lease stay registered.
        it("names only routers with a short lease, or all until a choice remains", () => {
            const fleetWith = (shortLeases: number): FleetMember[] =>
                equalFleet(5).map((member, index) => ({ ...member, hasShortLease: index < shortLeases }));
            const named = addressesForCaller(fleetWith(3), 0, Math.random);
            expect(named.sort()).toEqual(["router-0:1", "router-1:1", "router-2:1"]);
            expect(addressesForCaller(fleetWith(2), 0, Math.random)).toHaveLength(5);
            expect(addressesForCaller(fleetWith(1).slice(0, 2), 0, Math.random)).toHaveLength(2);
        });

        // Guards against small routers that get as many callers as large ones once both are listed.
        it("names small routers as rarely as their capacity asks, among large ones only", () => {
            const generator = createRandom(7);
            const random = (): number => randomFraction(generator);
            const count = (fleet: FleetMember[], minCapacityShare: number): number => {
                const answers = Array.from({ length: 400 }, () => addressesForCaller(fleet, minCapacityShare, random));
                return answers.flat().filter((address) => address.startsWith("small")).length / answers.length;
            };
            expect(count(unequalFleet(), 0)).toBeCloseTo(56, 0);
            expect(count(unequalFleet(), 0.25)).toBeGreaterThan(2);
            expect(count(unequalFleet(), 0.25)).toBeLessThan(4);
            const smallFleet = unequalFleet().filter(({ name }) => name.startsWith("small"));
            expect(count(smallFleet, 0.25)).toBe(60);
        });
    });
});
