/** What a refusal says about the work: nothing ran, something may have, or it ran. */
export type Outcome = "not-run" | "may-have-run" | "ran";

/** Why a request was refused. */
export const refusalReasons = [
    "account-unknown",
    "bad-request",
    "budget-exhausted",
    "budget-held-elsewhere",
    "claimed-elsewhere",
    "deadline-exceeded",
    "draining",
    "endpoint-failed",
    "fenced",
    "key-reused",
    "ledger-unavailable",
    "no-endpoint",
    "not-ready",
    "overloaded",
    "poison-request",
    "retry-budget-spent",
    "witness-unavailable",
] as const;
/** Why a request was refused. */
export type RefusalReason = typeof refusalReasons[number];

/** Why a run was tried again at an endpoint. */
export const retryReasons = [
    "connection-refused",
    "connection-silent",
    "endpoint-busy",
    "endpoint-crashed",
    "endpoint-leaving",
    "stream-lost",
] as const;
/** Why a run was tried again at an endpoint. */
export type RetryReason = typeof retryReasons[number];

/** What a caller tells of its attempts at a request. */
export type AttemptHistory = {
    /** True when the router minted the key, so that there was no attempt before. */
    readonly keyMinted: boolean;
    /** The caller's attempt number from 1, or undefined when it gave none. */
    readonly attempt: number | undefined;
    /** All attempts up to this one were refused as not run; 0 for none. */
    readonly notRunThrough: number;
};

/** Returns true when no attempt before this one can have run: only then may a refusal say so. */
export function isProvablyFirst({ keyMinted, attempt, notRunThrough }: AttemptHistory): boolean {
    return keyMinted || attempt === notRunThrough + 1;
}

/** A typed refusal: reason, what may have run, and when to come back. */
export type Refusal = {
    readonly reason: RefusalReason;
    readonly outcome: Outcome;
    readonly retryAfterMs: number;
    readonly detail: string;
};
