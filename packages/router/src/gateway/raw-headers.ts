import type { RawHeaders } from "./dialect.js";

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

/** How the end of a response shows: by itself, or by the end of its connection, which a crash ends as well. */
export type ResponseEnd = "complete" | "connection-closed";

/** Statuses of responses without a body. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Returns how the end of a response to a request with this method shows. */
export function endOfResponse(status: number, headers: RawHeaders, method: string | undefined): ResponseEnd {
    const names = headers.filter((unusedValue, index) => index % 2 === 0).map((name) => name.toLowerCase());
    const isFramed = names.includes("content-length") || names.includes("transfer-encoding");
    return isFramed || method === "HEAD" || BODILESS_STATUSES.has(status) ? "complete" : "connection-closed";
}
