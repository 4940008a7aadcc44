import { write } from "node:fs";
import { Logger } from "tslog";
import { logLevels, toLogLine } from "../observability/log.js";
import type { GatewaySettings } from "./gateway-settings.js";

/** Maximum bytes buffered for a slow reader; further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Maximum lines per second with the same part and message; further ones are only counted. */
const MAX_LINES_PER_SECOND = 50;
const STDOUT_FD = 1;
const RATE_WINDOW_MS = 1_000;
/** Pause in ms before a write to a full pipe is tried again. */
const FULL_PIPE_RETRY_MS = 100;

/** Writes text and calls back when done; replaced in tests. */
export type ByteWriter = (text: string, done: (error: NodeJS.ErrnoException | undefined) => void) => void;

/** Writes log lines in bounded memory, without ever blocking on their reader. */
export class LogSink {
    private bufferedLines: string[] = [];
    private bufferedBytes = 0;
    private isWriting = false;
    private droppedLines = 0;
    private windowStartedAt = 0;
    private readonly counts = new Map<string, number>();

    constructor(private readonly writer: ByteWriter = writeStandardOutput) {}

    /** Adds a line, or only counts it when its key exceeds the rate limit or the reader is too slow. */
    add(rateKey: string, line: string, now: number): void {
        this.rollWindow(now);
        const count = (this.counts.get(rateKey) ?? 0) + 1;
        this.counts.set(rateKey, count);
        if (count > MAX_LINES_PER_SECOND) {
            return;
        }
        this.push(line);
    }

    private rollWindow(now: number): void {
        if (now - this.windowStartedAt < RATE_WINDOW_MS) {
            return;
        }
        this.windowStartedAt = now;
        for (const [sentence, count] of this.counts) {
            if (count > MAX_LINES_PER_SECOND) {
                const omitted = count - MAX_LINES_PER_SECOND;
                this.push(
                    JSON.stringify({
                        at: now,
                        level: "INFO",
                        part: "log",
                        message: "Lines over the rate limit suppressed.",
                        sentence,
                        omitted,
                    }),
                );
            }
        }
        this.counts.clear();
    }

    private push(line: string): void {
        if (this.bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
            this.droppedLines++;
            return;
        }
        if (this.droppedLines > 0) {
            const notice = JSON.stringify({
                level: "WARN",
                part: "log",
                message: "Lines dropped, as the output is read too slowly.",
                count: this.droppedLines,
            });
            this.droppedLines = 0;
            this.push(notice);
        }
        this.bufferedLines.push(line);
        this.bufferedBytes += line.length;
        this.flush();
    }

    private flush(): void {
        if (this.isWriting || this.bufferedLines.length === 0) {
            return;
        }
        const text = `${this.bufferedLines.join("\n")}\n`;
        this.isWriting = true;
        this.bufferedLines = [];
        this.bufferedBytes = 0;
        this.write(text);
    }

    private write(text: string): void {
        this.writer(text, (error) => {
            if (error?.code === "EAGAIN") {
                setTimeout(() => this.write(text), FULL_PIPE_RETRY_MS).unref();
                return;
            }
            // There is nowhere to report an error of the log itself.
            this.isWriting = false;
            this.flush();
        });
    }
}

// Uses the asynchronous write, which runs in a worker thread: a write to a full pipe blocks its thread.
function writeStandardOutput(text: string, done: (error: NodeJS.ErrnoException | undefined) => void): void {
    const bytes = Buffer.from(text);
    const writeRest = (offset: number): void => {
        write(STDOUT_FD, bytes, offset, bytes.length - offset, undefined, (error, written) => {
            if (!error && offset + written < bytes.length) {
                writeRest(offset + written);
                return;
            }
            done(error ?? undefined);
        });
    };
    writeRest(0);
}

/** Part of a gateway that logs under its own prefix. */
export type GatewayLogPart = "configuration" | "endpoints" | "fleet" | "host" | "prepaid" | "requests" | "store";

/** Loggers by part. */
export type GatewayLogs = Readonly<Record<GatewayLogPart, Logger<unknown>>>;

/** Creates the loggers. */
export function createGatewayLogs(settings: GatewaySettings["log"], sink = new LogSink()): GatewayLogs {
    const transport = (entry: unknown): void => {
        const line = toLogLine(entry);
        sink.add(`${line.part} ${line.message}`, JSON.stringify(line), line.at.getTime());
    };
    const root = new Logger<unknown>({
        type: "json",
        minLevel: logLevels[settings.level],
        hideLogPositionForProduction: true,
        overwrite: { transportJSON: transport },
    });
    const part = (name: GatewayLogPart): Logger<unknown> => root.getSubLogger({ prefix: [`${name}:`] });
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
