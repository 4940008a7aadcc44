import { digestBody } from "../support/digest.js";
import type { AccountId, BodyDigest } from "../types/ids.js";

/** What a caller asks for. */
export type RequestContent = {
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly body: string;
};

/**
 * Returns a digest that is the same for all tries of a request by a client account. Where a body tells what is
 * asked for, the query may differ from try to try.
 */
export function digestRequest(account: AccountId, { method, target, body }: RequestContent): BodyDigest {
    const [path] = target.split("?", 1);
    return digestBody(account, `${method} ${body === "" ? target : path}\n${body}`);
}
