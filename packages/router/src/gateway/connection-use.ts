import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

/** Published by undici, synchronously after a request has started and before its bytes are written. */
const SEND_HEADERS_CHANNEL = "undici:client:sendHeaders";

const requestCounts = new WeakMap<Socket, number>();
let reportStart: ((isReused: boolean, socket: Socket) => void) | undefined;

subscribe(SEND_HEADERS_CHANNEL, (message) => {
    const { socket } = message as { readonly socket: Socket; };
    const earlierRequests = requestCounts.get(socket) ?? 0;
    requestCounts.set(socket, earlierRequests + 1);
    reportStart?.(earlierRequests > 0, socket);
    reportStart = undefined;
});

/**
 * Calls back with whether the connection of the request that is being started has carried an earlier one, and with its
 * socket. To be called from `onRequestStart`, unless the request is aborted there.
 */
export function observeReuse(callback: (isReused: boolean, socket: Socket) => void): void {
    reportStart = callback;
}
