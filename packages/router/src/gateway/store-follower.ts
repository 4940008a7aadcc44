import type { LargeValues } from "./large-values.js";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreChange, StoredItem, StoreFailure, StoreResult } from "./metadata-store.js";
import type { ChangeHistory, PeerChangeFeed } from "./peer-change-feed.js";

/** Share of the change deadline that a watch waits; it bounds how long a silent connection goes unnoticed. */
const WATCH_WAIT_SHARE = 0.2;
/** Share of the change deadline between the starts of two watches: changes are batched, as each call has a cost. */
const WATCH_INTERVAL_SHARE = 0.2;
/** Pause in ms after a failed call, doubled with each one in a row; failed calls have a cost too. */
const MIN_RETRY_MS = 500;
/** Longest such pause in ms: including a call, a router is up to date within 3 s of the end of a partition. */
const MAX_RETRY_MS = 1_200;
/** Minimum interval in ms between two requests to other routers. */
const PEER_POLL_INTERVAL_MS = 100;
/** Share of the change deadline for which a router waits, after a partition, for other routers to be up to date. */
const PEERS_ONLY_SHARE = 0.3;
/** Shares of the change deadline that a request to another router may wait, and that its changes may be old. */
const PEER_WAIT_SHARE = 0.2;
const PEER_MAX_AGE_SHARE = 0.45;

/** Time in ms beyond its wait for which a read of one prefix is awaited; a large value may take longer. */
const PREFIX_READ_MARGIN_MS = 300;

/** The prefix of all keys. */
const ALL_KEYS_PREFIX = "";

/** Time in ms after a store outage within which expired registrations may be renewed. */
const EXPIRY_GRACE_MS = 2_000;

/** Receives the items of the store and their changes. */
export type StoreListener = {
    /** Called with all items, at the start or after changes may have been missed. */
    readonly onReplaced: (items: readonly StoredItem[], revision: number, now: number) => void;
    readonly onChanged: (change: StoreChange, now: number) => void;
};

/** Follows the store, by watches or by changes that other routers relay. */
export class StoreFollower {
    private revision: number | undefined;
    /** Revisions of the keys whose newest change that was applied is newer than `revision`. */
    private readonly newerRevisions = new Map<string, number>();
    /** Revision up to which each prefix was read, where that is newer than `revision`. */
    private readonly prefixRevisions = new Map<string, number>();
    /** Prefixes whose read takes long. */
    private readonly readingPrefixes = new Set<string>();
    private stopped = false;
    /** True while changes of keys outside the feed prefixes may have been missed. */
    private isPartial = false;
    /** Time of the first failure since the last success. */
    private failingSince: number | undefined;
    /** Failed calls since the last success. */
    private failures = 0;
    /** Time until which a router that was partitioned from the store reads from other routers only. */
    private peersOnlyUntil = -Infinity;
    /** Time before which no change is missing; a router starts without any. */
    private confirmedAt = -Infinity;
    /** Time at which the store was available again after its last outage. */
    private restoredAt = -Infinity;
    /** Time in ms for which no changes could be read in that outage, from the store or another router. */
    private outageMs = 0;

    constructor(
        private readonly store: MetadataStore,
        private readonly listener: StoreListener,
        private readonly logs: GatewayLogs,
        private readonly clock: () => number,
        /** Time in ms within which the router must act on a change. */
        private readonly changeDeadlineMs: () => number,
        /** Returns the feed of other routers; undefined while this router reads the store itself. */
        private readonly changeFeed: () => PeerChangeFeed | undefined,
        private readonly history: ChangeHistory,
        /**
         * Prefixes that are read from the store when no other router relays changes, the most urgent first. All other
         * keys together change too much for small links.
         */
        private readonly feedPrefixes: readonly string[],
        private readonly largeValues: LargeValues,
    ) {}

    /** Follows the store until stopped. */
    async run(): Promise<void> {
        while (!this.stopped) {
            const startedAt = this.clock();
            const intervalMs = await this.readNext();
            await sleep(Math.max(0, startedAt + intervalMs - this.clock()));
        }
    }

