import type { KeyValueResult, Versioned } from "@gooseberrybend/core";
import { once } from "node:events";
import { Agent, request } from "undici";
import { type KeyValueEntry, KeyValueStore, type WatchHandle } from "./key-value-store.js";

type StoredPair = { readonly key: string; readonly value?: string; readonly mod_revision: string; };
type RangeResponse = { readonly kvs?: readonly StoredPair[]; };
type TransactionResponse = {
    readonly succeeded?: boolean;
    readonly header?: { readonly revision: string; };
    readonly responses?: readonly { readonly response_range?: RangeResponse; }[];
};

type CallOutcome<Body> =
    | { readonly kind: "answered"; readonly body: Body; }
    | { readonly kind: "unavailable"; }
    | { readonly kind: "unknown"; };

const WATCH_RETRY_DELAY_MS = 2_000;
const UNSENT_ERROR_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Adapter to a key-value service with the JSON gateway API of etcd v3. */
export class EtcdStore extends KeyValueStore {
    private readonly agent: Agent;

    constructor(private readonly address: string, private readonly timeoutMs: number) {
        super();
        this.agent = new Agent({ connect: { timeout: timeoutMs }, connections: 16 });
    }

    override async get(key: string): Promise<KeyValueResult> {
        return this.range({ key: encode(key) });
    }

    override async versionOf(key: string): Promise<KeyValueResult> {
        const result = await this.range({ key: encode(key), keys_only: true });
        return result.kind === "value" ? { kind: "value", current: { ...result.current, value: undefined } } : result;
    }

    private async range(body: object): Promise<KeyValueResult> {
        const outcome = await this.call<RangeResponse>("/v3/kv/range", body);
        return outcome.kind === "answered"
            ? { kind: "value", current: versionedOf(outcome.body) }
            : { kind: "unavailable" };
    }

    override async list(prefix: string): Promise<KeyValueEntry[] | undefined> {
        const body = { key: encode(prefix), range_end: encode(endOfPrefix(prefix)) };
        const outcome = await this.call<RangeResponse>("/v3/kv/range", body);
        return outcome.kind === "answered" ? (outcome.body.kvs ?? []).map(entryOf) : undefined;
    }

    override async compareAndSwap(
        key: string,
        expected: number,
        value: string,
        lease?: string,
    ): Promise<KeyValueResult> {
        const encodedKey = encode(key);
        const outcome = await this.call<TransactionResponse>("/v3/kv/txn", {
            compare: [{ key: encodedKey, target: "MOD", result: "EQUAL", mod_revision: String(expected) }],
            success: [{ request_put: { key: encodedKey, value: encode(value), lease } }],
            failure: [{ request_range: { key: encodedKey } }],
        });
        if (outcome.kind !== "answered") {
            return { kind: outcome.kind };
        }
        if (outcome.body.succeeded === true) {
            return { kind: "applied", version: Number(outcome.body.header!.revision) };
        }
        return { kind: "conflict", current: versionedOf(outcome.body.responses?.[0]?.response_range ?? {}) };
    }

    override async grantLease(seconds: number): Promise<string | undefined> {
        const outcome = await this.call<{ ID: string; }>("/v3/lease/grant", { TTL: String(seconds) });
        return outcome.kind === "answered" ? outcome.body.ID : undefined;
    }

    override async keepAlive(lease: string): Promise<boolean> {
        const outcome = await this.call<{ result?: { TTL?: string; }; }>("/v3/lease/keepalive", { ID: lease });
        return outcome.kind === "answered" && Number(outcome.body.result?.TTL ?? 0) > 0;
    }

    override watch(key: string, onChange: () => void): WatchHandle {
        const abort = new AbortController();
        void this.followWatch(key, onChange, abort.signal);
        return { stop: () => abort.abort() };
    }

    private async followWatch(key: string, onChange: () => void, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            try {
                const body = JSON.stringify({ create_request: { key: encode(key) } });
                const options = { method: "POST", body, signal, dispatcher: this.agent, bodyTimeout: 0 } as const;
                const response = await request(`${this.address}/v3/watch`, options);
                response.body.on("data", onChange);
                await once(response.body, "close");
            }
            catch {
                // The loop reopens the watch after a delay; polling detects changes until then.
            }
            await delay(WATCH_RETRY_DELAY_MS);
        }
    }

    private async call<Body>(path: string, body: object): Promise<CallOutcome<Body>> {
        try {
            const response = await request(`${this.address}${path}`, {
                method: "POST",
                body: JSON.stringify(body),
                headers: { "content-type": "application/json" },
                dispatcher: this.agent,
                signal: AbortSignal.timeout(this.timeoutMs),
            });
            if (response.statusCode === 200) {
                return { kind: "answered", body: await response.body.json() as Body };
            }
            await response.body.dump();
            return { kind: response.statusCode === 429 || response.statusCode === 503 ? "unavailable" : "unknown" };
        }
        catch (error) {
            const code = (error as { code?: string; }).code ?? "";
            return { kind: UNSENT_ERROR_CODES.has(code) ? "unavailable" : "unknown" };
        }
    }
}

function encode(text: string): string {
    return Buffer.from(text).toString("base64");
}

function decode(text: string): string {
    return Buffer.from(text, "base64").toString();
}

function endOfPrefix(prefix: string): string {
    const last = prefix.charCodeAt(prefix.length - 1);
    return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

function versionedOf(range: RangeResponse): Versioned {
    const pair = range.kvs?.[0];
    if (pair === undefined) {
        return { version: 0, value: undefined };
    }
    return { version: Number(pair.mod_revision), value: decode(pair.value ?? "") };
}

function entryOf(pair: StoredPair): KeyValueEntry {
    return { key: decode(pair.key), value: decode(pair.value ?? ""), version: Number(pair.mod_revision) };
}

function delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
        setTimeout(resolve, delayMs).unref();
    });
}
