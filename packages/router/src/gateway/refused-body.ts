import type { IncomingMessage, ServerResponse } from "node:http";

/** Bytes that are read of a body after its refusal; the caller's sockets hold more than that while it reads on. */
const DISCARDED_BYTES = 256 * 1_024;
/** Time in ms for a caller to receive its refusal before the connection is closed. */
const DISCARD_MS = 2_000;
/** Bytes of a refused body up to which its connection can be used again. */
const REUSABLE_BYTES = 64 * 1_024;

/** Whether the rest of a refused body is short enough to keep the connection. */
export function isShortRest(missingBytes: number | undefined): boolean {
    return missingBytes !== undefined && missingBytes <= REUSABLE_BYTES;
}

/**
 * Reads on after a refusal has been written that is not ended, as a caller that still sends would lose it if the
 * connection closed: a bounded number of bytes for a bounded time. `onCut` is called if the body did not end by then.
 */
export function discardBody(
    request: IncomingMessage,
    response: ServerResponse,
    onDiscarded: (bytes: number) => void,
    onCut: () => void,
): void {
    const { socket } = request;
    let discarded = 0;
    request.removeAllListeners("data");
    request.on("data", (piece: Buffer) => {
        discarded += piece.length;
        onDiscarded(piece.length);
        if (discarded > DISCARDED_BYTES) {
            socket.pause();
        }
    });
    request.once("end", () => response.end());
    const timer = setInterval(() => {
        // An earlier response on the connection is still being sent.
        if (!response.socket && !socket.destroyed) {
            return;
        }
        clearInterval(timer);
        onCut();
        socket.destroy();
    }, DISCARD_MS);
    response.once("close", () => clearInterval(timer));
}
