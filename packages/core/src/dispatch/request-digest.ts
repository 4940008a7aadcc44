import { isAscii } from "node:buffer";
import { createHash } from "node:crypto";
import { digestOf } from "../support/digest.js";
import type { AccountId, BodyDigest } from "../types/ids.js";

/** Bytes of a body that are decoded at once. */
const DECODED_BYTES = 64 * 1_024;

/** Content of a caller's request. */
export type RequestContent = {
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly body: Buffer;
};

/**
 * Returns a digest that is the same for all attempts of a request by a client account. The query is ignored if
 * there is a body, because it may then differ between attempts.
 */
export function digestRequest(account: AccountId, { method, target, body }: RequestContent): BodyDigest {
    const [path] = target.split("?", 1);
    const hash = createHash("sha256").update(`${account}\n${method} ${body.length === 0 ? target : path}\n`);
    // Other routers digest the body as Latin 1 text in UTF-8, which is the body itself if it is ASCII.
    if (isAscii(body)) {
        return digestOf(hash.update(body));
    }
    for (let start = 0; start < body.length; start += DECODED_BYTES) {
        hash.update(body.toString("latin1", start, start + DECODED_BYTES));
    }
    return digestOf(hash);
}
