/** Whether the work of a failed call was run: no, possibly, or yes. */
export type CallOutcome = "not-run" | "may-have-run" | "ran";

/** Why a call failed. */
export type CallFailure = {
    readonly kind: "refused" | "no-router" | "deadline" | "broken-answer";
    /** Reason given by a router, if any. */
    readonly reason: string | undefined;
    readonly outcome: CallOutcome;
    /** Time in ms to wait before calling again. */
    readonly retryAfterMs: number;
    readonly attempts: number;
};

/** A complete answer of a model. */
export type ModelAnswer = {
    readonly key: string;
    readonly text: string;
    readonly chunks: number;
    readonly attempts: number;
    readonly restarts: number;
    readonly firstChunkMs: number;
    /** Largest time in ms between two chunks. */
    readonly longestGapMs: number;
};

/** A complete answer of a plain service. */
export type ServiceAnswer = {
    readonly key: string;
    readonly status: number;
    readonly body: Buffer;
    readonly attempts: number;
};

/** Settings of a client. Times in ms. */
export type ClientSettings = {
    /** Router addresses from which the client discovers the others. */
    readonly routers: readonly string[];
    readonly credential: string;
    readonly budget?: string;
    readonly timeoutMs?: number;
    /** Time without data after which an attempt is aborted. */
    readonly silenceMs?: number;
    readonly mostAttempts?: number;
    /** Called when a connection to a router is lost while a request is open on it. */
    readonly onLost?: (router: string, key: string) => void;
};

/** A chat request. */
export type ModelCall = {
    readonly model: string;
    readonly messages: readonly { readonly role: string; readonly content: string; }[];
    readonly maxTokens: number;
    readonly key?: string;
    /** Called with each part of the text, in order. */
    readonly onText?: (text: string) => void;
    /** Called when the answer starts over; discard the text received so far. */
    readonly onRestart?: () => void;
};

/** A call of a plain service. */
export type ServiceCall = {
    readonly service: string;
    readonly method: "GET" | "POST" | "PUT" | "DELETE" | "PATCH";
    readonly path: string;
    readonly body?: string;
    readonly key?: string;
};
