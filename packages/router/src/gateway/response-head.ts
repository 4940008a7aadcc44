import {
    judgeHead,
    paceOf,
    type PlacementQuery,
    recordBackoff,
    recordDuration,
    recordFirstByte,
    recordHeard,
    recordLeaving,
    recordLoadReport,
    recordStatedCold,
    recordStatedLimit,
} from "@gooseberrybend/core/dispatch";
import type { AdmittedRequest } from "./admitted-request.js";
import type { Send } from "./endpoint-send.js";
import type { GatewayContext } from "./gateway-context.js";
import { endOfResponse, isEventStream } from "./raw-headers.js";

/**
 * Reads a response head, and decides what it proves. `begunStatus` is the status that the caller has already received
 * with the beginning of a stream.
 */
export function readResponseHead(
    context: GatewayContext,
    { request, fields: { requestId }, route: { kind } }: AdmittedRequest,
    send: Send,
    headers: string[],
    status: number,
    begunStatus: number | undefined,
): void {
    const fields = context.dialect.readEndpointHeaders(status, headers);
    const { onReusedConnection } = send;
    send.status = status;
    send.headers = headers;
    send.framing = endOfResponse(status, headers, request.method);
    send.fields = fields;
    send.verdict = judgeHead(
        { ...fields, status, isEventStream: isEventStream(headers) },
        { requestId, kind, begunStatus, onReusedConnection },
    );
    if (fields.notRun) {
        context.countEndpointRefusal(fields.requestId !== undefined, onReusedConnection);
    }
}

/** Records what a response head reports about its endpoint: speed, load and availability. */
export function recordResponseHead(context: GatewayContext, query: PlacementQuery, send: Send, now: number): void {
    const { row, fields } = send;
    recordBytesReceived(context, send, now);
    send.hasResponded = true;
    context.outgoing.recordResponse(send);
    send.respondedAt = now;
    recordFirstByte(row, query);
    recordDuration(paceOf(context.endpoints, query.service), row, now - send.sentAt, send.expectedWork);
    if (fields?.load !== undefined) {
        recordLoadReport(row, fields.load, now);
    }
    recordAvailability(context, send, now);
}

/** Records that an endpoint sent bytes. */
export function recordBytesReceived(
    { endpoints, suspects }: GatewayContext,
    { row, trackedSend, isStreaming, startedAt }: Send,
    now: number,
): void {
    recordHeard(endpoints, row, startedAt!, now);
    suspects.recordResponseByte(trackedSend, isStreaming, now);
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

/** Records what a response of the request's own endpoint states about its request limit and its cold time. */
export function recordLimits(context: GatewayContext, send: Send, now: number): void {
    recordColdTime(context, send, now);
    recordRequestLimit(context, send, now);
}

function recordColdTime({ endpoints, logs, countLimitEvent }: GatewayContext, send: Send, now: number): void {
    const { row, fields } = send;
    const stated = fields!.cold;
    if (stated?.kind === "unreadable") {
        countLimitEvent("cold-unreadable");
        logs.endpoints.warn("Endpoint stated an unreadable cold time; ignored.", {
            endpoint: row.entry.id,
            text: stated.text,
        });
    }
    else if (stated !== undefined) {
        recordStatedCold(endpoints.limits.cold, row.entry, stated.remainingMs, now);
    }
}

function recordRequestLimit(context: GatewayContext, { row, fields, sentAt }: Send, now: number): void {
    const { endpoints, logs } = context;
    const endpoint = row.entry.id;
    const stated = fields!.requestLimit;
    if (stated?.kind === "unreadable") {
        context.countLimitEvent("unreadable");
        logs.endpoints.warn("Endpoint stated an unreadable request limit; ignored.", { endpoint, text: stated.text });
        return;
    }
    if (stated === undefined && !fields!.sealed) {
        // Responses that an endpoint's front end sends without running the request need not state the limit.
        return;
    }
    const change = recordStatedLimit(endpoints.limits, row.entry, stated?.perSecond, sentAt, context.random, now);
    if (change !== undefined) {
        context.countLimitEvent(change.after === undefined ? "ended" : "stated");
        logs.endpoints.info("Request limit of the endpoint changed.", {
            endpoint,
            startedAt: row.entry.startedAt,
            perSecond: change.after,
            before: change.before,
            ageMs: Math.round(now - sentAt),
        });
    }
    void context.limitReports.report(row.entry);
}
