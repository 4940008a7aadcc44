import {
    type EndpointState,
    type EndVerdict,
    judgeEnd,
    noteSilence,
    type PlacementQuery,
    recordConnectFailure,
    recordFirstByte,
    recordOutcome,
    recordServed,
    type ResponseEnd,
} from "@gooseberrybend/core/dispatch";
import { REFUSED_CODE } from "./connection-check.js";
import type { Send } from "./endpoint-send.js";
import type { EventSplitter } from "./event-splitter.js";
import type { GatewayContext } from "./gateway-context.js";

/** Decides whether the response of a send, which has ended, is whole. */
export function judgeSendEnd(send: Send, splitter: EventSplitter): EndVerdict {
    const isStream = send.verdict?.kind === "stream";
    return judgeEnd({
        end: send.framing,
        hasPartialEvent: isStream && splitter.hasPartialEvent,
        isEmptyContinuation: isStream && splitter.isWithoutContinuation,
        // A refusal that states that the request did not run needs no more of it.
        isRequestPartial: send.verdict?.kind !== "not-run" && (send.socket?.writableLength ?? 0) > 0,
    });
}

/** Records the end of a send with its endpoint: load, health, and evidence of what it survived. */
export function recordSendEnd(
    context: GatewayContext,
    query: PlacementQuery,
    send: Send,
    failed: boolean,
    answered: boolean,
): void {
    const now = context.clock();
    const { row } = send;
    context.suspects.recordSendEnd(send.trackedSend, answered, now);
    context.outgoing.end(send);
    row.open--;
    if (!send.hasResponded) {
        recordFirstByte(row, query);
    }
    if (row.open === 0) {
        noteSilence(context.endpoints, row, now);
        row.unansweredSince = undefined;
    }
    recordOutcome(row, failed, now);
}

/** Records a response that has ended without a failure, if its endpoint proves that it ran the request. */
export function recordServedResponse(
    context: GatewayContext,
    query: PlacementQuery,
    send: Send,
    end: ResponseEnd,
): void {
    if (!send.fields!.sealed || send.fields!.notRun) {
        return;
    }
    context.suspects.recordResponse(send.row.entry, send.trackedSend!, send.status, end);
    recordServed(context.admission, query, {
        firstByteMs: send.respondedAt! - send.sentAt,
        totalMs: context.clock() - send.sentAt,
        units: send.expectedWork,
    });
}

/** Records that no connection to an endpoint could be made, with the code of the error. */
export function recordUnreachable(context: GatewayContext, row: EndpointState, code: string, now: number): void {
    recordConnectFailure(context.endpoints, row, now);
    if (code === REFUSED_CODE) {
        context.suspects.recordUnreachable(row.entry, now);
    }
}
