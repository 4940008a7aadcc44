import { createConnection } from "node:net";
import { splitAddress } from "./gateway-settings.js";

/** Time in ms in which an endpoint that lives accepts a connection; it takes a few ms. */
const CHECK_MS = 200;
/** Code of the error of a connection to a port on which nothing listens. */
export const REFUSED_CODE = "ECONNREFUSED";

/** What became of an attempt to connect. */
export type ConnectionOutcome = "accepted" | "refused" | "unknown";

/** Connects to an address, an IP number and a port, and closes the connection at once. */
export function checkConnection(address: string): Promise<ConnectionOutcome> {
    return new Promise((resolve) => {
        const socket = createConnection({ ...splitAddress(address), timeout: CHECK_MS });
        const end = (outcome: ConnectionOutcome): void => {
            socket.destroy();
            resolve(outcome);
        };
        socket.on("connect", () => end("accepted"));
        socket.on("timeout", () => end("unknown"));
        socket.on("error", (error: NodeJS.ErrnoException) => end(error.code === REFUSED_CODE ? "refused" : "unknown"));
    });
}
