import type { ChangeDeadline } from "@gooseberrybend/core/dispatch";
import { deflateRawSync } from "node:zlib";
import { z } from "zod";
import { firstResult } from "./first-result.js";
import type { StoreChange, StoreChanges, StoredItem } from "./metadata-store.js";
import { PausedPeers, type PeerCalls } from "./peer-calls.js";
import { Waiters } from "./waiters.js";

/** JSON-RPC method by which a router requests changes of the store from another one. */
export const CHANGE_FEED_METHOD = "news";

/** Maximum number of routers that are asked for the same changes. */
const MAX_SOURCES = 3;
/** Time in ms for which a router that relayed no changes is not called again. */
const PEER_PAUSE_MS = 2_000;
/** Maximum time in ms that a router holds a request for changes open. */
const MAX_WAIT_MS = 2_000;
/** Size in bytes above which a value is fetched apart from the changes, so that these do not wait for it. */
const LARGE_VALUE_BYTES = 8 * 1024;
/** Changes that a router retains for others; a router that missed more reads the store. */
const MAX_RETAINED_CHANGES = 2_000;

const requestSchema = z.object({
    after: z.number(),
    waitMs: z.number().min(0).max(MAX_WAIT_MS),
    /** Whether the requesting router fetches large values apart. */
    defersLargeValues: z.boolean().default(false),
});
const valueRequestSchema = z.object({ key: z.string(), revision: z.number() });
const responseSchema = z.object({
    /** Undefined when not all changes after the requested revision are retained. */
    revision: z.number().optional(),
    /** Time in ms since the relayed state was read from the store. */
    ageMs: z.number(),
    /** Time in ms for which the router held the request. */
    heldMs: z.number().optional(),
    /** Time in ms for which the router has read changes without an outage. */
    readingForMs: z.number().optional(),
    changes: z.array(z.object({
        key: z.string(),
        revision: z.number(),
        /** Base64; undefined for a deleted key, and for a value to be fetched apart. */
        value: z.string().optional(),
        isDeferred: z.boolean().default(false),
    })),
});

/** Response to a request for changes of the store. */
export type ChangeFeedResponse = z.input<typeof responseSchema>;

/** Response to a request for a large value; empty if this router does not have it. */
export type LargeValueResponse = { readonly revision?: number; readonly deflated?: string; };

/** A key whose large value is not among the changes, and the revision of its last change. */
export type DeferredValue = { readonly key: string; readonly revision: number; };

type RetainedChange = StoreChange & {
    /** True if the value is not retained here: it was not fetched yet, or a newer one is. */
    isValueMissing: boolean;
};

/** Recent changes of the store, retained for the requests of other routers. */
export class ChangeHistory {
    private readonly retained: RetainedChange[] = [];
    /** Newest large value of each key. */
    private readonly largeValues = new Map<string, StoredItem>();
    /** Their deflated form, once it was requested. */
    private readonly deflatedValues = new Map<StoredItem, string>();
    /** Revision after which all changes are retained. */
    private retainedAfter: number | undefined;
    private revision = 0;
    private lastReadAt = -Infinity;
    private readonly waiters = new Waiters();
    /** Time since which this router has read changes without an outage. */
    readingSince = Infinity;

    constructor(
        /** Prefixes of the keys whose changes other routers need. */
        private readonly prefixes: readonly string[],
        private readonly now: () => number,
    ) {}

    /** Restarts the history at a revision at which all keys were read. */
    restart(revision: number): void {
        this.retained.length = 0;
        this.retainedAfter = revision;
        this.revision = revision;
        this.lastReadAt = this.now();
    }

    /**
     * Adds changes read from the store at a monotonic time in ms, by this router or by one that relayed them without
     * their large values.
     */
    add(
        changes: readonly StoreChange[],
        revision: number,
        readAt: number,
        deferred: readonly DeferredValue[] = [],
    ): void {
        this.lastReadAt = Math.max(this.lastReadAt, readAt);
        this.revision = Math.max(revision, this.revision);
        const relevant = [
            ...changes.map((change) => ({ ...change, isValueMissing: false })),
            ...deferred.map((value) => ({ ...value, item: undefined, isValueMissing: true })),
        ].filter((change) => this.prefixes.some((prefix) => change.key.startsWith(prefix)) && !this.isRetained(change));
        relevant.sort((one, other) => one.revision - other.revision);
        relevant.forEach((change) => this.retain(change));
        if (this.retained.length > MAX_RETAINED_CHANGES) {
            const dropped = this.retained.splice(0, this.retained.length - MAX_RETAINED_CHANGES);
            this.retainedAfter = Math.max(...dropped.map((change) => change.revision));
        }
        if (relevant.length > 0) {
            this.waiters.wakeAll();
        }
    }

