import { setTimeout as sleep } from "node:timers/promises";
import type { GatewayLogs } from "./log-sink.js";
import type {
    MetadataStore,
    StoreChange,
    StoreChanges,
    StoredItem,
    StoreFailure,
    StoreResult,
} from "./metadata-store.js";
import type { ChangeHistory, PeerChangeFeed } from "./peer-news.js";

/** Part of the shortest bound on news that a watch waits; it bounds how long a silent connection goes unnoticed. */
const WATCH_WAIT_SHARE = 0.2;
/** Part of the shortest bound on news that passes between two watches: changes gather, as each call has its price. */
const WATCH_INTERVAL_SHARE = 0.2;
/** Pause in ms after a failed call, which doubles with each one in a row; such a call has its price too. */
const MIN_RETRY_MS = 500;
/** Longest such pause in ms: with the time of a call, a router that is reached again knows the news within 3 s. */
const MAX_RETRY_MS = 1_200;
/** Pause in ms between two questions to another router. */
const PEER_POLL_INTERVAL_MS = 100;
/** Part of the shortest bound on news for which a router that is reached again waits for others to be up to date. */
const PEERS_ONLY_SHARE = 0.3;
/** Parts of the shortest bound on news that a question to another router may wait, and that its news may be old. */
const PEER_WAIT_SHARE = 0.2;
const PEER_MAX_AGE_SHARE = 0.45;

/** The prefix of all keys. */
const ALL_KEYS_PREFIX = "";

/** Takes in what the store holds. */
export type StoreListener = {
    /** All items, after a start or a gap. */
    readonly onReplaced: (items: readonly StoredItem[], revision: number, now: number) => void;
    readonly onChanged: (change: StoreChange, now: number) => void;
};

/** Follows the store, by watches or by what other routers pass on. */
export class StoreFollower {
    private revision: number | undefined;
    private stopped = false;
    /** True while changes that others need not know may have been missed. */
    private isPartial = false;
    /** Time of the first failure since the last success. */
    private failingSince: number | undefined;
    /** Failed calls since the last success. */
    private failures = 0;
    /** Time until which a router that was cut off asks other routers only. */
    private peersOnlyUntil = -Infinity;
    /** Time at which the store answered again after its last outage. */
    restoredAt = -Infinity;

    constructor(
        private readonly store: MetadataStore,
        private readonly listener: StoreListener,
        private readonly logs: GatewayLogs,
        private readonly clock: () => number,
        /** Time in ms within which news have to be acted upon. */
        private readonly changeDeadlineMs: () => number,
        /** Other routers that pass on changes; undefined while this router asks the store itself. */
        private readonly changeFeed: () => PeerChangeFeed | undefined,
        private readonly history: ChangeHistory,
        /**
         * Prefixes that a router asks the store for when no other router passes changes on. The rest is
         * much more than small links carry.
         */
        private readonly feedPrefixes: readonly string[],
    ) {}

    /** Follows the store until stopped. */
    async run(): Promise<void> {
        while (!this.stopped) {
            const startedAt = this.clock();
            const intervalMs = await this.readNext();
            await sleep(Math.max(0, startedAt + intervalMs - this.clock()));
        }
    }

    /** Whether the last call to the store failed. */
    get isFailing(): boolean {
        return this.failures > 0;
    }

    /** Ends the watch after the call on its way. */
    stop(): void {
        this.stopped = true;
    }

    // Returns the time in ms from the start of this read to the next one.
    private async readNext(): Promise<number> {
        const feed = this.revision === undefined ? undefined : this.changeFeed();
        if (feed !== undefined && await this.readFromPeer(feed)) {
            return PEER_POLL_INTERVAL_MS;
        }
        if (feed !== undefined && this.isFailing && !await this.probeStore(feed)) {
            return this.retryMs();
        }
        if (feed !== undefined && this.clock() < this.peersOnlyUntil) {
            feed.clearPauses();
            return PEER_POLL_INTERVAL_MS;
        }
        if (feed === undefined && this.isPartial) {
            this.revision = undefined;
        }
        const succeeded = this.revision === undefined
            ? await this.readAll()
            : await this.readChanges(feed !== undefined);
        return succeeded ? WATCH_INTERVAL_SHARE * this.changeDeadlineMs() : this.retryMs();
    }

