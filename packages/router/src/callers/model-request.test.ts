import { describe, expect, it } from "vitest";
import { readModelRequest } from "./model-request.js";

const limits = { bodyBytes: 1_024, maxTokens: 100, defaultMaxTokens: 50 };

function read(body: unknown): ReturnType<typeof readModelRequest> {
    return readModelRequest(Buffer.from(typeof body === "string" ? body : JSON.stringify(body)), limits);
}

const messages = [{ role: "user", content: "hello" }];

describe("model requests", () => {
    it("limit the prompt's tokens by its size in bytes and always set max_tokens", () => {
        const request = read({ model: "m", messages })._unsafeUnwrap();
        expect(request.target.maxTokens).toBe(50);
        expect(request.target.promptTokens).toBeGreaterThanOrEqual("hello".length);
        expect(JSON.parse(request.body)).toMatchObject({ max_tokens: 50, stream: true });
    });

    it.each([
        "{",
        {},
        { model: "m", messages: [] },
        { model: "", messages },
        { model: "m", messages, max_tokens: -1 },
        { model: "m", messages, max_tokens: 1.5 },
        { model: "m", messages, max_tokens: 101 },
        { model: "m", messages, n: 2 },
    ])("are rejected when invalid: %j", (body) => {
        expect(read(body)._unsafeUnwrapErr()).toMatchObject({ status: 400, reason: "bad-request" });
    });
});
