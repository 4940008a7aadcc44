import type { AccountId } from "@gooseberrybend/core";
import {
    createPrepaidRow,
    defaultPrepaidPolicy,
    emptyRecord,
    needsPrepaidWrite,
    notePrepaidDemand,
    notePrepaidRecord,
    notePrepaidShortage,
    notePrepaidWriteFailed,
    notePrepaidWriteSent,
    planPrepaidWrite,
    type PrepaidHolder,
    type PrepaidPolicy,
    type PrepaidRecord,
    type PrepaidRow,
    type PrepaidWrite,
    type Reservation,
    reservePrepaid,
    settlePrepaid,
    spendableTokens,
} from "@gooseberrybend/core/dispatch";
import { z } from "zod";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";

/** Prefix of the keys of accounts' records. */
export const PREPAID_PREFIX = "gooseberrybend/prepaid/";

/** Records written in one transaction; the store takes at most 32 entries. */
const RECORDS_PER_WRITE = 30;
/** Time in ms between two looks at which allowances have to change. */
const REVIEW_MS = 1_000;
/** Conflicting writes in a row before the waiting requests are judged. */
const CONFLICT_TRIES = 6;
/** Time in ms for which a failing store is not asked for tokens again. */
const BACKOFF_MS = 300;

const recordSchema = z.object({
    closed: z.number(),
    holdings: z.record(
        z.string(),
        z.object({ incarnation: z.string(), granted: z.number(), used: z.number(), lacking: z.number(), rate: z.number() }),
    ),
});

/** Time in ms in which other routers return tokens that are lacking here. */
const SHORTAGE_MS = 700;

type Waiter = { readonly row: PrepaidRow; readonly tokens: number; readonly resolve: (value: Reservation) => void; };

