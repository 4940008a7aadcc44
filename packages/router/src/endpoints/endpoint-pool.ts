import type { EndpointDeclaration, EndpointId } from "@gooseberrybend/core";
import { Pool, request } from "undici";
import { resetDetectingConnector } from "../connections/index.js";
import { type EndpointCall, type EndpointClient, type MessageSink, parseLoadReport } from "./endpoint-client.js";
import { ModelClient } from "./model-client.js";
import { ServiceClient } from "./service-client.js";

const MAX_CONNECTIONS_PER_ENDPOINT = 512;

/** Connection pools of all endpoints, and the calls in progress on them. */
export class EndpointPool {
    private readonly pools = new Map<EndpointId, Pool>();
    private readonly calls = new Map<number, AbortController>();
    private readonly clients: Readonly<Record<EndpointDeclaration["kind"], EndpointClient>> = {
        model: new ModelClient(),
        service: new ServiceClient(),
    };

    constructor(private readonly connectMs: number, private readonly sink: MessageSink) {}

    /** Sends a call. With `freshConnection`, this and later calls do not use connections opened before. */
    send(id: EndpointId, declaration: EndpointDeclaration, call: EndpointCall, freshConnection: boolean): void {
        if (freshConnection) {
            this.discardPool(id);
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

    /** Aborts a call; with `stop`, also requests that the endpoint stop the stream. */
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

    /** Queries an endpoint's load; delivers an undefined report if that fails. */
    async probe(id: EndpointId, declaration: EndpointDeclaration): Promise<void> {
        try {
            const signal = AbortSignal.timeout(this.connectMs);
            const dispatcher = this.poolOf(id, declaration);
            const response = await request(`${declaration.address}/load`, { dispatcher, signal });
            const report = parseLoadReport(await response.body.json());
            this.sink({ kind: "load-report", endpoint: id, report });
        }
        catch {
            this.discardPool(id);
            this.sink({ kind: "load-report", endpoint: id, report: undefined });
        }
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
    }

    private poolOf(id: EndpointId, declaration: EndpointDeclaration): Pool {
        const existing = this.pools.get(id);
        if (existing !== undefined) {
            return existing;
        }
        const pool = new Pool(declaration.address, {
            connections: MAX_CONNECTIONS_PER_ENDPOINT,
            connect: resetDetectingConnector(this.connectMs),
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        this.pools.set(id, pool);
        return pool;
    }

    // Streams on the old connections continue; new calls open new connections.
    private discardPool(id: EndpointId): void {
        const pool = this.pools.get(id);
        this.pools.delete(id);
        pool?.close().catch(() => undefined);
    }
}
