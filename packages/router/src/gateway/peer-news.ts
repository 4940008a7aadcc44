import { z } from "zod";
import type { StoreChange, StoreChanges } from "./metadata-store.js";
import { PausedPeers, type PeerCalls } from "./peer-calls.js";

/** Name of the method by which a router asks another one for changes of the store. */
export const NEWS_METHOD = "news";

/** Time in ms that an answer may take beyond the time it was asked to wait; it may hold a whole configuration. */
const ANSWER_MS = 400;
/** Time in ms for which a router that gave no news is not asked again. */
const PAUSE_MS = 2_000;
/** Longest time in ms that a router holds a question for changes. */
const LONGEST_WAIT_MS = 2_000;
/** Changes that a router keeps for others; who missed more asks the store. */
const KEPT_CHANGES = 2_000;

const questionSchema = z.object({ after: z.number(), waitMs: z.number().min(0).max(LONGEST_WAIT_MS) });
const answerSchema = z.object({
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
export type NewsAnswer = z.infer<typeof answerSchema>;

/** The changes of the store that this router has read lately, for others to ask for. */
export class NewsHistory {
    private readonly kept: StoreChange[] = [];
    /** Revision after which all changes are kept. */
    private base: number | undefined;
    private revision = 0;
    private heardAt = -Infinity;
    private readonly waiting = new Set<() => void>();

    constructor(
        /** Prefixes of the keys whose changes others need. */
        private readonly prefixes: readonly string[],
        private readonly now: () => number,
    ) {}

    /** Takes in the state of the store, after which changes are kept. */
    restart(revision: number): void {
        this.kept.length = 0;
        this.base = revision;
        this.revision = revision;
        this.heardAt = this.now();
    }

    /** Takes in changes that the store had at a time, whether read there or told by another router. */
    add(changes: readonly StoreChange[], revision: number, heardAt: number): void {
        this.heardAt = Math.max(this.heardAt, heardAt);
        this.revision = revision;
        const news = changes.filter(({ key }) => this.prefixes.some((prefix) => key.startsWith(prefix)));
        this.kept.push(...news);
        if (this.kept.length > KEPT_CHANGES) {
            const dropped = this.kept.splice(0, this.kept.length - KEPT_CHANGES);
            this.base = dropped.at(-1)!.revision;
        }
        if (news.length > 0) {
            this.waiting.forEach((wake) => wake());
        }
    }

    /** Answers a router that asks for changes after a revision, once there are any or its time is over. */
    async answer(parameters: unknown): Promise<NewsAnswer> {
        const { after, waitMs } = questionSchema.parse(parameters);
        if (!this.has(after)) {
            await this.nextChange(waitMs);
        }
        const ageMs = this.now() - this.heardAt;
        if (this.base === undefined || after < this.base) {
            return { ageMs, changes: [] };
        }
        const changes = this.kept.filter((change) => change.revision > after)
            .map(({ key, revision, item }) => ({ key, revision, value: item?.value.toString("base64") }));
        return { revision: Math.max(after, this.revision), ageMs, changes };
    }

    private has(after: number): boolean {
        return this.base === undefined || after < this.base || (this.kept.at(-1)?.revision ?? 0) > after;
    }

    private nextChange(waitMs: number): Promise<void> {
        return new Promise((resolve) => {
            const wake = (): void => {
                clearTimeout(timer);
                this.waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, waitMs);
            this.waiting.add(wake);
        });
    }
}

/** Changes that another router passed on, and the time in ms at which the store had told them. */
export type PassedChanges = StoreChanges & { readonly heardAt: number; };

/** Reads changes of the store from other routers, so that not every router has to ask the store. */
export class PeerNews {
    private readonly paused = new PausedPeers(PAUSE_MS);

    constructor(
        private readonly peers: PeerCalls,
        /** Addresses of the routers that follow the store themselves, in the order to ask them. */
        private readonly sources: () => readonly string[],
        private readonly now: () => number,
    ) {}

    /** Asks all routers again, as this one has been cut off and is no more. */
    resume(): void {
        this.paused.clear();
    }

    /** Returns the changes after a revision, or undefined when no router knows them freshly enough. */
    async changes(after: number, waitMs: number, oldestMs: number): Promise<PassedChanges | undefined> {
        const now = this.now();
        const source = this.sources().find((address) => !this.paused.has(address, now));
        if (source === undefined) {
            return undefined;
        }
        const answer = await this.peers.call(source, NEWS_METHOD, { after, waitMs }, waitMs + ANSWER_MS);
        const parsed = answerSchema.safeParse(answer.unwrapOr(undefined));
        if (!parsed.success || parsed.data.revision === undefined || parsed.data.ageMs > oldestMs) {
            this.paused.add(source, this.now());
            return undefined;
        }
        return {
            revision: parsed.data.revision,
            changes: parsed.data.changes.map(changeOf),
            heardAt: this.now() - parsed.data.ageMs,
        };
    }
}

function changeOf({ key, revision, value }: NewsAnswer["changes"][number]): StoreChange {
    const item = value === undefined ? undefined : { key, revision, value: Buffer.from(value, "base64") };
    return { key, revision, item };
}
