import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventGate } from "./event-gate.js";

const stream = Array.from({ length: 20 }, (unusedItem, index) => `id: ${index + 1}\ndata: ${"é".repeat(index)}\n\n`)
    .join("");

describe("event gate", () => {
    it("passes only whole events, however the stream is cut", () => {
        fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 40 })), fc.nat(), (sizes, stop) => {
            const bytes = Buffer.from(stream).subarray(0, stop % (Buffer.byteLength(stream) + 1));
            const gate = new EventGate();
            const passed: Buffer[] = [];
            let from = 0;
            for (const size of [...sizes, bytes.length]) {
                passed.push(gate.take(bytes.subarray(from, from + size)) ?? Buffer.alloc(0));
                from += size;
            }
            const text = Buffer.concat(passed).toString();
            expect(stream.startsWith(text)).toBe(true);
            expect(text === "" || text.endsWith("\n\n")).toBe(true);
            expect(gate.events).toBe(text.split("\n\n").length - 1);
            expect(gate.lastId).toBe(gate.events === 0 ? undefined : String(gate.events));
        }));
    });

    it("passes the rest of a stream that ended as it should, and drops it when it broke off", () => {
        const gate = new EventGate();
        gate.take(Buffer.from("id: 1\ndata: 1\n\nid: 2\nda"));
        expect(gate.torn).toBe(true);
        expect(gate.rest()!.toString()).toBe("id: 2\nda");
        gate.take(Buffer.from("id: 2\nda"));
        gate.dropPartial();
        expect(gate.rest()).toBeUndefined();
    });
});
