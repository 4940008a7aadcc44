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

/** A typed refusal: reason, what may have run, and when to come back. */
export type Refusal = {
    readonly reason: RefusalReason;
    readonly outcome: Outcome;
    readonly retryAfterMs: number;
    readonly detail: string;
};
