import { type ChangeDeadline, divideDeadline, eraOf, relayWaitMs, retryPauseMs } from "@gooseberrybend/core/dispatch";
import type { LargeValues } from "./large-values.js";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreChange, StoredItem, StoreFailure, StoreResult } from "./metadata-store.js";
import type { ChangeHistory, PeerChangeFeed } from "./peer-change-feed.js";
import { sleep } from "./sleep.js";

/** Minimum interval in ms between two requests to other routers. */
const PEER_POLL_INTERVAL_MS = 100;

/** The prefix of all keys. */
const ALL_KEYS_PREFIX = "";

/** Time in ms after a store outage within which expired registrations may be renewed. */
const EXPIRY_GRACE_MS = 2_000;

/** A time in which no changes could be read. Monotonic times in ms. */
type Outage = { readonly beganAt: number; readonly endedAt: number; };

/** Receives the items of the store and their changes. */
export type StoreListener = {
    /** Called with all items, at the start or after changes may have been missed. */
    readonly onReplaced: (items: readonly StoredItem[], revision: number, now: number) => void;
    readonly onChanged: (change: StoreChange, now: number) => void;
    /** Called when the store responds again after failed reads. */
    readonly onAvailable: () => void;
};

/** Follows the store, by watches or by changes that other routers relay. */
export class StoreFollower {
    private revision: number | undefined;
    /** Revisions of the keys whose newest change that was applied is newer than `revision`. */
    private readonly newerRevisions = new Map<string, number>();
    /** Revision up to which each prefix was read, where that is newer than `revision`. */
    private readonly prefixRevisions = new Map<string, number>();
    /** Read of all changes that takes long. */
    private watch: Promise<StoreResult<void>> | undefined;
    /** True if the changes after `revision` are no longer to be had from the store. */
    private isHistoryGone = false;
    /** Prefixes whose read takes long. */
    private readonly readingPrefixes = new Set<string>();
    /** Prefixes that were not read with the others, and the time before which no change of them is missing. */
    private readonly unreadSince = new Map<string, number>();
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
    /** The value of `confirmedAt` before it was last raised. */
    private confirmedBefore = -Infinity;
    /** Time before which no change of any key is missing, not only of those that other routers relay. */
    private allConfirmedAt = -Infinity;
    /** The last time in which the store was away, as far as this router can tell. */
    private outage: Outage = { beganAt: 0, endedAt: 0 };

