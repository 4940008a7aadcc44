import { z } from "zod";
import type { StoreChange, StoreChanges } from "./metadata-store.js";
import { PausedPeers, type PeerCalls } from "./peer-calls.js";

/** JSON-RPC method by which a router requests changes of the store from another one. */
export const CHANGE_FEED_METHOD = "news";

/** Time in ms that a response may take beyond the requested wait; it may contain a whole configuration. */
const RESPONSE_MARGIN_MS = 400;
/** Time in ms for which a router that relayed no changes is not called again. */
const PEER_PAUSE_MS = 2_000;
/** Maximum time in ms that a router holds a request for changes open. */
const MAX_WAIT_MS = 2_000;
/** Changes that a router retains for others; a router that missed more reads the store. */
const MAX_RETAINED_CHANGES = 2_000;

const requestSchema = z.object({ after: z.number(), waitMs: z.number().min(0).max(MAX_WAIT_MS) });
const responseSchema = z.object({
    /** Undefined when not all changes after the requested revision are retained. */
    revision: z.number().optional(),
    /** Time in ms since the relayed state was read from the store. */
    ageMs: z.number(),
    changes: z.array(z.object({
        key: z.string(),
        revision: z.number(),
        /** Base64; undefined for a deleted key. */
        value: z.string().optional(),
    })),
});

/** Response to a request for changes of the store. */
export type ChangeFeedResponse = z.infer<typeof responseSchema>;

/** Recent changes of the store, retained for the requests of other routers. */
export class ChangeHistory {
    private readonly retained: StoreChange[] = [];
    /** Revision after which all changes are retained. */
    private retainedAfter: number | undefined;
    private revision = 0;
    private lastReadAt = -Infinity;
    private readonly waiters = new Set<() => void>();

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

    /** Adds changes read from the store at a monotonic time in ms, by this router or by one that relayed them. */
    add(changes: readonly StoreChange[], revision: number, readAt: number): void {
        this.lastReadAt = Math.max(this.lastReadAt, readAt);
        this.revision = revision;
        const relevant = changes.filter(({ key }) => this.prefixes.some((prefix) => key.startsWith(prefix)));
        this.retained.push(...relevant);
        if (this.retained.length > MAX_RETAINED_CHANGES) {
            const dropped = this.retained.splice(0, this.retained.length - MAX_RETAINED_CHANGES);
            this.retainedAfter = dropped.at(-1)!.revision;
        }
        if (relevant.length > 0) {
            this.waiters.forEach((wake) => wake());
        }
    }

    /** Handles a request for changes after a revision: responds once there are any, or at the end of the wait. */
    async respond(parameters: unknown): Promise<ChangeFeedResponse> {
        const { after, waitMs } = requestSchema.parse(parameters);
        if (!this.hasResponse(after)) {
            await this.nextChange(waitMs);
        }
        const ageMs = this.now() - this.lastReadAt;
        if (this.retainedAfter === undefined || after < this.retainedAfter) {
            return { ageMs, changes: [] };
        }
        const changes = this.retained.filter((change) => change.revision > after)
            .map(({ key, revision, item }) => ({ key, revision, value: item?.value.toString("base64") }));
        return { revision: Math.max(after, this.revision), ageMs, changes };
    }

    private hasResponse(after: number): boolean {
        return this.retainedAfter === undefined || after < this.retainedAfter
            || (this.retained.at(-1)?.revision ?? 0) > after;
    }

    private nextChange(waitMs: number): Promise<void> {
        return new Promise((resolve) => {
            const wake = (): void => {
                clearTimeout(timer);
                this.waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, waitMs);
            this.waiters.add(wake);
        });
    }
}

/** Changes relayed by another router, and the monotonic time in ms at which they were read from the store. */
export type RelayedChanges = StoreChanges & { readonly readAt: number; };

/** Reads changes of the store from other routers, so that not every router has to read the store. */
export class PeerChangeFeed {
    private readonly paused = new PausedPeers(PEER_PAUSE_MS);

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

    /** Requests the changes after a revision from one router. Returns undefined if it has none or they are too old. */
    async changes(after: number, waitMs: number, maxAgeMs: number): Promise<RelayedChanges | undefined> {
        const now = this.now();
        const source = this.sources().find((address) => !this.paused.has(address, now));
        if (source === undefined) {
            return undefined;
        }
        const response = await this.peers.call(
            source,
            CHANGE_FEED_METHOD,
            { after, waitMs },
            waitMs + RESPONSE_MARGIN_MS,
        );
        const parsed = responseSchema.safeParse(response.unwrapOr(undefined));
        if (!parsed.success || parsed.data.revision === undefined || parsed.data.ageMs > maxAgeMs) {
            this.paused.add(source, this.now());
            return undefined;
        }
        return {
            revision: parsed.data.revision,
            changes: parsed.data.changes.map(changeOf),
            readAt: this.now() - parsed.data.ageMs,
        };
    }
}

function changeOf({ key, revision, value }: ChangeFeedResponse["changes"][number]): StoreChange {
    const item = value === undefined ? undefined : { key, revision, value: Buffer.from(value, "base64") };
    return { key, revision, item };
}
