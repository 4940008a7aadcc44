import type { GatewayLogs } from "./log-sink.js";
import type {
    MetadataStore,
    StoreChange,
    StoreChanges,
    StoredItem,
    StoreFailure,
    StoreResult,
} from "./metadata-store.js";
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
         * Prefixes that are read from the store when no other router relays changes. All other keys together
         * change too much for small links.
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

    /** Returns the age in ms of what was read: no change that is older is missing. */
    changesAgeMs(now: number): number {
        return now - this.confirmedAt;
    }

    /** Returns the time in ms for which registrations that expired in a store outage may still be renewed. */
    expiryGraceMs(now: number): number {
        return Math.max(0, this.restoredAt + EXPIRY_GRACE_MS - now);
    }

    /** Whether the last read failed. */
    get isFailing(): boolean {
        return this.failures > 0;
    }

    /** Stops after the call in progress. */
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
        const startedAt = this.clock();
        const result = await this.store.list(ALL_KEYS_PREFIX);
        if (result.kind !== "done") {
            this.recordFailure(result);
            return false;
        }
        this.recordSuccess();
        this.recordConfirmed(startedAt, "store");
        this.revision = result.value.revision;
        this.isPartial = false;
        this.history.restart(result.value.revision);
        this.listener.onReplaced(result.value.items, result.value.revision, this.clock());
        return true;
    }

    private async readChanges(feedOnly: boolean): Promise<boolean> {
        const startedAt = this.clock();
        const result = await this.changesWithPrefixes(feedOnly ? this.feedPrefixes : [ALL_KEYS_PREFIX]);
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
        this.history.add(result.value.changes, result.value.revision, this.clock());
        this.apply(result.value);
        return true;
    }

    // Changes of several prefixes count as read up to the lowest of their revisions; newer ones are read again.
    private async changesWithPrefixes(prefixes: readonly string[]): Promise<StoreResult<StoreChanges>> {
        // Nothing is applied before the last watch has ended, so several watches wait for a shorter time each.
        const waitMs = WATCH_WAIT_SHARE * this.changeDeadlineMs() / prefixes.length;
        const [firstPrefix, ...otherPrefixes] = prefixes;
        // With several prefixes, a first call without a wait shows whether the store is available.
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
            this.logs.store.info("Store available again.", {
                afterMs: Math.round(this.restoredAt - this.failingSince),
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
