import type { Incarnation, PeerMessage } from "@gooseberrybend/core";
import { JSONRPCClient } from "json-rpc-2.0";
import { Agent, request } from "undici";

/** One batch of messages from a router to another. */
export type PeerBatch = {
    readonly from: Incarnation;
    readonly envelopes: readonly PeerEnvelope[];
};

/** A message and the incarnation it is meant for; undefined when only the address is known. */
export type PeerEnvelope = { readonly to: Incarnation | undefined; readonly message: PeerMessage; };

const SEND_TIMEOUT_MS = 2_000;

/** Sends messages to other routers by JSON-RPC, batched per address. A lost message is not sent again. */
export class PeerLinks {
    private readonly agent: Agent;
    private readonly waiting = new Map<string, PeerEnvelope[]>();
    private readonly clients = new Map<string, JSONRPCClient>();
    /** Bytes sent so far. */
    sentBytes = 0;

    constructor(
        private readonly self: Incarnation,
        private readonly key: string | undefined,
        authority: string | undefined,
    ) {
        this.agent = new Agent({
            connect: { timeout: SEND_TIMEOUT_MS, ...(authority === undefined ? {} : { ca: authority }) },
        });
    }

    /** Queues a message; all messages of one tick to an address go in one batch. */
    send(address: string, envelope: PeerEnvelope): void {
        const waiting = this.waiting.get(address);
        if (waiting !== undefined) {
            waiting.push(envelope);
            return;
        }
        this.waiting.set(address, [envelope]);
        setImmediate(() => this.flush(address));
    }

    private flush(address: string): void {
        const envelopes = this.waiting.get(address) ?? [];
        this.waiting.delete(address);
        const batch: PeerBatch = { from: this.self, envelopes };
        this.clientOf(address).notify("deliver", batch);
    }

    private clientOf(address: string): JSONRPCClient {
        const known = this.clients.get(address);
        if (known !== undefined) {
            return known;
        }
        const client = new JSONRPCClient((payload) => this.post(address, JSON.stringify(payload)));
        this.clients.set(address, client);
        return client;
    }

    private async post(address: string, body: string): Promise<void> {
        this.sentBytes += body.length;
        const headers: Record<string, string> = { "content-type": "application/json" };
        if (this.key !== undefined) {
            headers["authorization"] = `Bearer ${this.key}`;
        }
        try {
            const signal = AbortSignal.timeout(SEND_TIMEOUT_MS);
            const response = await request(`${address}/peer`, {
                method: "POST",
                body,
                headers,
                signal,
                dispatcher: this.agent,
            });
            await response.body.dump();
        }
        catch {
            // The protocol between routers expects lost messages.
        }
    }
}
