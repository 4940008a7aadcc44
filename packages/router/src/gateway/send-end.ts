import {
    type EndVerdict,
    judgeEnd,
    noteSilence,
    type PlacementQuery,
    recordFirstByte,
    recordOutcome,
} from "@gooseberrybend/core/dispatch";
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
        isRequestPartial: send.verdict?.kind !== "not-run" && send.unsentBytes() > 0,
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
