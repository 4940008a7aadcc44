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
    noteHeard(row);
    send.heard = true;
    noteFirstByte(row, query);
    noteDuration(paceOf(context.endpoints, query.service), row, now - send.sentAt, send.units);
    if (fields?.load !== undefined) {
        noteLoad(row, fields.load.running, fields.load.waiting, now);
    }
    noteWishes(context, send, now);
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
