import { describe, expect, it } from "vitest";
import { type AccountId, brand, type EndpointId, type FailureDomain } from "../types/ids.js";
import {
    type AdmissionRequest,
    type AdmissionState,
    decideAdmission,
    recordAdmitted,
    recordServed,
} from "./admission.js";
import { createEndpointTable, type EndpointTable, putEndpoint } from "./endpoint-table.js";
import { recordLoadReport } from "./load-report.js";
import type { PlacementQuery } from "./placement.js";
import type { ServiceName } from "./types.js";

const service = brand<ServiceName>("orders");
const domain = brand<FailureDomain>("a");
const SLOTS = 6;
const SERVICE_MS = 100;
const engine = { slots: SLOTS, memoryTokens: 400_000, tokensPerEvent: 5 };

function queryOf(changes: Partial<PlacementQuery> = {}): PlacementQuery {
    const plain = { service, engine: undefined, parts: [], promptTokens: 0, domain, cacheMs: 0, priority: 1 };
    return { ...plain, tried: new Set(), isRepeat: false, ...changes };
}

function requestOf(account: string, timeLeftMs: number, changes: Partial<PlacementQuery> = {}): AdmissionRequest {
    return { query: queryOf(changes), account: brand<AccountId>(account), timeLeftMs, isContinuation: false };
}

function tableOf(count: number): EndpointTable {
    const table = createEndpointTable();
    for (let index = 0; index < count; index++) {
        const id = brand<EndpointId>(`endpoint-${index}`);
        putEndpoint(table, { id, startedAt: 1, service, address: id, domain, slots: SLOTS, leaving: false });
    }
    return table;
}

/** Every endpoint reports this many requests; without a pace, as endpoints that send three figures do. */
function report(table: EndpointTable, waiting: number, now: number, hasPace = true): void {
    const pacePercent = hasPace ? 100 : undefined;
    table.rows.forEach((row) => recordLoadReport(row, { running: SLOTS, waiting, slots: SLOTS, pacePercent }, now));
}

function learnedState(): AdmissionState {
    const state: AdmissionState = new Map();
    recordServed(state, queryOf(), { firstByteMs: SERVICE_MS, totalMs: SERVICE_MS, units: 1 });
    return state;
}

function returnMs(state: AdmissionState, table: EndpointTable, request: AdmissionRequest, now: number): number {
    const decision = decideAdmission(state, table, request, "reported", now);
    return decision.kind === "refuse" ? decision.retryAfterMs : -1;
}

function causeOf(...parameters: Parameters<typeof decideAdmission>): string {
    const decision = decideAdmission(...parameters);
    return decision.kind === "refuse" ? decision.cause : "admitted";
}

