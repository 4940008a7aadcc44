import { JSONRPCClient } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import { Agent } from "undici";
import { requestText } from "./request-text.js";

/** Timeout in ms of connecting to another router; a connection between failure domains takes a few ms. */
const CONNECT_TIMEOUT_MS = 300;
/** Longest pause in ms in a response of another router. */
const STALL_TIMEOUT_MS = 1_000;

/** Why a call to another router has no response. */
export type PeerFailure = { readonly kind: "no-answer"; readonly detail: string; };

/** Calls other routers by JSON-RPC. */
export class PeerCalls {
    private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1 });

    /**
     * Calls a method of the router at an address. The response must begin within `timeoutMs`; `onProgress` is called
     * while it arrives.
     */
    async call(
        address: string,
        method: string,
        parameters: object,
        timeoutMs: number,
        onProgress?: () => void,
    ): Promise<Result<unknown, PeerFailure>> {
        const client: JSONRPCClient = new JSONRPCClient(async (payload) => {
            const { text } = await requestText(`http://${address}/peer`, {
                method: "POST",
                body: JSON.stringify(payload),
                headers: { "content-type": "application/json" },
                timeoutMs,
                stallMs: STALL_TIMEOUT_MS,
                dispatcher: this.agent,
                onProgress,
            });
            client.receive(JSON.parse(text) as never);
        });
        try {
            return ok(await client.request(method, parameters) as unknown);
        }
        catch (error) {
            return err({ kind: "no-answer", detail: (error as Error).message });
        }
    }

    /** Closes the connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }
}

/** Routers that are not called for a time, as they gave no usable response. */
export class PausedPeers {
    private readonly pausedUntil = new Map<string, number>();

    constructor(private readonly pauseMs: number) {}

    /** Pauses a router. */
    add(peer: string, now: number): void {
        this.pausedUntil.set(peer, now + this.pauseMs);
    }

    /** Ends all pauses. */
    clear(): void {
        this.pausedUntil.clear();
    }

    /** Returns whether a router is paused. */
    has(peer: string, now: number): boolean {
        return (this.pausedUntil.get(peer) ?? -Infinity) > now;
    }
}
