import type { Send } from "./endpoint-send.js";
import type { RequestCharge, RequestMemory } from "./request-memory.js";

/** Bytes of a response that are buffered until complete; responses of plain services have a few KB. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** The same while the router's memory is nearly used up. A response that is passed on waits at its endpoint. */
const MAX_BUFFERED_IF_TIGHT_BYTES = 16 * 1024;

/** What becomes of a response that is buffered: it may be too long to be buffered, and then be passed on or not. */
export type BufferResult = "buffered" | "pass-on" | "too-long";

/** Buffers bytes of a response, and charges them to its request. */
export function bufferResponse(memory: RequestMemory, charge: RequestCharge, send: Send, chunk: Buffer): BufferResult {
    send.body.add(chunk);
    charge.addResponse(chunk.length);
    const canPassOn = send.verdict!.kind === "whole" && send.fields!.sealed;
    const maxBytes = canPassOn && memory.isTight ? MAX_BUFFERED_IF_TIGHT_BYTES : MAX_BUFFERED_BYTES;
    if (send.body.length <= maxBytes) {
        return "buffered";
    }
    return canPassOn ? "pass-on" : "too-long";
}

/** Returns what was buffered of a response; it is no longer charged. */
export function takeBuffered(charge: RequestCharge, send: Send): Buffer {
    charge.addResponse(-send.body.length);
    return send.body.take();
}
