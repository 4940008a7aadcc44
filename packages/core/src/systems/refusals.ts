import type { RefusalReason } from "../types/outcomes.js";

/** Time in ms after which a request that was refused after waiting may be retried. */
export const OVERDUE_RETRY_AFTER_MS = 1_000;

/** Returns a sentence for callers on what a refusal means and what to do. */
export function detailOf(reason: RefusalReason): string {
    return details[reason];
}

const details: Readonly<Record<RefusalReason, string>> = {
    "account-unknown": "The client account is not declared. Check the credential.",
    "bad-request": "The request is not valid. Correct it before sending it again.",
    "budget-exhausted": "The budget has too few tokens left for this request. Top it up.",
    "budget-held-elsewhere": "The budget's last tokens are held for requests at other routers. Try again shortly.",
    "claimed-elsewhere": "Another router took this key. The call is not run again.",
    "deadline-exceeded": "The deadline passed before the answer was complete.",
    "draining": "This router is shutting down. Use another address.",
    "endpoint-failed": "The endpoint failed before it answered.",
    "fenced": "This router lost its hold on the budget. Use another address.",
    "key-reused": "The idempotency key was used with another body. Use a new key.",
    "ledger-unavailable": "The key-value service does not answer and no tokens are at hand. Try again shortly.",
    "no-endpoint": "No endpoint serves this model or service.",
    "not-ready": "This router has no configuration yet. Use another address.",
    "overloaded": "All endpoints are busy for longer than the deadline allows. Try again later.",
    "poison-request": "This body crashed endpoints repeatedly. It is not run again for a while.",
    "retry-budget-spent": "Too many requests are being retried. Try again later.",
    "witness-unavailable": "This router reaches no other router to vouch for the tokens. Use another address.",
};
