import { type BodyDigest, brand, type Incarnation } from "@gooseberrybend/core";
import { type Crash, CRASH_MEMORY_MS } from "@gooseberrybend/core/dispatch";
import { z } from "zod";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";
import { SHARED_PREFIX } from "./shared-prefix.js";

/** Prefix of the keys by which routers tell each other of requests that may crash endpoints. */
export const SUSPECT_PREFIX = `${SHARED_PREFIX}suspects/`;
/** Prefix of the keys of crashes: the start of the endpoint, then the router's incarnation and a number. */
const CRASH_PREFIX = `${SUSPECT_PREFIX}crashes/`;
/** Prefix of the keys of requests that were cleared: the request, then as above. */
const CLEARED_PREFIX = `${SUSPECT_PREFIX}cleared/`;

/** Pause in ms after a failed write: with the time of a call, others hear within 3 s of the store's return. */
const RETRY_MS = 500;
/** Keys of one transaction; the store takes 32 entries, and each key has a condition. */
const MOST_KEYS = 15;

/** Reports that wait for the store at most; beyond, the oldest go. */
const MOST_OPEN = 1_000;

/** Stands for the start in a key that can't be read. */
const UNREADABLE = Symbol("unreadable");

const valueSchema = z.object({
    /** Time of day in ms. */
    at: z.number(),
    requests: z.array(z.string()),
});

/** What a router tells of requests that may crash endpoints; without a start, that they are cleared. */
export type CrashReport = {
    /** Name of the start of the endpoint that crashed. */
    readonly start: string | undefined;
    readonly requests: readonly BodyDigest[];
    /** Steady time in ms. */
    readonly at: number;
};

/** Why a report can't be read. */
export type ReportFault = { readonly kind: "unreadable-report"; readonly key: string; };

/** A report that the store does not have yet, as far as is known. */
type OpenReport = {
    /** Name of the start of the endpoint that crashed; undefined for a request that is cleared. */
    readonly start: string | undefined;
    /** Time of day in ms. */
    readonly at: number;
    readonly requests: Set<BodyDigest>;
    /** True once other routers were asked to keep it, or where they need not. */
    isKept: boolean;
};

/** The times that reports go by, in ms: of the steady clock and of the day. */
export type ReportClock = { readonly steady: () => number; readonly wall: () => number; };

/**
 * Tells the other routers through the store which requests may crash endpoints, and repeats what fails. Each
 * report has a key of its own that is written once, so that a write without an answer that is done late
 * replaces nothing.
 */
export class CrashReports {
    /** Reports by key. */
    private readonly open = new Map<string, OpenReport>();
    /** Steady time in ms until which each key in the store counts. */
    private readonly expiries = new Map<string, number>();
    private count = 0;
    private isBusy = false;
    private retry: NodeJS.Timeout | undefined;

    constructor(
        private readonly store: MetadataStore,
        private readonly incarnation: Incarnation,
        private readonly logs: GatewayLogs,
        private readonly countEvent: (event: "shared" | "not-shared") => void,
        private readonly clock: ReportClock,
        /** Tells other routers of a crash directly, which they are asked to keep if this router can't. */
        private readonly tell: (crash: Crash, keep: boolean) => void,
    ) {}

    /** Tells of requests that were running when a start of an endpoint crashed. */
    addCrash(crash: Crash): void {
        this.tell(crash, false);
        this.add(`${CRASH_PREFIX}${encodeURIComponent(crash.start)}`, { ...crash, isKept: false });
    }

    /** Keeps a crash in the store for a router that can't. */
    keepCrash({ start, requests }: Crash): void {
        this.add(`${CRASH_PREFIX}${encodeURIComponent(start)}`, { start, requests, isKept: true });
    }

    /** Tells that a request is cleared of the crashes that are known of it. */
    addCleared(request: BodyDigest): void {
        this.open.forEach((report) => report.requests.delete(request));
        this.add(CLEARED_PREFIX + request, { start: undefined, requests: [request], isKept: true });
    }

