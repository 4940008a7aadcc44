import type { AccountId, EndpointId, RequestKey, ResumePoint } from "@gooseberrybend/core";
import { createHmac, timingSafeEqual } from "node:crypto";

type TokenBody = {
    readonly endpoint: string;
    readonly stream: string;
    readonly account: string;
    readonly key: string;
};

/** Returns a signed token with the endpoint and id of a stream, so that its caller can resume it at any router. */
export function signResumeToken(secret: string, account: AccountId, key: RequestKey, point: ResumePoint): string {
    const body: TokenBody = { endpoint: point.endpoint, stream: point.stream, account, key };
    const text = Buffer.from(JSON.stringify(body)).toString("base64url");
    return `${text}.${signatureOf(secret, text)}`;
}

/** Verifies a token. Returns undefined if it is not signed with the secret or belongs to another request. */
export function readResumeToken(
    secret: string,
    token: string,
    account: AccountId,
    key: RequestKey,
    offset: number,
): ResumePoint | undefined {
    const [text, signature] = token.split(".");
    if (text === undefined || signature === undefined || !equalInConstantTime(signature, signatureOf(secret, text))) {
        return undefined;
    }
    const body = JSON.parse(Buffer.from(text, "base64url").toString()) as TokenBody;
    if (body.account !== account || body.key !== key) {
        return undefined;
    }
    return { endpoint: body.endpoint as EndpointId, stream: body.stream, offset };
}

function signatureOf(secret: string, text: string): string {
    return createHmac("sha256", secret).update(text).digest("base64url");
}

function equalInConstantTime(first: string, second: string): boolean {
    const left = Buffer.from(first);
    const right = Buffer.from(second);
    return left.length === right.length && timingSafeEqual(left, right);
}
