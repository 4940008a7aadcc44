import type { ChangeDeadline } from "@gooseberrybend/core/dispatch";
import { inflateRawSync } from "node:zlib";
import { z } from "zod";
import { type Attempt, firstResult } from "./first-result.js";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";
import type { PeerCalls } from "./peer-calls.js";
import { sleep } from "./sleep.js";

/** JSON-RPC method by which a router requests a large value of the store from another one. */
export const LARGE_VALUE_METHOD = "value";

/** Time in ms within which another router begins to respond. */
const RESPONSE_TIMEOUT_MS = 400;
/** Maximum number of routers that are asked before the store. */
const MAX_SOURCES = 3;
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
        private readonly deadline: () => ChangeDeadline,
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
            const item = await this.fetchOnce(key, requested);
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

    // A source may be slow or silent, so the next one is asked before it has failed, and the store last.
    private fetchOnce(key: string, requested: number): Promise<StoredItem | undefined> {
        const attempts = this.sources().slice(0, MAX_SOURCES).map((source): Attempt<StoredItem> => (reportProgress) =>
            this.fromPeer(source, key, requested, reportProgress)
        );
        const { valueHedgeMs } = this.deadline();
        return firstResult([...attempts, () => this.fromStore(key, requested)], {
            firstDelayMs: valueHedgeMs,
            nextDelayMs: valueHedgeMs,
        });
    }

    private recordFetched({ key, revision }: StoredItem): void {
        const later = (this.missing.get(key) ?? []).filter((change) => change.revision > revision);
        if (later.length === 0) {
            this.missing.delete(key);
        }
        else {
            this.missing.set(key, later);
        }
    }

    private async fromPeer(
        source: string,
        key: string,
        requested: number,
        reportProgress: () => void,
    ): Promise<StoredItem | undefined> {
        const startedAt = performance.now();
        const parameters = { key, revision: requested };
        const response = await this.peers.call(
            source,
            LARGE_VALUE_METHOD,
            parameters,
            RESPONSE_TIMEOUT_MS,
            reportProgress,
        );
        const { revision, deflated } = responseSchema.safeParse(response.unwrapOr(undefined)).data ?? {};
        const value = deflated === undefined ? undefined : this.inflate(key, source, deflated);
        if (revision !== undefined && value !== undefined) {
            return { key, revision, value };
        }
        this.logs.store.info("Large value not available from another router.", {
            key,
            source,
            requested,
            failure: response.isErr() ? response.error.detail : "not there",
            tookMs: Math.round(performance.now() - startedAt),
        });
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

    private async fromStore(key: string, requested: number): Promise<StoredItem | undefined> {
        const result = await this.store.list(key);
        const item = result.kind === "done" ? result.value.items.find((listed) => listed.key === key) : undefined;
        if (item !== undefined && item.revision >= requested) {
            return item;
        }
        this.logs.store.warn("Large value not available from the store.", {
            key,
            requested,
            result: result.kind,
            revision: item?.revision,
        });
        if (result.kind === "done" && item === undefined) {
            this.missing.delete(key);
        }
        return undefined;
    }
}
