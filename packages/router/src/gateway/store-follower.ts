import { setTimeout as sleep } from "node:timers/promises";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreChange, StoredItem, StoreFailure } from "./metadata-store.js";

/** Longest time in ms that a watch waits; it bounds how long a silent connection goes unnoticed. */
const WATCH_MS = 800;
/** Longest pause in ms between two watches: changes gather meanwhile, as each call has its price. */
const LONGEST_PACE_MS = 500;
/** Part of the shortest bound on news that the pause may take. */
const PACE_SHARE = 0.25;
/** Pause in ms after a failed call. */
const RETRY_MS = 200;

/** Takes in what the store holds. */
export type StoreListener = {
    /** All items, after a start or a gap. */
    readonly replaced: (items: readonly StoredItem[], revision: number, now: number) => void;
    readonly changed: (change: StoreChange, now: number) => void;
};

/** Follows all keys of the store by watches. */
export class StoreFollower {
    private revision: number | undefined;
    private stopped = false;
    /** Time of the first failure since the last success. */
    private failingSince: number | undefined;
    /** Time at which the store answered again after its last outage. */
    returnedAt = -Infinity;

    constructor(
        private readonly store: MetadataStore,
        private readonly listener: StoreListener,
        private readonly logs: GatewayLogs,
        private readonly clock: () => number,
        /** Time in ms within which news have to be acted upon. */
        private readonly newsMs: () => number,
    ) {}

    /** True while the last call failed. */
    get failing(): boolean {
        return this.failingSince !== undefined;
    }

    /** Follows the store until stopped. */
    async run(): Promise<void> {
        while (!this.stopped) {
            const startedAt = this.clock();
            const worked = this.revision === undefined ? await this.readAll() : await this.readChanges();
            const pace = Math.min(LONGEST_PACE_MS, PACE_SHARE * this.newsMs());
            const pause = worked ? startedAt + pace - this.clock() : RETRY_MS;
            await sleep(Math.max(0, pause));
        }
    }

    /** Ends the watch after the call on its way. */
    stop(): void {
        this.stopped = true;
    }

    private async readAll(): Promise<boolean> {
        const result = await this.store.list("");
        if (result.kind !== "done") {
            this.noteFailure(result);
            return false;
        }
        this.noteSuccess();
        this.revision = result.value.revision;
        this.listener.replaced(result.value.items, result.value.revision, this.clock());
        return true;
    }

    private async readChanges(): Promise<boolean> {
        const result = await this.store.changes("", this.revision!, WATCH_MS);
        if (result.kind === "compacted") {
            this.logs.store.warn("History is gone, reading everything.", { revision: this.revision });
            this.revision = undefined;
            return this.readAll();
        }
        if (result.kind !== "done") {
            this.noteFailure(result);
            return false;
        }
        this.noteSuccess();
        this.revision = result.value.revision;
        const now = this.clock();
        for (const change of result.value.changes) {
            this.listener.changed(change, now);
        }
        return true;
    }

    private noteFailure(failure: StoreFailure): void {
        if (this.failingSince === undefined) {
            this.failingSince = this.clock();
            this.logs.store.warn("Lost.", { failure: failure.kind, detail: "detail" in failure ? failure.detail : "" });
        }
    }

    private noteSuccess(): void {
        if (this.failingSince !== undefined) {
            this.returnedAt = this.clock();
            this.logs.store.info("Regained.", { afterMs: Math.round(this.returnedAt - this.failingSince) });
            this.failingSince = undefined;
        }
    }
}
