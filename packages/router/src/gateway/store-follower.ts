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
import type { NewsHistory, PeerNews } from "./peer-news.js";

/** Part of the shortest bound on news that a watch waits; it bounds how long a silent connection goes unnoticed. */
const WATCH_SHARE = 0.2;
/** Part of the shortest bound on news that passes between two watches: changes gather, as each call has its price. */
const PACE_SHARE = 0.2;
/** Pause in ms after a failed call, which doubles with each one in a row; such a call has its price too. */
const RETRY_MS = 500;
/** Longest such pause in ms: with the time of a call, a router that is reached again knows the news within 3 s. */
const LONGEST_RETRY_MS = 1_200;
/** Pause in ms between two questions to another router. */
const PEER_PACE_MS = 100;
/** Part of the shortest bound on news for which a router that is reached again waits for others to be up to date. */
const PATIENCE_SHARE = 0.3;
/** Parts of the shortest bound on news that a question to another router may wait, and that its news may be old. */
const PEER_WAIT_SHARE = 0.2;
const PEER_AGE_SHARE = 0.45;

/** The prefix of all keys. */
const EVERYTHING = "";

/** Takes in what the store holds. */
export type StoreListener = {
    /** All items, after a start or a gap. */
    readonly replaced: (items: readonly StoredItem[], revision: number, now: number) => void;
    readonly changed: (change: StoreChange, now: number) => void;
};

/** Follows the store, by watches or by what other routers pass on. */
export class StoreFollower {
    private revision: number | undefined;
    private stopped = false;
    /** True while changes that others need not know may have been missed. */
    private partial = false;
    /** Time of the first failure since the last success. */
    private failingSince: number | undefined;
    /** Failed calls since the last success. */
    private failures = 0;
    /** Time until which a router that was cut off asks other routers only. */
    private patientUntil = -Infinity;
    /** Time at which the store answered again after its last outage. */
    returnedAt = -Infinity;

    constructor(
        private readonly store: MetadataStore,
        private readonly listener: StoreListener,
        private readonly logs: GatewayLogs,
        private readonly clock: () => number,
        /** Time in ms within which news have to be acted upon. */
        private readonly newsMs: () => number,
        /** Other routers that pass on changes; undefined while this router asks the store itself. */
        private readonly news: () => PeerNews | undefined,
        private readonly history: NewsHistory,
        /**
         * Prefixes that a router asks the store for when no other router passes changes on. The rest is
         * much more than small links carry.
         */
        private readonly newsPrefixes: readonly string[],
    ) {}

    /** Follows the store until stopped. */
    async run(): Promise<void> {
        while (!this.stopped) {
            const startedAt = this.clock();
            const pace = await this.read();
            await sleep(Math.max(0, startedAt + pace - this.clock()));
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
    private async read(): Promise<number> {
        const news = this.revision === undefined ? undefined : this.news();
        if (news !== undefined && await this.readFromPeer(news)) {
            return PEER_PACE_MS;
        }
        if (news !== undefined && this.isFailing && !await this.probe(news)) {
            return this.retryMs();
        }
        if (news !== undefined && this.clock() < this.patientUntil) {
            news.resume();
            return PEER_PACE_MS;
        }
        if (news === undefined && this.partial) {
            this.revision = undefined;
        }
        const worked = this.revision === undefined
            ? await this.readAll()
            : await this.readChanges(news !== undefined);
        return worked ? PACE_SHARE * this.newsMs() : this.retryMs();
    }

    private retryMs(): number {
        return Math.min(LONGEST_RETRY_MS, RETRY_MS * 2 ** (this.failures - 1));
    }

    // One small call shows whether the store is back. Others are asked again then, who mostly were cut off as well.
    private async probe(news: PeerNews): Promise<boolean> {
        const result = await this.store.changes(this.newsPrefixes[0]!, this.revision!, 0);
        if (result.kind !== "done" && result.kind !== "compacted") {
            this.noteFailure(result);
            return false;
        }
        this.noteSuccess();
        news.resume();
        this.patientUntil = this.clock() + PATIENCE_SHARE * this.newsMs();
        return true;
    }

    private async readFromPeer(news: PeerNews): Promise<boolean> {
        const waitMs = PEER_WAIT_SHARE * this.newsMs();
        const found = await news.changes(this.revision!, waitMs, PEER_AGE_SHARE * this.newsMs());
        if (found === undefined) {
            return false;
        }
        this.partial = true;
        this.noteSuccess();
        this.history.add(found.changes, found.revision, found.heardAt);
        this.apply(found);
        return true;
    }

    private apply({ changes, revision }: StoreChanges): void {
        this.revision = revision;
        const now = this.clock();
        for (const change of changes) {
            this.listener.changed(change, now);
        }
    }

    private async readAll(): Promise<boolean> {
        const result = await this.store.list(EVERYTHING);
        if (result.kind !== "done") {
            this.noteFailure(result);
            return false;
        }
        this.noteSuccess();
        this.revision = result.value.revision;
        this.partial = false;
        this.history.restart(result.value.revision);
        this.listener.replaced(result.value.items, result.value.revision, this.clock());
        return true;
    }

    private async readChanges(newsOnly: boolean): Promise<boolean> {
        const result = await this.changesOf(newsOnly ? this.newsPrefixes : [EVERYTHING]);
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
        this.partial ||= newsOnly;
        this.history.add(result.value.changes, result.value.revision, this.clock());
        this.apply(result.value);
        return true;
    }

    // Changes of several prefixes count as read up to the least of their revisions; what is newer comes again.
    private async changesOf(prefixes: readonly string[]): Promise<StoreResult<StoreChanges>> {
        // Nothing is applied before the last watch has ended, so several wait less each.
        const waitMs = WATCH_SHARE * this.newsMs() / prefixes.length;
        const [first, ...others] = prefixes;
        // Where there are others, the first one shows whether they are worth asking for.
        const probe = await this.store.changes(first!, this.revision!, others.length === 0 ? waitMs : 0);
        const results = probe.kind === "done"
            ? [probe, ...await Promise.all(others.map((prefix) => this.store.changes(prefix, this.revision!, waitMs)))]
            : [probe];
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

    private noteFailure(failure: StoreFailure): void {
        this.failures++;
        if (this.failingSince === undefined) {
            this.failingSince = this.clock();
            this.logs.store.warn("Lost.", { failure: failure.kind, detail: "detail" in failure ? failure.detail : "" });
        }
    }

    private noteSuccess(): void {
        this.failures = 0;
        if (this.failingSince !== undefined) {
            this.returnedAt = this.clock();
            this.logs.store.info("Regained.", { afterMs: Math.round(this.returnedAt - this.failingSince) });
            this.failingSince = undefined;
        }
    }
}
