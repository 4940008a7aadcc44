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

/** What the headers of a request say. */
export type RequestHeaders = AttemptHistory & {
    readonly account: AccountId;
    readonly budget: BudgetId;
    readonly key: RequestKey;
    /** Time in ms that the caller waits from now, or undefined when it gave none. */
    readonly timeoutMs: number | undefined;
    readonly resumeToken: string | undefined;
    readonly offset: number;
    /** True when the caller understands a restart of a stream. */
    readonly restarts: boolean;
};

/** A request that is turned away before anything is reserved. */
export type HeaderFault = { readonly status: number; readonly reason: RefusalReason; readonly detail: string; };

const SINGLE_HEADERS = [
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
const MOST_ATTEMPTS = 1_000_000;
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Reads and checks the headers of a request. Errors are typed and name the header. */
export function readHeaders(
    request: IncomingMessage,
    configuration: Configuration,
): Result<RequestHeaders, HeaderFault> {
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
    const attempt = wholeNumber(request, ATTEMPT_HEADER, 1, MOST_ATTEMPTS);
    const notRunThrough = wholeNumber(request, NOT_RUN_HEADER, 0, MOST_ATTEMPTS);
    const timeoutMs = wholeNumber(request, "gooseberrybend-timeout-ms", 1, Number.MAX_SAFE_INTEGER);
    const offset = wholeNumber(request, "gooseberrybend-offset", 0, Number.MAX_SAFE_INTEGER);
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
        restarts: headerOf(request, "gooseberrybend-client") !== undefined,
    });
}

/** Returns what a request that is turned away at the door says of its earlier attempts: they may have run. */
export function outcomeAtDoor(request: IncomingMessage): Outcome {
    const history = {
        keyMinted: headerOf(request, "idempotency-key") === undefined,
        attempt: wholeNumber(request, ATTEMPT_HEADER, 1, MOST_ATTEMPTS).unwrapOr(undefined),
        notRunThrough: wholeNumber(request, NOT_RUN_HEADER, 0, MOST_ATTEMPTS).unwrapOr(undefined) ?? 0,
    };
    return isProvablyFirst(history) ? "not-run" : "may-have-run";
}

/** Returns the account whose credential a request shows. */
export function accountOf(request: IncomingMessage, configuration: Configuration): AccountId | undefined {
    const credential = bearerOf(request);
    if (credential === undefined) {
        return undefined;
    }
    const shown = createHash("sha256").update(credential).digest();
    const account = configuration.credentials.get(shown.toString("hex"));
    if (account === undefined) {
        return undefined;
    }
    // The map is found by digest; the comparison itself takes the same time whatever differs.
    const digests = configuration.accounts.get(account)!.credentialDigests;
    return digests.some((digest) => timingSafeEqual(Buffer.from(digest, "hex"), shown)) ? account : undefined;
}

/** Returns true when a request shows a key, compared in constant time. */
export function showsKey(request: IncomingMessage, key: string): boolean {
    const shown = createHash("sha256").update(bearerOf(request) ?? "").digest();
    return timingSafeEqual(shown, createHash("sha256").update(key).digest());
}

function bearerOf(request: IncomingMessage): string | undefined {
    const match = /^Bearer ([\x21-\x7e]{1,512})$/.exec(headerOf(request, "authorization") ?? "");
    return match?.[1];
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function wholeNumber(
    request: IncomingMessage,
    name: string,
    least: number,
    most: number,
): Result<number | undefined, HeaderFault> {
    const text = headerOf(request, name);
    if (text === undefined) {
        return ok(undefined);
    }
    const value = /^[0-9]{1,16}$/.test(text) ? Number(text) : NaN;
    if (value >= least && value <= most) {
        return ok(value);
    }
    return err(badRequest(`${name} must be a whole number from ${least} to ${most}.`));
}

function repeatedHeader(rawHeaders: readonly string[]): string | undefined {
    const seen = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (seen.has(name) && SINGLE_HEADERS.includes(name)) {
            return name;
        }
        seen.add(name);
    }
    return undefined;
}

/** Returns a fault for a request that is not valid. */
export function badRequest(detail: string): HeaderFault {
    return { status: 400, reason: "bad-request", detail };
}
