import { createParser } from "eventsource-parser";

/** A refusal in the format that routers send. */
export type RefusalBody = {
    readonly type: string;
    readonly outcome: "not-run" | "may-have-run" | "ran";
    readonly retryAfterMs: number;
};

/** State of an answer assembled over one or more connections. */
export type StreamState = {
    texts: string[];
    /** Offset of the next chunk. */
    nextOffset: number;
    resumeToken: string | undefined;
    restarts: number;
    /** True once all chunks counted by the end marker have arrived. */
    ended: boolean;
    refusal: RefusalBody | undefined;
    firstChunkAt: number | undefined;
    lastChunkAt: number | undefined;
    longestGapMs: number;
};

/** Callbacks while an answer is received. */
export type StreamListener = { readonly onText?: (text: string) => void; readonly onRestart?: () => void; };

type ChunkBody = { readonly choices?: readonly { readonly delta?: { readonly content?: string; }; }[]; };

/** Creates the state of an answer of which nothing has been received. */
export function createStreamState(): StreamState {
    return {
        texts: [],
        nextOffset: 0,
        resumeToken: undefined,
        restarts: 0,
        ended: false,
        refusal: undefined,
        firstChunkAt: undefined,
        lastChunkAt: undefined,
        longestGapMs: 0,
    };
}

/** Returns a function that parses the text of one connection, piece by piece, into the state. */
export function createStreamReader(
    state: StreamState,
    listener: StreamListener,
    clock: () => number,
): (text: string) => void {
    let expectedChunks: number | undefined;
    const parser = createParser({
        onEvent(event) {
            if (event.event === "error") {
                state.refusal = (JSON.parse(event.data) as { error: RefusalBody; }).error;
                return;
            }
            if (event.data === "[DONE]") {
                // The answer is complete only if the number of chunks matches the end marker.
                state.ended = expectedChunks === state.nextOffset;
                return;
            }
            appendChunk(state, Number(event.id), event.data, listener, clock());
        },
        onComment(comment) {
            const [keyword, value] = comment.trim().split(" ");
            if (keyword === "end") {
                expectedChunks = Number(value);
            }
            if (keyword === "resume") {
                state.resumeToken = value;
            }
            if (keyword === "restart") {
                restart(state, value, listener);
            }
        },
    });
    return (text) => parser.feed(text);
}

function appendChunk(state: StreamState, offset: number, data: string, listener: StreamListener, now: number): void {
    // Lower offsets are repeats; after a gap, this connection cannot deliver the missing chunks.
    if (offset !== state.nextOffset) {
        return;
    }
    state.nextOffset++;
    state.firstChunkAt ??= now;
    state.longestGapMs = Math.max(state.longestGapMs, now - (state.lastChunkAt ?? now));
    state.lastChunkAt = now;
    const text = (JSON.parse(data) as ChunkBody).choices?.[0]?.delta?.content ?? "";
    state.texts.push(text);
    if (text !== "") {
        listener.onText?.(text);
    }
}

function restart(state: StreamState, token: string | undefined, listener: StreamListener): void {
    state.texts = [];
    state.nextOffset = 0;
    state.restarts++;
    state.resumeToken = token === "" ? undefined : token;
    listener.onRestart?.();
}
