import {
    paceOf,
    type PlacementQuery,
    recordBackoff,
    recordDuration,
    recordFirstByte,
    recordLeaving,
    recordLoadReport,
    recordResponseBytes,
} from "@gooseberrybend/core/dispatch";
import type { Send } from "./endpoint-send.js";
import type { GatewayContext } from "./gateway-context.js";

/** Records what a response head reports about its endpoint: speed, load and availability. */
export function recordResponseHead(context: GatewayContext, query: PlacementQuery, send: Send, now: number): void {
    const { row, fields } = send;
    recordBytesReceived(context, send, now);
    send.hasResponded = true;
    recordFirstByte(row, query);
    recordDuration(paceOf(context.endpoints, query.service), row, now - send.sentAt, send.expectedWork);
    if (fields?.load !== undefined) {
        recordLoadReport(row, fields.load.running, fields.load.waiting, now);
    }
    recordAvailability(context, send, now);
}

/** Records that an endpoint sent bytes. */
export function recordBytesReceived(
    { suspects }: GatewayContext,
    { row, trackedSend }: Send,
    now: number,
): void {
    recordResponseBytes(row);
    suspects.recordResponseByte(trackedSend, now);
}

function recordAvailability({ endpoints, logs }: GatewayContext, { row, fields }: Send, now: number): void {
    const endpoint = row.entry.id;
    if (fields?.leaving && !row.announcedLeaving) {
        recordLeaving(endpoints, row);
        logs.endpoints.info("Endpoint announced that it is leaving; sending it no new requests.", { endpoint });
    }
    if (fields?.backoffMs !== undefined) {
        recordBackoff(row, fields.backoffMs, now);
        logs.endpoints.info("Endpoint requested back-off; sending it no requests for that time.", {
            endpoint,
            quietMs: fields.backoffMs,
        });
    }
}
