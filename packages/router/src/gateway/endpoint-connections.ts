import type { EndpointEntry } from "@gooseberrybend/core/dispatch";
import type { Socket } from "node:net";
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
/** Fewest connections to an endpoint: some callers stay with a router that few others are sent to. */
const FEWEST_CONNECTIONS = 16;
/** Growth of this router's part from which new connections replace the old, whose number is fixed. */
const GROWTH = 2;

/** Connections to endpoints, by endpoint and start. */
export class EndpointConnections {
    private readonly byStart = new Map<string, { readonly pool: Pool; readonly limit: number; }>();

    /** Returns the connections of an endpoint, of which this router may have a part. */
    poolOf(entry: EndpointEntry, connectionLimit: number, part: number): Dispatcher {
        const limit = Math.max(FEWEST_CONNECTIONS, Math.floor(connectionLimit * part));
        const known = this.byStart.get(startOf(entry));
        if (known !== undefined && known.limit * GROWTH > limit) {
            return known.pool;
        }
        this.release(entry);
        const pool = new Pool(`http://${entry.address}`, {
            connections: limit,
            connect: connectStrictly,
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: IDLE_MS,
            keepAliveMaxTimeout: LONGEST_IDLE_MS,
            keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
        });
        this.byStart.set(startOf(entry), { pool, limit });
        return pool;
    }

    /** Closes the connections of an endpoint once its requests have ended. */
    release(entry: EndpointEntry): void {
        const pool = this.byStart.get(startOf(entry))?.pool;
        if (pool === undefined) {
            return;
        }
        this.byStart.delete(startOf(entry));
        void pool.close().catch(() => undefined);
        setTimeout(() => void pool.destroy().catch(() => undefined), CLOSE_MS).unref();
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await Promise.all([...this.byStart.values()].map(({ pool }) => pool.destroy()));
    }
}

/** Code of the error of a connection that was reset. */
const RESET_CODE = "ECONNABORTED";

const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

function connectStrictly(options: buildConnector.Options, callback: buildConnector.Callback): void {
    connect(options, (...result) => {
        if (result[1]) {
            reportResets(result[1]);
        }
        callback(...result);
    });
}

// The end of a connection ends an answer without a length, but a reset does not: what came before it may
// not be the whole answer. undici takes ECONNRESET for such an end, so it gets another code; and libuv
// reports a reset that comes together with data as an end, which shows by the peer being gone.
function reportResets(socket: Socket): void {
    socket.prependListener("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") {
            error.code = RESET_CODE;
        }
    });
    const emit = socket.emit.bind(socket) as (event: string | symbol, ...values: unknown[]) => boolean;
    socket.emit = (event: string | symbol, ...values: unknown[]): boolean => {
        if (event === "end" && socket.remotePort === undefined) {
            socket.destroy(Object.assign(new Error("connection reset"), { code: RESET_CODE }));
            return true;
        }
        return emit(event, ...values);
    };
}

function startOf(entry: EndpointEntry): string {
    return `${entry.id}/${entry.startedAt}/${entry.address}`;
}
