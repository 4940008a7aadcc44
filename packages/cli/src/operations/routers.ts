import type { Trace } from "@gooseberrybend/core";
import type { KeyValueStore, RouterReport } from "@gooseberrybend/router";
import { JSONRPCClient } from "json-rpc-2.0";
import { Agent, request } from "undici";

const CALL_TIMEOUT_MS = 2_000;

/** A router's address and its report, or undefined if it did not answer. */
export type RouterStatus = { readonly address: string; readonly report: RouterReport | undefined; };

/** JSON-RPC client for the operator interface of routers. */
export class OperatorClient {
    private readonly agent = new Agent({ connect: { timeout: CALL_TIMEOUT_MS } });

    constructor(private readonly operatorKey: string | undefined) {}

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    /** Requests the reports of routers. */
    async status(addresses: readonly string[]): Promise<RouterStatus[]> {
        return Promise.all(addresses.map(async (address) => ({
            address,
            report: await this.call<RouterReport>(address, "status", {}),
        })));
    }

    /** Requests the decisions of routers on an idempotency key, in order of time. */
    async explain(addresses: readonly string[], key: string): Promise<(Trace & { readonly router: string; })[]> {
        const answers = await Promise.all(addresses.map(async (router) => {
            const traces = await this.call<Trace[]>(router, "explain", { key });
            return (traces ?? []).map((trace) => ({ ...trace, router }));
        }));
        return answers.flat().sort((first, second) => first.at - second.at);
    }

    /** Starts draining a router. Returns false if the call fails. */
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
        if (this.operatorKey !== undefined) {
            headers["authorization"] = `Bearer ${this.operatorKey}`;
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

/** Lists the addresses of registered routers, or undefined if the key-value service does not answer. */
export async function listRegisteredRouters(store: KeyValueStore): Promise<string[] | undefined> {
    const entries = await store.list("routers/");
    const addresses = entries?.map((entry) => (JSON.parse(entry.value) as { address: string; }).address);
    return addresses === undefined ? undefined : [...new Set(addresses)].sort();
}
