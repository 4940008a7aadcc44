import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Error code reported for a connection that was reset. */
const RESET_ERROR_CODE = "ECONNABORTED";

/** Returns a connector whose connections fail when they are reset, with a timeout in ms for connecting. */
export function resetDetectingConnector(timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) => {
        connect(options, (...result) => {
            if (result[1]) {
                failOnReset(result[1]);
            }
            callback(...result);
        });
    };
}

// Closing a connection completes a response without a length, but a reset must not: the response may be
// truncated. undici treats ECONNRESET as such a close, so it gets another code; and libuv reports a reset
// that arrives together with data as an end, recognizable by the missing remote port.
function failOnReset(socket: Socket): void {
    socket.prependListener("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") {
            error.code = RESET_ERROR_CODE;
        }
    });
    const emit = socket.emit.bind(socket) as (event: string | symbol, ...values: unknown[]) => boolean;
    socket.emit = (event: string | symbol, ...values: unknown[]): boolean => {
        if (event === "end" && socket.remotePort === undefined) {
            socket.destroy(Object.assign(new Error("connection reset"), { code: RESET_ERROR_CODE }));
            return true;
        }
        return emit(event, ...values);
    };
}
