import { digestBody } from "../support/digest.js";
import type { AccountId, BodyDigest } from "../types/ids.js";

/** Content of a caller's request. */
export type RequestContent = {
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly body: string;
};

/**
 * Returns a digest that is the same for all attempts of a request by a client account. The query is ignored if
 * there is a body, because it may then differ between attempts.
 */
export function digestRequest(account: AccountId, { method, target, body }: RequestContent): BodyDigest {
    const [path] = target.split("?", 1);
    return digestBody(account, `${method} ${body === "" ? target : path}\n${body}`);
}
