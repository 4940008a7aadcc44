import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

/** Published by undici, synchronously after a request has started and before its bytes are written. */
const SEND_HEADERS_CHANNEL = "undici:client:sendHeaders";

/** The connection of a request, as this request uses it. */
export type ConnectionUse = {
    /** True if the connection has carried an earlier request. */
    readonly isReused: boolean;
    readonly socket: Socket;
};

const requestCounts = new WeakMap<Socket, number>();
let reportStart: ((use: ConnectionUse) => void) | undefined;

subscribe(SEND_HEADERS_CHANNEL, (message) => {
    const { socket } = message as { readonly socket: Socket; };
    const earlierRequests = requestCounts.get(socket) ?? 0;
    requestCounts.set(socket, earlierRequests + 1);
    reportStart?.({ isReused: earlierRequests > 0, socket });
    reportStart = undefined;
});

/**
 * Calls back with the connection of the request that is being started. To be called from `onRequestStart`, unless the
 * request is aborted there.
 */
export function observeConnection(callback: (use: ConnectionUse) => void): void {
    reportStart = callback;
}
