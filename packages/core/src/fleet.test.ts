import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { counterexamples } from "./mocks/counterexamples.js";
import { expectNoViolations, refusalOutcomes, startFleet } from "./mocks/fleet-fixture.js";
import { FakeFleet, type FleetEvent, runSchedule, schedules } from "./mocks/index.js";

const SEED = 20_261;
const RUNS = 150;

describe("a fleet of routers", () => {
    describe("under random schedules", () => {
        it("violates no invariant", () => {
            fc.assert(
                fc.property(schedules, (schedule) => {
                    expect(runSchedule(schedule).violations).toEqual([]);
                }),
                { seed: SEED, numRuns: RUNS, endOnFailure: true },
            );
        });

        it.each(counterexamples)(
            "violates no invariant in the schedule of an earlier failure: $name",
            ({ schedule }) => {
                expect(runSchedule(schedule).violations).toEqual([]);
            },
        );

        it("gives the same result for the same schedule", () => {
            const schedule = fc.sample(schedules, { seed: SEED, numRuns: 1 })[0]!;
            expect(runSchedule(schedule).verdict).toEqual(runSchedule(schedule).verdict);
        });
    });

    describe("budgets", () => {
        it("refuse a request that exceeds them as not run, with a retry delay", () => {
            const fleet = startFleet(100);
            fleet.send({ account: "a" });
            fleet.run(2_000);
            fleet.send({ account: "a" });
            fleet.run(10_000);
            const refused = fleet.callers.records[1]!;
            expect(refused.result).toBe("refused");
            expect(refused.refusals[0]!.refusal).toMatchObject({ reason: "budget-exhausted", outcome: "not-run" });
            expect(refused.refusals[0]!.refusal.retryAfterMs).toBeGreaterThan(0);
            expectNoViolations(fleet);
        });

        it("follow a top-up made during a partition", () => {
            const fleet = startFleet(200);
            fleet.partitioned.add(fleet.routers[0]!.address);
            fleet.run(6_000);
            fleet.topUp("a", "more", 5_000);
            for (let index = 0; index < 30; index++) {
                fleet.at(index * 50, () => void fleet.send({ account: "a" }));
            }
            fleet.run(30_000);
            fleet.partitioned.clear();
            fleet.run(30_000);
            expect(fleet.verdict().answeredWhole).toBe(30);
            expectNoViolations(fleet);
        });

        it("hold on both sides of a partition between two halves, and after it", () => {
            const budgets = { a: 400_000, b: 60_000 };
            const fleet = new FakeFleet({ seed: 11, routers: 6, engines: 4, services: 2, slots: 24, budgets });
            fleet.run(3_000);
            const load = (time: number): void => {
                for (let at = 0; at < time; at += 100) {
                    fleet.at(at, () => void fleet.send({ account: at % 300 === 0 ? "b" : "a", mostAttempts: 6 }));
                }
                fleet.run(time);
            };
            load(20_000);
            fleet.routers.slice(0, 3).forEach((router) => fleet.partitioned.add(router.address));
            load(30_000);
            fleet.topUp("b", "in the partition", 20_000);
            load(30_000);
            fleet.partitioned.clear();
            load(10_000);
            fleet.run(60_000);
            const { requests, answeredWhole, strandedTokens } = fleet.verdict();
            expect(answeredWhole / requests).toBeGreaterThan(0.98);
            expect(strandedTokens).toBe(0);
            expectNoViolations(fleet);
        });

        it("strand at most the tokens of open requests of a killed router", () => {
            const fleet = startFleet();
            for (let index = 0; index < 60; index++) {
                fleet.at(index * 20, () => void fleet.send({ account: "a" }));
            }
            fleet.run(600);
            const router = [...fleet.routers].sort((first, second) =>
                fleet.callers.countOpenCalls(second) - fleet.callers.countOpenCalls(first)
            )[0]!;
            const open = fleet.callers.countOpenCalls(router);
            fleet.kill(router);
            fleet.run(60_000);
            expect(fleet.verdict().strandedTokens).toBeLessThanOrEqual(open * 80);
            expectNoViolations(fleet);
        });

        it("are not spent twice by a paused router that resumes after its allowance was returned", () => {
            const fleet = startFleet(2_000);
            for (let index = 0; index < 10; index++) {
                fleet.send({ account: "a" });
            }
            fleet.run(1_000);
            const router = fleet.routers[1]!;
            router.pause();
            for (let index = 0; index < 40; index++) {
                fleet.at(index * 1_000, () => void fleet.send({ account: "a" }));
            }
            fleet.run(45_000);
            router.resume();
            for (let index = 0; index < 40; index++) {
                fleet.at(index * 20, () => void fleet.send({ account: "a" }));
            }
            fleet.run(60_000);
            expectNoViolations(fleet);
        });

        it("are not spent by a paused router that resumes to requests after its allowance was returned", () => {
            const fleet = startFleet(2_000);
            const pausedRouter = fleet.routers[1]!;
            const setReachable = (pausedRouterOnly: boolean): void =>
                fleet.routers.forEach((router) => {
                    router.unreachable = (router === pausedRouter) !== pausedRouterOnly;
                });
            setReachable(true);
            for (let index = 0; index < 5; index++) {
                fleet.send({ account: "a" });
            }
            fleet.run(2_000);
            pausedRouter.pause();
            setReachable(false);
            for (let index = 0; index < 60; index++) {
                fleet.at(15_000 + index * 100, () => void fleet.send({ account: "a", mostAttempts: 1 }));
            }
            fleet.run(30_000);
            // Sent while the router is paused, so that it handles them first when it resumes.
            setReachable(true);
            const arrivals = fleet.callers.records.slice(0, 5).map((record) => ({ ...record.plan, mostAttempts: 1 }));
            [...arrivals, ...arrivals].forEach((plan) => fleet.callers.sendTo(pausedRouter, plan));
            pausedRouter.resume();
            fleet.run(60_000);
            expectNoViolations(fleet);
        });

        it("keep the tokens that a partitioned router still uses, however long it is silent", () => {
            const fleet = startFleet(1_000);
            const partitionedRouter = fleet.routers[1]!;
            fleet.routers.forEach((router) => {
                router.unreachable = router !== partitionedRouter;
            });
            for (let index = 0; index < 5; index++) {
                fleet.send({ account: "a", chunks: 800, outputTokens: 50, timeoutMs: 90_000 });
            }
            fleet.run(1_000);
            fleet.partitioned.add(partitionedRouter.address);
            fleet.routers.forEach((router) => {
                router.unreachable = router === partitionedRouter;
            });
            for (let index = 0; index < 28; index++) {
                fleet.at(14_000 + index * 200, () => void fleet.send({ account: "a", mostAttempts: 1 }));
            }
            fleet.run(20_000);
            fleet.partitioned.clear();
            fleet.run(60_000);
            expect(fleet.callers.records.slice(0, 5).every((record) => record.result === "whole")).toBe(true);
            expectNoViolations(fleet);
        });

        it("bill an answer whose router is killed as it ends", () => {
            for (let index = 0; index < 3; index++) {
                const fleet = startFleet();
                fleet.routers.forEach((router, other) => {
                    router.unreachable = other !== index;
                });
                const record = fleet.send({ account: "a" });
                while (record.result === "open") {
                    fleet.run(0.5);
                }
                fleet.kill(fleet.routers[index]!);
                fleet.run(60_000);
                expectNoViolations(fleet);
            }
        });

        it("bill the whole usage although the last router received only the end of the stream", () => {
            const fleet = startFleet();
            const record = fleet.send({ account: "a" });
            const isBilling = (router: FakeFleet["routers"][number]): boolean =>
                [...router.strategy.world!.runs.values()].some((run) => run.state === "billing");
            for (let step = 0; step < 4_000 && !fleet.routers.some(isBilling); step++) {
                fleet.run(0.25);
            }
            expect(fleet.routers.some(isBilling)).toBe(true);
            fleet.kill(fleet.routers.find(isBilling)!);
            fleet.run(60_000);
            expect(record).toMatchObject({ result: "whole", attempts: 2 });
            expectNoViolations(fleet);
        });

        it("last through an outage of the key-value service", () => {
            const fleet = startFleet();
            for (let index = 0; index < 600; index++) {
                fleet.at(index * 200, () => void fleet.send({ account: "a" }));
            }
            fleet.run(20_000);
            fleet.keyValue.faults.down = true;
            fleet.run(90_000);
            fleet.keyValue.faults.down = false;
            fleet.run(60_000);
            expect(fleet.verdict()).toMatchObject({ answeredWhole: 600, falseRefusals: 0 });
            expectNoViolations(fleet);
        });
    });

    describe("calls that may not be repeated", () => {
        it("run once although their callers send them to several routers", () => {
            const fleet = startFleet();
            fleet.keyValue.faults.lostReplies = 0.4;
            for (let index = 0; index < 40; index++) {
                fleet.at(index * 30, () => void fleet.sendAction("a", { hedgeAfterMs: index % 7 }));
            }
            fleet.run(20_000);
            fleet.keyValue.faults.lostReplies = 0;
            fleet.run(30_000);
            expectNoViolations(fleet);
        });

        it("are refused as not run without delay while the key-value service is down", () => {
            const fleet = startFleet();
            fleet.send({ account: "a" });
            fleet.run(2_000);
            fleet.keyValue.faults.down = true;
            const record = fleet.sendAction("a", { mostAttempts: 1 });
            fleet.run(2_000);
            expect(record.refusals[0]!.refusal).toMatchObject({ reason: "ledger-unavailable", outcome: "not-run" });
            expect(record.refusals[0]!.at - record.sentAt).toBeLessThan(500);
        });
    });

    describe("refusals", () => {
        it("state not-run again when all earlier attempts were refused as not-run", () => {
            const fleet = startFleet();
            fleet.send({ account: "a" });
            fleet.run(2_000);
            fleet.keyValue.faults.down = true;
            const record = fleet.sendAction("a", { mostAttempts: 4 });
            fleet.run(10_000);
            expect(record.refusals.map(({ refusal }) => refusal.outcome)).toEqual(Array(4).fill("not-run"));
            expectNoViolations(fleet);
        });

        it("of a second attempt never state not-run", () => {
            const fleet = startFleet(60);
            fleet.send({ account: "a", mostAttempts: 3, hedgeAfterMs: 1 });
            fleet.run(20_000);
            expect(refusalOutcomes(fleet)).toContain("budget-exhausted may-have-run");
            expectNoViolations(fleet);
        });

        it("never state not-run for a request that an endpoint started", () => {
            const fleet = startFleet();
            const record = fleet.sendAction("a", { mostAttempts: 1 });
            fleet.run(12);
            [...fleet.endpoints.values()].filter((endpoint) => endpoint.id.startsWith("service")).forEach((endpoint) =>
                endpoint.crash(500)
            );
            fleet.run(5_000);
            const started = fleet.truth.starts.has(record.key);
            expect(record.refusals.every(({ refusal }) => !started || refusal.outcome !== "not-run")).toBe(true);
        });
    });

    describe("answers", () => {
        it("are complete although their connections go silent and their router is killed", () => {
            const fleet = startFleet();
            for (let index = 0; index < 20; index++) {
                fleet.at(index * 5, () => void fleet.send({ account: "a", chunks: 12, outputTokens: 48 }));
            }
            fleet.run(200);
            fleet.endpoints.forEach((endpoint) => endpoint.stallConnections());
            fleet.run(200);
            fleet.kill(fleet.routers[0]!);
            fleet.run(60_000);
            expect(fleet.verdict()).toMatchObject({ answeredWhole: 20, brokenAnswers: 0 });
            expectNoViolations(fleet);
        });

        it("are complete although a connection loses a chunk", () => {
            const fleet = startFleet();
            fleet.endpoints.forEach((endpoint) => {
                endpoint.losesChunk = true;
            });
            for (let index = 0; index < 10; index++) {
                fleet.send({ account: "a", chunks: 6 });
            }
            fleet.run(30_000);
            expect(fleet.verdict().answeredWhole).toBe(10);
            expectNoViolations(fleet);
        });

        it("are served at a cached address until it expires, although other routers learn late of the drain", () => {
            const addressLifetimeMs = 2_000;
            const accounts = ["a", "b", "c", "d", "e", "f", "g", "h"];
            const budgets = Object.fromEntries(accounts.map((account) => [account, 100_000]));
            const fleet = startFleet(0, { addressLifetimeMs }, { budgets, addressLifetimeMs });
            for (let index = 0; index < 150; index++) {
                fleet.at(index * 100, () => void fleet.send({ account: accounts[index % accounts.length]! }));
            }
            fleet.run(3_050);
            const router = fleet.routers.find((other) => fleet.callers.countOpenCalls(other) > 0)!;
            fleet.partitionedFromPeers.add(router.address);
            router.deliver({ kind: "drain" });
            fleet.run(1_000);
            fleet.partitionedFromPeers.clear();
            fleet.run(30_000);
            expect(router.hasDrained).toBe(true);
            expect(fleet.callers.attemptsToDrainedRouters).toBe(0);
            expect(fleet.verdict().answeredWhole).toBe(150);
            expectNoViolations(fleet);
        });

        it("are not interrupted by a drain", () => {
            const fleet = startFleet(100_000, { addressLifetimeMs: 1_000 });
            for (let index = 0; index < 200; index++) {
                fleet.at(index * 30, () => void fleet.send({ account: "a", chunks: 80 }));
            }
            fleet.run(1_000);
            const router = fleet.routers[1]!;
            router.deliver({ kind: "drain" });
            fleet.run(60_000);
            expect(router.state).toBe("dead");
            expect(fleet.callsCutByDrain).toBe(0);
            expect(fleet.record("a").holders[router.incarnation]?.budgets ?? {}).toEqual({});
            expect(fleet.verdict().answeredWhole).toBe(200);
            expectNoViolations(fleet);
        });
    });
});

const kinds: readonly FleetEvent["kind"][] = ["kill", "pause", "isolate", "drain", "key-value-down"];

describe("two faults at once", () => {
    it.each(kinds)("%s during an outage of the key-value service", (kind) => {
        const load: FleetEvent[] = [0, 2_000, 4_000, 6_000].map((at) => ({
            kind: "burst",
            at,
            account: 0,
            count: 15,
            impatient: true,
        }));
        const fault = { kind, at: 3_000, router: 1, time: 6_000, backAfter: 2_000 } as FleetEvent;
        const outage: FleetEvent = { kind: "key-value-down", at: 2_500, time: 5_000 };
        expect(runSchedule({ seed: 5, events: [...load, fault, outage] }).violations).toEqual([]);
    });
});