describe("admission", () => {
    describe("orders at plain services whose queues are longer than the time left", () => {
        it("are refused at once, unless an endpoint has a short queue, few figures or an old report", () => {
            const table = tableOf(3);
            report(table, 100, 0);
            expect(causeOf(learnedState(), table, requestOf("one", 500), "reported", 10)).toBe("deadline-unreachable");
            expect(causeOf(learnedState(), table, requestOf("one", 500), "off", 10)).toBe("admitted");
            expect(causeOf(learnedState(), table, requestOf("one", 500), "reported", 600)).toBe("admitted");
            expect(causeOf(new Map(), table, requestOf("one", 500), "reported", 10)).toBe("admitted");
            recordLoadReport([...table.rows.values()][2]!, { running: 6, waiting: 9, slots: 6, pacePercent: 100 }, 0);
            expect(causeOf(learnedState(), table, requestOf("one", 500), "reported", 10)).toBe("admitted");
            const silentOnPace = tableOf(3);
            report(silentOnPace, 100, 0, false);
            expect(causeOf(learnedState(), silentOnPace, requestOf("one", 500), "reported", 10)).toBe("admitted");
            expect(causeOf(learnedState(), silentOnPace, requestOf("one", 500), "always", 10))
                .toBe("deadline-unreachable");
        });

        it("return in the order in which they were refused, within 10 s", () => {
            const [state, table] = [learnedState(), tableOf(1)];
            report(table, 200, 0);
            const times = Array.from(
                { length: 900 },
                (unused, index) => index / 10 + returnMs(state, table, requestOf("one", 500), index / 10),
            );
            expect(times).toEqual(times.toSorted((one, other) => one - other));
            expect(times.at(-1)).toBeLessThanOrEqual(10_090);
            expect(times.at(-1)).toBeGreaterThan(times[0]! + 1_000);
        });
    });

    // Guards against refusing what would have been served: a queue on a virtual clock, with faster and slower times.
    describe("a queue of 6 slots under twice its load", () => {
        it.each([1, 2, 3])("refuses only requests that it would have answered too late (order %i)", (seed) => {
            let drawn = seed;
            const random = (): number => {
                drawn = drawn * 48_271 % 2_147_483_647;
                return drawn / 2_147_483_647;
            };
            const [state, table] = [learnedState(), tableOf(1)];
            const row = [...table.rows.values()][0]!;
            const freeAt = Array.from({ length: SLOTS }, () => 0);
            let running: { readonly startsAt: number; readonly endsAt: number; }[] = [];
            let refused = 0;
            for (let now = 0; now < 30_000; now += 1_000 * random() / SLOTS / 10) {
                const timeLeftMs = 300 + 1_500 * random();
                const decision = causeOf(state, table, requestOf("one", timeLeftMs), "reported", now);
                const tookMs = SERVICE_MS * (0.6 + random());
                const slot = freeAt.indexOf(Math.min(...freeAt));
                const startsAt = Math.max(now, freeAt[slot]!);
                if (decision !== "admitted") {
                    refused++;
                    expect(startsAt + tookMs).toBeGreaterThan(now + timeLeftMs);
                    continue;
                }
                freeAt[slot] = startsAt + tookMs;
                running = [...running.filter(({ endsAt }) => endsAt > now), { startsAt, endsAt: startsAt + tookMs }];
                const waiting = running.filter((request) => request.startsAt > now).length;
                recordLoadReport(
                    row,
                    { running: running.length - waiting, waiting, slots: SLOTS, pacePercent: 100 },
                    now,
                );
            }
            expect(refused).toBeGreaterThan(1_000);
        });
    });

    describe("accounts at a service without free capacity", () => {
        const spend = (state: AdmissionState, account: string, requests: number, now: number): void => {
            for (let request = 0; request < requests; request++) {
                recordAdmitted(state, requestOf(account, 0), now);
            }
        };

        it("are refused first if they use more than their share, and only while capacity is short", () => {
            const [state, table] = [learnedState(), tableOf(2)];
            spend(state, "large", 80, 0);
            ["one", "two", "three"].forEach((account) => spend(state, account, 5, 0));
            report(table, 3, 0);
            expect(causeOf(state, table, requestOf("large", 5_000), "reported", 10)).toBe("account-over-share");
            expect(causeOf(state, table, requestOf("one", 5_000), "reported", 10)).toBe("admitted");
            expect(causeOf(state, table, requestOf("new", 5_000), "reported", 10)).toBe("admitted");
            expect(causeOf(state, table, requestOf("large", 5_000), "reported", 300)).toBe("admitted");
            recordLoadReport([...table.rows.values()][0]!, { running: 5, waiting: 0, slots: 6, pacePercent: 100 }, 10);
            expect(causeOf(state, table, requestOf("large", 5_000), "reported", 10)).toBe("admitted");
        });

        it("are all served at a steady rate, with their largest requests, if one sends eighteen times as much", () => {
            const [state, table] = [new Map() as AdmissionState, tableOf(2)];
            const served = { large: 0, small: 0, reviews: 0 };
            const units = { large: 0, small: 0 };
            for (let now = 0; now < 60_000; now += 10) {
                report(table, 1, now);
                const isSmall = now % 200 === 0;
                const isReview = !isSmall && now % 500 === 10;
                const prompt = { engine, promptTokens: isReview ? 12_000 : 500 };
                const request = requestOf(isSmall ? "small" : "large", 5_000, prompt);
                if (causeOf(state, table, request, "reported", now) === "admitted") {
                    recordAdmitted(state, request, now);
                    served[isSmall ? "small" : isReview ? "reviews" : "large"]++;
                    units[isSmall ? "small" : "large"] += 1_500 + prompt.promptTokens;
                }
            }
            expect(served.small).toBe(300);
            expect(units.large / units.small).toBeGreaterThan(1);
            expect(units.large / units.small).toBeLessThan(2);
            expect(served.large).toBeGreaterThan(60);
            expect(served.reviews).toBeGreaterThan(10);
        });

        it("are never refused where only one of them uses the service", () => {
            const [state, table] = [learnedState(), tableOf(2)];
            spend(state, "large", 80, 0);
            report(table, 3, 0);
            expect(causeOf(state, table, requestOf("large", 5_000), "reported", 10)).toBe("admitted");
        });
    });
});
