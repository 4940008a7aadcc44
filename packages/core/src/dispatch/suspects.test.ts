import { beforeEach, describe, expect, it } from "vitest";
import { type BodyDigest, brand, type EndpointId } from "../types/ids.js";
import {
    addCrash,
    clearSuspect,
    crashCount,
    createSuspectTable,
    type EndpointStart,
    endTrackedSend,
    forgetStart,
    isPoison,
    noteEnd,
    noteLapse,
    noteLifeSign,
    noteRebirth,
    startName,
    type SuspectTable,
    type TrackedSend,
    trackSend,
} from "./suspects.js";

const poison = brand<BodyDigest>("poison");
const innocent = brand<BodyDigest>("innocent");
const MEMORY_MS = 600_000;

function startOf(name: string): EndpointStart {
    return { endpoint: brand<EndpointId>(name), startedAt: 1 };
}

describe("suspects", () => {
    let table: SuspectTable;

    beforeEach(() => {
        table = createSuspectTable();
    });

    const send = (name: string, body = poison): TrackedSend => trackSend(table, startOf(name), body);
    const breakSend = (name: string, now: number, body = poison): void =>
        endTrackedSend(table, send(name, body), false, now);
    const crash = (name: string, now: number): void => {
        breakSend(name, now);
        noteEnd(table, startOf(name), now + 100);
    };

    describe("a request that crashes endpoints", () => {
        it("is refused after three crashes and not before", () => {
            crash("engine-1", 0);
            crash("engine-2", 1_000);
            expect(isPoison(table, poison, 1_200)).toBe(false);
            crash("engine-3", 2_000);
            expect(isPoison(table, poison, 2_200)).toBe(true);
        });

        it("counts one crash of an endpoint once, whoever saw it", () => {
            ["a", "b", "c"].forEach(() => addCrash(table, poison, "engine-1@1", 0));
            expect(isPoison(table, poison, 1)).toBe(false);
        });

        it("counts each crash of an endpoint whose next process is not registered yet", () => {
            crash("engine-1", 0);
            crash("engine-1", 2_000);
            addCrash(table, poison, "engine-1@1", 2_000);
            expect(isPoison(table, poison, 3_000)).toBe(false);
            breakSend("engine-1", 4_000);
            expect(noteEnd(table, startOf("engine-1"), 4_000)?.start).toBe("engine-1@1#2");
            expect(isPoison(table, poison, 5_000)).toBe(true);
        });

        it("counts a crash after one of the same endpoint that another router saw", () => {
            endTrackedSend(table, send("engine-1", innocent), true, 0);
            addCrash(table, poison, "engine-1@1", 0);
            crash("engine-1", 2_000);
            expect(crashCount(table, poison, 3_000)).toBe(2);
        });

        it("counts crashes that other routers saw", () => {
            crash("engine-1", 0);
            addCrash(table, poison, "engine-2@1", 0);
            addCrash(table, poison, "engine-3@1", 0);
            expect(isPoison(table, poison, 200)).toBe(true);
        });

        it("is known to have been running where the endpoint ended without breaking its connection", () => {
            send("engine-1");
            expect(noteEnd(table, startOf("engine-1"), 9_000)).toEqual({ start: "engine-1@1", requests: [poison] });
        });

        it("is known from the endpoint's next start, also when the new process has answered already", () => {
            breakSend("engine-1", 0);
            noteLifeSign(send("engine-1", innocent), 1_500);
            expect(noteRebirth(table, startOf("engine-1"), 2_000)?.requests).toContain(poison);
        });

        it("is known from the lapse of a silent endpoint, long after its caller left", () => {
            breakSend("engine-1", 500);
            expect(noteLapse(table, startOf("engine-1"), 4_500)?.requests).toEqual([poison]);
        });

        it("is held back where three endpoints are silent since it went unanswered there", () => {
            ["engine-1", "engine-2", "engine-3"].forEach((name) => breakSend(name, 0));
            expect(isPoison(table, poison, 1_000)).toBe(true);
            noteLifeSign(send("engine-2", innocent), 1_500);
            expect(isPoison(table, poison, 1_500)).toBe(false);
        });

        it("counts an endpoint once that is silent and known to have crashed", () => {
            breakSend("engine-1", 0);
            addCrash(table, poison, startName(startOf("engine-1")), 0);
            breakSend("engine-2", 0);
            expect(isPoison(table, poison, 100)).toBe(false);
        });

        it("is remembered among many innocent requests, and for a time only", () => {
            crash("engine-1", 0);
            crash("engine-2", 0);
            crash("engine-3", 0);
            for (let index = 0; index < 6_000; index++) {
                addCrash(table, brand<BodyDigest>(`innocent-${index}`), "engine-1@1", 0);
            }
            expect(isPoison(table, poison, 1_000)).toBe(true);
            expect(isPoison(table, poison, MEMORY_MS + 1_000)).toBe(false);
        });
    });

    describe("an innocent request", () => {
        it("is cleared once it runs to its end", () => {
            ["engine-1@1", "engine-2@1", "engine-3@1"].forEach((start) => addCrash(table, innocent, start, 0));
            expect(clearSuspect(table, innocent, 0)).toBe(3);
            expect(isPoison(table, innocent, 0)).toBe(false);
        });

        it("is not blamed when its answer was lost and the endpoint was heard later", () => {
            breakSend("engine-1", 0, innocent);
            noteLifeSign(send("engine-1", poison), 1_000);
            expect(noteEnd(table, startOf("engine-1"), 5_000)?.requests).toEqual([poison]);
        });

        it("is not blamed when it was answered", () => {
            endTrackedSend(table, send("engine-1", innocent), true, 0);
            expect(noteEnd(table, startOf("engine-1"), 10)).toBeUndefined();
        });

        it("is not blamed when its answer was lost long before", () => {
            breakSend("engine-1", 0, innocent);
            expect(noteEnd(table, startOf("engine-1"), 11_000)).toBeUndefined();
        });

        it("is not blamed for an endpoint that drops its registration and serves on", () => {
            noteLifeSign(send("engine-1", innocent), 4_000);
            expect(noteLapse(table, startOf("engine-1"), 4_500)).toBeUndefined();
            expect(table.lives.size).toBe(0);
        });

        it("is not blamed for an endpoint that left as planned", () => {
            breakSend("engine-1", 0, innocent);
            forgetStart(table, startOf("engine-1"));
            expect(noteEnd(table, startOf("engine-1"), 100)).toBeUndefined();
            expect(crashCount(table, innocent, 100)).toBe(0);
            expect(table.unresolved.size).toBe(0);
        });
    });
});
