import { describe, expect, it } from "vitest";
import { createStreamReader, createStreamState, type StreamState } from "./model-stream.js";

function event(offset: number, text: string): string {
    return `id: ${offset}\ndata: ${JSON.stringify({ choices: [{ delta: { content: text } }] })}\n\n`;
}

function read(state: StreamState, ...pieces: string[]): StreamState {
    const reader = createStreamReader(state, {}, () => 0);
    pieces.forEach((piece) => reader(piece));
    return state;
}

const done = "data: [DONE]\n\n";

describe("model stream", () => {
    it("is complete when all chunks counted by the end marker arrived", () => {
        const state = read(createStreamState(), event(0, "a"), event(1, "b"), ": end 2\n\n", done);
        expect(state).toMatchObject({ texts: ["a", "b"], ended: true });
    });

    it("is not complete without the end marker or with a gap", () => {
        expect(read(createStreamState(), event(0, "a"), done).ended).toBe(false);
        expect(read(createStreamState(), event(0, "a"), event(2, "c"), ": end 3\n\n", done).ended).toBe(false);
    });

    it("drops repeated chunks and continues across connections", () => {
        const state = read(createStreamState(), event(0, "a"), event(0, "a"), event(1, "b"));
        read(state, event(1, "b"), event(2, "c"), ": end 3\n\n", done);
        expect(state.texts.join("")).toBe("abc");
        expect(state.ended).toBe(true);
    });

    it("starts over on a restart comment", () => {
        const state = read(
            createStreamState(),
            event(0, "a"),
            ": restart token\n\n",
            event(0, "x"),
            ": end 1\n\n",
            done,
        );
        expect(state).toMatchObject({ texts: ["x"], restarts: 1, resumeToken: "token", ended: true });
    });

    it("accepts a resume token after the stream has started", () => {
        const state = read(createStreamState(), ": keep-alive\n\n", ": resume token\n\n", event(0, "a"));
        expect(state).toMatchObject({ resumeToken: "token", texts: ["a"], restarts: 0 });
    });

    it("keeps a refusal received after the stream has started", () => {
        const refusal = { type: "endpoint-failed", outcome: "may-have-run", retryAfterMs: 5 };
        const state = read(
            createStreamState(),
            event(0, "a"),
            `event: error\ndata: ${JSON.stringify({ error: refusal })}\n\n`,
        );
        expect(state.refusal).toEqual(refusal);
        expect(state.ended).toBe(false);
    });
});
