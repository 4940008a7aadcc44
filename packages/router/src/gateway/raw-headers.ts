import type { ResponseEnd } from "@gooseberrybend/core/dispatch";
import type { Dispatcher } from "undici";
import type { RawHeaders } from "./dialect.js";

const CONTENT_TYPE = "content-type";
const EVENT_STREAM_TYPE = /^\s*text\/event-stream\s*(?:;|$)/i;

/** Returns the headers of a response as they arrived. */
export function rawHeadersOf(controller: Dispatcher.DispatchController): string[] {
    // The type declarations of the HTTP client lack this field.
    const { rawHeaders } = controller as unknown as { readonly rawHeaders: readonly Buffer[]; };
    return rawHeaders.map((value) => value.toString("latin1"));
}

/** Returns headers without `content-length`. */
export function withoutContentLength(headers: RawHeaders): string[] {
    const remaining: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
        if (headers[index]!.toLowerCase() !== "content-length") {
            remaining.push(headers[index]!, headers[index + 1]!);
        }
    }
    return remaining;
}

/** Returns whether a body is a stream of events, unless its headers declare another type. */
export function isEventStream(headers: RawHeaders): boolean {
    const index = headers.findIndex((name, at) => at % 2 === 0 && name.toLowerCase() === CONTENT_TYPE);
    return index < 0 || EVENT_STREAM_TYPE.test(headers[index + 1]!);
}

/** Statuses of responses without a body. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Returns whether a response to a request with this method has no body, whatever its headers say. */
export function isBodiless(status: number, method: string | undefined): boolean {
    return method === "HEAD" || BODILESS_STATUSES.has(status);
}

/** Returns how the end of a response to a request with this method shows. */
export function endOfResponse(status: number, headers: RawHeaders, method: string | undefined): ResponseEnd {
    const names = headers.filter((unusedValue, index) => index % 2 === 0).map((name) => name.toLowerCase());
    const isFramed = names.includes("content-length") || names.includes("transfer-encoding");
    return isFramed || isBodiless(status, method) ? "complete" : "connection-closed";
}
