import {
    type AdmissionFigures,
    decideAdmission,
    type PlacementQuery,
    recordAdmitted,
    type Reservation,
} from "@gooseberrybend/core/dispatch";
import type { AdmittedRequest } from "./admitted-request.js";
import type { GatewayContext } from "./gateway-context.js";
import { type RefusalCause, retryAfterMs } from "./refusal.js";
import type { TokenClaim } from "./token-claim.js";

/** Whether a request may be sent, with log fields. */
export type AdmissionResult =
    | { readonly kind: "admit"; readonly figures: AdmissionFigures | undefined; }
    | {
        readonly kind: "refuse";
        readonly cause: RefusalCause;
        readonly retryAfterMs: number | undefined;
        readonly figures: object;
    };

/** Decides whether a request that was not sent yet may be sent, by its tokens and by the capacity of its service. */
export function checkAdmission(
    context: GatewayContext,
    { account, fields }: AdmittedRequest,
    query: PlacementQuery,
    deadline: number,
    tokenClaim: TokenClaim,
    reservation: Reservation,
): AdmissionResult {
    const refusal = tokenClaim.refusalOf(reservation);
    if (refusal !== undefined) {
        return { kind: "refuse", ...refusal, figures: tokenClaim.figures() };
    }
    const now = context.clock();
    const request = {
        query,
        account: account?.id,
        timeLeftMs: deadline - now,
        isContinuation: fields.resumeAfter !== undefined,
    };
    const { mode } = context.settings().admission;
    const decision = decideAdmission(context.admission, context.endpoints, request, mode, now);
    if (decision.kind === "refuse") {
        context.countAdmission(decision.cause);
        return decision;
    }
    recordAdmitted(context.admission, request, now);
    if (decision.figures !== undefined) {
        context.countAdmission("admitted");
    }
    return decision;
}

/** Why a request may not be sent now, whichever endpoint is chosen. */
export type SendObstacle = {
    readonly cause: RefusalCause;
    readonly retryAfterMs: number;
    readonly figures: object;
};

/** Returns why a request with some time left, in ms, may not be sent now; undefined if it may. */
export function findSendObstacle(
    context: GatewayContext,
    { isTrial, features }: AdmittedRequest,
    isFirstSend: boolean,
    timeLeftMs: number,
): SendObstacle | undefined {
    const conviction = isTrial && isFirstSend ? undefined : context.suspects.convictionOf(features);
    if (conviction !== undefined) {
        return { cause: "poison-request", retryAfterMs: conviction.retryAfterMs, figures: {} };
    }
    const linkDelayMs = context.outgoing.excessDelayMs(timeLeftMs);
    if (linkDelayMs === undefined) {
        return undefined;
    }
    context.countLateSend("not-started");
    const waitMs = linkDelayMs + retryAfterMs(context.random());
    return { cause: "router-overloaded", retryAfterMs: waitMs, figures: { linkDelayMs: Math.round(linkDelayMs) } };
}
