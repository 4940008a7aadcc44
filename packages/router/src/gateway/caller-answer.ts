import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";

/** Statuses of responses without a body. */
const BODYLESS_STATUSES = new Set([204, 304]);

/** The response to a caller; a resumed stream is assembled from several endpoints. */
export class CallerAnswer {
    /** True once the response head has been sent. */
    isHeadSent = false;
    private pausedSource: Dispatcher.DispatchController | undefined;

    constructor(private readonly response: ServerResponse) {
        response.on("drain", () => this.resumeSource());
    }

    /** Sends the response head. */
    sendHead(status: number, headers: string[]): void {
        this.isHeadSent = true;
        this.response.writeHead(status, headers);
        this.response.flushHeaders();
    }

    /** Sends body bytes, and pauses their source until the caller's socket drains. */
    write(bytes: Buffer | undefined, source: Dispatcher.DispatchController | undefined): void {
        if (bytes !== undefined && !this.response.write(bytes)) {
            this.pausedSource = source;
            source?.pause();
        }
    }

    /** Ends the body. */
    end(): void {
        this.response.end();
    }

    /** Sends a complete response to a request with the given method; `headers` must not contain Content-Length. */
    sendComplete(method: string | undefined, status: number, headers: string[], body: Buffer): void {
        const hasBody = method !== "HEAD" && !BODYLESS_STATUSES.has(status);
        this.response.writeHead(status, hasBody ? [...headers, "Content-Length", String(body.length)] : headers);
        this.response.end(body);
    }

    /** Destroys the connection, so that the caller can't mistake a partial response for a complete one. */
    abort(): void {
        this.response.destroy();
    }

    private resumeSource(): void {
        this.pausedSource?.resume();
        this.pausedSource = undefined;
    }
}