/** Holds this router's tokens, and writes what it used and needs into the store. */
export class PrepaidKeeper {
    readonly rows = new Map<AccountId, PrepaidRow>();
    private waiters: Waiter[] = [];
    private flushing = false;
    private storeRevision: number | undefined;
    private readonly earlyRecords = new Map<string, { revision: number; record: PrepaidRecord; }>();
    private failedAt = -Infinity;
    private failingSince: number | undefined;
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly store: MetadataStore,
        private readonly holder: PrepaidHolder,
        private readonly logs: GatewayLogs,
        private readonly clock: () => number,
        private readonly policy: PrepaidPolicy = defaultPrepaidPolicy,
    ) {}

    /** Starts the periodic review. */
    start(): void {
        this.timer = setInterval(() => void this.flush(), REVIEW_MS);
    }

    /** Stops the periodic review. */
    stop(): void {
        clearInterval(this.timer);
    }

    /** Puts the totals of a configuration in force. */
    setTotals(totals: ReadonlyMap<AccountId, number>): void {
        for (const [account, total] of totals) {
            const row = this.rows.get(account);
            if (row === undefined) {
                this.addRow(account, total);
            }
            else {
                row.total = total;
            }
        }
    }

    private addRow(account: AccountId, total: number): void {
        const row = createPrepaidRow(account, total, this.clock());
        this.rows.set(account, row);
        const key = PREPAID_PREFIX + account;
        const early = this.earlyRecords.get(key);
        if (early !== undefined) {
            notePrepaidRecord(row, early.revision, early.record, this.holder);
        }
        else if (this.storeRevision !== undefined) {
            notePrepaidRecord(row, 0, emptyRecord, this.holder);
        }
    }

    /** Takes in all records of the store. */
    replaceRecords(items: readonly StoredItem[], revision: number): void {
        this.storeRevision = revision;
        for (const item of items) {
            this.noteItem(item);
        }
        for (const row of this.rows.values()) {
            if (row.revision === undefined) {
                notePrepaidRecord(row, 0, emptyRecord, this.holder);
            }
        }
    }

    /** Takes in one record. */
    noteItem(item: StoredItem): void {
        const record = this.readRecord(item);
        if (record === undefined) {
            return;
        }
        const row = this.rows.get(item.key.slice(PREPAID_PREFIX.length) as AccountId);
        if (row === undefined) {
            this.earlyRecords.set(item.key, { revision: item.revision, record });
            return;
        }
        notePrepaidRecord(row, item.revision, record, this.holder);
        const lacking = Object.entries(record.holdings).some(([name, holding]) =>
            name !== this.holder.name && holding.lacking > 0
        );
        if (lacking && spendableTokens(row) > 0) {
            void this.flush();
        }
    }

    private readRecord(item: StoredItem): PrepaidRecord | undefined {
        try {
            return recordSchema.parse(JSON.parse(item.value.toString("utf8"))) as PrepaidRecord;
        }
        catch (error) {
            this.logs.prepaid.error("Record can't be read.", { key: item.key, detail: (error as Error).message });
            return undefined;
        }
    }

    /** Reserves tokens, asking the store where there are too few at hand. */
    async reserve(account: AccountId, tokens: number, waitMs: number): Promise<Reservation> {
        const row = this.rows.get(account);
        if (row === undefined) {
            return "short";
        }
        notePrepaidDemand(row, tokens, this.clock());
        const first = reservePrepaid(row, tokens);
        if (first === "reserved" || first === "exhausted") {
            return first;
        }
        if (this.clock() - this.failedAt < BACKOFF_MS) {
            return "short";
        }
        return new Promise((resolve) => {
            const waiter = { row, tokens, resolve };
            this.waiters.push(waiter);
            setTimeout(() => this.giveUp(waiter), waitMs);
            void this.flush();
        });
    }

    /** Returns the time in ms after which tokens may be at hand again. */
    retryAfterMs(now: number): number {
        // An outage lasts on average as long again as it has lasted.
        return this.failingSince === undefined ? SHORTAGE_MS : Math.max(SHORTAGE_MS, now - this.failingSince);
    }

    /** Ends a reservation. */
    settle(account: AccountId, reserved: number, used: number): void {
        const row = this.rows.get(account);
        if (row !== undefined) {
            settlePrepaid(row, reserved, used);
        }
    }

    /** Returns all that is not in use; used on shutdown. */
    async close(): Promise<void> {
        this.stop();
        const writes = [...this.rows.values()]
            .filter((row) => row.granted > 0)
            .map((row) => planPrepaidWrite(row, this.holder, 0, { ...this.policy, heldShare: 0 }, this.clock()))
            .filter((write) => write !== undefined);
        await this.write(writes);
    }

    private giveUp(waiter: Waiter): void {
        const index = this.waiters.indexOf(waiter);
        if (index >= 0) {
            this.waiters.splice(index, 1);
            notePrepaidShortage(waiter.row, waiter.tokens);
            waiter.resolve("short");
        }
    }

    private async flush(): Promise<void> {
        if (this.flushing || this.storeRevision === undefined) {
            return;
        }
        this.flushing = true;
        for (let tries = 0; tries < CONFLICT_TRIES; tries++) {
            const asked = [...this.waiters];
            const outcome = await this.write(this.plan());
            this.serveWaiters(outcome === "conflict" ? [] : asked);
            if (outcome !== "conflict" && (outcome === "failed" || this.waiters.length === 0)) {
                break;
            }
        }
        this.flushing = false;
    }

    private plan(): PrepaidWrite[] {
        const wanted = new Map<PrepaidRow, number>();
        for (const waiter of this.waiters) {
            wanted.set(waiter.row, (wanted.get(waiter.row) ?? 0) + waiter.tokens);
        }
        const now = this.clock();
        const due = [...this.rows.values()]
            .filter((row) => wanted.has(row) || needsPrepaidWrite(row, this.policy, this.holder, now));
        due.sort((one, other) => Number(wanted.has(other)) - Number(wanted.has(one)));
        return due.slice(0, RECORDS_PER_WRITE)
            .map((row) => planPrepaidWrite(row, this.holder, wanted.get(row) ?? 0, this.policy, now))
            .filter((write) => write !== undefined);
    }

    private async write(writes: readonly PrepaidWrite[]): Promise<"done" | "conflict" | "failed"> {
        if (writes.length === 0) {
            return "done";
        }
        const rowOf = (write: PrepaidWrite): PrepaidRow => this.rows.get(write.account)!;
        const keyOf = (write: PrepaidWrite): string => PREPAID_PREFIX + write.account;
        writes.forEach((write) => notePrepaidWriteSent(rowOf(write), write));
        const result = await this.store.transact({
            conditions: new Map(writes.map((write) => [keyOf(write), write.revision])),
            puts: writes.map((write) => ({ key: keyOf(write), value: JSON.stringify(write.record) })),
            deletes: [],
        });
        switch (result.kind) {
            case "done":
                this.failingSince = undefined;
                writes.forEach((write) => notePrepaidRecord(rowOf(write), result.value, write.record, this.holder));
                return "done";
            case "conflict":
                writes.forEach((write) => notePrepaidWriteFailed(rowOf(write), write));
                result.items.forEach((item) => this.noteItem(item));
                return "conflict";
            case "unanswered":
                // It may still be applied, so the least of both outcomes stays spendable.
                this.noteFailure(result.kind, result.detail);
                return "failed";
            default:
                writes.forEach((write) => notePrepaidWriteFailed(rowOf(write), write));
                this.noteFailure(result.kind, "detail" in result ? result.detail : "");
                return "failed";
        }
    }

    private noteFailure(kind: string, detail: string): void {
        this.failedAt = this.clock();
        this.failingSince ??= this.failedAt;
        this.logs.prepaid.warn("Write failed.", { kind, detail });
    }

    private serveWaiters(asked: readonly Waiter[]): void {
        const waiting = this.waiters;
        this.waiters = [];
        for (const waiter of waiting) {
            const reservation = reservePrepaid(waiter.row, waiter.tokens);
            if (reservation === "short" && !asked.includes(waiter)) {
                this.waiters.push(waiter);
                continue;
            }
            if (reservation === "short") {
                notePrepaidShortage(waiter.row, waiter.tokens);
            }
            waiter.resolve(reservation);
        }
    }
}
