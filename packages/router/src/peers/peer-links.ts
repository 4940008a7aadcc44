import type { Incarnation, PeerMessage } from "@gooseberrybend/core";
import { JSONRPCClient } from "json-rpc-2.0";
import { Agent, request } from "undici";

/** Batch of messages from one router to another. */
export type PeerBatch = {
    readonly from: Incarnation;
    readonly envelopes: readonly PeerEnvelope[];
};

/** A message and the incarnation of its recipient, which is undefined if only the address is known. */
export type PeerEnvelope = { readonly to: Incarnation | undefined; readonly message: PeerMessage; };

const SEND_TIMEOUT_MS = 2_000;

/** Sends messages to other routers over JSON-RPC, batched per address. Lost messages are not retransmitted. */
export class PeerLinks {
    private readonly agent: Agent;
    private readonly pendingEnvelopes = new Map<string, PeerEnvelope[]>();
    private readonly clients = new Map<string, JSONRPCClient>();
    /** Total size of the batches sent, in UTF-16 code units. */
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

    /** Queues a message; all messages of one tick to the same address are sent as one batch. */
    send(address: string, envelope: PeerEnvelope): void {
        const pending = this.pendingEnvelopes.get(address);
        if (pending !== undefined) {
            pending.push(envelope);
            return;
        }
        this.pendingEnvelopes.set(address, [envelope]);
        setImmediate(() => this.flush(address));
    }

    private flush(address: string): void {
        const envelopes = this.pendingEnvelopes.get(address) ?? [];
        this.pendingEnvelopes.delete(address);
        const batch: PeerBatch = { from: this.self, envelopes };
        this.clientOf(address).notify("deliver", batch);
    }

    private clientOf(address: string): JSONRPCClient {
        const existing = this.clients.get(address);
        if (existing !== undefined) {
            return existing;
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
            // The protocol between routers tolerates lost messages.
        }
    }
}
