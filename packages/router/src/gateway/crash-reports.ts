import { brand, type Incarnation } from "@gooseberrybend/core";
import { type Crash, CRASH_MEMORY_MS, type RequestFeatures, type SuspectFeature } from "@gooseberrybend/core/dispatch";
import { z } from "zod";
import { crashFields, crashMessage, suspectsOf } from "./crash-message.js";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";
import { parseJson } from "./parse-json.js";
import { SHARED_PREFIX } from "./shared-prefix.js";

/** Prefix of the keys through which routers share suspect requests, which may crash endpoints. */
export const SUSPECT_PREFIX = `${SHARED_PREFIX}suspects/`;
/** Key prefix of crashes, followed by the endpoint's start, the router's incarnation and a sequence number. */
const CRASH_PREFIX = `${SUSPECT_PREFIX}crashes/`;
/** Key prefix of refutations, followed by the feature, the router's incarnation and a sequence number. */
const CLEARED_PREFIX = `${SUSPECT_PREFIX}cleared/`;

/** Delay in ms after a failed write: including the call, others get reports within 3 s of the store's recovery. */
const RETRY_DELAY_MS = 500;
/** Keys per transaction: the store accepts 32 entries, and each key needs a put and a condition. */
const MAX_KEYS_PER_TRANSACTION = 15;

/** Reports that may wait to be written; beyond this, the oldest is dropped. */
const MAX_PENDING_REPORTS = 1_000;
/** Written reports that are kept in case the store comes back from a copy that is older than they are. */
const MAX_WRITTEN_REPORTS = 200;

/** Returned for a key whose endpoint start can't be decoded. */
const UNREADABLE_KEY = Symbol("unreadable");

const valueSchema = z.object({
    /** Wall-clock time in ms. */
    at: z.number(),
    ...crashFields,
});

/** A stored report. Times are monotonic, in ms. */
export type CrashReport =
    /** The crash of a start of an endpoint. */
    | { readonly kind: "crash"; readonly crash: Crash; readonly at: number; }
    /** Requests with these features completed, so that earlier crashes do not count against them. */
    | { readonly kind: "refutation"; readonly features: readonly SuspectFeature[]; readonly at: number; };

/** Why a report can't be read. */
export type ReportFault = { readonly kind: "unreadable-report"; readonly key: string; };

/** A report whose write to the store has not been confirmed. */
type PendingReport = {
    /** Undefined for a refutation. */
    readonly start: string | undefined;
    readonly isTimed: boolean;
    /** Wall-clock time in ms. */
    readonly at: number;
    suspects: readonly RequestFeatures[];
    /** Features of a refutation. */
    readonly refuted: readonly SuspectFeature[];
    /** True once other routers were asked to store the report, or if they need not be asked. */
    skipDelegation: boolean;
};

/** Monotonic and wall-clock time, in ms. */
export type ReportClock = { readonly monotonic: () => number; readonly wall: () => number; };

/**
 * Shares suspect requests with the other routers through the store, and retries failed writes. Each report
 * has its own key that is written once, so that an unanswered write that completes late overwrites nothing.
 */
export class CrashReports {
    /** Reports to be written, by key. */
    private readonly pending = new Map<string, PendingReport>();
    /** Recent reports that were written, by key: a store that comes back from an older copy lacks them. */
    private readonly written = new Map<string, PendingReport>();
    /** Monotonic expiry time in ms of each key in the store. */
    private readonly expiries = new Map<string, number>();
    private reportCount = 0;
    private isWriting = false;
    private retryTimer: NodeJS.Timeout | undefined;

    constructor(
        private readonly store: MetadataStore,
        private readonly incarnation: Incarnation,
        private readonly logs: GatewayLogs,
        private readonly countEvent: (event: "shared" | "not-shared") => void,
        private readonly clock: ReportClock,
        /** Notifies other routers of a crash directly; `keep` asks them to store it because this router can't. */
        private readonly notifyPeers: (crash: Crash, keep: boolean) => void,
    ) {}

    /** Reports the requests that were running when an endpoint crashed. */
    addCrash(crash: Crash): void {
        this.notifyPeers(crash, false);
        this.add(`${CRASH_PREFIX}${encodeURIComponent(crash.start)}`, { ...crash, refuted: [], skipDelegation: false });
    }

    /** Writes a crash to the store on behalf of a router that can't. */
    storeCrashForPeer(crash: Crash): void {
        this.add(`${CRASH_PREFIX}${encodeURIComponent(crash.start)}`, { ...crash, refuted: [], skipDelegation: true });
    }

    /** Reports that requests with a feature completed, despite the crashes reported for it. */
    addRefutation(feature: SuspectFeature): void {
        for (const report of this.pending.values()) {
            report.suspects = report.suspects.filter(({ request }) => request !== feature).map((suspect) => ({
                ...suspect,
                parts: suspect.parts.filter((part) => part !== feature),
            }));
        }
        this.add(CLEARED_PREFIX + encodeURIComponent(feature), {
            start: undefined,
            isTimed: false,
            suspects: [],
            refuted: [feature],
            skipDelegation: true,
        });
    }

