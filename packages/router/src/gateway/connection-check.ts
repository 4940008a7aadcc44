import { createConnection } from "node:net";
import { splitAddress } from "./gateway-settings.js";

/** Time in ms in which a running endpoint accepts a connection; this usually takes a few ms. */
const CONNECT_TIMEOUT_MS = 200;
/** Error code of a connection attempt to a port on which nothing listens. */
export const REFUSED_CODE = "ECONNREFUSED";

/** Outcome of a connection attempt. */
export type ConnectionOutcome = "accepted" | "refused" | "unknown";

/** Connects to an address (IP address and port) and closes the connection immediately. */
export function checkConnection(address: string): Promise<ConnectionOutcome> {
    return new Promise((resolve) => {
        const socket = createConnection({ ...splitAddress(address), timeout: CONNECT_TIMEOUT_MS });
        const finish = (outcome: ConnectionOutcome): void => {
            socket.destroy();
            resolve(outcome);
        };
        socket.on("connect", () => finish("accepted"));
        socket.on("timeout", () => finish("unknown"));
        socket.on(
            "error",
            (error: NodeJS.ErrnoException) => finish(error.code === REFUSED_CODE ? "refused" : "unknown"),
        );
    });
}
