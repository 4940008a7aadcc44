import type { EndpointEntry } from "@gooseberrybend/core/dispatch";
import { type Dispatcher, Pool } from "undici";
import { resetDetectingConnector } from "../connections/index.js";

/** Time in ms after which a connection attempt fails; connecting usually takes a few ms. */
const CONNECT_TIMEOUT_MS = 400;
/** Time in ms for which an idle connection is kept if the endpoint specifies none. */
const KEEP_ALIVE_MS = 4_000;
/** Upper limit in ms on the keep-alive time that an endpoint specifies. */
const MAX_KEEP_ALIVE_MS = 60_000;
/** Time in ms before the endpoint's keep-alive timeout at which the router closes a connection. */
const KEEP_ALIVE_MARGIN_MS = 500;
/** Time in ms for requests in progress to complete on released connections. */
const CLOSE_TIMEOUT_MS = 20_000;
/** Minimum connections per endpoint: callers that stay with one router can exceed its share of the traffic. */
const MIN_CONNECTIONS = 16;
/** Growth of the connection limit from which a new pool replaces the old one: a pool's limit is fixed. */
const GROWTH_FACTOR = 2;

/** Connection pools by endpoint and start. */
export class EndpointConnections {
    private readonly pools = new Map<string, { readonly pool: Pool; readonly limit: number; }>();

    /** Returns the pool of an endpoint, sized by this router's share of its connection limit. */
    poolOf(entry: EndpointEntry, connectionLimit: number, fleetShare: number): Dispatcher {
        const limit = Math.max(MIN_CONNECTIONS, Math.floor(connectionLimit * fleetShare));
        const existing = this.pools.get(startKeyOf(entry));
        if (existing !== undefined && existing.limit * GROWTH_FACTOR > limit) {
            return existing.pool;
        }
        this.release(entry);
        const pool = new Pool(`http://${entry.address}`, {
            connections: limit,
            connect: resetDetectingConnector(CONNECT_TIMEOUT_MS),
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: KEEP_ALIVE_MS,
            keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
            keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
        });
        this.pools.set(startKeyOf(entry), { pool, limit });
        return pool;
    }

    /** Closes an endpoint's connections once its requests have ended, at the latest after CLOSE_TIMEOUT_MS. */
    release(entry: EndpointEntry): void {
        const pool = this.pools.get(startKeyOf(entry))?.pool;
        if (pool === undefined) {
            return;
        }
        this.pools.delete(startKeyOf(entry));
        void pool.close().catch(() => undefined);
        setTimeout(() => void pool.destroy().catch(() => undefined), CLOSE_TIMEOUT_MS).unref();
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await Promise.all([...this.pools.values()].map(({ pool }) => pool.destroy()));
    }
}

function startKeyOf(entry: EndpointEntry): string {
    return `${entry.id}/${entry.startedAt}/${entry.address}`;
}
