import { write } from "node:fs";
import { Logger } from "tslog";
import { lineOf, logLevels } from "../observability/log.js";
import type { GatewaySettings } from "./gateway-settings.js";

/** Bytes that wait for a slow reader; later lines are dropped and counted. */
const BUFFER_BYTES = 256 * 1024;
/** Lines of one sentence in a second beyond which they are only counted. */
const LINES_PER_SECOND = 50;
const STANDARD_OUTPUT = 1;
const WINDOW_MS = 1_000;
/** Pause in ms before a full pipe is tried again. */
const RETRY_MS = 100;

/** Writes bytes and calls back; replaced in tests. */
export type ByteWriter = (text: string, done: (error: NodeJS.ErrnoException | undefined) => void) => void;

/** Writes log lines without ever waiting for their reader, in bounded memory. */
export class LogSink {
    private waiting: string[] = [];
    private waitingBytes = 0;
    private writing = false;
    private dropped = 0;
    private windowAt = 0;
    private readonly counts = new Map<string, number>();

    constructor(private readonly writer: ByteWriter = writeStandardOutput) {}

    /** Takes a line, or counts it when there are too many of its kind or the reader is too slow. */
    add(sentence: string, line: string, now: number): void {
        this.turnWindow(now);
        const count = (this.counts.get(sentence) ?? 0) + 1;
        this.counts.set(sentence, count);
        if (count > LINES_PER_SECOND) {
            return;
        }
        this.push(line);
    }

    private turnWindow(now: number): void {
        if (now - this.windowAt < WINDOW_MS) {
            return;
        }
        this.windowAt = now;
        for (const [sentence, count] of this.counts) {
            if (count > LINES_PER_SECOND) {
                const omitted = count - LINES_PER_SECOND;
                this.push(
                    JSON.stringify({ at: now, level: "INFO", part: "log", message: "Summed.", sentence, omitted }),
                );
            }
        }
        this.counts.clear();
    }

    private push(line: string): void {
        if (this.waitingBytes + line.length > BUFFER_BYTES) {
            this.dropped++;
            return;
        }
        if (this.dropped > 0) {
            const notice = JSON.stringify({
                level: "WARN",
                part: "log",
                message: "Dropped lines.",
                count: this.dropped,
            });
            this.dropped = 0;
            this.push(notice);
        }
        this.waiting.push(line);
        this.waitingBytes += line.length;
        this.flush();
    }

    private flush(): void {
        if (this.writing || this.waiting.length === 0) {
            return;
        }
        const text = `${this.waiting.join("\n")}\n`;
        this.writing = true;
        this.waiting = [];
        this.waitingBytes = 0;
        this.write(text);
    }

    private write(text: string): void {
        this.writer(text, (error) => {
            if (error?.code === "EAGAIN") {
                setTimeout(() => this.write(text), RETRY_MS).unref();
                return;
            }
            // Nothing can be told about a log that can't be written.
            this.writing = false;
            this.flush();
        });
    }
}

// Standard output is written from a worker thread, since a write to a full pipe blocks its thread.
function writeStandardOutput(text: string, done: (error: NodeJS.ErrnoException | undefined) => void): void {
    const bytes = Buffer.from(text);
    const writeRest = (offset: number): void => {
        write(STANDARD_OUTPUT, bytes, offset, bytes.length - offset, undefined, (error, written) => {
            if (!error && offset + written < bytes.length) {
                writeRest(offset + written);
                return;
            }
            done(error ?? undefined);
        });
    };
    writeRest(0);
}

/** A part of a gateway that logs under its own prefix. */
export type GatewayPart = "configuration" | "endpoints" | "fleet" | "host" | "prepaid" | "requests" | "store";

/** Loggers by part. */
export type GatewayLogs = Readonly<Record<GatewayPart, Logger<unknown>>>;

/** Creates the loggers. */
export function createGatewayLogs(settings: GatewaySettings["log"], sink = new LogSink()): GatewayLogs {
    const transport = (entry: unknown): void => {
        const line = lineOf(entry);
        sink.add(`${line.part} ${line.message}`, JSON.stringify(line), line.at.getTime());
    };
    const root = new Logger<unknown>({
        type: "json",
        minLevel: logLevels[settings.level],
        hideLogPositionForProduction: true,
        overwrite: { transportJSON: transport },
    });
    const part = (name: GatewayPart): Logger<unknown> => root.getSubLogger({ prefix: [`${name}:`] });
    return {
        configuration: part("configuration"),
        endpoints: part("endpoints"),
        fleet: part("fleet"),
        host: part("host"),
        prepaid: part("prepaid"),
        requests: part("requests"),
        store: part("store"),
    };
}
