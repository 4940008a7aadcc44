import {
    type AccountId,
    type AttemptHistory,
    type BudgetId,
    type Configuration,
    isProvablyFirst,
    type Outcome,
    type RefusalReason,
    type RequestKey,
} from "@gooseberrybend/core";
import { err, ok, type Result } from "neverthrow";
import { createHash, randomUUID, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Parsed headers of a request. */
export type RequestHeaders = AttemptHistory & {
    readonly account: AccountId;
    readonly budget: BudgetId;
    readonly key: RequestKey;
    /** Caller's timeout in ms from now, or undefined if the caller sent none. */
    readonly timeoutMs: number | undefined;
    readonly resumeToken: string | undefined;
    readonly offset: number;
    /** True if the caller can discard a partial stream and read it again from the start. */
    readonly supportsRestart: boolean;
};

/** HTTP status and error of a request that is rejected before admission, so before any reservation. */
export type RequestFault = { readonly status: number; readonly reason: RefusalReason; readonly detail: string; };

const SINGLE_VALUE_HEADERS = [
    "authorization",
    "content-type",
    "gooseberrybend-attempt",
    "gooseberrybend-budget",
    "gooseberrybend-not-run-through",
    "gooseberrybend-offset",
    "gooseberrybend-resume",
    "gooseberrybend-timeout-ms",
    "idempotency-key",
];
const ATTEMPT_HEADER = "gooseberrybend-attempt";
const NOT_RUN_HEADER = "gooseberrybend-not-run-through";
const DEFAULT_BUDGET = "main";
const MAX_ATTEMPT_NUMBER = 1_000_000;
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Parses and validates the headers of a request. Errors of a header's value name the header. */
export function readHeaders(
    request: IncomingMessage,
    configuration: Configuration,
): Result<RequestHeaders, RequestFault> {
    const repeated = repeatedHeader(request.rawHeaders);
    if (repeated !== undefined) {
        return err(badRequest(`The header ${repeated} stands twice.`));
    }
    if (configuration.version === 0) {
        return err({ status: 503, reason: "not-ready", detail: "This router has no configuration yet." });
    }
    const account = accountOf(request, configuration);
    if (account === undefined) {
        return err({ status: 401, reason: "account-unknown", detail: "The credential is missing or not known." });
    }
    const key = headerOf(request, "idempotency-key");
    if (key !== undefined && !KEY_PATTERN.test(key)) {
        return err(badRequest("Idempotency-Key must have 1 to 128 printable characters without spaces."));
    }
    const attempt = integerHeader(request, ATTEMPT_HEADER, 1, MAX_ATTEMPT_NUMBER);
    const notRunThrough = integerHeader(request, NOT_RUN_HEADER, 0, MAX_ATTEMPT_NUMBER);
    const timeoutMs = integerHeader(request, "gooseberrybend-timeout-ms", 1, Number.MAX_SAFE_INTEGER);
    const offset = integerHeader(request, "gooseberrybend-offset", 0, Number.MAX_SAFE_INTEGER);
    for (const number of [attempt, notRunThrough, timeoutMs, offset]) {
        if (number.isErr()) {
            return err(number.error);
        }
    }
    return ok({
        account,
        budget: (headerOf(request, "gooseberrybend-budget") ?? DEFAULT_BUDGET) as BudgetId,
        key: (key ?? randomUUID()) as RequestKey,
        keyMinted: key === undefined,
        attempt: attempt._unsafeUnwrap(),
        notRunThrough: notRunThrough._unsafeUnwrap() ?? 0,
        timeoutMs: timeoutMs._unsafeUnwrap(),
        resumeToken: headerOf(request, "gooseberrybend-resume"),
        offset: offset._unsafeUnwrap() ?? 0,
        supportsRestart: headerOf(request, "gooseberrybend-client") !== undefined,
    });
}

/** Returns the outcome of a request rejected before admission: `not-run` only if no earlier attempt can have run. */
export function outcomeBeforeAdmission(request: IncomingMessage): Outcome {
    const history = {
        keyMinted: headerOf(request, "idempotency-key") === undefined,
        attempt: integerHeader(request, ATTEMPT_HEADER, 1, MAX_ATTEMPT_NUMBER).unwrapOr(undefined),
        notRunThrough: integerHeader(request, NOT_RUN_HEADER, 0, MAX_ATTEMPT_NUMBER).unwrapOr(undefined) ?? 0,
    };
    return isProvablyFirst(history) ? "not-run" : "may-have-run";
}

/** Returns the account of a request's credential, or undefined if the credential is missing or unknown. */
export function accountOf(request: IncomingMessage, configuration: Configuration): AccountId | undefined {
    const credential = bearerTokenOf(request);
    if (credential === undefined) {
        return undefined;
    }
    const presentedDigest = createHash("sha256").update(credential).digest();
    const account = configuration.credentials.get(presentedDigest.toString("hex"));
    if (account === undefined) {
        return undefined;
    }
    // The map lookup by digest is not constant-time; the comparison with the account's digests is.
    const digests = configuration.accounts.get(account)!.credentialDigests;
    return digests.some((digest) => timingSafeEqual(Buffer.from(digest, "hex"), presentedDigest)) ? account : undefined;
}

/** Returns true if a request carries the key as its bearer token; compares in constant time. */
export function hasBearerKey(request: IncomingMessage, key: string): boolean {
    const presentedDigest = createHash("sha256").update(bearerTokenOf(request) ?? "").digest();
    return timingSafeEqual(presentedDigest, createHash("sha256").update(key).digest());
}

function bearerTokenOf(request: IncomingMessage): string | undefined {
    const match = /^Bearer ([\x21-\x7e]{1,512})$/.exec(headerOf(request, "authorization") ?? "");
    return match?.[1];
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function integerHeader(
    request: IncomingMessage,
    name: string,
    min: number,
    max: number,
): Result<number | undefined, RequestFault> {
    const text = headerOf(request, name);
    if (text === undefined) {
        return ok(undefined);
    }
    const value = /^[0-9]{1,16}$/.test(text) ? Number(text) : NaN;
    if (value >= min && value <= max) {
        return ok(value);
    }
    return err(badRequest(`${name} must be a whole number from ${min} to ${max}.`));
}

function repeatedHeader(rawHeaders: readonly string[]): string | undefined {
    const seen = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (seen.has(name) && SINGLE_VALUE_HEADERS.includes(name)) {
            return name;
        }
        seen.add(name);
    }
    return undefined;
}

/** Returns the error of an invalid request. */
export function badRequest(detail: string): RequestFault {
    return { status: 400, reason: "bad-request", detail };
}
