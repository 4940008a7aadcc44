import { describe, expect, it } from "vitest";
import { type ByteWriter, LogSink } from "./log-sink.js";

const LINE = "x".repeat(1_000);

describe("log sink", () => {
    describe("when the output is not read", () => {
        const blockedWriter: ByteWriter = () => undefined;

        it("never blocks and keeps memory bounded", () => {
            const sink = new LogSink(blockedWriter);
            const heapBefore = process.memoryUsage().heapUsed;
            const startedAt = performance.now();
            for (let index = 0; index < 200_000; index++) {
                sink.add(`sentence ${index % 1_000}`, LINE + index, index);
            }
            expect(performance.now() - startedAt).toBeLessThan(5_000);
            expect(process.memoryUsage().heapUsed - heapBefore).toBeLessThan(16 * 1024 * 1024);
        });

        it("reports how many lines were dropped once the output is read again", () => {
            const written: string[] = [];
            let resume: (() => void) | undefined;
            const sink = new LogSink((text, done) => {
                written.push(text);
                resume = () => done(undefined);
            });
            for (let index = 0; index < 1_000; index++) {
                sink.add(`sentence ${index}`, LINE, 0);
            }
            resume!();
            sink.add("after", "after", 0);
            resume!();
            expect(written.join("")).toMatch(/"Lines dropped, as the output is read too slowly\.","count":[1-9]/);
        });
    });

    describe("with many lines of the same message", () => {
        it("writes a limited number and the count of the others", () => {
            const written: string[] = [];
            const sink = new LogSink((text, done) => {
                written.push(text);
                done(undefined);
            });
            for (let index = 0; index < 500; index++) {
                sink.add("requests Refused.", "refused", 10);
            }
            sink.add("host Started.", "started", 2_000);
            const lines = written.join("").trim().split("\n");
            expect(lines.filter((line) => line === "refused")).toHaveLength(50);
            expect(lines.find((line) => line.includes("omitted"))).toContain('"omitted":450');
        });
    });
});