    /** Adds a large value that was fetched apart from the changes. */
    addLargeValue(item: StoredItem): void {
        if ((this.largeValues.get(item.key)?.revision ?? 0) < item.revision) {
            this.removeLargeValue(item.key, item.revision);
            this.largeValues.set(item.key, item);
        }
    }

    private removeLargeValue(key: string, before: number): void {
        const existing = this.largeValues.get(key);
        if (existing !== undefined && existing.revision < before) {
            this.largeValues.delete(key);
            this.deflatedValues.delete(existing);
        }
    }

    /** Handles a request for changes after a revision: responds once there are any, or at the end of the wait. */
    async respond(parameters: unknown): Promise<ChangeFeedResponse> {
        const { after, waitMs, defersLargeValues } = requestSchema.parse(parameters);
        const receivedAt = this.now();
        if (!this.hasResponse(after)) {
            await this.waiters.wait(waitMs);
        }
        const heldMs = this.now() - receivedAt;
        const ageMs = this.now() - this.lastReadAt;
        const readingForMs = Math.max(0, this.now() - this.readingSince);
        const missed = this.retained.filter((change) => change.revision > after);
        const lacksValues = !defersLargeValues && missed.some((change) => change.isValueMissing);
        if (this.retainedAfter === undefined || after < this.retainedAfter || lacksValues) {
            return { ageMs, heldMs, readingForMs, changes: [] };
        }
        const changes = missed.map((change) => relayedForm(change, defersLargeValues));
        return { revision: Math.max(after, this.revision), ageMs, heldMs, readingForMs, changes };
    }

    /** Handles a request for a large value: responds with the newest one, if it is not older than requested. */
    respondLargeValue(parameters: unknown): LargeValueResponse {
        const { key, revision } = valueRequestSchema.parse(parameters);
        const item = this.largeValues.get(key);
        if (item === undefined || item.revision < revision) {
            return {};
        }
        const deflated = this.deflatedValues.get(item) ?? deflateRawSync(item.value).toString("base64");
        this.deflatedValues.set(item, deflated);
        return { revision: item.revision, deflated };
    }

    // Of several large values of a key, as in a series of configurations, only the newest is kept in memory.
    private retain(change: RetainedChange): void {
        if (change.item === undefined || !isLarge(change.item)) {
            this.removeLargeValue(change.key, change.revision);
        }
        else {
            this.addLargeValue(change.item);
            for (const [index, earlier] of this.retained.entries()) {
                if (earlier.key === change.key && earlier.item !== undefined) {
                    this.retained[index] = { ...earlier, item: undefined, isValueMissing: true };
                }
            }
        }
        this.retained.push(change);
    }

    private isRetained({ key, revision }: DeferredValue): boolean {
        return this.retained.some((change) => change.revision === revision && change.key === key);
    }

    private hasResponse(after: number): boolean {
        return this.retainedAfter === undefined || after < this.retainedAfter
            || this.retained.some((change) => change.revision > after);
    }
}

function isLarge(item: StoredItem): boolean {
    return item.value.length > LARGE_VALUE_BYTES;
}

function relayedForm(
    { key, revision, item, isValueMissing }: RetainedChange,
    defersLargeValues: boolean,
): ChangeFeedResponse["changes"][number] {
    return isValueMissing || (defersLargeValues && item !== undefined && isLarge(item))
        ? { key, revision, isDeferred: true }
        : { key, revision, value: item?.value.toString("base64") };
}

/** Changes relayed by another router, and the monotonic time in ms at which they were read from the store. */
export type RelayedChanges = StoreChanges & {
    readonly readAt: number;
    /** Large values that are not among the changes. */
    readonly deferred: readonly DeferredValue[];
    /** Time since which that router has read changes without an outage; undefined if it does not report it. */
    readonly readingSince: number | undefined;
};

