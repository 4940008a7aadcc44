import { createParser } from "eventsource-parser";

/** A refusal as a router writes it. */
export type RefusalBody = {
    readonly type: string;
    readonly outcome: "not-run" | "may-have-run" | "ran";
    readonly retryAfterMs: number;
};

/** An answer as it is put together over several connections. */
export type StreamState = {
    texts: string[];
    /** Offset of the next chunk. */
    next: number;
    resumeToken: string | undefined;
    restarts: number;
    ended: boolean;
    refusal: RefusalBody | undefined;
    firstChunkAt: number | undefined;
    lastChunkAt: number | undefined;
    longestGapMs: number;
};

/** What a caller wants to hear while an answer comes in. */
export type StreamListener = { readonly onText?: (text: string) => void; readonly onRestart?: () => void; };

type ChunkBody = { readonly choices?: readonly { readonly delta?: { readonly content?: string; }; }[]; };

/** Creates the state of an answer of which nothing has come in. */
export function createStreamState(): StreamState {
    return {
        texts: [],
        next: 0,
        resumeToken: undefined,
        restarts: 0,
        ended: false,
        refusal: undefined,
        firstChunkAt: undefined,
        lastChunkAt: undefined,
        longestGapMs: 0,
    };
}

/** Returns a function that takes in pieces of a connection's text. */
export function createStreamReader(
    state: StreamState,
    listener: StreamListener,
    clock: () => number,
): (text: string) => void {
    let expectedEnd: number | undefined;
    const parser = createParser({
        onEvent(event) {
            if (event.event === "error") {
                state.refusal = (JSON.parse(event.data) as { error: RefusalBody; }).error;
                return;
            }
            if (event.data === "[DONE]") {
                // The answer is whole only if the end mark's count was reached.
                state.ended = expectedEnd === state.next;
                return;
            }
            takeChunk(state, Number(event.id), event.data, listener, clock());
        },
        onComment(comment) {
            const [word, value] = comment.trim().split(" ");
            if (word === "end") {
                expectedEnd = Number(value);
            }
            if (word === "resume") {
                state.resumeToken = value;
            }
            if (word === "restart") {
                restart(state, value, listener);
            }
        },
    });
    return (text) => parser.feed(text);
}

function takeChunk(state: StreamState, offset: number, data: string, listener: StreamListener, now: number): void {
    // Offsets that were seen are repeats; a gap cannot be filled on this connection.
    if (offset !== state.next) {
        return;
    }
    state.next++;
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
    state.next = 0;
    state.restarts++;
    state.resumeToken = token === "" ? undefined : token;
    listener.onRestart?.();
}
