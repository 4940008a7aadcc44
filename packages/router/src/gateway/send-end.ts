import {
    type EndVerdict,
    judgeEnd,
    type PlacementQuery,
    recordFirstByte,
    recordOutcome,
} from "@gooseberrybend/core/dispatch";
import type { Send } from "./endpoint-send.js";
import type { EventSplitter } from "./event-splitter.js";
import type { GatewayContext } from "./gateway-context.js";

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
        row.unansweredSince = undefined;
    }
    recordOutcome(row, failed, now);
}

/** Judges how a response ended, with the events of its stream. */
export function judgeSendEnd(send: Send, splitter: EventSplitter): EndVerdict {
    const isStream = send.verdict?.kind === "stream";
    return judgeEnd({
        end: send.framing,
        hasPartialEvent: isStream && splitter.hasPartialEvent,
        isEmptyContinuation: isStream && splitter.isWithoutContinuation,
    });
}
