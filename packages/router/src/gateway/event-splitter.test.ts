import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventSplitter } from "./event-splitter.js";

const stream = Array.from({ length: 20 }, (unusedItem, index) => `id: ${index + 1}\ndata: ${"é".repeat(index)}\n\n`)
    .join("");

describe("event splitter", () => {
    it("returns only complete events, however the stream is split", () => {
        fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 40 })), fc.nat(), (sizes, stop) => {
            const bytes = Buffer.from(stream).subarray(0, stop % (Buffer.byteLength(stream) + 1));
            const splitter = new EventSplitter();
            const output: Buffer[] = [];
            let from = 0;
            for (const size of [...sizes, bytes.length]) {
                output.push(splitter.push(bytes.subarray(from, from + size)) ?? Buffer.alloc(0));
                from += size;
            }
            const text = Buffer.concat(output).toString();
            expect(stream.startsWith(text)).toBe(true);
            expect(text === "" || text.endsWith("\n\n")).toBe(true);
            expect(splitter.eventCount).toBe(text.split("\n\n").length - 1);
            expect(splitter.lastEventId).toBe(splitter.eventCount === 0 ? undefined : String(splitter.eventCount));
        }));
    });

    it("tells that a stream broke off inside an event, and drops the rest of it", () => {
        const splitter = new EventSplitter();
        splitter.push(Buffer.from("id: 1\ndata: 1\n\nid: 2\nda"));
        expect(splitter.hasPartialEvent).toBe(true);
        splitter.breakOff();
        expect(splitter.hasPartialEvent).toBe(false);
        expect(splitter.push(Buffer.from("id: 2\ndata: 2\n\n"))!.toString()).toBe("id: 2\ndata: 2\n\n");
    });
});
