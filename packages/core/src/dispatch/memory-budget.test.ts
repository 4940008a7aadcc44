import { describe, expect, it } from "vitest";
import { connectionLimitsOf, MemoryBudget, type MemoryCharge, memoryLimitsOf, STALL_MS } from "./memory-budget.js";

const SMALLEST_MB = 178;
const MAX_BODY_BYTES = 4_194_304;
const MAX_CONNECTIONS = 2_212;

describe("the limits of an instance", () => {
    it("leave room for several bodies of the usual limit on the smallest one", () => {
        const { totalBytes, reservedBytes } = memoryLimitsOf(SMALLEST_MB);
        expect(totalBytes - reservedBytes).toBeGreaterThan(3 * MAX_BODY_BYTES);
        expect(memoryLimitsOf(1).totalBytes * 0.75).toBeGreaterThan(2 * MAX_BODY_BYTES);
    });

    it("are not there without a known memory or number of descriptors", () => {
        expect(memoryLimitsOf(undefined).totalBytes).toBe(Infinity);
        expect(connectionLimitsOf(undefined, undefined)).toEqual({
            callers: Infinity,
            requests: Infinity,
            others: Infinity,
        });
    });

    it("keep all connections together below the descriptors", () => {
        const { callers, requests, others } = connectionLimitsOf(MAX_CONNECTIONS, undefined);
        expect(callers + requests + 3 * others).toBeLessThanOrEqual(MAX_CONNECTIONS - 200);
    });
});

describe("a memory budget", () => {
    const budgetOf = (): MemoryBudget<string> => new MemoryBudget({ totalBytes: 100, reservedBytes: 25 });
    const held = (budget: MemoryBudget<string>, owner: string, bytes: number, now: number): MemoryCharge<string> => {
        const charge = budget.open(owner, now);
        budget.add(charge, bytes);
        return charge;
    };
    const ownersOf = (charges: readonly MemoryCharge<string>[] | undefined): string[] | undefined =>
        charges?.map(({ owner }) => owner);

    describe("while it has room", () => {
        // Guards against honest slow uploads that are ended without need.
        it("ends no body, however long it makes no progress", () => {
            const budget = budgetOf();
            held(budget, "slow", 50, 0);
            const charge = budget.open("new", 1e6);
            expect(budget.hasRoom(25, true)).toBe(true);
            expect(budget.roomForBody(charge, 25, true, 1e6)).toEqual([]);
            expect(budget.excess(1e6)).toEqual([]);
        });

        it("reserves a part for small bodies", () => {
            const budget = budgetOf();
            held(budget, "large", 75, 0);
            expect(budget.hasRoom(1, true)).toBe(false);
            expect(budget.hasRoom(25, false)).toBe(true);
        });
    });

    describe("that is exhausted", () => {
        it("refuses a new large body while the others make progress", () => {
            const budget = budgetOf();
            const large = held(budget, "large", 75, 0);
            budget.recordProgress(large, 1_024, STALL_MS);
            expect(budget.roomForBody(budget.open("new", 0), 50, true, 2 * STALL_MS - 1)).toBeUndefined();
        });

        it("ends the bodies without progress for longest, and then unread responses", () => {
            const budget = budgetOf();
            const unread = held(budget, "unread", 20, 0);
            budget.setState(unread, "unread", 0);
            held(budget, "second", 20, 2);
            held(budget, "first", 20, 1);
            budget.setState(held(budget, "running", 20, 0), "running", 0);
            const now = 2 * STALL_MS;
            const charge = budget.open("new", now);
            expect(ownersOf(budget.roomForBody(charge, 15, true, now))).toEqual(["first"]);
            expect(ownersOf(budget.roomForBody(charge, 30, true, now))).toEqual(["first", "second"]);
            expect(ownersOf(budget.roomForBody(charge, 75, false, now))).toEqual(["first", "second", "unread"]);
        });

        it("cuts no response for a large body", () => {
            const budget = budgetOf();
            budget.setState(held(budget, "unread", 75, 0), "unread", 0);
            expect(budget.roomForBody(budget.open("new", 0), 50, true, 2 * STALL_MS)).toBeUndefined();
        });

        // Guards against bodies that are ended although the one that needs their room is refused nevertheless.
        it("ends nothing if this would not be enough", () => {
            const budget = budgetOf();
            held(budget, "stalled", 20, 0);
            budget.setState(held(budget, "running", 60, 0), "running", 0);
            expect(budget.roomForBody(budget.open("new", 0), 50, true, 2 * STALL_MS)).toBeUndefined();
        });

        it("counts single bytes as progress only together", () => {
            const budget = budgetOf();
            const trickling = held(budget, "trickling", 75, 0);
            budget.recordProgress(trickling, 1, STALL_MS);
            const charge = budget.open("new", STALL_MS);
            expect(ownersOf(budget.roomForBody(charge, 50, true, STALL_MS))).toEqual(["trickling"]);
        });

        it("cuts unread responses that exceed it, those that are unread for longest first", () => {
            const budget = budgetOf();
            budget.setState(held(budget, "newer", 60, 0), "unread", 2);
            budget.setState(held(budget, "older", 60, 0), "unread", 1);
            expect(ownersOf(budget.excess(3))).toEqual(["older"]);
        });
    });

    it("gives back all bytes of a request once", () => {
        const budget = budgetOf();
        const charge = held(budget, "ended", 50, 0);
        budget.release(charge);
        budget.release(charge);
        budget.add(charge, 10);
        expect(budget.chargedBytes).toBe(0);
    });
});
