import { beforeEach, describe, expect, it } from "vitest";
import { brand, type EndpointId, type FailureDomain } from "../types/ids.js";
import {
    coldPeriodOf,
    recordColdRegistration,
    recordContact,
    recordEvacuationEnd,
    recordLostContact,
    recordStatedCold,
    turnedCold,
} from "./cold-endpoints.js";
import { noteSilence, recordHeard } from "./endpoint-health.js";
import { allowsSend, isTrialDue, limitInForce, recordStatedLimit, updateSharers } from "./endpoint-limits.js";
import { createEndpointTable, type EndpointTable, putEndpoint } from "./endpoint-table.js";
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
const first = { isRepeat: false, priority: 0 };
const START_MS = 8_000;

// Guards against endpoints that crash under the load of a warm one after they have started.
describe("a cold endpoint", () => {
    let table: EndpointTable;

    beforeEach(() => {
        table = createEndpointTable();
        putEndpoint(table, engine);
        table.limits.cold.rules = new Map([[service, { perSecond: 12, startMs: START_MS }]]);
        updateSharers(table.limits, "router-0", ["router-0"], 1, -10_000);
    });

    const register = (coldMs: number, revision: number, writtenAfter: number, now: number): void =>
        recordColdRegistration(table.limits.cold, { ...engine, coldMs }, revision, writtenAfter, now);
    const reasonAt = (now: number): string | undefined => coldPeriodOf(table.limits.cold, engine, now)?.reason;
    const isColdAt = (now: number): boolean => reasonAt(now) !== undefined;

    describe("by its registration or a response", () => {
        it("stays cold for the stated time, whatever later ones state, and however often it is read", () => {
            register(3_000, 1, -Infinity, 1_000);
            register(3_000, 1, -Infinity, 1_500);
            register(0, 2, 1_500, 2_000);
            recordStatedCold(table.limits.cold, engine, 0, 2_000);
            expect(reasonAt(3_999)).toBe("registration");
            expect(isColdAt(4_000)).toBe(false);
            recordStatedCold(table.limits.cold, engine, 500, 5_000);
            expect(reasonAt(5_499)).toBe("response");
            expect(isColdAt(5_500)).toBe(false);
        });

        it("is not limited where its service states no limit", () => {
            table.limits.cold.rules = new Map();
            register(3_000, 1, -Infinity, 0);
            expect(isColdAt(1)).toBe(false);
            table.limits.cold.rules = new Map([[service, { perSecond: 12, startMs: 0 }]]);
            recordLostContact(table.limits.cold, engine, 4_000);
            expect(isColdAt(4_001)).toBe(false);
        });
    });

    describe("that was lost, so that it may have restarted", () => {
        it("is cold until some time after the next contact", () => {
            recordLostContact(table.limits.cold, engine, 1_000);
            expect(reasonAt(20_000)).toBe("contact-lost");
            recordContact(table.limits.cold, engine, 20_000, 20_010);
            recordContact(table.limits.cold, engine, 21_000, 21_010);
            expect(isColdAt(20_009 + START_MS)).toBe(true);
            expect(isColdAt(20_010 + START_MS)).toBe(false);
        });

        it("is warm once a registration that was written later states so, but not by an earlier one", () => {
            recordLostContact(table.limits.cold, engine, 1_000);
            register(0, 2, 900, 1_500);
            expect(isColdAt(1_500)).toBe(true);
            register(0, 3, 1_000, 2_500);
            expect(isColdAt(2_500)).toBe(false);
        });

        it("is warm once it responds to an earlier request, as a restart ends its connections", () => {
            recordLostContact(table.limits.cold, engine, 1_000);
            recordContact(table.limits.cold, engine, 900, 1_100);
            expect(isColdAt(1_100)).toBe(false);
        });

        // A router that makes no contact must not leave the endpoint unused for a whole outage of the store.
        it("is warm in the end also without contact", () => {
            recordLostContact(table.limits.cold, engine, 1_000);
            expect(isColdAt(1_000 + 29_999 + START_MS)).toBe(true);
            expect(isColdAt(1_000 + 30_000 + START_MS)).toBe(false);
        });

        it("counts as lost once it is silent, also if nobody looked meanwhile", () => {
            const row = table.rows.get(engine.id)!;
            row.unansweredSince = 1_000;
            noteSilence(table, row, 2_000);
            expect(isColdAt(2_000)).toBe(false);
            recordHeard(table, row, 2_600, 2_700);
            expect(reasonAt(2_700)).toBe("contact-lost");
        });
    });

    describe("of a failure domain whose evacuation ended", () => {
        it("is cold for the time of a start, unless a registration that was written later states otherwise", () => {
            recordEvacuationEnd(table.limits.cold, engine, 1_000);
            expect([isColdAt(999 + START_MS), isColdAt(1_000 + START_MS)]).toEqual([true, false]);
            register(0, 2, 1_000, 1_500);
            expect(isColdAt(1_500)).toBe(false);
        });
    });

    describe("with a limit", () => {
        it("gets the lower one of its cold limit and the one that it states", () => {
            register(3_000, 1, -Infinity, 0);
            expect(limitInForce(table.limits, engine, 100)).toBe(12);
            recordStatedLimit(table.limits, engine, 2, 0, () => 0.5, 100);
            expect(limitInForce(table.limits, engine, 100)).toBe(2);
            recordStatedLimit(table.limits, engine, 50, 200, () => 0.5, 300);
            expect(limitInForce(table.limits, engine, 300)).toBe(12);
            expect(limitInForce(table.limits, engine, 3_000)).toBe(50);
        });

        it("gets no trial of its limit, and nothing from a router that does not know the fleet", () => {
            recordStatedLimit(table.limits, engine, 0, 0, () => 0.5, 0);
            expect(isTrialDue(table.limits, engine, 60_000)).toBe(true);
            register(3_000, 1, -Infinity, 60_000);
            expect(isTrialDue(table.limits, engine, 60_000)).toBe(false);
            table.limits.known.clear();
            table.limits.discoveredAt = 60_000;
            for (let now = 60_000; now < 63_000; now += 10) {
                expect(allowsSend(table.limits, engine, first, 0, now)).toBe(false);
            }
        });

        // Many requests may have been queued for a warm endpoint, all of which would reach it at once.
        it("gets no requests that were queued before it was cold", () => {
            register(3_000, 1, -Infinity, 1_000);
            expect(turnedCold(table.limits.cold, engine, 900, 1_100)).toBe(true);
            expect(turnedCold(table.limits.cold, engine, 1_050, 1_100)).toBe(false);
            expect(turnedCold(table.limits.cold, engine, 900, 4_000)).toBe(false);
        });
    });
});
