import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";

/** Settings of an engine stand-in. Times in ms. */
export type EngineSettings = {
    readonly slots: number;
    readonly firstTokenMs: number;
    readonly tokenMs: number;
    /** Interval at which the reported load is refreshed, so the maximum age of a report. */
    readonly reportLagMs: number;
};

/** Faults that can be injected with POST /faults. */
export type EngineFaults = {
    leaving: boolean;
    /** Open connections receive no more data; new ones work. */
    silenceOpen: boolean;
};

type Message = { readonly content: string; };

type Stream = {
    readonly id: string;
    readonly key: string;
    readonly promptTokens: number;
    readonly events: string[];
    readonly outputTokens: number;
    subscribers: Set<FastifyReply>;
    state: "queued" | "running" | "done" | "cancelled";
    startedAt: number;
};

/** What an engine did; the checks of a run compare the ledger with it. */
export type EngineCounts = {
    started: number;
    cancelled: number;
    tokens: number;
    /** Requests that arrived later than a grace period after the engine announced that it leaves. */
    startedAfterLeaving: number;
    /** Keys of all requests that were started. */
    keys: string[];
    /** Finished streams by request key: prompt and output tokens of each run. */
    finished: Record<string, { prompt: number; output: number; }[]>;
};

const CRASH_PROMPT = "crash the engine";
const STEP_INTERVAL_MS = 2;
const KEEP_ALIVE_INTERVAL_MS = 1_000;
const LEAVING_GRACE_MS = 3_000;

/** Returns the words that every engine generates for a prompt, so that callers can verify a whole answer. */
export function answerWords(prompt: string, tokens: number): string[] {
    const words: string[] = [];
    for (let index = 0; index < tokens; index++) {
        words.push(`${prompt.length}:${index} `);
    }
    return words;
}

/** A simulated model engine: batches streams, reports its load with a lag, resumes and cancels by stream id. */
export class Engine {
    readonly faults: EngineFaults = { leaving: false, silenceOpen: false };
    readonly counts: EngineCounts = {
        started: 0,
        cancelled: 0,
        tokens: 0,
        startedAfterLeaving: 0,
        keys: [],
        finished: {},
    };
    private readonly server: FastifyInstance;
    private readonly streams = new Map<string, Stream>();
    private readonly queue: Stream[] = [];
    private readonly running = new Set<Stream>();
    private readonly silenced = new WeakSet<FastifyReply>();
    private reportedLoad = { running: 0, queued: 0 };
    private leavingSince: number | undefined;
    private crashed = false;

    constructor(private readonly settings: EngineSettings) {
        this.server = Fastify({ forceCloseConnections: true, bodyLimit: 16 * 1024 * 1024 });
        this.server.post("/v1/chat/completions", (request, reply) => this.complete(request, reply));
        this.server.get("/v1/streams/:id", (request, reply) => this.resume(request, reply));
        this.server.delete("/v1/streams/:id", async (request) => this.cancel(request));
        this.server.get("/load", async () => this.load());
        this.server.post("/faults", async (request) => this.setFaults(request.body as Partial<EngineFaults>));
        this.server.get("/counts", async () => this.counts);
    }

    /** Starts to listen on loopback and to generate. */
    async listen(port: number): Promise<void> {
        await this.server.listen({ port, host: "127.0.0.1" });
        setInterval(() => this.step(Date.now()), STEP_INTERVAL_MS);
        setInterval(() => this.keepAlive(), KEEP_ALIVE_INTERVAL_MS);
        setInterval(() => {
            this.reportedLoad = { running: this.running.size, queued: this.queue.length };
        }, this.settings.reportLagMs);
    }

    private setFaults(faults: Partial<EngineFaults>): EngineFaults {
        Object.assign(this.faults, faults);
        if (faults.leaving === true) {
            this.leavingSince ??= Date.now();
        }
        if (faults.silenceOpen === true) {
            this.silenceOpenConnections();
        }
        return this.faults;
    }

    private silenceOpenConnections(): void {
        this.faults.silenceOpen = false;
        for (const stream of this.streams.values()) {
            stream.subscribers.forEach((reply) => this.silenced.add(reply));
            stream.subscribers = new Set();
        }
    }

    private load(): object {
        return { ...this.reportedLoad, slots: this.settings.slots, leaving: this.faults.leaving };
    }

    private complete(request: FastifyRequest, reply: FastifyReply): FastifyReply | undefined {
        const body = request.body as { messages: Message[]; max_tokens: number; };
        const prompt = body.messages.map((message) => message.content).join("\n");
        const key = String(request.headers["idempotency-key"] ?? "none");
        if (prompt.includes(CRASH_PROMPT)) {
            this.crash(key);
            return undefined;
        }
        if (this.leavingSince !== undefined && Date.now() - this.leavingSince > LEAVING_GRACE_MS) {
            this.counts.startedAfterLeaving++;
            return reply.code(503).header("x-instance-state", "leaving").send({ error: "leaving" });
        }
        const id = String(request.headers["x-stream-id"] ?? `stream-${this.counts.started}`);
        const outputTokens = countOutputTokens(prompt, body.max_tokens);
        const stream: Stream = {
            id,
            key,
            promptTokens: Math.ceil(prompt.length / 4),
            events: [],
            outputTokens,
            subscribers: new Set(),
            state: "queued",
            startedAt: 0,
        };
        this.counts.started++;
        this.counts.keys.push(key);
        this.streams.set(id, stream);
        this.queue.push(stream);
        this.buildEvents(stream, prompt);
        this.subscribe(stream, reply, 0);
        return undefined;
    }

