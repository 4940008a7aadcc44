import type { ResponseEnd } from "@gooseberrybend/core/dispatch";
import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import { isBodiless } from "./raw-headers.js";

/** Delay in ms before a reset: Node.js reports one that arrives together with data as the end of the response. */
export const RESET_DELAY_MS = 50;

/** Is told when a caller has to read on before more is sent. */
export type ReadingObserver = {
    readonly startWaiting: (pendingBytes: number) => void;
    readonly stopWaiting: () => void;
};

/** The response to a caller; a resumed stream is assembled from several endpoints. */
export class CallerAnswer {
    /** Status of the response head; undefined until it is sent. */
    status: number | undefined;
    private endsWithConnection = false;
    private pausedSource: Dispatcher.DispatchController | undefined;

    constructor(private readonly response: ServerResponse, private readonly observer?: ReadingObserver) {
        response.on("drain", () => {
            observer?.stopWaiting();
            this.resumeSource();
        });
    }

    /** Whether the response head has been sent. */
    get isHeadSent(): boolean {
        return this.status !== undefined;
    }

    /** Sends the response head. With `end` "connection-closed", no length or chunks tell the end of the body. */
    sendHead(status: number, headers: string[], end: ResponseEnd): void {
        this.status = status;
        this.applyEnd(end);
        this.response.writeHead(status, headers);
        this.response.flushHeaders();
    }

    /** Sends body bytes, and pauses their source until the caller's socket drains. */
    write(bytes: Buffer | undefined, source: Dispatcher.DispatchController | undefined): void {
        if (bytes !== undefined && !this.response.write(bytes)) {
            this.pausedSource = source;
            source?.pause();
            this.observer?.startWaiting(this.response.writableLength);
        }
    }

    /** Whether a source is paused until the caller's socket drains. */
    isPausing(source: Dispatcher.DispatchController | undefined): boolean {
        return this.pausedSource !== undefined && this.pausedSource === source;
    }

    /** Whether the caller can be told that the body has ended in this way, but not more. */
    canEnd(end: ResponseEnd): boolean {
        return end === "complete" || this.endsWithConnection;
    }

    /** Ends the body. */
    end(): void {
        this.response.end();
    }

    /**
     * Sends a response that has ended; `headers` must not contain Content-Length. The caller is told its length only
     * if the endpoint told its end.
     */
    sendWhole(status: number, headers: string[], body: Buffer, end: ResponseEnd): void {
        const hasLength = end === "complete" && !isBodiless(status, this.response.req.method);
        this.applyEnd(end);
        this.response.writeHead(status, hasLength ? [...headers, "Content-Length", String(body.length)] : headers);
        this.response.end(body);
        this.observer?.startWaiting(0);
    }

    /** Destroys the connection of a partial response, so that the caller can't mistake it for a complete one. */
    abort(): void {
        if (this.response.writableEnded) {
            return;
        }
        this.cut();
    }

    /** Destroys the connection of a response that has not been sent in full, even if all of it has been written. */
    cut(): void {
        if (this.response.writableFinished) {
            return;
        }
        if (!this.endsWithConnection) {
            this.response.destroy();
            return;
        }
        setTimeout(() => this.reset(), RESET_DELAY_MS);
    }

    /** Resets the connection immediately, if its close would make a response look complete that was not sent in full. */
    resetIfUnframed(): void {
        if (this.endsWithConnection && !this.response.writableFinished) {
            this.reset();
        }
    }

    // A close would end the body like that of a complete response.
    private reset(): void {
        this.response.socket?.resetAndDestroy();
    }

    private applyEnd(end: ResponseEnd): void {
        if (end === "connection-closed") {
            this.endsWithConnection = true;
            this.response.useChunkedEncodingByDefault = false;
        }
    }

    private resumeSource(): void {
        const source = this.pausedSource;
        this.pausedSource = undefined;
        // It may send at once, and be paused again.
        source?.resume();
    }
}