    constructor(
        private readonly store: MetadataStore,
        private readonly listener: StoreListener,
        private readonly logs: GatewayLogs,
        private readonly clock: () => number,
        /** Time in ms within which the router must act on a change. */
        private readonly changeDeadlineMs: () => number,
        private readonly changeFeed: PeerChangeFeed,
        /** Whether this router reads the store for others. */
        private readonly isWatcher: () => boolean,
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
            const intervalMs = await this.readNext().catch((error: Error) => this.handleUnexpectedError(error));
            await sleep(Math.max(0, startedAt + intervalMs - this.clock()));
        }
    }

    /** Returns the age in ms of what was read: no change that is older is missing. */
    changesAgeMs(now: number): number {
        return now - this.confirmedAt;
    }

    /** Time before which no change of a key was made that is being applied: earlier ones had been read. */
    changesMadeAfter(key: string): number {
        return Math.min(this.confirmedBefore, this.unreadSinceOf(key));
    }

    /** Returns the age in ms of a key's value: no change of it that is older is missing. */
    valueAgeMs(key: string, now: number): number {
        return now
            - Math.min(this.confirmedAt, this.unreadSinceOf(key), this.largeValues.missingSince(key) ?? Infinity);
    }

    /**
     * Returns the age in ms of what was read of all keys, also of those that other routers do not relay; undefined if
     * this router does not watch all.
     */
    allChangesAgeMs(now: number): number | undefined {
        return this.isWatcher() ? now - this.allConfirmedAt : undefined;
    }

    /**
     * Returns the time in ms for which registrations that expired in a store outage may still be renewed. There are
     * none if the outage was shorter than the time in which they expire: a removal then means that the owner has left.
     */
    expiryGraceMs(shortestExpiryMs: number, now: number): number {
        const { beganAt, endedAt } = this.outage;
        return endedAt - beganAt < shortestExpiryMs ? 0 : Math.max(0, endedAt + EXPIRY_GRACE_MS - now);
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

    private get deadline(): ChangeDeadline {
        return divideDeadline(this.changeDeadlineMs());
    }

    // Returns the time in ms from the start of this read to the next one.
    private async readNext(): Promise<number> {
        const needsAll = this.isHistoryGone || (this.isPartial && this.isWatcher());
        if (this.revision === undefined || (needsAll && !this.isFailing)) {
            return this.pauseAfter(await this.readAll());
        }
        if (this.isWatcher() && !this.isFailing && await this.readStore(() => this.readAllChanges())) {
            return this.deadline.watchIntervalMs;
        }
        if (await this.readFromPeers()) {
            return PEER_POLL_INTERVAL_MS;
        }
        if (this.clock() < this.peersOnlyUntil) {
            this.changeFeed.clearPauses();
            return PEER_POLL_INTERVAL_MS;
        }
        return this.pauseAfter(await this.readStore(() => this.readPrefixes()));
    }

    // A fault in one read must not end the reading: the router would act on what it knew for good.
    private handleUnexpectedError(error: Error): number {
        this.logs.store.error("Unexpected error while following the store; reading on.", {
            detail: error.message,
            stack: error.stack,
        });
        return this.deadline.watchIntervalMs;
    }

    private pauseAfter(succeeded: boolean): number {
        return succeeded
            ? this.deadline.watchIntervalMs
            : retryPauseMs(this.deadline, this.failures, this.changesAgeMs(this.clock()));
    }

    private async readFromPeers(): Promise<boolean> {
        const startedAt = this.clock();
        const waitMs = relayWaitMs(this.deadline, this.changesAgeMs(startedAt));
        const relayed = await this.changeFeed.changes(this.revision!, waitMs, this.deadline);
        if (relayed === undefined) {
            if (!this.isFailing) {
                this.logs.store.info("No other router relayed changes in time.", {
                    tookMs: Math.round(this.clock() - startedAt),
                    changesAgeMs: Math.round(this.changesAgeMs(this.clock())),
                });
            }
            return false;
        }
        this.isPartial = true;
        this.recordSuccess();
        this.limitOutage(relayed.readingSince);
        const { confirmedAt } = this;
        this.recordAllRead(relayed.readAt, "other-router");
        const { changes, deferred, revision, readAt } = relayed;
        this.history.add(changes, revision, readAt, deferred);
        this.apply(changes);
        this.recordRevision(revision);
        for (const value of deferred) {
            this.largeValues.fetch(value.key, value.revision, confirmedAt, (item) => this.applyLargeValue(item));
        }
        return true;
    }

    private applyLargeValue(item: StoredItem): void {
        this.history.addLargeValue(item);
        this.notify({ key: item.key, revision: item.revision, item }, this.clock());
    }

    // A change that can't be applied must not keep the router from following the others.
    private notify(change: StoreChange, now: number): void {
        try {
            this.listener.onChanged(change, now);
        }
        catch (error) {
            this.logs.store.error("Change of the store could not be applied.", {
                key: change.key,
                revision: change.revision,
                detail: (error as Error).message,
            });
        }
    }

    // Sources may repeat changes that were read before: these must not undo newer ones.
    private apply(changes: readonly StoreChange[]): void {
        const now = this.clock();
        for (const change of changes) {
            const { key, revision } = change;
            if (revision > Math.max(this.revision ?? 0, this.newerRevisions.get(key) ?? 0)) {
                this.newerRevisions.set(key, revision);
                this.notify(change, now);
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
        const { items, revision } = result.value;
        if (this.revision !== undefined && eraOf(revision) > eraOf(this.revision)) {
            this.recordRestored(this.revision, revision);
        }
        this.recordAllRead(startedAt, "store");
        this.newerRevisions.clear();
        this.prefixRevisions.clear();
        items.forEach((item) => this.newerRevisions.set(item.key, item.revision));
        this.revision = undefined;
        this.recordRevision(revision);
        this.isPartial = false;
        this.isHistoryGone = false;
        this.history.restart(revision);
        this.listener.onReplaced(items, revision, this.clock());
        this.allConfirmedAt = startedAt;
        return true;
    }

    // Registrations since the copy are missing until their owners write them again.
    private recordRestored(before: number, revision: number): void {
        this.outage = { beganAt: -Infinity, endedAt: this.clock() };
        this.logs.store.warn("The store came back from an older copy.", {
            era: eraOf(revision),
            eraBefore: eraOf(before),
            revision,
            changesAgeMs: Math.round(this.changesAgeMs(this.clock())),
        });
    }

    private async readStore(read: () => Promise<StoreResult<void>>): Promise<boolean> {
        const result = await read();
        if (result.kind === "compacted") {
            this.logs.store.warn("Watch history compacted; reading all keys.", { revision: this.revision });
            this.isHistoryGone = true;
            return this.readAll();
        }
        if (result.kind !== "done") {
            this.recordFailure(result);
            return false;
        }
        return true;
    }

    // A read that takes long goes on: it may be of a large value on a slow link.
    private async readAllChanges(): Promise<StoreResult<void>> {
        const { watchWaitMs, storeMarginMs } = this.deadline;
        this.watch ??= this.watchAllKeys(watchWaitMs).finally(() => {
            this.watch = undefined;
        });
        const limitMs = watchWaitMs + storeMarginMs;
        const detail = `no response within ${limitMs} ms`;
        return Promise.race([
            this.watch,
            sleep(limitMs).then((): StoreFailure => ({ kind: "unanswered", detail })),
        ]);
    }

    private async watchAllKeys(waitMs: number): Promise<StoreResult<void>> {
        const startedAt = this.clock();
        const result = await this.store.changes(ALL_KEYS_PREFIX, this.revision!, waitMs);
        if (result.kind !== "done") {
            return result;
        }
        const { changes, revision } = result.value;
        // Without changes, the store responded at the end of the wait.
        const now = this.clock();
        const readAt = changes.length === 0 ? Math.min(now, startedAt + waitMs) : startedAt;
        this.recordSuccess();
        this.recordAllRead(readAt, "store");
        this.allConfirmedAt = Math.max(this.allConfirmedAt, readAt);
        this.history.add(changes, revision, readAt);
        this.apply(changes);
        this.recordRevision(revision);
        return { kind: "done", value: undefined };
    }

    // Each prefix is applied as soon as it is read. A call without a wait shows first whether the store is available.
    private async readPrefixes(): Promise<StoreResult<void>> {
        const { totalMs, watchWaitMs, storeMarginMs } = this.deadline;
        const startedAt = this.clock();
        const isLate = this.changesAgeMs(startedAt) > totalMs;
        const isAfterOutage = isLate && this.isFailing;
        const [firstPrefix, ...otherPrefixes] = this.feedPrefixes;
        if (isAfterOutage) {
            return this.readAfterOutage(firstPrefix!);
        }
        const first = await this.readPrefix(firstPrefix!, 0);
        if (first.kind !== "done") {
            return first;
        }
        const waitMs = isLate ? 0 : watchWaitMs / this.feedPrefixes.length;
        const unread = new Set(otherPrefixes);
        const others = otherPrefixes.filter((prefix) => !this.readingPrefixes.has(prefix)).map(async (prefix) => {
            const result = await this.readPrefix(prefix, waitMs);
            if (result.kind === "done") {
                unread.delete(prefix);
            }
            return result;
        });
        const results = await Promise.race([Promise.all(others), sleep(waitMs + storeMarginMs)]);
        const failure = results?.find((result) => result.kind !== "done");
        if (failure !== undefined) {
            return failure;
        }
        const current = this.revision!;
        const revision = Math.min(...this.feedPrefixes.map((prefix) => this.prefixRevisions.get(prefix) ?? current));
        this.isPartial = true;
        this.recordUnread(unread);
        this.recordConfirmed(startedAt, "store");
        this.recordRevision(revision);
        // A view that lacks a prefix is not new for others.
        this.history.add([], revision, unread.size === 0 ? startedAt : -Infinity);
        return { kind: "done", value: undefined };
    }

    // One small call shows whether the store is available. A router that was not partitioned from it, or that is up to
    // date again, then relays the changes; the others need not all read the store.
    private async readAfterOutage(prefix: string): Promise<StoreResult<void>> {
        const result = await this.store.changes(prefix, this.revision!, 0);
        if (result.kind !== "done") {
            return result;
        }
        this.recordSuccess();
        const askedAt = this.clock();
        this.changeFeed.clearPauses();
        if (await this.readFromPeers()) {
            return { kind: "done", value: undefined };
        }
        this.limitOutage(this.changeFeed.reportedReadingSince(askedAt));
        if (!this.isWatcher()) {
            this.peersOnlyUntil = this.clock() + this.deadline.peersOnlyMs;
        }
        return { kind: "done", value: undefined };
    }

    private async readPrefix(prefix: string, waitMs: number): Promise<StoreResult<void>> {
        const after = Math.max(this.revision!, this.prefixRevisions.get(prefix) ?? 0);
        const startedAt = this.clock();
        this.readingPrefixes.add(prefix);
        const result = await this.store.changes(prefix, after, waitMs);
        this.readingPrefixes.delete(prefix);
        if (result.kind !== "done") {
            const tookMs = this.clock() - startedAt;
            if (tookMs > waitMs + this.deadline.storeMarginMs) {
                // No longer awaited, so that this is the only trace of the failure.
                this.logs.store.warn("Slow read of changes from the store failed.", {
                    prefix,
                    failure: result.kind,
                    tookMs: Math.round(tookMs),
                });
            }
            return result;
        }
        const { changes, revision } = result.value;
        this.recordSuccess();
        this.history.add(changes, this.revision ?? 0, -Infinity);
        this.apply(changes);
        this.prefixRevisions.set(prefix, revision);
        return { kind: "done", value: undefined };
    }

    private unreadSinceOf(key: string): number {
        const times = [...this.unreadSince].filter(([prefix]) => key.startsWith(prefix)).map(([, since]) => since);
        return Math.min(Infinity, ...times);
    }

    // Records that all changes up to a time were read, of all prefixes.
    private recordAllRead(readAt: number, source: string): void {
        for (const [prefix, since] of this.unreadSince) {
            if (readAt >= this.confirmedAt) {
                this.unreadSince.delete(prefix);
            }
            else {
                this.unreadSince.set(prefix, Math.max(since, readAt));
            }
        }
        this.recordConfirmed(readAt, source);
    }

    // Records which prefixes are not covered by the next time up to which changes are confirmed.
    private recordUnread(prefixes: ReadonlySet<string>): void {
        for (const prefix of this.unreadSince.keys()) {
            if (!prefixes.has(prefix)) {
                this.unreadSince.delete(prefix);
            }
        }
        for (const prefix of prefixes) {
            this.unreadSince.set(prefix, this.unreadSince.get(prefix) ?? this.confirmedAt);
        }
    }

    private recordConfirmed(readAt: number, source: string): void {
        const now = this.clock();
        const ageMs = this.changesAgeMs(now);
        const isLate = ageMs > this.changeDeadlineMs();
        if (isLate) {
            this.history.readingSince = now;
        }
        if (isLate && this.revision !== undefined) {
            this.logs.store.warn("Changes were read late.", {
                source,
                changesAgeMs: Math.round(ageMs),
                nowAgeMs: Math.round(now - readAt),
                deadlineMs: this.changeDeadlineMs(),
            });
        }
        this.confirmedBefore = this.confirmedAt;
        this.confirmedAt = Math.max(this.confirmedAt, readAt);
    }

    // If another router has read changes since a time, the store was not away after it: an outage of this router alone
    // is none of the store, and registrations did not expire in it.
    private limitOutage(readingSince: number | undefined): void {
        const { beganAt, endedAt } = this.outage;
        if (readingSince !== undefined) {
            this.outage = { beganAt, endedAt: Math.min(endedAt, readingSince) };
        }
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
            const now = this.clock();
            this.outage = { beganAt: Math.max(this.confirmedAt, this.changeFeed.storeAvailableAt), endedAt: now };
            this.logs.store.info("Store available again.", {
                afterMs: Math.round(now - this.failingSince),
                changesAgeMs: Math.round(this.changesAgeMs(now)),
            });
            this.failingSince = undefined;
            this.listener.onAvailable();
        }
    }
}
