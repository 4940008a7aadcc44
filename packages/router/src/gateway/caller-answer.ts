import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";

/** Statuses of answers that have no body. */
const bodylessStatuses = new Set([204, 304]);

/** The answer to a caller, to which several endpoints may contribute. */
export class CallerAnswer {
    /** True once its head went out. */
    isBegun = false;
    private paused: Dispatcher.DispatchController | undefined;

    constructor(private readonly response: ServerResponse) {
        response.on("drain", () => this.resume());
    }

    /** Sends the head. */
    begin(status: number, headers: string[]): void {
        this.isBegun = true;
        this.response.writeHead(status, headers);
        this.response.flushHeaders();
    }

    /** Sends bytes of the body, and pauses where they come from while the caller does not read. */
    write(bytes: Buffer | undefined, source: Dispatcher.DispatchController | undefined): void {
        if (bytes !== undefined && !this.response.write(bytes)) {
            this.paused = source;
            source?.pause();
        }
    }

    /** Ends the body. */
    end(): void {
        this.response.end();
    }

    /** Sends a whole answer to a request with a method; the headers name no length. */
    sendWhole(method: string | undefined, status: number, headers: string[], body: Buffer): void {
        const hasBody = method !== "HEAD" && !bodylessStatuses.has(status);
        this.response.writeHead(status, hasBody ? [...headers, "Content-Length", String(body.length)] : headers);
        this.response.end(body);
    }

    /** Breaks the answer off, so that a part of it can't be taken for the whole. */
    cut(): void {
        this.response.destroy();
    }

    private resume(): void {
        this.paused?.resume();
        this.paused = undefined;
    }
}
