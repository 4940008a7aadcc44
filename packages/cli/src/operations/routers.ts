import type { Trace } from "@gooseberrybend/core";
import type { KeyValueStore, RouterReport } from "@gooseberrybend/router";
import { JSONRPCClient } from "json-rpc-2.0";
import { Agent, request } from "undici";

const CALL_TIMEOUT_MS = 2_000;

/** A router's address and its report, if it answered. */
export type RouterStatus = { readonly address: string; readonly report: RouterReport | undefined; };

/** Calls routers by JSON-RPC on an operator's behalf. */
export class RouterCalls {
    private readonly agent = new Agent({ connect: { timeout: CALL_TIMEOUT_MS } });

    constructor(private readonly key: string | undefined) {}

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    /** Asks routers for their reports. */
    async status(addresses: readonly string[]): Promise<RouterStatus[]> {
        return Promise.all(addresses.map(async (address) => ({
            address,
            report: await this.call<RouterReport>(address, "status", {}),
        })));
    }

    /** Asks routers for their decisions on a request key, in order of time. */
    async explain(addresses: readonly string[], key: string): Promise<(Trace & { readonly router: string; })[]> {
        const answers = await Promise.all(addresses.map(async (router) => {
            const traces = await this.call<Trace[]>(router, "explain", { key });
            return (traces ?? []).map((trace) => ({ ...trace, router }));
        }));
        return answers.flat().sort((first, second) => first.at - second.at);
    }

    /** Tells a router to drain. Returns false when it does not answer. */
    async drain(address: string): Promise<boolean> {
        return await this.call<object>(address, "drain", {}) !== undefined;
    }

    private async call<Answer>(address: string, method: string, parameters: object): Promise<Answer | undefined> {
        const client = new JSONRPCClient((payload) => this.post(address, payload, (answer) => client.receive(answer)));
        try {
            return await client.request(method, parameters) as Answer;
        }
        catch {
            return undefined;
        }
    }

    private async post(address: string, payload: object, receive: (answer: never) => void): Promise<void> {
        const headers: Record<string, string> = { "content-type": "application/json" };
        if (this.key !== undefined) {
            headers["authorization"] = `Bearer ${this.key}`;
        }
        const response = await request(`${address}/operator`, {
            method: "POST",
            headers,
            body: JSON.stringify(payload),
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
            dispatcher: this.agent,
        });
        receive(await response.body.json() as never);
    }
}

/** Lists the addresses of the routers that are registered at the key-value service. */
export async function registeredRouters(store: KeyValueStore): Promise<string[] | undefined> {
    const entries = await store.list("routers/");
    const addresses = entries?.map((entry) => (JSON.parse(entry.value) as { address: string; }).address);
    return addresses === undefined ? undefined : [...new Set(addresses)].sort();
}
