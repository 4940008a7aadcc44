import type { EndpointDeclaration, EndpointId } from "@gooseberrybend/core";
import { Pool, request } from "undici";
import { type EndpointCall, type EndpointClient, type MessageSink, parseReport } from "./endpoint-client.js";
import { ModelClient } from "./model-client.js";
import { ServiceClient } from "./service-client.js";

const MOST_CONNECTIONS = 512;

/** Connections to all endpoints. */
export class EndpointPool {
    private readonly pools = new Map<EndpointId, Pool>();
    private readonly calls = new Map<number, AbortController>();
    private readonly clients: Readonly<Record<EndpointDeclaration["kind"], EndpointClient>> = {
        model: new ModelClient(),
        service: new ServiceClient(),
    };

    constructor(private readonly connectMs: number, private readonly sink: MessageSink) {}

    /** Sends a call. With fresh, connections opened before are not used any more. */
    send(id: EndpointId, declaration: EndpointDeclaration, call: EndpointCall, fresh: boolean): void {
        if (fresh) {
            this.retire(id);
        }
        const abort = new AbortController();
        this.calls.set(call.run, abort);
        const sink: MessageSink = (message) => {
            if (this.calls.get(call.run) === abort) {
                this.sink(message);
            }
        };
        const client = this.clients[declaration.kind];
        void client.send(declaration, this.poolOf(id, declaration), call, abort.signal, sink).finally(() => {
            if (this.calls.get(call.run) === abort) {
                this.calls.delete(call.run);
            }
        });
    }

    /** Drops a call's connection; with stop, the endpoint is told to end the work. */
    cancel(
        id: EndpointId,
        declaration: EndpointDeclaration | undefined,
        run: number,
        stream: string,
        stop: boolean,
    ): void {
        this.calls.get(run)?.abort();
        this.calls.delete(run);
        if (stop && declaration !== undefined) {
            const client = this.clients[declaration.kind];
            client.cancel(declaration, this.poolOf(id, declaration), stream).catch(() => undefined);
        }
    }

    /** Asks an endpoint for its load. */
    async probe(id: EndpointId, declaration: EndpointDeclaration): Promise<void> {
        try {
            const signal = AbortSignal.timeout(this.connectMs);
            const dispatcher = this.poolOf(id, declaration);
            const response = await request(`${declaration.address}/load`, { dispatcher, signal });
            const report = parseReport(await response.body.json());
            this.sink({ kind: "load-report", endpoint: id, report });
        }
        catch {
            this.retire(id);
            this.sink({ kind: "load-report", endpoint: id, report: undefined });
        }
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
    }

    private poolOf(id: EndpointId, declaration: EndpointDeclaration): Pool {
        const known = this.pools.get(id);
        if (known !== undefined) {
            return known;
        }
        const pool = new Pool(declaration.address, {
            connections: MOST_CONNECTIONS,
            connect: { timeout: this.connectMs },
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        this.pools.set(id, pool);
        return pool;
    }

    // Streams on the old connections go on; new calls open connections of their own.
    private retire(id: EndpointId): void {
        const pool = this.pools.get(id);
        this.pools.delete(id);
        pool?.close().catch(() => undefined);
    }
}
