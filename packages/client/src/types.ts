/** What a failed call says about the work: nothing ran, something may have, or it ran. */
export type CallOutcome = "not-run" | "may-have-run" | "ran";

/** Why a call failed. */
export type CallFailure = {
    readonly kind: "refused" | "no-router" | "deadline" | "broken-answer";
    /** Reason that a router gave, if one did. */
    readonly reason: string | undefined;
    readonly outcome: CallOutcome;
    /** Time in ms after which another try makes sense. */
    readonly retryAfterMs: number;
    readonly attempts: number;
};

/** A whole answer of a model. */
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

/** A whole answer of a plain service. */
export type ServiceAnswer = {
    readonly key: string;
    readonly status: number;
    readonly body: Buffer;
    readonly attempts: number;
};

/** Settings of a client. Times in ms. */
export type ClientSettings = {
    /** Addresses to ask first for the ones to use. */
    readonly routers: readonly string[];
    readonly credential: string;
    readonly budget?: string;
    readonly timeoutMs?: number;
    /** Silence after which a connection is given up. */
    readonly silenceMs?: number;
    readonly mostAttempts?: number;
    /** Called when a connection to a router is lost with a request on it. */
    readonly onLost?: (router: string, key: string) => void;
};

/** A chat request. */
export type ModelCall = {
    readonly model: string;
    readonly messages: readonly { readonly role: string; readonly content: string; }[];
    readonly maxTokens: number;
    readonly key?: string;
    /** Called with each piece of text in order. */
    readonly onText?: (text: string) => void;
    /** Called when the answer starts over and the text so far is void. */
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
