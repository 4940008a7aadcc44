import { describe, expect, it } from "vitest";
import { createRandom, randomBelow, randomElement } from "../support/random.js";
import { brand, type EndpointId, type FailureDomain } from "../types/ids.js";
import {
    allowsSend,
    createEndpointLimits,
    type EndpointLimits,
    isTrialDue,
    limitOf,
    limitToReport,
    recordLimitedSend,
    recordReportedLimit,
    recordStatedLimit,
    takeReturnSlot,
    updateSharers,
} from "./endpoint-limits.js";
import { createEndpointTable, putEndpoint } from "./endpoint-table.js";
import { FakeLimitedFleet, type FakeLimitedFleetOptions } from "./mocks/fake-limited-fleet.js";
import { allowedInWindow, STABILITY_WINDOW_MS } from "./mocks/limit-rule.js";
import type { EndpointEntry, ServiceName } from "./types.js";

const service = brand<ServiceName>("engines");
const engine: EndpointEntry = {
    id: brand<EndpointId>("engine-0"),
    startedAt: 1,
    service,
    address: "engine-0:80",
    domain: brand<FailureDomain>("a"),
    slots: 64,
    leaving: false,
};
const half = (): number => 0.5;
const first = { isRepeat: false, priority: 0 };

/** Time in ms at which the first endpoint of a fleet states its limit. */
const STATED_AT = 12_000;

/** Requests per second that may reach an endpoint beyond its limit, to learn whether the limit still holds. */
const MAX_TRIAL_RATE = 0.1;

function fleetOf(perSecond: number, options: Partial<FakeLimitedFleetOptions>): FakeLimitedFleet {
    return new FakeLimitedFleet({
        routers: 6,
        serving: 3,
        endpoints: 2,
        requestsPerSecond: 100,
        statedAt: (endpoint, now) => endpoint === 0 && now >= STATED_AT ? perSecond : undefined,
        seed: 1,
        ...options,
    });
}

const sizes = [
    { routers: 6, serving: 3, requestsPerSecond: 100 },
    { routers: 73, serving: 24, requestsPerSecond: 400 },
    { routers: 195, serving: 64, requestsPerSecond: 800 },
];
const cases = sizes.flatMap((size) => [0, 0.2, 2, 50].map((perSecond) => ({ ...size, perSecond })));

/** Cuts one of the first routers off from the store, or restarts it, every second until a time in ms. */
function disturb(fleet: FakeLimitedFleet, routers: number, seed: number, until: number): void {
    const random = createRandom(seed);
    for (let at = 2_000; at < until; at += 1_000) {
        fleet.runUntil(at);
        const router = randomElement(random, fleet.routers.slice(0, routers))!;
        if (randomBelow(random, 2) === 0) {
            fleet.cut(router, 1_000 + randomBelow(random, 9_000));
        }
        else {
            fleet.restart(router, 500 + randomBelow(random, 6_000));
        }
    }
}

/** Limits of a router that knows its fleet and has learned a limit at 0 ms. */
function limitsOf(perSecond: number, fleet: readonly string[] = ["router-0"]): EndpointLimits {
    const limits = createEndpointLimits();
    updateSharers(limits, "router-0", fleet, fleet.length, -10_000);
    updateSharers(limits, "router-0", fleet, fleet.length, 0);
    recordStatedLimit(limits, engine, perSecond, -10, half, 0);
    return limits;
}

/** Sends as many requests as a router may from one time in ms to another. Returns their number. */
function sendAll(limits: EndpointLimits, from: number, until: number, send = first, draw = half): number {
    let count = 0;
    for (let now = from; now < until; now++) {
        if (allowsSend(limits, engine, send, draw(), now)) {
            recordLimitedSend(limits, engine, half, now);
            count++;
        }
    }
    return count;
}