    /** Reads a report in the store. Returns undefined for one that no longer counts. */
    read({ key, value }: StoredItem): CrashReport | ReportFault | undefined {
        const parsed = valueSchema.safeParse(parseJson(value.toString("utf8")));
        const start = startOfKey(key);
        if (!parsed.success || start === UNREADABLE) {
            return { kind: "unreadable-report", key };
        }
        const ageMs = Math.max(0, this.clock.wall() - parsed.data.at);
        const at = this.clock.steady() - ageMs;
        this.expiries.set(key, at + CRASH_MEMORY_MS);
        if (ageMs > CRASH_MEMORY_MS) {
            return undefined;
        }
        const requests = parsed.data.requests.map((request) => brand<BodyDigest>(request));
        return { start, requests, at };
    }

    /** Notes that a key is gone from the store. */
    forget(key: string): void {
        this.expiries.delete(key);
    }

    /** Removes keys from the store that no longer count. */
    async sweep(): Promise<void> {
        const now = this.clock.steady();
        const expired = [...this.expiries].filter(([, until]) => until < now).map(([key]) => key).slice(0, MOST_KEYS);
        if (expired.length === 0) {
            return;
        }
        const result = await this.store.transact({ conditions: new Map(), puts: [], deletes: expired });
        this.logs.endpoints.info("Old crashes removed.", { keys: expired.length, result: result.kind });
        if (result.kind === "done") {
            expired.forEach((key) => this.expiries.delete(key));
        }
    }

    /** Ends the repetition of writes. */
    close(): void {
        clearTimeout(this.retry);
        this.open.clear();
    }

    private add(
        prefix: string,
        { start, requests, isKept }: Pick<OpenReport, "start" | "isKept"> & Pick<CrashReport, "requests">,
    ): void {
        const key = `${prefix}/${this.incarnation}/${++this.count}`;
        this.open.set(key, { start, at: this.clock.wall(), requests: new Set(requests), isKept });
        if (this.open.size > MOST_OPEN) {
            const [oldest] = this.open.keys();
            this.open.delete(oldest!);
            this.logs.endpoints.error("Crash dropped, too many wait for the store.", { key: oldest });
        }
        if (this.retry === undefined) {
            void this.write();
        }
    }

    private async write(): Promise<void> {
        if (this.isBusy) {
            return;
        }
        this.isBusy = true;
        let worked = true;
        while (worked && this.open.size > 0) {
            worked = await this.writeOnce([...this.open].slice(0, MOST_KEYS));
        }
        this.isBusy = false;
        if (!worked) {
            this.retry = setTimeout(() => {
                this.retry = undefined;
                void this.write();
            }, RETRY_MS);
        }
    }

    private async writeOnce(due: readonly [string, OpenReport][]): Promise<boolean> {
        const result = await this.store.transact({
            conditions: new Map(due.map(([key]) => [key, 0])),
            puts: due.map(([key, { at, requests }]) => ({
                key,
                value: JSON.stringify({ at, requests: [...requests] }),
            })),
            deletes: [],
        });
        // Keys that exist were written by an earlier call that had no answer.
        const known = result.kind === "conflict" ? due.filter(([key]) => result.items.has(key)) : [];
        const written = result.kind === "done" ? due : known;
        written.forEach(([key]) => this.open.delete(key));
        const keys = due.map(([key]) => key.slice(SUSPECT_PREFIX.length));
        if (written.length === 0) {
            this.countEvent("not-shared");
            this.logs.endpoints.warn("Crash not shared.", { keys, reason: result.kind });
            due.forEach(([, report]) => this.askToKeep(report));
            return false;
        }
        this.countEvent("shared");
        this.logs.endpoints.info("Crash shared.", { keys, result: result.kind });
        return true;
    }

    private askToKeep(report: OpenReport): void {
        if (!report.isKept && report.start !== undefined) {
            report.isKept = true;
            this.tell({ start: report.start, requests: [...report.requests] }, true);
        }
    }
}

// Undefined for a key of another kind.
function startOfKey(key: string): string | typeof UNREADABLE | undefined {
    if (!key.startsWith(CRASH_PREFIX)) {
        return undefined;
    }
    const [start] = key.slice(CRASH_PREFIX.length).split("/");
    try {
        return decodeURIComponent(start!);
    }
    catch {
        return UNREADABLE;
    }
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
