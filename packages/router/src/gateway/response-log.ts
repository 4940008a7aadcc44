import type { Send } from "./endpoint-send.js";
import type { EventSplitter } from "./event-splitter.js";

/** Returns the log fields of the response to a send, and of the stream that the caller has received so far. */
export function responseFigures(send: Send | undefined, stream: EventSplitter): Record<string, unknown> {
    return {
        status: send?.status,
        end: send?.end,
        echoedId: send?.fields?.requestId !== undefined,
        reusedConnection: send?.onReusedConnection,
        events: stream.eventCount,
        lastEventId: stream.lastEventId,
    };
}
