import type { Refusal } from "@gooseberrybend/core";
import type { ServerResponse } from "node:http";
import { setImmediate as immediate } from "node:timers/promises";
import { describe, expect, it } from "vitest";
import { StreamResponse } from "./responses.js";

const refusal: Refusal = { reason: "overloaded", outcome: "not-run", retryAfterMs: 2_500, detail: "Busy." };

class RecordedResponse {
    headersSent = false;
    writableEnded = false;
    status = 0;
    text = "";

    writeHead(status: number): void {
        this.status = status;
        this.headersSent = true;
    }

    write(text: string): void {
        this.text += text;
    }

    end(text = ""): void {
        this.text += text;
        this.writableEnded = true;
    }
}

function streamTo(recorded: RecordedResponse, supportsRestart: boolean): StreamResponse {
    return new StreamResponse(recorded as unknown as ServerResponse, "key", supportsRestart, false);
}

describe("a stream whose caller waits for the first chunk", () => {
    it("is refused with an HTTP status before its headers are sent", () => {
        const recorded = new RecordedResponse();
        const stream = streamTo(recorded, true);
        stream.keepAlive(100);
        stream.refuse(refusal);
        expect(recorded.status).toBe(429);
        expect(recorded.text).toContain('"outcome":"not-run"');
    });

    it("sends keep-alive comments before the first chunk, then the resume token", async () => {
        const recorded = new RecordedResponse();
        const stream = streamTo(recorded, true);
        stream.keepAlive(2_000);
        stream.chunk({ offset: 0, tokens: 1, data: "{}" }, "token");
        await immediate();
        expect(recorded.text).toBe(": keep-alive\n\n: resume token\n\nid: 0\ndata: {}\n\n");
    });

    it("is refused with an error event after its headers are sent", () => {
        const recorded = new RecordedResponse();
        const stream = streamTo(recorded, true);
        stream.keepAlive(2_000);
        stream.refuse(refusal);
        expect(recorded.status).toBe(200);
        expect(recorded.text).toContain("event: error\ndata: ");
        expect(recorded.writableEnded).toBe(true);
    });

    it("sends no headers early if the caller does not support restarts", () => {
        const recorded = new RecordedResponse();
        const stream = streamTo(recorded, false);
        stream.keepAlive(60_000);
        expect(recorded.headersSent).toBe(false);
    });
});
