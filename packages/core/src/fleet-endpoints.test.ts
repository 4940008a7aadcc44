import { describe, expect, it } from "vitest";
import { expectNoViolations, refusalOutcomes, startFleet } from "./mocks/fleet-fixture.js";
import { FakeFleet } from "./mocks/index.js";

const LONG_ANSWER_MS = 4_000;

describe("a fleet of routers and its endpoints", () => {
    describe("endpoints", () => {
        it("lose at most two to a poison request, and all other requests are answered", () => {
            const fleet = startFleet();
            for (let index = 0; index < 100; index++) {
                fleet.at(index * 20, () => void fleet.send({ account: "a", chunks: 8 }));
            }
            fleet.at(500, () => void fleet.send({ account: "a", poison: true, mostAttempts: 8 }));
            fleet.at(9_000, () => void fleet.send({ account: "a", poison: true, mostAttempts: 8 }));
            fleet.run(90_000);
            expect(fleet.verdict().crashes).toBeLessThanOrEqual(2);
            expect(fleet.verdict().answeredWhole).toBe(100);
            expectNoViolations(fleet);
        });

        it("delay other requests no longer than it takes to confirm the poison request", () => {
            const fleet = startFleet(1_000_000);
            for (let index = 0; index < 40; index++) {
                fleet.at(index * 20, () => void fleet.send({ account: "a", chunks: 100 }));
            }
            fleet.at(1_000, () => void fleet.send({ account: "a", poison: true, mostAttempts: 8 }));
            fleet.run(60_000);
            const unrelated = fleet.callers.records.filter((record) => !record.plan.poison);
            const durations = unrelated.map((record) => record.endedAt! - record.sentAt);
            expect(unrelated.every((record) => record.result === "whole")).toBe(true);
            expect(Math.max(...durations)).toBeLessThan(3 * LONG_ANSWER_MS);
            expect(fleet.verdict().crashes).toBe(2);
            expectNoViolations(fleet);
        });

        it.each(["lane-wanted", "lane-granted"])("answer all requests although the first %s are lost", (kind) => {
            const fleet = startFleet(1_000_000);
            for (let index = 0; index < 40; index++) {
                fleet.at(index * 10, () => void fleet.send({ account: "a", chunks: 20 }));
            }
            let remainingLosses = 10;
            fleet.losesPeerMessage = (message) => message.kind === kind && remainingLosses-- > 0;
            fleet.at(500, () => fleet.endpoints.forEach((endpoint) => endpoint.crash(1_500)));
            fleet.run(60_000);
            expect(remainingLosses).toBeLessThan(0);
            expect(fleet.verdict().answeredWhole).toBe(40);
            expectNoViolations(fleet);
        });

        it("have suspect and poison requests forgotten by all routers after the retention time", () => {
            const fleet = startFleet(100_000, { convictionMs: 10_000 });
            for (let index = 0; index < 20; index++) {
                fleet.at(index * 20, () => void fleet.send({ account: "a", chunks: 8 }));
            }
            fleet.at(200, () => void fleet.send({ account: "a", poison: true, mostAttempts: 3 }));
            fleet.run(5_000);
            expect(fleet.routers.every((router) => router.strategy.world!.poisonRequests.size === 1)).toBe(true);
            fleet.run(30_000);
            const remembered = fleet.routers.map(({ strategy }) =>
                strategy.world!.poisonRequests.size + strategy.world!.suspects.size
            );
            expect(remembered).toEqual([0, 0, 0]);
        });

        it.each([1, 31, 32, 39])("behind a proxy cause no false poison refusal while one is down, seed %i", (seed) => {
            const budgets = { a: 1_000_000, b: 1_000_000, c: 1_000_000 };
            const fleet = new FakeFleet({ seed, routers: 3, engines: 2, services: 1, slots: 24, budgets });
            fleet.run(3_000);
            fleet.endpoints.forEach((endpoint) => {
                endpoint.behindProxy = true;
            });
            for (let index = 0; index < 150; index++) {
                fleet.at(index * 15, () => void fleet.send({ account: "abc"[index % 3]!, chunks: 8, mostAttempts: 6 }));
            }
            fleet.at(500, () => void fleet.send({ account: "a", poison: true, mostAttempts: 8 }));
            fleet.run(90_000);
            expect(refusalOutcomes(fleet).filter((outcome) => outcome.startsWith("poison"))).toHaveLength(1);
            expect(fleet.verdict().answeredWhole).toBe(150);
            expectNoViolations(fleet);
        });

        it("are probed per request instead of periodically when there are many", () => {
            const fleet = startFleet(10_000_000, {}, { engines: 60 });
            const probes = fleet.probes;
            for (let index = 0; index < 100; index++) {
                fleet.at(index * 200, () => void fleet.send({ account: "a" }));
            }
            fleet.at(8_000, () => [...fleet.endpoints.values()].slice(0, 10).forEach((endpoint) => endpoint.leave()));
            fleet.run(40_000);
            expect(fleet.probes - probes).toBeLessThanOrEqual(3 * 100);
            expect(fleet.verdict()).toMatchObject({ answeredWhole: 100, falseRefusals: 0 });
            expectNoViolations(fleet);
        });

        it("get no new work from a few seconds after they announce that they leave", () => {
            const fleet = startFleet();
            for (let index = 0; index < 300; index++) {
                fleet.at(index * 40, () => void fleet.send({ account: "a" }));
            }
            fleet.run(2_000);
            [...fleet.endpoints.values()][0]!.leave();
            fleet.run(30_000);
            expectNoViolations(fleet);
        });
    });

    describe("limits", () => {
        it("share full endpoints fairly between accounts and refuse excess requests", () => {
            const fleet = new FakeFleet({
                seed: 3,
                routers: 2,
                engines: 1,
                services: 1,
                slots: 4,
                budgets: { greedy: 1_000_000, modest: 100_000 },
                policy: { queueLimit: 40 },
            });
            fleet.run(3_000);
            for (let index = 0; index < 400; index++) {
                fleet.at(index * 5, () => void fleet.send({ account: "greedy", timeoutMs: 4_000, mostAttempts: 1 }));
            }
            for (let index = 0; index < 10; index++) {
                fleet.at(
                    200 + index * 150,
                    () => void fleet.send({ account: "modest", timeoutMs: 4_000, mostAttempts: 1 }),
                );
            }
            fleet.run(30_000);
            const modest = fleet.callers.records.filter((record) => record.plan.account === "modest");
            expect(modest.filter((record) => record.result === "whole").length).toBeGreaterThanOrEqual(9);
            const overloaded = fleet.callers.records.filter((record) =>
                record.refusals[0]?.refusal.reason === "overloaded"
            );
            expect(overloaded.length).toBeGreaterThan(0);
            expectNoViolations(fleet);
        });

        it("do not let retries amplify the load of failing endpoints", () => {
            const fleet = startFleet(10_000_000, { retryBurst: 10, retryShare: 0.1 });
            fleet.endpoints.forEach((endpoint) => {
                endpoint.busy = true;
            });
            for (let index = 0; index < 300; index++) {
                fleet.at(index * 20, () => void fleet.send({ account: "a", mostAttempts: 1, timeoutMs: 5_000 }));
            }
            fleet.run(15_000);
            expect(fleet.truth.calls).toBeGreaterThanOrEqual(300);
            expect(fleet.truth.calls).toBeLessThanOrEqual(300 * 1.1 + 3 * 10);
        });
    });

    describe("configuration", () => {
        it("reaches a router partitioned from the key-value service, and its version never decreases", () => {
            const fleet = startFleet();
            const router = fleet.routers[0]!;
            fleet.partitionedFromKeyValue.add(router.address);
            fleet.run(1_000);
            fleet.publish("extra", "{}");
            fleet.publish("extra", '{ "operations": [] }');
            fleet.run(14_000);
            expect(router.strategy.world!.configuration.version).toBe(3);
            for (const versions of fleet.adoptedVersions.values()) {
                expect([...versions].sort((first, second) => first - second)).toEqual(versions);
            }
        });
    });

    describe("addresses", () => {
        it("omit draining routers and spread accounts evenly", () => {
            const fleet = startFleet();
            fleet.routers[0]!.deliver({ kind: "drain" });
            fleet.run(3_000);
            const strategy = fleet.routers[1]!.strategy;
            const counts = new Map<string, number>();
            for (let index = 0; index < 600; index++) {
                const first = strategy.addresses(`account-${index}` as never, fleet.clock.now)[0]!;
                counts.set(first, (counts.get(first) ?? 0) + 1);
            }
            expect(counts.has(fleet.routers[0]!.address)).toBe(false);
            expect(Math.min(...counts.values())).toBeGreaterThan(200);
        });
    });
});
