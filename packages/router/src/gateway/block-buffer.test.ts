import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { BlockBuffer } from "./block-buffer.js";

describe("a block buffer", () => {
    it("returns the bytes of all pieces in their order, and is empty then", () => {
        fc.assert(
            fc.property(fc.array(fc.uint8Array({ maxLength: 100_000, size: "max" })), (pieces) => {
                const buffer = new BlockBuffer();
                pieces.forEach((piece) => buffer.add(Buffer.from(piece)));
                const all = Buffer.concat(pieces);
                expect(buffer.length).toBe(all.length);
                expect(buffer.take().equals(all)).toBe(true);
                expect(buffer.length).toBe(0);
            }),
            { numRuns: 30 },
        );
    });

    // Guards against a buffer that occupies the maximum size of a body for a part of it.
    it("takes memory in proportion to its bytes", () => {
        const buffer = new BlockBuffer();
        const piece = Buffer.from("x");
        const before = process.memoryUsage();
        for (let count = 0; count < 1_000_000; count++) {
            buffer.add(piece);
        }
        const { heapUsed, arrayBuffers } = process.memoryUsage();
        expect(heapUsed - before.heapUsed + arrayBuffers - before.arrayBuffers).toBeLessThan(20_000_000);
    });
});
