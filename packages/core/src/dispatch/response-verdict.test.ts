import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    advance,
    continuesStream,
    judgeEnd,
    judgeHead,
    type ResponseHead,
    type ResponseSituation,
    STREAM_START,
} from "./response-verdict.js";

const head: ResponseHead = { status: 200, requestId: "r-1", sealed: true, notRun: false, isEventStream: true };
const first: ResponseSituation = {
    requestId: "r-1",
    kind: "stream",
    begunStatus: undefined,
    onReusedConnection: true,
};
const heads = fc.record({
    status: fc.constantFrom(200, 204, 206, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504),
    requestId: fc.constantFrom("r-1", "r-2", undefined),
    sealed: fc.boolean(),
    notRun: fc.boolean(),
    isEventStream: fc.boolean(),
});
const situations = fc.record({
    requestId: fc.constant("r-1"),
    kind: fc.constantFrom("safe" as const, "unsafe" as const, "stream" as const),
    begunStatus: fc.constantFrom(undefined, 200),
    onReusedConnection: fc.boolean(),
});

describe("the head of a response", () => {
    describe.each([
        { begunStatus: undefined, name: "first" },
        { begunStatus: 200, name: "after a broken stream" },
    ])("$name", ({ begunStatus, name }) => {
        const isFirst = name === "first";
        it.each([
            { change: {}, verdict: "stream" },
            { change: { isEventStream: false }, verdict: isFirst ? "whole" : "failure" },
            { change: { status: 206 }, verdict: isFirst ? "stream" : "failure" },
            { change: { status: 302, sealed: false }, verdict: isFirst ? "whole" : "failure" },
            { change: { status: 404 }, verdict: isFirst ? "whole" : "failure" },
            { change: { status: 429 }, verdict: "failure" },
            { change: { status: 503 }, verdict: "failure" },
            { change: { status: 500 }, verdict: "failure" },
            { change: { status: 503, notRun: true, sealed: false }, verdict: "not-run" },
            { change: { status: 421, notRun: true, sealed: false }, verdict: "not-run" },
            { change: { requestId: "r-2" }, verdict: "foreign" },
            { change: { requestId: undefined }, verdict: "foreign" },
            { change: { sealed: false }, verdict: "foreign" },
        ])("with $change is judged as $verdict", ({ change, verdict }) => {
            expect(judgeHead({ ...head, ...change }, { ...first, begunStatus }).kind).toBe(verdict);
        });
    });

    // Guards against responses of faulty endpoints whose status is none.
    it.each([0, 1, 20, 99, 100, 199, 600, 999, 1_000, 2_000, NaN])("proves nothing with status %d", (status) => {
        fc.assert(fc.property(heads, situations, (anyHead, situation) => {
            expect(judgeHead({ ...anyHead, status }, situation).kind).toBe("foreign");
        }));
    });

    it("proves that a request did not run only if it names the request, or nothing else can have been sent there", () => {
        fc.assert(fc.property(heads, situations, (anyHead, situation) => {
            if (judgeHead(anyHead, situation).kind === "not-run") {
                expect(anyHead.notRun).toBe(true);
                expect(
                    anyHead.requestId === "r-1" || (anyHead.requestId === undefined && !situation.onReusedConnection),
                )
                    .toBe(true);
            }
        }));
    });

    it("lets nothing but a stream of events follow a stream that has begun", () => {
        fc.assert(fc.property(heads, situations, (anyHead, situation) => {
            const verdict = judgeHead(anyHead, { ...situation, begunStatus: 200 });
            expect(verdict.kind).not.toBe("whole");
            if (verdict.kind === "stream") {
                expect(anyHead).toMatchObject({ status: 200, requestId: "r-1", sealed: true, isEventStream: true });
            }
        }));
    });
});

describe("the end of a response", () => {
    // Guards against a part of a response without a length that looks whole, though its request was still being written.
    it("with its connection is none before the request has left the router", () => {
        const body = { hasPartialEvent: false, isEmptyContinuation: false, isRequestPartial: true };
        expect(judgeEnd({ ...body, end: "connection-closed" })).toBe("broken");
        expect(judgeEnd({ ...body, end: "complete" })).toBe("complete");
    });

    it.each(
        [
            { end: "complete", hasPartialEvent: false, isEmptyContinuation: false, verdict: "complete" },
            { end: "connection-closed", hasPartialEvent: false, isEmptyContinuation: false, verdict: "unconfirmed" },
            { end: "complete", hasPartialEvent: true, isEmptyContinuation: false, verdict: "broken" },
            { end: "connection-closed", hasPartialEvent: true, isEmptyContinuation: false, verdict: "broken" },
            { end: "complete", hasPartialEvent: false, isEmptyContinuation: true, verdict: "broken" },
        ] as const,
    )("$end, partial event: $hasPartialEvent, no event: $isEmptyContinuation: $verdict", (ended) => {
        expect(judgeEnd({ isRequestPartial: false, ...ended })).toBe(ended.verdict);
    });
});

describe("a continued stream", () => {
    const after = (...ids: (string | undefined)[]): typeof STREAM_START => ids.reduce(advance, STREAM_START);

    it.each([
        { ids: ["1", "2"], next: "3", continues: true },
        { ids: ["1", "2"], next: "2", continues: false },
        { ids: ["1", "2"], next: "4", continues: false },
        { ids: ["1", "2"], next: undefined, continues: false },
        { ids: ["5", "10"], next: "15", continues: true },
        { ids: ["5", "10"], next: "10", continues: false },
        { ids: ["1", "3", "4"], next: "9", continues: true },
        { ids: ["1"], next: "2", continues: true },
        { ids: ["1"], next: "1", continues: false },
        { ids: ["a", "b"], next: "c", continues: true },
        { ids: ["a", "b"], next: "b", continues: false },
        { ids: [], next: "1", continues: true },
        { ids: [], next: undefined, continues: true },
    ])("after $ids goes on with $next: $continues", ({ ids, next, continues }) => {
        expect(continuesStream(after(...ids), next)).toBe(continues);
    });
});
