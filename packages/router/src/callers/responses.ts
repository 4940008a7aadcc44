import type { AnswerEnd, Chunk, Refusal, RefusalReason } from "@gooseberrybend/core";
import type { ServerResponse } from "node:http";

const EARLY_HEADERS_DELAY_MS = 1_500;

/** Writes the response to one caller. */
export abstract class CallerResponse {
    constructor(protected readonly response: ServerResponse, protected readonly key: string) {}

    /** Adds a chunk to the response; the first one comes with the resume token. */
    abstract chunk(chunk: Chunk, resumeToken: string | undefined): void;
    /** Discards the chunks so far; a caller that already received some has to discard them too. */
    abstract restart(): void;
    /** Completes the response. */
    abstract end(end: AnswerEnd): void;

    /** Sends a refusal: as an error event if the headers are already sent, else with its HTTP status. */
    refuse(refusal: Refusal): void {
        if (this.response.headersSent) {
            this.response.end(`event: error\ndata: ${JSON.stringify({ error: refusalBody(refusal) })}\n\n`);
            return;
        }
        sendRefusal(this.response, statusOf(refusal.reason), refusal, this.key);
    }
}

/** Streams server-sent events. */
export class StreamResponse extends CallerResponse {
    private latestResumeToken: string | undefined;
    private restartPending = false;
    private pendingText = "";

    /** With `resumed`, the caller already received the start of the response on another connection. */
    constructor(
        response: ServerResponse,
        key: string,
        private readonly supportsRestart: boolean,
        private readonly resumed: boolean,
    ) {
        super(response, key);
    }

    /**
     * Sends a keep-alive comment. A caller that supports restarts gets the headers before the first chunk after
     * a delay, since it can read the resume token or a refusal from the stream; others may need the HTTP status.
     */
    keepAlive(waitedMs: number): void {
        if (!this.response.headersSent && this.supportsRestart && waitedMs >= EARLY_HEADERS_DELAY_MS) {
            this.writeHeaders();
        }
        if (this.response.headersSent && !this.response.writableEnded) {
            this.response.write(": keep-alive\n\n");
        }
    }

    override chunk(chunk: Chunk, resumeToken: string | undefined): void {
        this.latestResumeToken = resumeToken ?? this.latestResumeToken;
        if (!this.response.headersSent) {
            this.writeHeaders();
        }
        else if (resumeToken !== undefined && !this.restartPending) {
            this.queue(`: resume ${resumeToken}\n\n`);
        }
        if (this.restartPending) {
            this.restartPending = false;
            this.queue(`: restart ${this.latestResumeToken ?? ""}\n\n`);
        }
        this.queue(`id: ${chunk.offset}\ndata: ${chunk.data}\n\n`);
    }

    override restart(): void {
        if (!this.response.headersSent && !this.resumed) {
            return;
        }
        if (!this.supportsRestart) {
            const detail = "The answer had to be started over. Send the request again.";
            this.refuse({ reason: "endpoint-failed", outcome: "may-have-run", retryAfterMs: 0, detail });
            return;
        }
        this.restartPending = true;
    }

    override end(end: AnswerEnd): void {
        if (!this.response.headersSent) {
            this.writeHeaders();
        }
        this.queue(`: end ${end.chunks}\n\ndata: [DONE]\n\n`);
        this.flush();
        this.response.end();
    }

    override refuse(refusal: Refusal): void {
        this.flush();
        super.refuse(refusal);
    }

    // Batches the chunks of one event loop iteration: the overhead of a write far exceeds the cost of its bytes.
    private queue(text: string): void {
        if (this.pendingText === "") {
            setImmediate(() => this.flush());
        }
        this.pendingText += text;
    }

    private flush(): void {
        if (this.pendingText !== "" && !this.response.writableEnded) {
            this.response.write(this.pendingText);
        }
        this.pendingText = "";
    }

    private writeHeaders(): void {
        this.response.writeHead(200, {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
            "idempotency-key": this.key,
            ...(this.latestResumeToken === undefined ? {} : { "gooseberrybend-resume": this.latestResumeToken }),
        });
    }
}

type CompletionChunk = {
    readonly id?: string;
    readonly model?: string;
    readonly created?: number;
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; readonly finish_reason?: string; }[];
    readonly usage?: object;
};

/** Collects a stream and sends it as one chat completion. */
export class BufferedModelResponse extends CallerResponse {
    private completionChunks: CompletionChunk[] = [];

    override chunk(chunk: Chunk): void {
        this.completionChunks.push(JSON.parse(chunk.data) as CompletionChunk);
    }

    override restart(): void {
        this.completionChunks = [];
    }

    override end(): void {
        const choices = this.completionChunks.flatMap((chunk) => chunk.choices ?? []);
        const content = choices.map((choice) => choice.delta?.content ?? "").join("");
        const finishReason = choices.find((choice) => typeof choice.finish_reason === "string")?.finish_reason
            ?? "stop";
        const first = this.completionChunks[0];
        const completion = {
            id: first?.id,
            object: "chat.completion",
            created: first?.created,
            model: first?.model,
            choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: finishReason }],
            usage: this.completionChunks.find((chunk) => Boolean(chunk.usage))?.usage,
        };
        sendJson(this.response, 200, completion, { "idempotency-key": this.key });
    }
}

/** Sends the response of a service once its body is complete. */
export class ServiceResponse extends CallerResponse {
    private body = Buffer.alloc(0);

    override chunk(chunk: Chunk): void {
        this.body = Buffer.concat([this.body, Buffer.from(chunk.data, "base64")]);
    }

    override restart(): void {
        this.body = Buffer.alloc(0);
    }

    override end(end: AnswerEnd): void {
        this.response.writeHead(end.status, {
            "content-type": end.contentType,
            "content-length": this.body.length,
            "idempotency-key": this.key,
        });
        this.response.end(this.body);
    }
}

const statusByReason: Readonly<Record<RefusalReason, number>> = {
    "account-unknown": 401,
    "bad-request": 400,
    "budget-exhausted": 402,
    "budget-held-elsewhere": 503,
    "claimed-elsewhere": 409,
    "deadline-exceeded": 504,
    "draining": 503,
    "endpoint-failed": 502,
    "fenced": 503,
    "key-reused": 409,
    "ledger-unavailable": 503,
    "no-endpoint": 503,
    "not-ready": 503,
    "overloaded": 429,
    "poison-request": 422,
    "retry-budget-spent": 503,
    "witness-unavailable": 503,
};

/** Returns the HTTP status of a refusal. */
export function statusOf(reason: RefusalReason): number {
    return statusByReason[reason];
}

/** Sends a refusal as JSON with a Retry-After header. */
export function sendRefusal(response: ServerResponse, status: number, refusal: Refusal, key: string | undefined): void {
    const headers: Record<string, string | number> = { "retry-after": Math.ceil(refusal.retryAfterMs / 1000) };
    if (key !== undefined) {
        headers["idempotency-key"] = key;
    }
    sendJson(response, status, { error: refusalBody(refusal) }, headers);
}

function refusalBody(refusal: Refusal): object {
    const { reason, outcome, retryAfterMs, detail } = refusal;
    return { type: reason, outcome, retryAfterMs, message: detail };
}

/** Sends a JSON body. */
export function sendJson(
    response: ServerResponse,
    status: number,
    body: unknown,
    headers: Record<string, string | number> = {},
): void {
    const text = JSON.stringify(body);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...headers,
    });
    response.end(text);
}
