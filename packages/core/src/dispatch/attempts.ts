import type { Route } from "./types.js";

/** Why a send to an endpoint gave no response to forward. */
export type SendFailure =
    /** No connection could be made, so nothing was sent. */
    | "unreachable"
    /** The endpoint reported that it did not run the request. */
    | "not-run"
    /** The connection was lost after bytes had been sent. */
    | "broken"
    /** The response is malformed or belongs to another request. */
    | "garbled"
    /** The endpoint returned an error response. */
    | "failed";

/** Progress of a request across its attempts. */
export type AttemptState = {
    /** Endpoints that the request was sent to. */
    readonly sends: number;
    /** True once an endpoint may have started to run it. */
    readonly mayHaveRun: boolean;
    /** True once the response head was sent to the caller. */
    readonly answering: boolean;
    /** True if everything sent to the caller ends at an event boundary. */
    readonly resumable: boolean;
    /** Latest time in ms at which the caller gets its final response. */
    readonly deadline: number;
};

/** What to do after a failure. */
export type NextStep =
    | { readonly kind: "retry"; }
    | { readonly kind: "resume"; }
    /** The request was not run and will not be. */
    | { readonly kind: "refuse"; }
    /** The request may have run. */
    | { readonly kind: "fail"; }
    /** Forward the endpoint's response to the caller. */
    | { readonly kind: "pass-on"; }
    /** The response has started and can't be completed. */
    | { readonly kind: "cut"; };

/** Minimum remaining time in ms for another send to be worthwhile. */
const MIN_REPEAT_TIME_MS = 30;

/** Decides what to do with a request after a failed send. */
export function nextStep(
    route: Route,
    state: AttemptState,
    failure: SendFailure,
    repeatAllowed: () => boolean,
    now: number,
): NextStep {
    const mayRepeat = state.deadline - now > MIN_REPEAT_TIME_MS && state.sends < route.attemptLimit;
    if (state.answering) {
        const resume = route.resumable && state.resumable && mayRepeat && repeatAllowed();
        return { kind: resume ? "resume" : "cut" };
    }
    const idempotent = route.kind === "safe" || route.resumable;
    const safeToRepeat = idempotent || !state.mayHaveRun;
    if (failure === "unreachable" && state.deadline - now > MIN_REPEAT_TIME_MS) {
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
