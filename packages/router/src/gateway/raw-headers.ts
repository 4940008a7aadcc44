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
