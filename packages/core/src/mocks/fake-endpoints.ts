import { type Random, randomBelow } from "../support/random.js";
import type { EndpointId } from "../types/ids.js";
import type { AnswerEnd, Chunk, EndpointFailure, LoadReport } from "../types/messages.js";
import type { FakeClock } from "./fake-clock.js";

/** A request as an endpoint receives it. */
export type FakeEndpointRequest = {
    readonly key: string;
    readonly stream: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly chunks: number;
    readonly poison: boolean;
};

/** Receives the events of an endpoint's answer on one connection. */
export type AnswerListener = {
    readonly chunk: (chunk: Chunk) => void;
    readonly alive: () => void;
    readonly end: (end: AnswerEnd) => void;
    readonly failed: (failure: EndpointFailure, written: boolean) => void;
    /** False once the router has closed its end of the connection. */
    readonly isOpen: () => boolean;
};

type FakeStream = {
    readonly request: FakeEndpointRequest;
    sentChunks: number;
    done: boolean;
    cancelled: boolean;
    listeners: Set<AnswerListener>;
};

/** Ground truth of a fleet's endpoints, independent of what routers report. */
export type EndpointTruth = {
    /** Number of runs started, by request key. */
    readonly starts: Map<string, number>;
    /** Tokens used by each finished run, by request key. */
    readonly finished: Map<string, number[]>;
    crashes: number;
    /** New requests that were started or refused as busy. */
    calls: number;
    startsAfterLeaving: number;
};

const KEEP_ALIVE_INTERVAL_MS = 1_000;
const CONNECT_DELAY_MS = 1;
const LOAD_REPORT_INTERVAL_MS = 200;
const LEAVING_GRACE_MS = 3_000;

/** A model engine or plain service: answers in timed steps, and can crash, leave, or stall connections. */
export class FakeEndpoint {
    up = true;
    /** True when a proxy in front of it accepts connections while it is down, and closes them. */
    behindProxy = false;
    /** True while it refuses every new request as busy. */
    busy = false;
    /** True to drop the chunk at offset 1 of each stream; it is sent only when the stream is resumed. */
    losesChunk = false;
    leavingSince: number | undefined;
    private readonly streams = new Map<string, FakeStream>();
    private loadReport: LoadReport;

    constructor(
        readonly id: EndpointId,
        private readonly kind: "model" | "service",
        private readonly slots: number,
        private readonly stepMs: number,
        private readonly clock: FakeClock,
        private readonly random: Random,
        private readonly truth: EndpointTruth,
    ) {
        this.loadReport = { running: 0, queued: 0, slots, leaving: false };
        this.updateLoadReport();
    }

    /** Starts a request, or resumes its stream from an offset. */
    send(request: FakeEndpointRequest, resumeAt: number | undefined, listener: AnswerListener): void {
        this.clock.after(CONNECT_DELAY_MS, () => {
            if (!this.up) {
                listener.failed(this.behindProxy ? "connection-lost" : "connection-refused", this.behindProxy);
            }
            else if (this.busy) {
                this.truth.calls++;
                listener.failed("busy", false);
            }
            else if (resumeAt !== undefined) {
                this.resume(request, resumeAt, listener);
            }
            else {
                this.start(request, listener);
            }
        });
    }

    /** Stops a stream. */
    cancel(stream: string): void {
        const entry = this.streams.get(stream);
        if (entry !== undefined) {
            entry.cancelled = true;
            this.streams.delete(stream);
        }
    }

    /** Ends the process and all its streams; it restarts after the given ms. */
    crash(backAfterMs: number): void {
        this.truth.crashes++;
        const streams = [...this.streams.values()];
        this.streams.clear();
        this.up = false;
        for (const stream of streams) {
            stream.cancelled = true;
            stream.listeners.forEach((listener) => listener.failed("connection-lost", true));
        }
        this.clock.after(backAfterMs, () => {
            this.up = true;
        });
    }

    /** Stalls all open connections permanently; new ones work. */
    stallConnections(): void {
        for (const stream of this.streams.values()) {
            stream.listeners = new Set();
        }
    }

    /** Returns true when it has a free slot and is neither down nor leaving. */
    hasCapacity(): boolean {
        const running = [...this.streams.values()].filter((stream) => !stream.done).length;
        return this.up && this.leavingSince === undefined && running < this.slots;
    }