    /** Parses a stored report. Returns undefined if it has expired. */
    read({ key, value }: StoredItem): CrashReport | ReportFault | undefined {
        const parsed = valueSchema.safeParse(parseJson(value.toString("utf8")));
        const start = startOfKey(key);
        if (!parsed.success || start === UNREADABLE_KEY) {
            return { kind: "unreadable-report", key };
        }
        const ageMs = Math.max(0, this.clock.wall() - parsed.data.at);
        const at = this.clock.monotonic() - ageMs;
        this.expiries.set(key, at + CRASH_MEMORY_MS);
        if (ageMs > CRASH_MEMORY_MS) {
            return undefined;
        }
        if (start === undefined) {
            const { requests, parts } = parsed.data;
            return { kind: "refutation", features: [...requests, ...parts.flat()].map(brand<SuspectFeature>), at };
        }
        return { kind: "crash", crash: { start, ...suspectsOf(parsed.data) }, at };
    }

    /** Records that a key was removed from the store. */
    recordRemoved(key: string): void {
        this.expiries.delete(key);
    }

    /** Writes the recent reports of this router again that a store lacks which came back from an older copy. */
    writeAgain(stored: ReadonlySet<string>): void {
        for (const [key, report] of this.written) {
            if (!stored.has(key) && this.clock.wall() - report.at < CRASH_MEMORY_MS) {
                this.pending.set(key, report);
            }
        }
        if (this.pending.size > 0 && this.retryTimer === undefined) {
            void this.writePending();
        }
    }

    /** Removes expired keys from the store. */
    async removeExpired(): Promise<void> {
        const now = this.clock.monotonic();
        const expired = [...this.expiries].filter(([, until]) => until < now).map(([key]) => key).slice(
            0,
            MAX_KEYS_PER_TRANSACTION,
        );
        if (expired.length === 0) {
            return;
        }
        const result = await this.store.transact({ conditions: new Map(), puts: [], deletes: expired });
        this.logs.endpoints.info("Request to remove expired crash reports from the store completed.", {
            keys: expired.length,
            result: result.kind,
        });
        if (result.kind === "done") {
            expired.forEach((key) => this.expiries.delete(key));
        }
    }

    /** Stops retrying and discards pending reports. */
    close(): void {
        clearTimeout(this.retryTimer);
        this.pending.clear();
    }

    private add(prefix: string, report: Omit<PendingReport, "at">): void {
        const key = `${prefix}/${this.incarnation}/${++this.reportCount}`;
        this.pending.set(key, { ...report, at: this.clock.wall() });
        if (this.pending.size > MAX_PENDING_REPORTS) {
            const [oldest] = this.pending.keys();
            this.pending.delete(oldest!);
            this.logs.endpoints.error("Too many crash reports waiting for the store; dropped the oldest.", {
                key: oldest,
            });
        }
        if (this.retryTimer === undefined) {
            void this.writePending();
        }
    }

    private async writePending(): Promise<void> {
        if (this.isWriting) {
            return;
        }
        this.isWriting = true;
        let succeeded = true;
        while (succeeded && this.pending.size > 0) {
            succeeded = await this.writeBatch([...this.pending].slice(0, MAX_KEYS_PER_TRANSACTION));
        }
        this.isWriting = false;
        if (!succeeded) {
            this.retryTimer = setTimeout(() => {
                this.retryTimer = undefined;
                void this.writePending();
            }, RETRY_DELAY_MS);
        }
    }

    private async writeBatch(batch: readonly [string, PendingReport][]): Promise<boolean> {
        const result = await this.store.transact({
            conditions: new Map(batch.map(([key]) => [key, 0])),
            puts: batch.map(([key, report]) => ({ key, value: JSON.stringify(storedValueOf(report)) })),
            deletes: [],
        });
        // Existing keys were written by an earlier call that got no response.
        const alreadyStored = result.kind === "conflict" ? batch.filter(([key]) => result.items.has(key)) : [];
        const written = result.kind === "done" ? batch : alreadyStored;
        for (const [key, report] of written) {
            this.pending.delete(key);
            this.written.set(key, report);
        }
        while (this.written.size > MAX_WRITTEN_REPORTS) {
            this.written.delete(this.written.keys().next().value!);
        }
        const keys = batch.map(([key]) => key.slice(SUSPECT_PREFIX.length));
        if (written.length === 0) {
            this.countEvent("not-shared");
            this.logs.endpoints.warn("Crash reports not written to the store; retrying.", {
                keys,
                reason: result.kind,
            });
            batch.forEach(([, report]) => this.delegateToPeers(report));
            return false;
        }
        this.countEvent("shared");
        this.logs.endpoints.info("Crash reports written to the store.", { keys, result: result.kind });
        return true;
    }

    private delegateToPeers(report: PendingReport): void {
        if (!report.skipDelegation && report.start !== undefined) {
            report.skipDelegation = true;
            this.notifyPeers({ ...report, start: report.start }, true);
        }
    }
}

function storedValueOf({ at, start, refuted, ...crash }: PendingReport): z.input<typeof valueSchema> {
    return start === undefined
        ? { at, requests: [], parts: refuted.map((feature) => [feature]) }
        : { at, ...crashMessage(crash) };
}

// Returns undefined for keys that are not of crashes.
function startOfKey(key: string): string | typeof UNREADABLE_KEY | undefined {
    if (!key.startsWith(CRASH_PREFIX)) {
        return undefined;
    }
    const [start] = key.slice(CRASH_PREFIX.length).split("/");
    try {
        return decodeURIComponent(start!);
    }
    catch {
        return UNREADABLE_KEY;
    }
}
