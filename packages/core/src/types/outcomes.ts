/** Whether a refused request was executed at an endpoint: no, possibly, or yes. */
export type Outcome = "not-run" | "may-have-run" | "ran";

/** Reasons for which a request is refused. */
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
/** Reason for which a request was refused. */
export type RefusalReason = typeof refusalReasons[number];

/** Reasons for which a run is retried. */
export const retryReasons = [
    "connection-refused",
    "connection-silent",
    "endpoint-busy",
    "endpoint-crashed",
    "endpoint-leaving",
    "stream-lost",
] as const;
/** Reason for which a run was retried. */
export type RetryReason = typeof retryReasons[number];

/** What a caller states about its attempts at a request. */
export type AttemptHistory = {
    /** True when the router generated the key, so that there was no earlier attempt. */
    readonly keyMinted: boolean;
    /** The caller's attempt number from 1, or undefined when it gave none. */
    readonly attempt: number | undefined;
    /** All attempts up to this number were refused as not run; 0 for none. */
    readonly notRunThrough: number;
};

/** Returns true when no earlier attempt can have run; only then may a refusal state that nothing ran. */
export function isProvablyFirst({ keyMinted, attempt, notRunThrough }: AttemptHistory): boolean {
    return keyMinted || attempt === notRunThrough + 1;
}

/** A refusal: its reason, whether the request may have run, and when to retry. */
export type Refusal = {
    readonly reason: RefusalReason;
    readonly outcome: Outcome;
    readonly retryAfterMs: number;
    readonly detail: string;
};
