import { describe, expect, it } from "vitest";
import {
    addressesForCaller,
    followersOf,
    newsSources,
    nextStrain,
    partOfFleet,
    servingRouters,
    type Strain,
} from "./fleet.js";
import { memberOf } from "./mocks/fleet-members.js";
import type { FleetMember } from "./types.js";

const small = { cores: 0.3, linkMbps: 7 };
const large = { cores: 1.35, linkMbps: 140 };

// Two large and many small routers in each of four failure domains.
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

        it("are half of a fleet of equals, spread over the failure domains", () => {
            const serving = servingRouters(equalFleet(12));
            expect(serving).toHaveLength(6);
            for (const domain of ["domain-0", "domain-1", "domain-2"]) {
                expect(serving.filter((member) => member.domain === domain)).toHaveLength(2);
            }
        });

        it("are chosen alike by all routers, whatever order they know each other in", () => {
            const fleet = unequalFleet();
            const names = (members: readonly FleetMember[]): string[] =>
                servingRouters(members).map(({ name }) => name);
            expect(names([...fleet].reverse())).toEqual(names(fleet));
        });

        it("leave a choice after a death", () => {
            expect(servingRouters(equalFleet(4))).toHaveLength(3);
            expect(servingRouters(equalFleet(2))).toHaveLength(2);
            expect(servingRouters([])).toEqual([]);
        });

        it("are replaced when they die, from what is left", () => {
            const fleet = unequalFleet().filter((member) => member.name.startsWith("small"));
            expect(servingRouters(fleet).length).toBeGreaterThanOrEqual(30);
        });

        it("become more in a burst that strains them", () => {
            const fleet = equalFleet(12);
            const calm = servingRouters(fleet).map(({ name }) => name);
            const strain = fleet.map((member) => ({ ...member, strained: calm.includes(member.name) }));
            expect(servingRouters(strain)).toHaveLength(12);
            const one = fleet.map((member) => ({ ...member, strained: member.name === calm[0] }));
            expect(servingRouters(one)).toHaveLength(7);
        });
    });

    describe("the parts of what the fleet uses together", () => {
        it("add up to the whole", () => {
            const fleet = unequalFleet();
            const serving = servingRouters(fleet);
            const sum = fleet.reduce((total, { name }) => total + partOfFleet(name, serving, fleet.length), 0);
            expect(sum).toBeCloseTo(1);
        });

        it("are larger where callers are sent to", () => {
            const fleet = equalFleet(12);
            const serving = servingRouters(fleet);
            const other = fleet.find((member) => !serving.includes(member))!;
            expect(partOfFleet(serving[0]!.name, serving, 12)).toBeGreaterThan(partOfFleet(other.name, serving, 12));
        });

        it("are the whole for a router that knows no other", () => {
            expect(partOfFleet("router-1", [], 0)).toBe(1);
        });
    });

    describe("the routers that follow the store", () => {
        it("are three of those that callers are sent to, whatever the fleet's size", () => {
            for (const size of [4, 24, 400]) {
                const serving = servingRouters(equalFleet(size));
                const followers = followersOf(serving);
                expect(followers).toHaveLength(3);
                expect(serving).toEqual(expect.arrayContaining(followers));
                expect(new Set(followers.map(({ domain }) => domain)).size).toBe(3);
            }
        });

        it("are all where there are fewer", () => {
            expect(followersOf(equalFleet(2))).toHaveLength(2);
        });

        it("are not chosen anew when another router leaves", () => {
            const fleet = equalFleet(60);
            const followers = followersOf(fleet);
            const left = fleet.filter((member) => member !== fleet.find((other) => !followers.includes(other)));
            expect(followersOf(left)).toEqual(followers);
        });
    });

    describe("the routers that pass on changes", () => {
        it("are those of the same failure domain first, in an order of each router's own", () => {
            const serving = equalFleet(12);
            const sources = newsSources(serving, memberOf("asker", {}, "domain-1"));
            const near = serving.filter((member) => member.domain === "domain-1").map((member) => member.peerAddress);
            expect(new Set(sources.slice(0, 4))).toEqual(new Set(near));
            const firsts = Array.from(
                { length: 30 },
                (unused, index) => newsSources(serving, memberOf(`asker-${index}`, {}, "domain-1"))[0],
            );
            expect(new Set(firsts).size).toBe(4);
        });
    });

    describe("strain", () => {
        const calm = { strained: false, since: 0 };
        const strained = { strained: true, since: 0 };

        it("begins with most of the processor in use and ends well below", () => {
            expect(nextStrain(calm, 0.5, 10_000).strained).toBe(false);
            expect(nextStrain(calm, 0.7, 10_000)).toEqual({ strained: true, since: 10_000 });
            expect(nextStrain(strained, 0.5, 10_000).strained).toBe(true);
            expect(nextStrain(strained, 0.2, 10_000).strained).toBe(false);
        });

        it("lasts for seconds, so that short peaks do not write to the store again and again", () => {
            let strain: Strain = calm;
            let changes = 0;
            for (let now = 500; now <= 30_000; now += 500) {
                const next = nextStrain(strain, now % 1_000 === 0 ? 0.1 : 0.9, now);
                changes += next.strained === strain.strained ? 0 : 1;
                strain = next;
            }
            expect(changes).toBeLessThanOrEqual(12);
        });
    });

    describe("an answer to a caller", () => {
        it("names at most 64 addresses", () => {
            expect(addressesForCaller(equalFleet(200), () => 0.5)).toHaveLength(64);
        });
    });
});
