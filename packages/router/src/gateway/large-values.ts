import { inflateRawSync } from "node:zlib";
import { z } from "zod";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";
import type { PeerCalls } from "./peer-calls.js";
import { sleep } from "./sleep.js";

/** JSON-RPC method by which a router requests a large value of the store from another one. */
export const LARGE_VALUE_METHOD = "value";

/** Time in ms within which another router begins to respond. */
const RESPONSE_TIMEOUT_MS = 400;
/** Pause in ms after no source had the value. */
const RETRY_MS = 250;
/** Maximum bytes of a value. */
const MAX_VALUE_BYTES = 64 * 1024 * 1024;

const responseSchema = z.object({
    revision: z.number().optional(),
    /** Deflated, in Base64; undefined if the router does not have this revision or a newer one. */
    deflated: z.string().optional(),
});

/** A change of a key whose value is being fetched. Before a monotonic time in ms, no change of the key is missing. */
type MissingChange = { readonly revision: number; readonly confirmedAt: number; };

/**
 * Fetches large values from other routers, or else from the store, apart from the changes of other keys, which must
 * not wait for them on a slow link.
 */
export class LargeValues {
    /** Changes of each key that is being fetched, the oldest first. */
    private readonly missing = new Map<string, readonly MissingChange[]>();
    private stopped = false;

    constructor(
        private readonly peers: PeerCalls,
        /** Peer addresses of the routers that watch the store, in the order to call them. */
        private readonly sources: () => readonly string[],
        private readonly store: MetadataStore,
        private readonly logs: GatewayLogs,
    ) {}

    /**
     * Fetches the value of a key at a revision or a newer one, and passes it on; one fetch runs for each key. No change
     * of the key that happened before `confirmedAt`, a monotonic time in ms, is missing.
     */
    fetch(key: string, revision: number, confirmedAt: number, onValue: (item: StoredItem) => void): void {
        const missing = this.missing.get(key) ?? [];
        if (missing.every((change) => change.revision < revision)) {
            this.missing.set(key, [...missing, { revision, confirmedAt }]);
        }
        if (missing.length === 0) {
            void this.run(key, onValue);
        }
    }

    /** Returns the monotonic time in ms before which no change of a key is missing; undefined if none is. */
    missingSince(key: string): number | undefined {
        return this.missing.get(key)?.[0]!.confirmedAt;
    }

    /** Stops after the calls in progress. */
    stop(): void {
        this.stopped = true;
    }

    private async run(key: string, onValue: (item: StoredItem) => void): Promise<void> {
        while (!this.stopped && this.missing.has(key)) {
            const startedAt = performance.now();
            const requested = this.missing.get(key)!.at(-1)!.revision;
            const item = await this.fromPeers(key) ?? await this.fromStore(key);
            this.logs.store.info(
                item === undefined ? "Large value not fetched." : "Large value fetched.",
                { key, requested, revision: item?.revision, tookMs: Math.round(performance.now() - startedAt) },
            );
            if (item === undefined) {
                await sleep(RETRY_MS);
            }
            else {
                onValue(item);
                this.recordFetched(item);
            }
        }
    }

    private recordFetched({ key, revision }: StoredItem): void {
        const later = this.missing.get(key)!.filter((change) => change.revision > revision);
        if (later.length === 0) {
            this.missing.delete(key);
        }
        else {
            this.missing.set(key, later);
        }
    }

    private async fromPeers(key: string): Promise<StoredItem | undefined> {
        const parameters = { key, revision: this.missing.get(key)!.at(-1)!.revision };
        for (const source of this.sources()) {
            const startedAt = performance.now();
            const response = await this.peers.call(source, LARGE_VALUE_METHOD, parameters, RESPONSE_TIMEOUT_MS);
            const parsed = responseSchema.safeParse(response.unwrapOr(undefined));
            const { revision, deflated } = parsed.data ?? {};
            const value = deflated === undefined ? undefined : this.inflate(key, source, deflated);
            if (revision !== undefined && value !== undefined) {
                return { key, revision, value };
            }
            this.logs.store.info("Large value not available from another router; asking the next source.", {
                key,
                source,
                requested: parameters.revision,
                failure: response.isErr() ? response.error.detail : "not there",
                tookMs: Math.round(performance.now() - startedAt),
            });
        }
        return undefined;
    }

    private inflate(key: string, source: string, deflated: string): Buffer | undefined {
        try {
            return inflateRawSync(Buffer.from(deflated, "base64"), { maxOutputLength: MAX_VALUE_BYTES });
        }
        catch (error) {
            const detail = (error as Error).message;
            this.logs.store.warn("Large value of another router can't be inflated; asking the next source.", {
                key,
                source,
                detail,
            });
            return undefined;
        }
    }

    private async fromStore(key: string): Promise<StoredItem | undefined> {
        const result = await this.store.list(key);
        const item = result.kind === "done" ? result.value.items.find((listed) => listed.key === key) : undefined;
        if (item === undefined) {
            this.logs.store.warn("Large value not available from other routers or the store; retrying.", {
                key,
                result: result.kind,
            });
            if (result.kind === "done") {
                this.missing.delete(key);
            }
        }
        return item;
    }
}
