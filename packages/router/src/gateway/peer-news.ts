import { z } from "zod";
import type { StoreChange, StoreChanges } from "./metadata-store.js";
import { PausedPeers, type PeerCalls } from "./peer-calls.js";

/** Name of the method by which a router asks another one for changes of the store. */
export const CHANGE_FEED_METHOD = "news";

/** Time in ms that an answer may take beyond the time it was asked to wait; it may hold a whole configuration. */
const RESPONSE_MARGIN_MS = 400;
/** Time in ms for which a router that gave no news is not asked again. */
const PEER_PAUSE_MS = 2_000;
/** Longest time in ms that a router holds a question for changes. */
const MAX_WAIT_MS = 2_000;
/** Changes that a router keeps for others; who missed more asks the store. */
const MAX_RETAINED_CHANGES = 2_000;

const requestSchema = z.object({ after: z.number(), waitMs: z.number().min(0).max(MAX_WAIT_MS) });
const responseSchema = z.object({
    /** Undefined when changes since then are not kept. */
    revision: z.number().optional(),
    /** Time in ms since this router last heard from the store. */
    ageMs: z.number(),
    changes: z.array(z.object({
        key: z.string(),
        revision: z.number(),
        /** Base64; undefined for a deleted key. */
        value: z.string().optional(),
    })),
});

/** What a router tells others of the store. */
export type ChangeFeedResponse = z.infer<typeof responseSchema>;

/** The changes of the store that this router has read lately, for others to ask for. */
export class ChangeHistory {
    private readonly retained: StoreChange[] = [];
    /** Revision after which all changes are kept. */
    private retainedAfter: number | undefined;
    private revision = 0;
    private lastReadAt = -Infinity;
    private readonly waiters = new Set<() => void>();

    constructor(
        /** Prefixes of the keys whose changes others need. */
        private readonly prefixes: readonly string[],
        private readonly now: () => number,
    ) {}

    /** Takes in the state of the store, after which changes are kept. */
    restart(revision: number): void {
        this.retained.length = 0;
        this.retainedAfter = revision;
        this.revision = revision;
        this.lastReadAt = this.now();
    }

    /** Takes in changes that the store had at a time, whether read there or told by another router. */
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

    /** Answers a router that asks for changes after a revision, once there are any or its time is over. */
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

/** Changes that another router passed on, and the time in ms at which the store had told them. */
export type RelayedChanges = StoreChanges & { readonly readAt: number; };

/** Reads changes of the store from other routers, so that not every router has to ask the store. */
export class PeerChangeFeed {
    private readonly paused = new PausedPeers(PEER_PAUSE_MS);

    constructor(
        private readonly peers: PeerCalls,
        /** Addresses of the routers that follow the store themselves, in the order to ask them. */
        private readonly sources: () => readonly string[],
        private readonly now: () => number,
    ) {}

    /** Asks all routers again, as this one has been cut off and is no more. */
    clearPauses(): void {
        this.paused.clear();
    }

    /** Returns the changes after a revision, or undefined when no router knows them freshly enough. */
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