    /** Returns the age in ms of what was read: no change that is older is missing. */
    changesAgeMs(now: number): number {
        return now - this.confirmedAt;
    }

    /**
     * Returns the time in ms for which registrations that expired in a store outage may still be renewed. There are
     * none if the outage was shorter than the time in which they expire: a removal then means that the owner has left.
     */
    expiryGraceMs(shortestExpiryMs: number, now: number): number {
        return this.outageMs < shortestExpiryMs ? 0 : Math.max(0, this.restoredAt + EXPIRY_GRACE_MS - now);
    }

    /** Whether the last read failed. */
    get isFailing(): boolean {
        return this.failures > 0;
    }

    /** Stops after the call in progress. */
    stop(): void {
        this.stopped = true;
        this.largeValues.stop();
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

    // One small call shows whether the store is available. Then peers are called again: most were partitioned as well.
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
        const startedAt = this.clock();
        const relayed = await feed.changes(this.revision!, waitMs, PEER_MAX_AGE_SHARE * this.changeDeadlineMs());
        if (relayed === undefined) {
            this.logs.store.info("Another router relayed no changes in time.", {
                tookMs: Math.round(this.clock() - startedAt),
                changesAgeMs: Math.round(this.changesAgeMs(this.clock())),
            });
            return false;
        }
        this.isPartial = true;
        this.recordSuccess();
        this.recordConfirmed(relayed.readAt, "other-router");
        const { changes, deferred, revision, readAt } = relayed;
        this.history.add(changes, revision, readAt, deferred);
        this.apply(changes);
        this.recordRevision(revision);
        for (const value of deferred) {
            this.largeValues.fetch(value.key, value.revision, (item) => this.applyLargeValue(item));
        }
        return true;
    }

    private applyLargeValue(item: StoredItem): void {
        this.history.addLargeValue(item);
        this.listener.onChanged({ key: item.key, revision: item.revision, item }, this.clock());
    }

    // Sources may repeat changes that were read before: these must not undo newer ones.
    private apply(changes: readonly StoreChange[]): void {
        const now = this.clock();
        for (const change of changes) {
            const { key, revision } = change;
            if (revision > Math.max(this.revision ?? 0, this.newerRevisions.get(key) ?? 0)) {
                this.newerRevisions.set(key, revision);
                this.listener.onChanged(change, now);
            }
        }
    }

    // Records that all changes up to a revision were applied.
    private recordRevision(revision: number): void {
        this.revision = Math.max(revision, this.revision ?? 0);
        for (const revisions of [this.newerRevisions, this.prefixRevisions]) {
            revisions.forEach((newer, key) => newer <= this.revision! && revisions.delete(key));
        }
    }

    private async readAll(): Promise<boolean> {
        const startedAt = this.clock();
        const result = await this.store.list(ALL_KEYS_PREFIX);
        if (result.kind !== "done") {
            this.recordFailure(result);
            return false;
        }
        this.recordSuccess();
        this.recordConfirmed(startedAt, "store");
        const { items, revision } = result.value;
        this.newerRevisions.clear();
        this.prefixRevisions.clear();
        items.forEach((item) => this.newerRevisions.set(item.key, item.revision));
        this.revision = undefined;
        this.recordRevision(revision);
        this.isPartial = false;
        this.history.restart(revision);
        this.listener.onReplaced(items, revision, this.clock());
        return true;
    }

    private async readChanges(feedOnly: boolean): Promise<boolean> {
        const startedAt = this.clock();
        const result = feedOnly ? await this.readPrefixes() : await this.readAllChanges();
        if (result.kind === "compacted") {
            this.logs.store.warn("Watch history compacted; reading all keys.", { revision: this.revision });
            this.revision = undefined;
            return this.readAll();
        }
        if (result.kind !== "done") {
            this.recordFailure(result);
            return false;
        }
        this.recordSuccess();
        this.recordConfirmed(startedAt, "store");
        this.isPartial ||= feedOnly;
        return true;
    }