/** Reads changes of the store from other routers, so that not every router has to read the store. */
export class PeerChangeFeed {
    private readonly paused = new PausedPeers(PEER_PAUSE_MS);
    /** Time since which each router has read changes, and the time of its report. */
    private readonly reports = new Map<string, { readonly at: number; readonly readingSince: number; }>();
    /** Latest time at which another router read changes of the store, even if it could not relay them. */
    storeAvailableAt = -Infinity;

    constructor(
        private readonly peers: PeerCalls,
        /** Peer addresses of the routers that follow the store, in the order to call them. */
        private readonly sources: () => readonly string[],
        private readonly now: () => number,
    ) {}

    /** Ends all pauses: they may stem from a partition of this router that has ended. */
    clearPauses(): void {
        this.paused.clear();
    }

    /**
     * Requests the changes after a revision, from a second and a third router if the one before does not respond in
     * time or its changes are too old. Returns undefined if none relays them.
     */
    changes(after: number, waitMs: number, deadline: ChangeDeadline): Promise<RelayedChanges | undefined> {
        const startedAt = this.now();
        const available = this.sources().filter((address) => !this.paused.has(address, startedAt));
        const unanswered = new Set<string>();
        const attempts = available.slice(0, MAX_SOURCES).map((source, index) => async () => {
            unanswered.forEach((slower) => this.paused.add(slower, this.now()));
            unanswered.add(source);
            const relayed = await this.request(source, after, index === 0 ? waitMs : 0, deadline);
            unanswered.delete(source);
            if (relayed === undefined) {
                this.paused.add(source, this.now());
            }
            return relayed;
        });
        return firstResult(attempts, {
            firstDelayMs: waitMs + deadline.hedgeDelayMs,
            nextDelayMs: deadline.hedgeDelayMs,
            giveUpMs: waitMs + deadline.relayMarginMs,
        });
    }

    private async request(
        source: string,
        after: number,
        waitMs: number,
        { relayMarginMs, maxRelayedAgeMs }: ChangeDeadline,
    ): Promise<RelayedChanges | undefined> {
        const parameters = { after, waitMs, defersLargeValues: true };
        const sentAt = this.now();
        const response = await this.peers.call(source, CHANGE_FEED_METHOD, parameters, waitMs + relayMarginMs);
        const parsed = responseSchema.safeParse(response.unwrapOr(undefined));
        if (!parsed.success) {
            return undefined;
        }
        const { changes, revision, ageMs, heldMs } = parsed.data;
        const now = this.now();
        // Either way of the call may be slow. Routers of earlier versions do not report how long they held it.
        const readAt = (heldMs === undefined ? now : Math.min(now, sentAt + heldMs)) - ageMs;
        this.storeAvailableAt = Math.max(this.storeAvailableAt, readAt);
        const isTooOld = now - readAt > maxRelayedAgeMs;
        const { readingForMs } = parsed.data;
        const readingSince = isTooOld || readingForMs === undefined ? undefined : now - readingForMs;
        this.reports.set(source, { at: now, readingSince: readingSince ?? now });
        if (revision === undefined || isTooOld) {
            return undefined;
        }
        return {
            revision,
            changes: changes.filter((change) => !change.isDeferred).map(changeOf),
            deferred: changes.filter((change) => change.isDeferred),
            readAt,
            readingSince,
        };
    }

    /**
     * Returns the earliest time since which another router has read changes, by the reports since a time: -Infinity
     * if there are none, and undefined if there are no other routers.
     */
    reportedReadingSince(since: number): number | undefined {
        const sources = this.sources();
        if (sources.length === 0) {
            return undefined;
        }
        const reports = sources.flatMap((source) => this.reports.get(source) ?? []).filter(({ at }) => at >= since);
        return reports.length === 0 ? -Infinity : Math.min(...reports.map(({ readingSince }) => readingSince));
    }
}

function changeOf({ key, revision, value }: ChangeFeedResponse["changes"][number]): StoreChange {
    const item = value === undefined ? undefined : { key, revision, value: Buffer.from(value, "base64") };
    return { key, revision, item };
}
