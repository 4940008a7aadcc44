import {
    type EndpointState,
    type PlacementQuery,
    recordConnectFailure,
    recordFirstByte,
    recordOutcome,
    recordServed,
    type ResponseEnd,
} from "@gooseberrybend/core/dispatch";
import { REFUSED_CODE } from "./connection-check.js";
import type { Send } from "./endpoint-send.js";
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
    context.outgoing.end(send);
    row.open--;
    if (!send.hasResponded) {
        recordFirstByte(row, query);
    }
    if (row.open === 0) {
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
    recordConnectFailure(row, now);
    if (code === REFUSED_CODE) {
        context.suspects.recordUnreachable(row.entry, now);
    }
}
