import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreResult, StoreTransaction } from "./metadata-store.js";

/** Longest write in ms with which checkpoints on demand come in time for the requests that wait for them. */
const MAX_FAST_WRITE_MS = 50;

/** Whether writes to the store succeed, and how long they take. Times are monotonic, in ms. */
export class StoreHealth {
    /** Time in ms that the last write took; infinite if it had no usable response. */
    private latencyMs = 0;
    private failedAt = -Infinity;
    private failingSince: number | undefined;

    constructor(
        private readonly store: MetadataStore,
        private readonly logs: GatewayLogs,
        private readonly now: () => number,
    ) {}

    /** Sends a transaction and measures how long its response takes. */
    async transact(transaction: StoreTransaction): Promise<StoreResult<number>> {
        const startedAt = this.now();
        const result = await this.store.transact(transaction);
        const isResponse = result.kind === "done" || result.kind === "conflict";
        this.latencyMs = isResponse ? this.now() - startedAt : Infinity;
        return result;
    }

    /** Whether the last write took long, or failed. */
    get isSlow(): boolean {
        return this.latencyMs > MAX_FAST_WRITE_MS;
    }

    /** Returns whether the store has failed within the last `ms`, and has not responded since. */
    hasFailedWithin(ms: number): boolean {
        return this.now() - this.failedAt < ms;
    }

    /** Returns the time in ms for which writes have failed; undefined if they do not. */
    failingMs(now: number): number | undefined {
        return this.failingSince === undefined ? undefined : now - this.failingSince;
    }

    /** Records that the store responds. */
    recordAvailable(): void {
        this.failingSince = undefined;
        this.failedAt = -Infinity;
    }

    /** Records that a write failed. */
    recordFailure(kind: string, detail: string): void {
        this.failedAt = this.now();
        this.failingSince ??= this.failedAt;
        this.logs.prepaid.warn("Write of token records or checkpoints failed; backing off.", { kind, detail });
    }
}