    private async readAllChanges(): Promise<StoreResult<void>> {
        const waitMs = WATCH_WAIT_SHARE * this.changeDeadlineMs();
        const result = await this.store.changes(ALL_KEYS_PREFIX, this.revision!, waitMs);
        if (result.kind !== "done") {
            return result;
        }
        const { changes, revision } = result.value;
        this.history.add(changes, revision, this.clock());
        this.apply(changes);
        this.recordRevision(revision);
        return { kind: "done", value: undefined };
    }

    // Each prefix is applied as soon as it is read. A call without a wait shows first whether the store is available.
    private async readPrefixes(): Promise<StoreResult<void>> {
        const waitMs = WATCH_WAIT_SHARE * this.changeDeadlineMs() / this.feedPrefixes.length;
        const [firstPrefix, ...otherPrefixes] = this.feedPrefixes;
        const first = await this.readPrefix(firstPrefix!, otherPrefixes.length === 0 ? waitMs : 0);
        if (first.kind !== "done") {
            return first;
        }
        const others = otherPrefixes.filter((prefix) => !this.readingPrefixes.has(prefix))
            .map((prefix) => this.readPrefix(prefix, waitMs));
        const results = await Promise.race([Promise.all(others), sleep(waitMs + PREFIX_READ_MARGIN_MS)]);
        const failure = results?.find((result) => result.kind !== "done");
        if (failure !== undefined) {
            return failure;
        }
        const current = this.revision!;
        const revision = Math.min(...this.feedPrefixes.map((prefix) => this.prefixRevisions.get(prefix) ?? current));
        this.recordRevision(revision);
        this.history.add([], revision, this.clock());
        return { kind: "done", value: undefined };
    }

    private async readPrefix(prefix: string, waitMs: number): Promise<StoreResult<void>> {
        const after = Math.max(this.revision!, this.prefixRevisions.get(prefix) ?? 0);
        const startedAt = this.clock();
        this.readingPrefixes.add(prefix);
        const result = await this.store.changes(prefix, after, waitMs);
        this.readingPrefixes.delete(prefix);
        if (result.kind !== "done") {
            this.logs.store.info("Changes of a prefix could not be read from the store.", {
                prefix,
                failure: result.kind,
                tookMs: Math.round(this.clock() - startedAt),
            });
            return result;
        }
        const { changes, revision } = result.value;
        this.history.add(changes, this.revision ?? 0, -Infinity);
        this.apply(changes);
        this.prefixRevisions.set(prefix, revision);
        return { kind: "done", value: undefined };
    }

    private recordConfirmed(readAt: number, source: string): void {
        const now = this.clock();
        const ageMs = this.changesAgeMs(now);
        if (ageMs > this.changeDeadlineMs() && this.revision !== undefined) {
            this.logs.store.warn("Changes were read late.", {
                source,
                changesAgeMs: Math.round(ageMs),
                nowAgeMs: Math.round(now - readAt),
                deadlineMs: this.changeDeadlineMs(),
            });
        }
        this.confirmedAt = Math.max(this.confirmedAt, readAt);
    }

    private recordFailure(failure: StoreFailure): void {
        this.failures++;
        if (this.failingSince === undefined) {
            this.failingSince = this.clock();
            this.logs.store.warn("Store unavailable; retrying.", {
                failure: failure.kind,
                detail: "detail" in failure ? failure.detail : "",
            });
        }
    }

    private recordSuccess(): void {
        this.failures = 0;
        if (this.failingSince !== undefined) {
            this.restoredAt = this.clock();
            this.outageMs = this.changesAgeMs(this.restoredAt);
            this.logs.store.info("Store available again.", {
                afterMs: Math.round(this.restoredAt - this.failingSince),
                changesAgeMs: Math.round(this.outageMs),
            });
            this.failingSince = undefined;
        }
    }
}

function sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
        setTimeout(resolve, durationMs);
    });
}
