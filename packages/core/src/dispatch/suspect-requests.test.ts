import { beforeEach, describe, expect, it } from "vitest";
import { type BodyDigest, brand, type EndpointId } from "../types/ids.js";
import { type Crash, crashCount as countCrashes, recordCompletion, type RequestFeatures } from "./crash-evidence.js";
import {
    addCrash as addReportedCrash,
    clearUnanswered,
    createSuspectTable,
    discardStart,
    type EndpointStart,
    endTrackedSend,
    isPoison,
    ranAfter,
    recordBytes,
    recordEnd,
    recordExpiry,
    recordRestart,
    startName,
    type SuspectTable,
    type TrackedSend,
    trackSend,
} from "./suspect-requests.js";
import type { PromptPartId } from "./types.js";

const poison = brand<BodyDigest>("poison");
const unrelated = brand<BodyDigest>("innocent");
const MEMORY_MS = 600_000;

function startOf(name: string): EndpointStart {
    return { endpoint: brand<EndpointId>(name), startedAt: 1 };
}

describe("suspect requests", () => {
    let table: SuspectTable;

    beforeEach(() => {
        table = createSuspectTable();
    });

    const featuresOf = (request: BodyDigest): RequestFeatures => ({ request, parts: [] });
    const send = (name: string, body = poison): TrackedSend => trackSend(table, startOf(name), featuresOf(body));
    const receiveBytes = (tracked: TrackedSend, now: number): boolean => recordBytes(tracked, false, now);
    const addCrash = (body: BodyDigest, start: string, at: number): void =>
        addReportedCrash(table, { start, suspects: [featuresOf(body)], isTimed: false }, at);
    const crashCount = (body: BodyDigest, now: number): number => countCrashes(table.evidence, body, now);
    const requestsOf = (crash: Crash | undefined): BodyDigest[] | undefined =>
        crash?.suspects.map(({ request }) => request);
    const breakSend = (name: string, now: number, body = poison): void =>
        endTrackedSend(table, send(name, body), false, now);
    const crash = (name: string, now: number): void => {
        breakSend(name, now);
        recordEnd(table, startOf(name), now + 100);
    };

    describe("a request that crashes endpoints", () => {
        it("is refused after three crashes and not before", () => {
            crash("engine-1", 0);
            crash("engine-2", 1_000);
            expect(isPoison(table, poison, 1_200)).toBe(false);
            crash("engine-3", 2_000);
            expect(isPoison(table, poison, 2_200)).toBe(true);
        });

        it("counts one crash of an endpoint once, regardless of which router reports it", () => {
            ["a", "b", "c"].forEach(() => addCrash(poison, "engine-1@1", 0));
            expect(isPoison(table, poison, 1)).toBe(false);
        });

        it("counts each crash of an endpoint whose next process is not registered yet", () => {
            crash("engine-1", 0);
            crash("engine-1", 2_000);
            addCrash(poison, "engine-1@1", 2_000);
            expect(isPoison(table, poison, 3_000)).toBe(false);
            breakSend("engine-1", 4_000);
            expect(recordEnd(table, startOf("engine-1"), 4_000)?.start).toBe("engine-1@1#2");
            expect(isPoison(table, poison, 5_000)).toBe(true);
        });

        it("counts a crash after one of the same endpoint that another router reported", () => {
            endTrackedSend(table, send("engine-1", unrelated), true, 0);
            addCrash(poison, "engine-1@1", 0);
            crash("engine-1", 2_000);
            expect(crashCount(poison, 3_000)).toBe(2);
        });

        it("counts crashes that other routers reported", () => {
            crash("engine-1", 0);
            addCrash(poison, "engine-2@1", 0);
            addCrash(poison, "engine-3@1", 0);
            expect(isPoison(table, poison, 200)).toBe(true);
        });

        it("is attributed a crash if the endpoint ended without closing its connection", () => {
            send("engine-1");
            expect(recordEnd(table, startOf("engine-1"), 9_000)).toEqual({
                start: "engine-1@1",
                suspects: [featuresOf(poison)],
                isTimed: true,
            });
        });

        it("is attributed a crash on a restart, even if the new process has already responded", () => {
            breakSend("engine-1", 0);
            receiveBytes(send("engine-1", unrelated), 1_500);
            expect(requestsOf(recordRestart(table, startOf("engine-1"), 2_000))).toContain(poison);
        });

        it("is attributed a crash when a silent endpoint's registration expires, long after the caller left", () => {
            breakSend("engine-1", 500);
            expect(requestsOf(recordExpiry(table, startOf("engine-1"), 4_500))).toEqual([poison]);
        });

        it("is refused while three endpoints are silent since leaving it unanswered", () => {
            ["engine-1", "engine-2", "engine-3"].forEach((name) => breakSend(name, 0));
            expect(isPoison(table, poison, 1_000)).toBe(true);
            receiveBytes(send("engine-2", unrelated), 1_500);
            expect(isPoison(table, poison, 1_500)).toBe(false);
        });

        it("counts an endpoint once if it is silent and also known to have crashed", () => {
            breakSend("engine-1", 0);
            addCrash(poison, startName(startOf("engine-1")), 0);
            breakSend("engine-2", 0);
            expect(isPoison(table, poison, 100)).toBe(false);
        });

        it("is remembered among many unrelated requests, for a limited time", () => {
            crash("engine-1", 0);
            crash("engine-2", 0);
            crash("engine-3", 0);
            for (let index = 0; index < 6_000; index++) {
                addCrash(brand<BodyDigest>(`innocent-${index}`), "engine-1@1", 0);
            }
            expect(isPoison(table, poison, 1_000)).toBe(true);
            expect(isPoison(table, poison, MEMORY_MS + 1_000)).toBe(false);
        });
    });

    // Guards against incident BUDGET, prompt parts: all that ran at an endpoint when it crashed was equally suspect.
    describe("the prompt parts of a request", () => {
        const part = brand<PromptPartId>("part");
        const sendWithPart = (): TrackedSend =>
            trackSend(table, startOf("engine-1"), { request: poison, parts: [part] });
        const suspectParts = (crash: Crash | undefined): (readonly PromptPartId[])[] | undefined =>
            crash?.suspects.map(({ parts }) => parts);

        it("are suspect if the endpoint crashes as it begins to respond", () => {
            const tracked = sendWithPart();
            expect(recordBytes(tracked, true, 100)).toBe(false);
            expect(recordBytes(tracked, true, 200)).toBe(false);
            endTrackedSend(table, tracked, false, 210);
            expect(suspectParts(recordEnd(table, startOf("engine-1"), 220))).toEqual([[part]]);
        });

        it("are not suspect once the endpoint has streamed for a while, though the request is", () => {
            const tracked = sendWithPart();
            recordBytes(tracked, true, 100);
            expect(recordBytes(tracked, true, 1_100)).toBe(true);
            expect(recordBytes(tracked, true, 1_200)).toBe(false);
            endTrackedSend(table, tracked, false, 1_300);
            expect(recordEnd(table, startOf("engine-1"), 1_310)).toMatchObject({
                suspects: [{ request: poison, parts: [] }],
            });
        });

        it("stay suspect while bytes are of no successful stream", () => {
            const tracked = sendWithPart();
            recordBytes(tracked, false, 100);
            expect(recordBytes(tracked, false, 5_000)).toBe(false);
        });

        it("are known to have run only by bytes that can't have been sent before the connection closed", () => {
            const tracked = sendWithPart();
            recordBytes(send("engine-1", unrelated), false, 1_200);
            expect(ranAfter(tracked, 1_000)).toBe(false);
            recordBytes(send("engine-1", unrelated), false, 1_300);
            expect(ranAfter(tracked, 1_000)).toBe(true);
        });
    });

    describe("an unrelated request", () => {
        it("is cleared once it completes", () => {
            ["engine-1@1", "engine-2@1", "engine-3@1"].forEach((start) => addCrash(unrelated, start, 0));
            expect(crashCount(unrelated, 0)).toBe(3);
            recordCompletion(table.evidence, [unrelated], 0);
            clearUnanswered(table, unrelated);
            expect(isPoison(table, unrelated, 0)).toBe(false);
        });

        it("is not attributed a crash if its response was lost but the endpoint sent bytes later", () => {
            breakSend("engine-1", 0, unrelated);
            receiveBytes(send("engine-1", poison), 1_000);
            expect(requestsOf(recordEnd(table, startOf("engine-1"), 5_000))).toEqual([poison]);
        });

        it("is not attributed a crash if it got a response", () => {
            endTrackedSend(table, send("engine-1", unrelated), true, 0);
            expect(recordEnd(table, startOf("engine-1"), 10)).toBeUndefined();
        });

        it("is not attributed a crash if its response was lost long before", () => {
            breakSend("engine-1", 0, unrelated);
            expect(recordEnd(table, startOf("engine-1"), 11_000)).toBeUndefined();
        });

        it("is not attributed a crash if the endpoint drops its registration but still serves", () => {
            receiveBytes(send("engine-1", unrelated), 4_000);
            expect(recordExpiry(table, startOf("engine-1"), 4_500)).toBeUndefined();
            expect(table.starts.size).toBe(0);
        });

        it("is not attributed a crash if the endpoint left as planned", () => {
            breakSend("engine-1", 0, unrelated);
            discardStart(table, startOf("engine-1"));
            expect(recordEnd(table, startOf("engine-1"), 100)).toBeUndefined();
            expect(crashCount(unrelated, 100)).toBe(0);
            expect(table.unresolved.size).toBe(0);
        });
    });
});
