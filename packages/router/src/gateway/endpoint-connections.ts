import type { EndpointEntry } from "@gooseberrybend/core/dispatch";
import { buildConnector, type Dispatcher, Pool } from "undici";

/** Time in ms after which a connection attempt counts as failed; a new connection takes a few ms. */
const CONNECT_TIMEOUT_MS = 400;
/** Time in ms for which an idle connection is kept unless the endpoint names a time. */
const IDLE_MS = 4_000;
/** Longest time in ms for which an idle connection is kept, whatever the endpoint names. */
const LONGEST_IDLE_MS = 60_000;
/** Margin in ms by which a connection is closed before the endpoint would close it. */
const IDLE_MARGIN_MS = 500;
/** Time in ms for which the connections of an endpoint that is gone finish what is under way. */
const CLOSE_MS = 20_000;
const FEWEST_CONNECTIONS = 4;

/** Connections to endpoints, by endpoint and start. */
export class EndpointConnections {
    private readonly byStart = new Map<string, Pool>();

    /** Returns the connections of an endpoint; its limit is shared among the routers. */
    poolOf(entry: EndpointEntry, connectionLimit: number, fleetSize: number): Dispatcher {
        const known = this.byStart.get(startOf(entry));
        if (known !== undefined) {
            return known;
        }
        const pool = new Pool(`http://${entry.address}`, {
            connections: Math.max(FEWEST_CONNECTIONS, Math.floor(connectionLimit / Math.max(1, fleetSize))),
            connect: connectStrictly,
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: IDLE_MS,
            keepAliveMaxTimeout: LONGEST_IDLE_MS,
            keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
        });
        this.byStart.set(startOf(entry), pool);
        return pool;
    }

    /** Closes the connections of an endpoint once its requests have ended. */
    release(entry: EndpointEntry): void {
        const pool = this.byStart.get(startOf(entry));
        if (pool === undefined) {
            return;
        }
        this.byStart.delete(startOf(entry));
        void pool.close().catch(() => undefined);
        setTimeout(() => void pool.destroy().catch(() => undefined), CLOSE_MS).unref();
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await Promise.all([...this.byStart.values()].map((pool) => pool.destroy()));
    }
}

const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

// undici takes a reset for the end of an answer without a length. With another code it is an error,
// as it must be: what came before the reset may not be the whole answer.
function connectStrictly(options: buildConnector.Options, callback: buildConnector.Callback): void {
    connect(options, (...result) => {
        const socket = result[1];
        socket?.prependListener("error", (error: NodeJS.ErrnoException) => {
            if (error.code === "ECONNRESET") {
                error.code = "ECONNABORTED";
            }
        });
        callback(...result);
    });
}

function startOf(entry: EndpointEntry): string {
    return `${entry.id}/${entry.startedAt}/${entry.address}`;
}
