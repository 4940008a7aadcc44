import {
    type AdmissionFigures,
    decideAdmission,
    type PlacementQuery,
    recordAdmitted,
    recordServed,
    type Reservation,
} from "@gooseberrybend/core/dispatch";
import type { AdmittedRequest } from "./admitted-request.js";
import type { Send } from "./endpoint-send.js";
import type { GatewayContext } from "./gateway-context.js";
import type { RefusalCause } from "./refusal.js";
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

/** Records the times of a complete response, from which the capacity of its service is estimated. */
export function recordServedTimes(context: GatewayContext, query: PlacementQuery, send: Send): void {
    if (send.respondedAt !== undefined) {
        recordServed(context.admission, query, {
            firstByteMs: send.respondedAt - send.sentAt,
            totalMs: context.clock() - send.sentAt,
            units: send.expectedWork,
        });
    }
}