    // The counts go to the parent process, because the checks need them after the crash.
    private crash(key: string): void {
        this.counts.keys.push(key);
        // Nothing is generated or counted between the crash and the end of the process.
        this.crashed = true;
        if (process.send === undefined) {
            process.exit(1);
        }
        process.send(this.counts, () => process.exit(1));
    }

    private buildEvents(stream: Stream, prompt: string): void {
        for (const [offset, text] of answerWords(prompt, stream.outputTokens).entries()) {
            const body = {
                id: stream.id,
                object: "chat.completion.chunk",
                choices: [{ index: 0, delta: { content: text } }],
            };
            stream.events.push(`id: ${offset}\ndata: ${JSON.stringify(body)}\n\n`);
        }
        const usage = { prompt_tokens: stream.promptTokens, completion_tokens: stream.outputTokens };
        const last = { id: stream.id, object: "chat.completion.chunk", choices: [], usage };
        stream.events.push(`id: ${stream.outputTokens}\ndata: ${JSON.stringify(last)}\n\n`);
    }

    private resume(request: FastifyRequest, reply: FastifyReply): FastifyReply | undefined {
        const { id } = request.params as { id: string; };
        const stream = this.streams.get(id);
        if (stream === undefined || stream.state === "cancelled") {
            return reply.code(404).send({ error: "unknown stream" });
        }
        this.subscribe(stream, reply, Number((request.query as { offset?: string; }).offset ?? 0));
        return undefined;
    }

    private subscribe(stream: Stream, reply: FastifyReply, offset: number): void {
        reply.hijack();
        reply.raw.writeHead(200, { "content-type": "text/event-stream" });
        reply.raw.write(": open\n\n");
        const dueEvents = countDueEvents(stream, Date.now(), this.settings);
        for (let index = offset; index < dueEvents; index++) {
            reply.raw.write(stream.events[index]!);
        }
        if (stream.state === "done") {
            reply.raw.end("data: [DONE]\n\n");
            return;
        }
        stream.subscribers.add(reply);
        reply.raw.on("close", () => stream.subscribers.delete(reply));
    }

    private cancel(request: FastifyRequest): object {
        const stream = this.streams.get((request.params as { id: string; }).id);
        if (stream === undefined || stream.state === "done") {
            return {};
        }
        stream.state = "cancelled";
        this.running.delete(stream);
        const index = this.queue.indexOf(stream);
        if (index >= 0) {
            this.queue.splice(index, 1);
        }
        this.counts.cancelled++;
        stream.subscribers.forEach((reply) => reply.raw.destroy());
        return {};
    }

    private readonly sentEventCounts = new WeakMap<Stream, number>();

    private step(now: number): void {
        if (this.crashed) {
            return;
        }
        while (this.running.size < this.settings.slots && this.queue.length > 0) {
            const stream = this.queue.shift()!;
            stream.state = "running";
            stream.startedAt = now;
            this.running.add(stream);
        }
        for (const stream of this.running) {
            this.advance(stream, now);
        }
    }

    private advance(stream: Stream, now: number): void {
        const from = this.sentEventCounts.get(stream) ?? 0;
        const to = countDueEvents(stream, now, this.settings);
        if (to === from) {
            return;
        }
        this.sentEventCounts.set(stream, to);
        this.counts.tokens += to - from;
        const text = stream.events.slice(from, to).join("");
        for (const reply of stream.subscribers) {
            reply.raw.write(text);
        }
        if (to === stream.events.length) {
            this.finish(stream);
        }
    }

    private finish(stream: Stream): void {
        stream.state = "done";
        this.running.delete(stream);
        const finished = this.counts.finished[stream.key] ??= [];
        finished.push({ prompt: stream.promptTokens, output: stream.outputTokens });
        stream.subscribers.forEach((reply) => reply.raw.end("data: [DONE]\n\n"));
        stream.subscribers.clear();
    }

    private keepAlive(): void {
        for (const stream of [...this.running, ...this.queue]) {
            stream.subscribers.forEach((reply) => reply.raw.write(": keep-alive\n\n"));
        }
    }
}

function countOutputTokens(prompt: string, maxTokens: number): number {
    return Math.max(1, Math.min(maxTokens, 1 + Math.floor(maxTokens * (0.5 + (prompt.length % 50) / 100))));
}

function countDueEvents(stream: Stream, now: number, settings: EngineSettings): number {
    if (stream.state === "queued") {
        return 0;
    }
    const elapsed = now - stream.startedAt - settings.firstTokenMs;
    return elapsed < 0 ? 0 : Math.min(stream.events.length, 1 + Math.floor(elapsed / settings.tokenMs));
}