    /** Marks the endpoint as leaving in its load reports. */
    leave(): void {
        this.leavingSince ??= this.clock.now;
    }

    /** Returns the latest periodic load report with the current leaving flag; undefined while down. */
    load(): LoadReport | undefined {
        return this.up ? { ...this.loadReport, leaving: this.leavingSince !== undefined } : undefined;
    }

    private updateLoadReport(): void {
        const running = [...this.streams.values()].filter((stream) => !stream.done).length;
        this.loadReport = { running, queued: 0, slots: this.slots, leaving: this.leavingSince !== undefined };
        this.clock.after(LOAD_REPORT_INTERVAL_MS, () => this.updateLoadReport());
    }

    private start(request: FakeEndpointRequest, listener: AnswerListener): void {
        if (this.leavingSince !== undefined && this.clock.now - this.leavingSince > LEAVING_GRACE_MS) {
            this.truth.startsAfterLeaving++;
            listener.failed("leaving", false);
            return;
        }
        this.truth.calls++;
        this.truth.starts.set(request.key, (this.truth.starts.get(request.key) ?? 0) + 1);
        const stream: FakeStream = {
            request,
            sentChunks: 0,
            done: false,
            cancelled: false,
            listeners: new Set([listener]),
        };
        this.streams.set(request.stream, stream);
        if (request.poison) {
            this.clock.after(CONNECT_DELAY_MS, () => this.crash(1_500));
            return;
        }
        this.step(stream);
        this.keepAlive(stream);
    }

    private resume(request: FakeEndpointRequest, from: number, listener: AnswerListener): void {
        const stream = this.streams.get(request.stream);
        if (stream === undefined || this.kind === "service") {
            listener.failed("unknown-stream", true);
            return;
        }
        for (let offset = from; offset < stream.sentChunks; offset++) {
            listener.chunk(chunkOf(stream.request, offset));
        }
        if (stream.done) {
            listener.end(endOf(stream.request, from));
            return;
        }
        stream.listeners.add(listener);
    }

    private step(stream: FakeStream): void {
        this.clock.after(this.stepMs + randomBelow(this.random, this.stepMs), () => {
            if (stream.cancelled) {
                return;
            }
            this.emit(stream);
            if (stream.sentChunks < stream.request.chunks) {
                this.step(stream);
                return;
            }
            this.finish(stream);
        });
    }

    private emit(stream: FakeStream): void {
        const chunk = chunkOf(stream.request, stream.sentChunks++);
        for (const listener of stream.listeners) {
            if (listener.isOpen() && !(this.losesChunk && chunk.offset === 1)) {
                listener.chunk(chunk);
                // About 1 chunk in 20 is sent twice, as may happen after a reconnect.
                if (randomBelow(this.random, 20) === 0) {
                    listener.chunk(chunk);
                }
            }
        }
    }

    private finish(stream: FakeStream): void {
        stream.done = true;
        const { key, promptTokens, outputTokens } = stream.request;
        const finished = this.truth.finished.get(key) ?? [];
        finished.push(promptTokens + outputTokens);
        this.truth.finished.set(key, finished);
        stream.listeners.forEach((listener) => listener.end(endOf(stream.request, 0)));
        stream.listeners.clear();
    }

    private keepAlive(stream: FakeStream): void {
        this.clock.after(KEEP_ALIVE_INTERVAL_MS, () => {
            if (!stream.done && !stream.cancelled) {
                stream.listeners.forEach((listener) => listener.alive());
                this.keepAlive(stream);
            }
        });
    }
}

function chunkOf(request: FakeEndpointRequest, offset: number): Chunk {
    const tokens = Math.floor(request.outputTokens / request.chunks);
    return { offset, tokens, data: `${request.stream}:${offset}` };
}

// Usage comes with the last chunk: a connection resumed after it ends without usage.
function endOf(request: FakeEndpointRequest, from: number): AnswerEnd {
    const { chunks, promptTokens, outputTokens } = request;
    const usage = from < chunks ? { promptTokens, outputTokens } : undefined;
    return { chunks, status: 200, usage, contentType: "text/event-stream" };
}
