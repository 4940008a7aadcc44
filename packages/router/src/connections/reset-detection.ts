import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Error code reported for a connection that was reset. */
const RESET_ERROR_CODE = "ECONNABORTED";

/**
 * Time in ms in which a reset that follows the end of a response is noticed. A peer that closes a connection before it
 * has read the request ends and resets it in one call, so the two are as far apart as two packets of one connection.
 */
const RESET_NOTICE_MS = 50;

/** A request of the HTTP client. */
type ClientRequest = {
    /** True once its response has ended. */
    readonly completed: boolean;
};

/** Published by undici before the bytes of a request are written. */
const SEND_HEADERS_CHANNEL = "undici:client:sendHeaders";
/** Published by undici when a response head has arrived. */
const RESPONSE_HEADERS_CHANNEL = "undici:request:headers";

const lastRequests = new WeakMap<Socket, ClientRequest>();
const respondedRequests = new WeakSet<ClientRequest>();

subscribe(SEND_HEADERS_CHANNEL, (message) => {
    const { socket, request } = message as { readonly socket: Socket; readonly request: ClientRequest; };
    lastRequests.set(socket, request);
});
subscribe(RESPONSE_HEADERS_CHANNEL, (message) => {
    respondedRequests.add((message as { readonly request: ClientRequest; }).request);
});

function isWithinResponse(socket: Socket): boolean {
    const request = lastRequests.get(socket);
    return request !== undefined && !request.completed && respondedRequests.has(request);
}

/**
 * Bytes that the HTTP client parses at once. It goes on to the end of what it has read after a fault in a head, at the
 * cost of an error for each further header.
 */
const MAX_READ_BYTES = 4 * 1024;

/** Returns a connector whose connections fail when they are reset, with a timeout in ms for connecting. */
export function resetDetectingConnector(timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) => {
        connect(options, (...result) => {
            if (result[1]) {
                failOnReset(result[1]);
                limitReads(result[1]);
            }
            callback(...result);
        });
    };
}

// Closing a connection completes a response without a length, but a reset must not: the response may be
// truncated. undici treats ECONNRESET as such a close, so it gets another code; and libuv reports a reset
// that arrives together with data as an end, recognizable by the missing remote port. A reset right after an end shows
// in the same way, but only later, so an end within a response is passed on after a pause.
function failOnReset(socket: Socket): void {
    // Otherwise Node.js would close it in the pause. The HTTP client closes it at every end.
    socket.allowHalfOpen = true;
    socket.prependListener("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") {
            error.code = RESET_ERROR_CODE;
        }
    });
    const emit = socket.emit.bind(socket) as (event: string | symbol, ...values: unknown[]) => boolean;
    const endUnlessReset = (): void => {
        if (socket.destroyed) {
            return;
        }
        // The remote port is kept once it was read, so this is its only read.
        if (socket.remotePort === undefined) {
            socket.destroy(Object.assign(new Error("connection reset"), { code: RESET_ERROR_CODE }));
            return;
        }
        emit("end");
    };
    socket.emit = (event: string | symbol, ...values: unknown[]): boolean => {
        if (event !== "end") {
            return emit(event, ...values);
        }
        if (isWithinResponse(socket)) {
            setTimeout(endUnlessReset, RESET_NOTICE_MS);
        }
        else {
            endUnlessReset();
        }
        return true;
    };
}

function limitReads(socket: Socket): void {
    const read = socket.read.bind(socket) as (size?: number) => unknown;
    socket.read = (size?: number): unknown => {
        if (size !== undefined || socket.readableLength === 0) {
            return read(size);
        }
        // eslint-disable-next-line no-restricted-syntax -- the stream's value for "no data"
        return socket.destroyed ? null : read(Math.min(socket.readableLength, MAX_READ_BYTES));
    };
}
