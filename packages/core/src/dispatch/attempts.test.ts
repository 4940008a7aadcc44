import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type AttemptState, nextStep, type SendFailure } from "./attempts.js";
import { fleetShareOf, servingRouters } from "./fleet.js";
import { memberOf } from "./mocks/fleet-members.js";
import { recordFirstSend, type RetryQuota, takeRepeat } from "./retry-quota.js";
import { createRoutingTable, findRoute, pickService } from "./routing.js";
import type { FleetConfiguration, Route, ServiceName } from "./types.js";

const service = "engines" as ServiceName;
const route: Route = {
    name: "route",
    host: "shop.example",
    prefix: "/a/",
    kind: "unsafe",
    resumable: false,
    open: false,
    timeoutMs: 1_000,
    targetMs: 100,
    priority: 0,
    attemptLimit: 2,
    shares: [{ service, weight: 1 }],
};
const fresh: AttemptState = { sends: 1, mayHaveRun: false, answering: false, resumable: false, deadline: 1_000 };
const failures: SendFailure[] = ["unreachable", "not-run", "broken", "garbled", "failed"];

describe("attempts", () => {
    describe("a request that may not be repeated", () => {
        it("is neither sent again nor reported as not run once it may have run", () => {
            fc.assert(fc.property(fc.constantFrom(...failures), fc.nat(3), fc.nat(1_200), (failure, sends, now) => {
                const state = { ...fresh, sends, mayHaveRun: true };
                const { kind } = nextStep(route, state, failure, () => true, now);
                expect(["retry", "resume", "refuse"]).not.toContain(kind);
            }));
        });

        it("is retried when the endpoint did not run it", () => {
            expect(nextStep(route, fresh, "not-run", () => true, 0).kind).toBe("retry");
            expect(nextStep(route, { ...fresh, sends: 2 }, "not-run", () => true, 0).kind).toBe("refuse");
        });
    });

    describe("a request that may be repeated", () => {
        const safe: Route = { ...route, kind: "safe" };

        it("is retried within the limits of attempts, time and quota", () => {
            const ran = { ...fresh, mayHaveRun: true };
            expect(nextStep(safe, ran, "failed", () => true, 0).kind).toBe("retry");
            expect(nextStep(safe, { ...ran, sends: 2 }, "failed", () => true, 0).kind).toBe("pass-on");
            expect(nextStep(safe, ran, "failed", () => false, 0).kind).toBe("pass-on");
            expect(nextStep(safe, ran, "broken", () => true, 990).kind).toBe("fail");
        });
    });

    describe("a stream that has started", () => {
        it("resumes only on a resumable route and at an event boundary", () => {
            const begun = { ...fresh, mayHaveRun: true, answering: true, resumable: true };
            expect(nextStep(route, begun, "broken", () => true, 0).kind).toBe("cut");
            const resumable: Route = { ...route, kind: "stream", resumable: true };
            expect(nextStep(resumable, begun, "broken", () => true, 0).kind).toBe("resume");
            expect(nextStep(resumable, { ...begun, resumable: false }, "broken", () => true, 0).kind).toBe("cut");
        });
    });
});

describe("retry quota", () => {
    it("keeps the fleet within its bound in every window, for any sequence of failures", () => {
        const bounds = { ratio: 0.2, slack: 50, windowMs: 10_000 };
        const moment = fc.record({ router: fc.nat(5), repeat: fc.boolean(), pause: fc.nat(60) });
        const members = Array.from({ length: 6 }, (unused, index) => memberOf(`router-${index}`));
        const serving = servingRouters(members);
        const parts = members.map((member) => fleetShareOf(member.name, serving, members.length));
        fc.assert(fc.property(fc.array(moment, { maxLength: 600, size: "max" }), (moments) => {
            const quotas: RetryQuota[] = Array.from({ length: 6 }, () => new Map());
            const firsts: number[] = [];
            const repeats: number[] = [];
            let now = 0;
            for (const { router, repeat, pause } of moments) {
                now += pause;
                if (!repeat) {
                    recordFirstSend(quotas[router]!, service, bounds.windowMs, now);
                    firsts.push(now);
                }
                else if (takeRepeat(quotas[router]!, service, bounds, parts[router]!, now)) {
                    repeats.push(now);
                }
                const within = (times: number[]): number => times.filter((time) => time > now - 10_000).length;
                expect(within(repeats)).toBeLessThanOrEqual(0.2 * within(firsts) + 50);
            }
        }));
    });
});

describe("first sends", () => {
    it("are dropped after the window, even if nothing is repeated", () => {
        const quota: RetryQuota = new Map();
        for (let now = 0; now < 100_000; now += 100) {
            recordFirstSend(quota, service, 10_000, now);
        }
        expect(quota.get(service)!.firsts.length).toBeLessThanOrEqual(100);
    });
});

describe("routing", () => {
    const configuration: FleetConfiguration = {
        version: 1,
        routes: [route, { ...route, name: "longer", prefix: "/a/b/" }],
        services: new Map(),
        accounts: undefined,
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };

    it("matches the longest prefix of the path, ignoring the query", () => {
        const table = createRoutingTable(configuration);
        expect(findRoute(table, "shop.example", "/a/b/c")!.name).toBe("longer");
        expect(findRoute(table, "shop.example", "/a/c?x=/a/b/")!.name).toBe("route");
        expect(findRoute(table, "shop.example", "/a")).toBeUndefined();
        expect(findRoute(table, "other.example", "/a/c")).toBeUndefined();
    });

    it("splits by weight", () => {
        const split = { ...route, shares: [{ service, weight: 90 }, { service: "next" as ServiceName, weight: 10 }] };
        expect(pickService(split, 0.89)).toBe(service);
        expect(pickService(split, 0.91)).toBe("next");
    });
});