    private retryMs(): number {
        return Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** (this.failures - 1));
    }

    // One small call shows whether the store is back. Others are asked again then, who mostly were cut off as well.
    private async probeStore(feed: PeerChangeFeed): Promise<boolean> {
        const result = await this.store.changes(this.feedPrefixes[0]!, this.revision!, 0);
        if (result.kind !== "done" && result.kind !== "compacted") {
            this.recordFailure(result);
            return false;
        }
        this.recordSuccess();
        feed.clearPauses();
        this.peersOnlyUntil = this.clock() + PEERS_ONLY_SHARE * this.changeDeadlineMs();
        return true;
    }

    private async readFromPeer(feed: PeerChangeFeed): Promise<boolean> {
        const waitMs = PEER_WAIT_SHARE * this.changeDeadlineMs();
        const relayed = await feed.changes(this.revision!, waitMs, PEER_MAX_AGE_SHARE * this.changeDeadlineMs());
        if (relayed === undefined) {
            return false;
        }
        this.isPartial = true;
        this.recordSuccess();
        this.history.add(relayed.changes, relayed.revision, relayed.readAt);
        this.apply(relayed);
        return true;
    }

    private apply({ changes, revision }: StoreChanges): void {
        this.revision = revision;
        const now = this.clock();
        for (const change of changes) {
            this.listener.onChanged(change, now);
        }
    }

    private async readAll(): Promise<boolean> {
        const result = await this.store.list(ALL_KEYS_PREFIX);
        if (result.kind !== "done") {
            this.recordFailure(result);
            return false;
        }
        this.recordSuccess();
        this.revision = result.value.revision;
        this.isPartial = false;
        this.history.restart(result.value.revision);
        this.listener.onReplaced(result.value.items, result.value.revision, this.clock());
        return true;
    }

    private async readChanges(feedOnly: boolean): Promise<boolean> {
        const result = await this.changesWithPrefixes(feedOnly ? this.feedPrefixes : [ALL_KEYS_PREFIX]);
        if (result.kind === "compacted") {
            this.logs.store.warn("History is gone, reading everything.", { revision: this.revision });
            this.revision = undefined;
            return this.readAll();
        }
        if (result.kind !== "done") {
            this.recordFailure(result);
            return false;
        }
        this.recordSuccess();
        this.isPartial ||= feedOnly;
        this.history.add(result.value.changes, result.value.revision, this.clock());
        this.apply(result.value);
        return true;
    }

    // Changes of several prefixes count as read up to the least of their revisions; what is newer comes again.
    private async changesWithPrefixes(prefixes: readonly string[]): Promise<StoreResult<StoreChanges>> {
        // Nothing is applied before the last watch has ended, so several wait less each.
        const waitMs = WATCH_WAIT_SHARE * this.changeDeadlineMs() / prefixes.length;
        const [firstPrefix, ...otherPrefixes] = prefixes;
        // Where there are others, the first one shows whether they are worth asking for.
        const firstResult = await this.store.changes(
            firstPrefix!,
            this.revision!,
            otherPrefixes.length === 0 ? waitMs : 0,
        );
        const results = firstResult.kind === "done"
            ? [
                firstResult,
                ...await Promise.all(otherPrefixes.map((prefix) => this.store.changes(prefix, this.revision!, waitMs))),
            ]
            : [firstResult];
        const changes: StoreChange[] = [];
        let revision = Infinity;
        for (const result of results) {
            if (result.kind !== "done") {
                return result;
            }
            changes.push(...result.value.changes);
            revision = Math.min(revision, result.value.revision);
        }
        changes.sort((one, other) => one.revision - other.revision);
        return { kind: "done", value: { changes, revision } };
    }

    private recordFailure(failure: StoreFailure): void {
        this.failures++;
        if (this.failingSince === undefined) {
            this.failingSince = this.clock();
            this.logs.store.warn("Lost.", { failure: failure.kind, detail: "detail" in failure ? failure.detail : "" });
        }
    }

    private recordSuccess(): void {
        this.failures = 0;
        if (this.failingSince !== undefined) {
            this.restoredAt = this.clock();
            this.logs.store.info("Regained.", { afterMs: Math.round(this.restoredAt - this.failingSince) });
            this.failingSince = undefined;
        }
    }
}
