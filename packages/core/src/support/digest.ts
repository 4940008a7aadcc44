import { createHash, type Hash } from "node:crypto";
import type { AccountId, BodyDigest, KeyDigest, RequestKey } from "../types/ids.js";
import { brand } from "../types/ids.js";

const KEY_DIGEST_LENGTH = 16;

/** Returns the SHA-256 of a text in base64url. */
export function digestText(text: string): string {
    return createHash("sha256").update(text).digest("base64url");
}

/** Returns the digest under which the ledger stores an account's request key. */
export function digestKey(account: AccountId, key: RequestKey): KeyDigest {
    return brand<KeyDigest>(digestText(`${account}\n${key}`).slice(0, KEY_DIGEST_LENGTH));
}

/** Returns the digest that identifies equal request bodies of an account. */
export function digestBody(account: AccountId, body: string): BodyDigest {
    return brand<BodyDigest>(digestText(`${account}\n${body}`).slice(0, KEY_DIGEST_LENGTH));
}

/** Returns the digest of all that a hash was updated with. */
export function digestOf(hash: Hash): BodyDigest {
    return brand<BodyDigest>(hash.digest("base64url").slice(0, KEY_DIGEST_LENGTH));
}