// Guards against incident LIMIT: an endpoint in need got several times the requests that it accepts from all routers
// together, because each router took no account of its limit.
describe("the request limit of an endpoint", () => {
    describe("in a fleet", () => {
        it.each(cases)("holds for $routers routers together at $perSecond per second", ({ perSecond, ...size }) => {
            for (let seed = 1; seed <= 3; seed++) {
                const fleet = fleetOf(perSecond, { ...size, seed });
                fleet.runUntil(STATED_AT + 65_000);
                const max = fleet.maxInWindow(0, STATED_AT + STABILITY_WINDOW_MS, false);
                expect(max).toBeLessThanOrEqual(allowedInWindow(perSecond));
                const rate = fleet.rate(0, STATED_AT + 5_000, STATED_AT + 65_000);
                expect(rate).toBeGreaterThanOrEqual(perSecond / 2);
                expect(rate).toBeLessThanOrEqual(perSecond + MAX_TRIAL_RATE);
            }
        });

        it.each(cases)(
            "holds while routers of $routers are cut off and restart, at $perSecond per second",
            ({ perSecond, ...size }) => {
                for (let seed = 1; seed <= 5; seed++) {
                    const fleet = fleetOf(perSecond, { ...size, seed });
                    disturb(fleet, 2 * size.serving, seed, STATED_AT + 30_000);
                    const max = fleet.maxInWindow(0, STATED_AT + STABILITY_WINDOW_MS, true);
                    expect(max).toBeLessThanOrEqual(allowedInWindow(perSecond));
                }
            },
        );

        it.each(sizes)("holds for $routers routers after it fell, and is used after it rose", (size) => {
            const fell = STATED_AT + 10_000;
            const rose = fell + 15_000;
            const statedAt = (endpoint: number, now: number): number | undefined => {
                if (endpoint !== 0 || now < STATED_AT) {
                    return undefined;
                }
                return now < fell || now >= rose ? 50 : 2;
            };
            const fleet = fleetOf(50, { ...size, statedAt });
            fleet.runUntil(rose);
            expect(fleet.maxInWindow(0, fell + STABILITY_WINDOW_MS, false)).toBeLessThanOrEqual(allowedInWindow(2));
            fleet.runUntil(rose + 20_000);
            expect(fleet.rate(0, rose + 5_000, rose + 20_000)).toBeGreaterThanOrEqual(25);
        });

        // Routers that leave a limited endpoint to others hear nothing from it.
        it.each([[2, 5_000], [0.2, 15_000], [0, 300_000]])(
            "ends for all routers of every size: %d per second, within %d ms",
            (perSecond, withinMs) => {
                const end = STATED_AT + 20_000;
                const statedAt = (endpoint: number, now: number): number | undefined =>
                    endpoint === 0 && now >= STATED_AT && now < end ? perSecond : undefined;
                for (const size of sizes) {
                    const fleet = fleetOf(perSecond, { ...size, statedAt });
                    fleet.runUntil(end);
                    expect(fleet.limitedRouters(0)).toHaveLength(size.routers);
                    fleet.runUntil(end + withinMs);
                    expect(fleet.limitedRouters(0)).toHaveLength(0);
                }
            },
        );

        it("ends also for routers that are cut off from the store meanwhile", () => {
            const end = STATED_AT + 20_000;
            const statedAt = (endpoint: number, now: number): number | undefined =>
                endpoint === 0 && now >= STATED_AT && now < end ? 2 : undefined;
            const fleet = fleetOf(2, { ...sizes[1], statedAt });
            fleet.runUntil(end - 1_000);
            fleet.routers.slice(0, 40).forEach((router) => fleet.cut(router, 9_000));
            fleet.runUntil(end + 15_000);
            expect(fleet.limitedRouters(0)).toHaveLength(0);
        });

        it("holds where all endpoints of a service state one", () => {
            for (const size of sizes) {
                const fleet = fleetOf(2, { ...size, statedAt: (unused, now) => now >= STATED_AT ? 2 : undefined });
                fleet.runUntil(STATED_AT + 20_000);
                for (const index of fleet.endpoints.keys()) {
                    const max = fleet.maxInWindow(index, STATED_AT + STABILITY_WINDOW_MS, false);
                    expect(max).toBeLessThanOrEqual(allowedInWindow(2));
                }
                expect(fleet.refused).toBeGreaterThan(0);
            }
        });
    });

    describe("while the endpoint is cold", () => {
        // Requests per second and time in ms of a deployment's services, and the requests allowed in one second.
        const rule = { perSecond: 12, startMs: 8_000 };
        const allowed = 12 * 1.5 + 5;
        const crashesAt = [14_000, 30_000];

        const coldFleet = (
            size: Partial<FakeLimitedFleetOptions>,
            seed: number,
            inResponses: boolean,
        ): FakeLimitedFleet => {
            const cold = { rule, crashesAt, downMs: 2_500, inResponses };
            return fleetOf(0, { ...size, seed, cold, statedAt: () => undefined });
        };
        // Of 195 routers, those that callers are not sent to often don't notice so short a crash before the registration.
        const exceedsWhenUnaware = ({ routers }: { readonly routers: number; }): boolean => routers > 100;
        const coldSizes = [...sizes, { routers: 89, serving: 30, requestsPerSecond: 500 }];

        it.each(coldSizes)("holds for $routers routers, which use nearly all of it", (size) => {
            for (let seed = 1; seed <= 3; seed++) {
                const fleet = coldFleet(size, seed, true);
                fleet.runUntil(45_000);
                expect(fleet.maxColdPerSecond(exceedsWhenUnaware(size))).toBeLessThanOrEqual(allowed);
                const rate = fleet.rate(0, 17_500, 24_000);
                expect(rate).toBeGreaterThanOrEqual(rule.perSecond / 2);
                expect(rate).toBeLessThanOrEqual(rule.perSecond);
                expect(fleet.rate(0, 26_000, 30_000)).toBeGreaterThan(3 * rule.perSecond);
            }
        });

        it.each(coldSizes.flatMap((size) => [true, false].map((inResponses) => ({ ...size, inResponses }))))(
            "holds for $routers routers that are cut off and restart; stated in responses: $inResponses",
            ({ inResponses, ...size }) => {
                for (let seed = 1; seed <= 3; seed++) {
                    const fleet = coldFleet(size, seed, inResponses);
                    disturb(fleet, 2 * size.serving, seed, 45_000);
                    expect(fleet.maxColdPerSecond(exceedsWhenUnaware(size))).toBeLessThanOrEqual(allowed);
                }
            },
        );
    });

    describe("learned from responses", () => {
        it("is ignored by another start of the endpoint, and kept for the same start at another address", () => {
            const table = createEndpointTable();
            putEndpoint(table, engine);
            recordStatedLimit(table.limits, engine, 2, 0, half, 10);
            const moved = { ...engine, address: "engine-0:81" };
            putEndpoint(table, moved);
            expect(limitOf(table.limits, moved)?.perSecond).toBe(2);
            expect(limitOf(table.limits, { ...engine, startedAt: 2 })).toBeUndefined();
        });

        it("is not replaced by a late response or an old report of an earlier start", () => {
            const limits = createEndpointLimits();
            updateSharers(limits, "router-0", ["router-0"], 1, 0);
            const next = { ...engine, startedAt: 2 };
            recordStatedLimit(limits, next, 2, 0, half, 10);
            expect(recordStatedLimit(limits, engine, 50, 0, half, 20)).toBeUndefined();
            expect(recordReportedLimit(limits, { endpoint: engine.id, startedAt: 1, perSecond: 50 }, half, 9_000))
                .toBeUndefined();
            expect(limitOf(limits, next)?.perSecond).toBe(2);
        });

        it("is not reported over that of a later start", () => {
            const later = { endpoint: engine.id, startedAt: 2, perSecond: undefined };
            expect(limitToReport(limitsOf(2), engine, later)).toBeUndefined();
            expect(limitToReport(limitsOf(2), engine, { ...later, startedAt: 0 })?.perSecond).toBe(2);
        });

        it("is not ended or raised by responses to requests that were sent before it was known", () => {
            const limits = limitsOf(2);
            expect(recordStatedLimit(limits, engine, undefined, -5, half, 20)).toBeUndefined();
            expect(recordStatedLimit(limits, engine, 50, -5, half, 20)).toBeUndefined();
            expect(recordStatedLimit(limits, engine, 1, -5, half, 20)).toEqual({ before: 2, after: 1 });
            expect(recordStatedLimit(limits, engine, undefined, 5, half, 20)).toEqual({ before: 1, after: undefined });
            expect(recordStatedLimit(limits, engine, 2, 15, half, 25)).toBeUndefined();
        });

        it("is not undone by an older report, but checked by one request", () => {
            const limits = limitsOf(2, ["router-0", "router-1", "router-2"]);
            const ended = { endpoint: engine.id, startedAt: 1, perSecond: undefined };
            expect(isTrialDue(limits, engine, 500)).toBe(false);
            expect(recordReportedLimit(limits, ended, half, 500)).toBeUndefined();
            expect(isTrialDue(limits, engine, 500)).toBe(true);
            recordLimitedSend(limits, engine, half, 500);
            expect(isTrialDue(limits, engine, 501)).toBe(false);
            expect(recordReportedLimit(limits, ended, half, 5_000)).toEqual({ before: 2, after: undefined });
        });
    });

    describe("shared among requests", () => {
        it("leaves repeats only what first sends do not use", () => {
            const limits = limitsOf(10);
            const repeat = { isRepeat: true, priority: 0 };
            expect(sendAll(limits, 1_000, 2_000)).toBeGreaterThanOrEqual(8);
            expect(allowsSend(limits, engine, repeat, 0.5, 2_000)).toBe(false);
            expect(allowsSend(limits, engine, repeat, 0.5, 2_500)).toBe(true);
        });

        it("prefers urgent requests without starving others", () => {
            const served = [0, 0];
            const random = createRandom(7);
            const limits = limitsOf(10);
            for (let now = 0; now < 60_000; now += 10) {
                const priority = randomBelow(random, 2) * 2;
                if (allowsSend(limits, engine, { isRepeat: false, priority }, randomBelow(random, 100) / 100, now)) {
                    recordLimitedSend(limits, engine, half, now);
                    served[priority / 2]!++;
                }
            }
            const [urgent, other] = served;
            expect(urgent).toBeGreaterThan(other!);
            expect(other).toBeGreaterThan(urgent! / 8);
        });

        it("gives a router that has just started no share until it knows the fleet", () => {
            const limits = createEndpointLimits();
            updateSharers(limits, "router-0", ["router-0"], 1, 0);
            recordStatedLimit(limits, engine, 50, 0, half, 10);
            expect(sendAll(limits, 10, 2_900)).toBe(0);
            expect(sendAll(limits, 3_000, 5_000)).toBeGreaterThan(50);
        });

        it("does not give the shares of routers away that were removed a moment ago", () => {
            const names = ["router-0", "router-1", "router-2"];
            const limits = limitsOf(50, names);
            const before = sendAll(limits, 1_000, 3_000);
            updateSharers(limits, "router-0", ["router-0"], 1, 3_000);
            expect(sendAll(limits, 3_000, 5_000)).toBeLessThanOrEqual(before + 1);
            updateSharers(limits, "router-0", ["router-0"], 1, 14_000);
            expect(sendAll(limits, 14_000, 16_000)).toBeGreaterThan(2 * before);
        });
    });

    describe("that leaves no room", () => {
        it("spreads the callers that return at the rate of this router's part", () => {
            const limits = limitsOf(2, ["router-0", "router-1"]);
            const delays = [1, 2, 3, 4].map(() => takeReturnSlot(limits, service, 10, 100));
            expect(delays).toEqual([250, 500, 750, 1_000]);
            expect(takeReturnSlot(limits, service, 0, 100)).toBe(10_000);
        });
    });
});
