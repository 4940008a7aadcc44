import { type Random, randomBelow } from "../support/random.js";
import type { EndpointId } from "../types/ids.js";
import type { AnswerEnd, Chunk, EndpointFailure, LoadReport } from "../types/messages.js";
import type { FakeClock } from "./fake-clock.js";

/** What an endpoint is asked to do. */
export type FakeWork = {
    readonly key: string;
    readonly stream: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly chunks: number;
    readonly poison: boolean;
};

/** Where an endpoint's answer goes. */
export type FakeListener = {
    readonly chunk: (chunk: Chunk) => void;
    readonly alive: () => void;
    readonly end: (end: AnswerEnd) => void;
    readonly failed: (failure: EndpointFailure, written: boolean) => void;
    /** False once the router end of the connection is gone. */
    readonly isOpen: () => boolean;
};

type FakeStream = {
    readonly work: FakeWork;
    sent: number;
    done: boolean;
    cancelled: boolean;
    listeners: Set<FakeListener>;
};

/** The truth of all endpoints of a fleet. */
export type EndpointTruth = {
    /** Starts by request key. */
    readonly starts: Map<string, number>;
    /** Finished runs by request key: tokens of each. */
    readonly finished: Map<string, number[]>;
    crashes: number;
    /** Calls that reached an endpoint, turned away or not. */
    calls: number;
    startsAfterLeaving: number;
};

const KEEP_ALIVE_MS = 1_000;
const CONNECT_MS = 1;
const REPORT_LAG_MS = 200;
const LEAVING_GRACE_MS = 3_000;

/** A model engine or plain service: runs work in steps, can crash, leave, or let connections go silent. */
export class FakeEndpoint {
    up = true;
    /** True when something before it takes connections while it is down, and drops them. */
    behindProxy = false;
    /** True while it turns every new request away as busy. */
    busy = false;
    /** True to lose one chunk of each stream on its first connection. */
    losesChunk = false;
    leavingSince: number | undefined;
    private readonly streams = new Map<string, FakeStream>();
    private report: LoadReport;

    constructor(
        readonly id: EndpointId,
        private readonly kind: "model" | "service",
        private readonly slots: number,
        private readonly stepMs: number,
        private readonly clock: FakeClock,
        private readonly random: Random,
        private readonly truth: EndpointTruth,
    ) {
        this.report = { running: 0, queued: 0, slots, leaving: false };
        this.updateReport();
    }

    /** Starts work, or continues the stream from an offset. */
    send(work: FakeWork, resumeAt: number | undefined, listener: FakeListener): void {
        this.clock.after(CONNECT_MS, () => {
            if (!this.up) {
                listener.failed(this.behindProxy ? "connection-lost" : "connection-refused", this.behindProxy);
            }
            else if (this.busy) {
                this.truth.calls++;
                listener.failed("busy", false);
            }
            else if (resumeAt !== undefined) {
                this.resume(work, resumeAt, listener);
            }
            else {
                this.start(work, listener);
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

    /** Ends the process with all its streams; it is back after some ms. */
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

    /** Lets all open connections go silent for good; new ones work. */
    silence(): void {
        for (const stream of this.streams.values()) {
            stream.listeners = new Set();
        }
    }

    /** Returns true when it could run one more request at once. */
    hasRoom(): boolean {
        const running = [...this.streams.values()].filter((stream) => !stream.done).length;
        return this.up && this.leavingSince === undefined && running < this.slots;
    }

    /** Announces that it leaves. */
    leave(): void {
        this.leavingSince ??= this.clock.now;
    }

    /** Gives the load as it was some time ago. */
    load(): LoadReport | undefined {
        return this.up ? { ...this.report, leaving: this.leavingSince !== undefined } : undefined;
    }

    private updateReport(): void {
        const running = [...this.streams.values()].filter((stream) => !stream.done).length;
        this.report = { running, queued: 0, slots: this.slots, leaving: this.leavingSince !== undefined };
        this.clock.after(REPORT_LAG_MS, () => this.updateReport());
    }

    private start(work: FakeWork, listener: FakeListener): void {
        if (this.leavingSince !== undefined && this.clock.now - this.leavingSince > LEAVING_GRACE_MS) {
            this.truth.startsAfterLeaving++;
            listener.failed("leaving", false);
            return;
        }
        this.truth.calls++;
        this.truth.starts.set(work.key, (this.truth.starts.get(work.key) ?? 0) + 1);
        const stream: FakeStream = { work, sent: 0, done: false, cancelled: false, listeners: new Set([listener]) };
        this.streams.set(work.stream, stream);
        if (work.poison) {
            this.clock.after(CONNECT_MS, () => this.crash(1_500));
            return;
        }
        this.step(stream);
        this.keepAlive(stream);
    }

    private resume(work: FakeWork, from: number, listener: FakeListener): void {
        const stream = this.streams.get(work.stream);
        if (stream === undefined || this.kind === "service") {
            listener.failed("unknown-stream", true);
            return;
        }
        for (let offset = from; offset < stream.sent; offset++) {
            listener.chunk(chunkOf(stream.work, offset));
        }
        if (stream.done) {
            listener.end(endOf(stream.work, from));
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
            if (stream.sent < stream.work.chunks) {
                this.step(stream);
                return;
            }
            this.finish(stream);
        });
    }

    private emit(stream: FakeStream): void {
        const chunk = chunkOf(stream.work, stream.sent++);
        for (const listener of stream.listeners) {
            if (listener.isOpen() && !(this.losesChunk && chunk.offset === 1)) {
                listener.chunk(chunk);
                // A connection may repeat a chunk after a reconnect.
                if (randomBelow(this.random, 20) === 0) {
                    listener.chunk(chunk);
                }
            }
        }
    }

    private finish(stream: FakeStream): void {
        stream.done = true;
        const { key, promptTokens, outputTokens } = stream.work;
        const finished = this.truth.finished.get(key) ?? [];
        finished.push(promptTokens + outputTokens);
        this.truth.finished.set(key, finished);
        stream.listeners.forEach((listener) => listener.end(endOf(stream.work, 0)));
        stream.listeners.clear();
    }

    private keepAlive(stream: FakeStream): void {
        this.clock.after(KEEP_ALIVE_MS, () => {
            if (!stream.done && !stream.cancelled) {
                stream.listeners.forEach((listener) => listener.alive());
                this.keepAlive(stream);
            }
        });
    }
}

function chunkOf(work: FakeWork, offset: number): Chunk {
    const tokens = Math.floor(work.outputTokens / work.chunks);
    return { offset, tokens, data: `${work.stream}:${offset}` };
}

// The last chunk tells the usage: a connection that begins after it ends without.
function endOf(work: FakeWork, from: number): AnswerEnd {
    const { chunks, promptTokens, outputTokens } = work;
    const usage = from < chunks ? { promptTokens, outputTokens } : undefined;
    return { chunks, status: 200, usage, contentType: "text/event-stream" };
}
