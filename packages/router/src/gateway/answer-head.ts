import {
    noteDuration,
    noteFirstByte,
    noteHeard,
    noteLeaving,
    noteLoad,
    noteQuiet,
    paceOf,
    type PlacementQuery,
} from "@gooseberrybend/core/dispatch";
import type { Send } from "./endpoint-send.js";
import type { GatewayContext } from "./gateway-context.js";

/** Takes in what the head of an answer tells of its endpoint: its pace, its load, and what it wishes. */
export function noteAnswerHead(context: GatewayContext, query: PlacementQuery, send: Send, now: number): void {
    const { row, fields } = send;
    noteBytes(context, send, now);
    send.heard = true;
    noteFirstByte(row, query);
    noteDuration(paceOf(context.endpoints, query.service), row, now - send.sentAt, send.units);
    if (fields?.load !== undefined) {
        noteLoad(row, fields.load.running, fields.load.waiting, now);
    }
    noteWishes(context, send, now);
}

/** Takes in that bytes came from an endpoint. */
export function noteBytes({ suspects }: GatewayContext, { row, tracked }: Send, now: number): void {
    noteHeard(row);
    suspects.noteHeard(tracked, now);
}

function noteWishes({ endpoints, logs }: GatewayContext, { row, fields }: Send, now: number): void {
    const endpoint = row.entry.id;
    if (fields?.leaving && !row.saidLeaving) {
        noteLeaving(endpoints, row);
        logs.endpoints.info("Said that it leaves.", { endpoint });
    }
    if (fields?.quietMs !== undefined) {
        noteQuiet(row, fields.quietMs, now);
        logs.endpoints.info("Wants no requests.", { endpoint, quietMs: fields.quietMs });
    }
}
