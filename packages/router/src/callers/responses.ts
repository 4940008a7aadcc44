import type { AnswerEnd, Chunk, Refusal, RefusalReason } from "@gooseberrybend/core";
import type { ServerResponse } from "node:http";

const EARLY_HEADERS_MS = 1_500;

/** Writes the answer to one caller. */
export abstract class CallerResponse {
    constructor(protected readonly response: ServerResponse, protected readonly key: string) {}

    /** Passes a chunk on; the resume token comes with the first. */
    abstract chunk(chunk: Chunk, resumeToken: string | undefined): void;
    /** Tells the caller to drop what it has. */
    abstract restart(): void;
    /** Ends a whole answer. */
    abstract end(end: AnswerEnd): void;

    /** Answers with a refusal, whatever was sent before. */
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
    private token: string | undefined;
    private restarted = false;
    private waiting = "";

    /** With resumed, the caller has the start of the answer from another connection. */
    constructor(
        response: ServerResponse,
        key: string,
        private readonly restarts: boolean,
        private readonly resumed: boolean,
    ) {
        super(response, key);
    }

    /**
     * Shows the caller that the connection is alive. One that has waited for long gets the headers before the
     * first chunk if it understands a token, or a refusal, that comes later; others may need the status.
     */
    keepAlive(waitedMs: number): void {
        if (!this.response.headersSent && this.restarts && waitedMs >= EARLY_HEADERS_MS) {
            this.start();
        }
        if (this.response.headersSent && !this.response.writableEnded) {
            this.response.write(": keep-alive\n\n");
        }
    }

    override chunk(chunk: Chunk, resumeToken: string | undefined): void {
        this.token = resumeToken ?? this.token;
        if (!this.response.headersSent) {
            this.start();
        }
        else if (resumeToken !== undefined && !this.restarted) {
            this.queue(`: resume ${resumeToken}\n\n`);
        }
        if (this.restarted) {
            this.restarted = false;
            this.queue(`: restart ${this.token ?? ""}\n\n`);
        }
        this.queue(`id: ${chunk.offset}\ndata: ${chunk.data}\n\n`);
    }

    override restart(): void {
        if (!this.response.headersSent && !this.resumed) {
            return;
        }
        if (!this.restarts) {
            const detail = "The answer had to be started over. Send the request again.";
            this.refuse({ reason: "endpoint-failed", outcome: "may-have-run", retryAfterMs: 0, detail });
            return;
        }
        this.restarted = true;
    }

    override end(end: AnswerEnd): void {
        if (!this.response.headersSent) {
            this.start();
        }
        this.queue(`: end ${end.chunks}\n\ndata: [DONE]\n\n`);
        this.flush();
        this.response.end();
    }

    override refuse(refusal: Refusal): void {
        this.flush();
        super.refuse(refusal);
    }

    // Chunks that come in together are written together: a write costs far more than its bytes.
    private queue(text: string): void {
        if (this.waiting === "") {
            setImmediate(() => this.flush());
        }
        this.waiting += text;
    }

    private flush(): void {
        if (this.waiting !== "" && !this.response.writableEnded) {
            this.response.write(this.waiting);
        }
        this.waiting = "";
    }

    private start(): void {
        this.response.writeHead(200, {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
            "idempotency-key": this.key,
            ...(this.token === undefined ? {} : { "gooseberrybend-resume": this.token }),
        });
    }
}

type Delta = {
    readonly id?: string;
    readonly model?: string;
    readonly created?: number;
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; readonly finish_reason?: string; }[];
    readonly usage?: object;
};

/** Collects a stream into one chat completion. */
export class WholeModelResponse extends CallerResponse {
    private pieces: Delta[] = [];

    override chunk(chunk: Chunk): void {
        this.pieces.push(JSON.parse(chunk.data) as Delta);
    }

    override restart(): void {
        this.pieces = [];
    }

    override end(): void {
        const choices = this.pieces.flatMap((piece) => piece.choices ?? []);
        const content = choices.map((choice) => choice.delta?.content ?? "").join("");
        const finish = choices.find((choice) => typeof choice.finish_reason === "string")?.finish_reason ?? "stop";
        const first = this.pieces[0];
        const completion = {
            id: first?.id,
            object: "chat.completion",
            created: first?.created,
            model: first?.model,
            choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: finish }],
            usage: this.pieces.find((piece) => Boolean(piece.usage))?.usage,
        };
        sendJson(this.response, 200, completion, { "idempotency-key": this.key });
    }
}

/** Passes the answer of a plain service on. */
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

const statuses: Readonly<Record<RefusalReason, number>> = {
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
    return statuses[reason];
}

/** Sends a refusal as JSON with Retry-After. */
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
