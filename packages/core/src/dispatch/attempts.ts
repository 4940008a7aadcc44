import type { Route } from "./types.js";

/** How a send to an endpoint ended without an answer to pass on. */
export type SendFailure =
    /** No connection could be made, so nothing was sent. */
    | "unreachable"
    /** The endpoint said that it did not run the request. */
    | "not-run"
    /** The connection broke after bytes had left. */
    | "broken"
    /** The answer belongs to another request, or is no answer. */
    | "garbled"
    /** The endpoint answered that it failed. */
    | "failed";

/** What the exchange of a request has done so far. */
export type AttemptState = {
    /** Endpoints that the request was sent to. */
    readonly sends: number;
    /** True once an endpoint may have begun to run it. */
    readonly mayHaveRun: boolean;
    /** True once the head of an answer went to the caller. */
    readonly answering: boolean;
    /** True when all that went to the caller ends with a whole event. */
    readonly resumable: boolean;
    /** Time in ms at which the caller gets its final answer at the latest. */
    readonly deadline: number;
};

/** What to do after a failure. */
export type NextStep =
    | { readonly kind: "retry"; }
    | { readonly kind: "resume"; }
    /** Not run, and never will be. */
    | { readonly kind: "refuse"; }
    /** It may have run. */
    | { readonly kind: "fail"; }
    /** The answer that the endpoint gave goes to the caller. */
    | { readonly kind: "pass-on"; }
    /** The answer has begun and can't be completed. */
    | { readonly kind: "cut"; };

/** Least time in ms that a repeat needs to be worth a send. */
const SHORTEST_REPEAT_MS = 30;

/** Decides how a request goes on after a send that failed. */
export function nextStep(
    route: Route,
    state: AttemptState,
    failure: SendFailure,
    repeatAllowed: () => boolean,
    now: number,
): NextStep {
    const mayRepeat = state.deadline - now > SHORTEST_REPEAT_MS && state.sends < route.attemptLimit;
    if (state.answering) {
        const resume = route.resumable && state.resumable && mayRepeat && repeatAllowed();
        return { kind: resume ? "resume" : "cut" };
    }
    const idempotent = route.kind === "safe" || route.resumable;
    const safeToRepeat = idempotent || !state.mayHaveRun;
    if (failure === "unreachable" && state.deadline - now > SHORTEST_REPEAT_MS) {
        // Nothing reached an endpoint, so this is neither a repeat nor an attempt.
        return { kind: safeToRepeat ? "retry" : "fail" };
    }
    if (safeToRepeat && mayRepeat && repeatAllowed()) {
        return { kind: "retry" };
    }
    if (failure === "failed") {
        return { kind: "pass-on" };
    }
    return { kind: state.mayHaveRun ? "fail" : "refuse" };
}
