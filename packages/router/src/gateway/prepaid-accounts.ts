import type { AccountId, Incarnation } from "@gooseberrybend/core";
import {
    applyPrepaidRecord,
    canGainPrepaid,
    canJoinPrepaidWrite,
    cautiousPrepaidPolicy,
    checkpointIntervalMs,
    checkpointStepMs,
    conflictPauseMs,
    createPrepaidRow,
    defaultPrepaidPolicy,
    demandShare,
    emptyPrepaidRecord,
    eraOf,
    hasCrashedPredecessor,
    hasFreeTokens,
    type Instant,
    isCheckpointMissing,
    needsPrepaidWrite,
    needsRestatement,
    planPrepaidWrite,
    type PrepaidHolder,
    type PrepaidPolicy,
    type PrepaidRecord,
    type PrepaidRow,
    type PrepaidWrite,
    recordPrepaidDemand,
    recordPrepaidShortage,
    type Reservation,
    reservePrepaid,
    reviewIntervalMs,
    settlePrepaid,
    SHORTAGE_RETURN_MS,
    shouldReturnTokens,
    usableAfterMs,
} from "@gooseberrybend/core/dispatch";
import { CheckpointRequests } from "./checkpoint-requests.js";
import { EraView } from "./era-view.js";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";
import type { PeerCalls } from "./peer-calls.js";
import { PeriodicWork } from "./periodic-work.js";
import { decodeItem, PREPAID_PREFIX, recordSchema } from "./prepaid-formats.js";
import type { TokenCounter } from "./prepaid-log.js";
import { RecordWriter } from "./record-writer.js";
import { sleep } from "./sleep.js";
import { SpendingCheckpoints } from "./spending-checkpoints.js";
import { StoreHealth } from "./store-health.js";
import { TokenLoans } from "./token-loans.js";
import { TokenTransfers } from "./token-transfers.js";
import { type TokenWaiter, TokenWaiters } from "./token-waiters.js";
import { tokensByRow } from "./tokens-by-row.js";

/** Maximum records per transaction: the store accepts 32 entries, and each record takes two. */
const MAX_RECORDS_PER_WRITE = 16;
/** Relative jitter of the review interval: routers that start together would write the same records at once. */
const REVIEW_JITTER = 0.5;
/** Maximum writes that return tokens on shutdown. */
const MAX_CLOSE_WRITES = 8;
/** Maximum writes in one flush, which goes on after conflicts and while requests wait. */
const MAX_FLUSH_WRITES = 6;
/** Time in ms after a crash in which another one is likely, as of an instance that fails or of a series of faults. */
const CAUTION_MS = 60_000;
/** Time in ms that a lender waits for a checkpoint; the borrower waits 150 ms for the loan. */
const LOAN_WAIT_MS = 80;
/** Time in ms after a failed write in which requests don't wait for tokens from the store. */
const REQUEST_BACKOFF_MS = 1_000;
/** Time in ms after a failed write in which nothing is written that no request waits for. */
const IDLE_BACKOFF_MS = 2_500;
/** Maximum time in ms, in a new era of the store, until a router writes its holdings again. */
const MAX_RESTATEMENT_DELAY_MS = 1_000;

/** Least number of holders by which a large part of the demand sets intervals: more checkpoints save little more. */
const MIN_EFFECTIVE_HOLDERS = 6;
/** Shortest retry time in ms while a checkpoint would make tokens usable, and the jitter on the time until they are. */
const MIN_RETRY_MS = 200;
const RETRY_JITTER_MS = 200;
/** Shortest time in ms between two checks whether a checkpoint is due: one that is due may have nothing to store. */
const MIN_CHECKPOINT_PAUSE_MS = 100;

/** Writes to send in one transaction, and the requests whose tokens they ask for. */
type PlannedWrites = { readonly writes: readonly PrepaidWrite[]; readonly waiters: readonly TokenWaiter[]; };

/** Manages this router's token allowances, and writes its use and demand to the store. */
export class PrepaidAccounts {
    readonly rows = new Map<AccountId, PrepaidRow>();
    private readonly waiters = new TokenWaiters(() => this.clock().monotonic);
    private flushing: Promise<void> | undefined;
    private isStopped = false;
    /** Number of routers that would hold tokens if all had as much of the demand as this one; sets intervals. */
    private effectiveHolders = 1;
    private storeRevision: number | undefined;
    private readonly era = new EraView();
    private readonly unconfiguredRecords = new Map<string, { revision: number; record: PrepaidRecord; }>();
    /** Time until which this router, which has crashed, keeps what another crash would lose small. */
    private cautiousUntil = -Infinity;
    private sequence = 0;
    /** Rows whose tokens other routers are short of. */
    private readonly rowsToReturn = new Set<PrepaidRow>();
    private readonly work = new PeriodicWork();
    private readonly health: StoreHealth;
    private readonly writer: RecordWriter;
    private readonly loans: TokenLoans;
    private readonly transfers: TokenTransfers;
    private readonly checkpoints: SpendingCheckpoints;
    private readonly checkpointRequests: CheckpointRequests;

    constructor(
        store: MetadataStore,
        private readonly holder: PrepaidHolder,
        private readonly logs: GatewayLogs,
        private readonly clock: () => Instant,
        peers: PeerCalls,
        /** Returns the peer address of a router, or undefined when it is unknown. */
        addressOf: (router: string) => string | undefined,
        /** Returns the number of routers that serve callers, which hold most tokens. */
        private readonly holderCount: () => number,
        /** Returns a random number in [0, 1). */
        private readonly random: () => number,
        /** Returns the time in ms since this router read all changes of the store; undefined if it reads only some. */
        private readonly allChangesAgeMs: () => number | undefined,
        count: TokenCounter = () => undefined,
    ) {
        this.health = new StoreHealth(store, logs, () => clock().monotonic);
        this.writer = new RecordWriter(
            { holder, rows: this.rows, applyRecord: (item) => this.applyRecord(item) },
            this.health,
            logs,
            count,
        );
        this.loans = new TokenLoans(
            {
                holder,
                rows: this.rows,
                addressOf,
                now: () => clock().monotonic,
                makeUsable: (row, tokens) => this.checkpointRequests.makeUsable(row, tokens, LOAN_WAIT_MS),
            },
            peers,
            logs,
        );
        this.transfers = new TokenTransfers(
            { holder, rows: this.rows, addressOf, now: () => clock().monotonic },
            peers,
            logs,
            count,
        );
        this.checkpointRequests = new CheckpointRequests(
            () => this.writeCheckpoints(),
            () => this.health.hasFailedWithin(REQUEST_BACKOFF_MS),
            () => clock().monotonic,
        );
        this.checkpoints = new SpendingCheckpoints(this.health, {
            holder,
            rows: this.rows,
            logs,
            clock,
            nextSequence: () => ++this.sequence,
            policy: (now) => this.policyAt(now),
            isUnreclaimed: (incarnation) => this.isUnreclaimed(incarnation),
        });
    }

    /** Handles a loan request of another router. */
    lend(parameters: unknown): Promise<{ readonly tokens: number; }> {
        return this.loans.lend(parameters);
    }

    /** Starts the periodic work. */
    start(): void {
        this.work.repeat(
            () => reviewIntervalMs(this.holderCount()) * (1 + REVIEW_JITTER * (this.random() - 0.5)),
            () => {
                if (!this.health.hasFailedWithin(IDLE_BACKOFF_MS)) {
                    void this.flush();
                }
            },
        );
        // Checkpoints that requests waited for serve as well.
        const dueInMs = (): number => {
            const ageMs = Math.max(0, this.clock().monotonic - this.checkpoints.sentAt);
            this.effectiveHolders = this.countEffectiveHolders();
            return checkpointIntervalMs(this.effectiveHolders) - ageMs;
        };
        this.work.repeat(() => Math.max(MIN_CHECKPOINT_PAUSE_MS, dueInMs()), () => {
            if (dueInMs() <= 0) {
                void this.writeCheckpoints();
            }
        });
    }

    /** Ends the pause after failed writes, as the store responds again. */
    resume(): void {
        this.health.recordAvailable();
        // What the last checkpoints before an outage allow is by far more than what was used.
        void this.writeCheckpoints();
    }

    /** Stops the periodic work. */
    stop(): void {
        this.isStopped = true;
        this.work.stop();
    }

    /** Applies the token totals of a configuration. */
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
        const row = createPrepaidRow(account, total, this.clock().monotonic);
        this.rows.set(account, row);
        this.transfers.assignTo(row);
        const key = PREPAID_PREFIX + account;
        const earlier = this.unconfiguredRecords.get(key);
        if (earlier !== undefined) {
            applyPrepaidRecord(row, earlier.revision, earlier.record, this.holder);
        }
        else if (this.storeRevision !== undefined) {
            applyPrepaidRecord(row, 0, emptyPrepaidRecord, this.holder, eraOf(this.storeRevision));
        }
    }

    /** Applies all records of the store. */
    replaceRecords(items: readonly StoredItem[], revision: number): void {
        const isFirstRead = this.storeRevision === undefined;
        const era = eraOf(revision);
        this.recordEra(era);
        this.storeRevision = revision;
        this.unconfiguredRecords.clear();
        for (const item of items) {
            this.applyRecord(item);
        }
        for (const row of this.rows.values()) {
            if (row.revision === undefined || row.era < era) {
                applyPrepaidRecord(row, 0, emptyPrepaidRecord, this.holder, era);
            }
        }
        if (isFirstRead) {
            if (this.allRecords().some((record) => hasCrashedPredecessor(record, this.holder))) {
                this.cautiousUntil = this.clock().monotonic + CAUTION_MS;
            }
            // Random delay: routers that start together, as after a power loss, would conflict on the same records.
            setTimeout(() => void this.flush(), this.random() * reviewIntervalMs(this.holderCount())).unref();
        }
    }

    // What was written since the copy, from which the store came back, is gone: the holdings are written again.
    private recordEra(era: number): void {
        const allChangesAgeMs = this.allChangesAgeMs();
        if (!this.era.advance(era, allChangesAgeMs, this.clock().monotonic) || this.storeRevision === undefined) {
            return;
        }
        this.writer.forget();
        const { isWitness } = this.era;
        this.logs.prepaid.warn("The store came back from an older copy; writing the token records again.", {
            era,
            isWitness,
            allChangesAgeMs,
        });
        const delayMs = isWitness ? 0 : this.random() * MAX_RESTATEMENT_DELAY_MS;
        setTimeout(() => void this.flush(), delayMs).unref();
    }

    /** Applies the stored spending checkpoints of a router; those of other routers are ignored. */
    applyCheckpoints(item: StoredItem): void {
        this.checkpoints.apply(item);
    }

    /** Applies one record of the store. */
    applyRecord(item: StoredItem): void {
        this.recordEra(eraOf(item.revision));
        const record = decodeItem(item, recordSchema, this.logs) as PrepaidRecord | undefined;
        if (record === undefined) {
            return;
        }
        const row = this.rows.get(item.key.slice(PREPAID_PREFIX.length) as AccountId);
        if (row === undefined) {
            this.unconfiguredRecords.set(item.key, { revision: item.revision, record });
            return;
        }
        applyPrepaidRecord(row, item.revision, record, this.holder);
        if (shouldReturnTokens(row, this.holder)) {
            this.rowsToReturn.add(row);
            void this.flush();
        }
    }

    /** Reserves tokens; requests missing ones from other routers, and from the store for up to `waitMs`. */
    async reserve(account: AccountId, tokens: number, waitMs: number): Promise<Reservation> {
        const row = this.rows.get(account);
        if (row === undefined) {
            return "short";
        }
        const now = this.clock().monotonic;
        recordPrepaidDemand(row, tokens, now);
        const immediate = reservePrepaid(row, tokens, now);
        if (immediate !== "short") {
            return immediate;
        }
        const holdsTokens = isCheckpointMissing(row, tokens, now);
        if (holdsTokens && this.needsWrite(row, now)) {
            // The request need not wait for a larger allowance, but the next ones, or an outage, may.
            void this.flush();
        }
        // If the record shows no free tokens, a loan brings them sooner than a write.
        const sources = holdsTokens
            ? [() => this.checkpointRequests.reserve(row, tokens, waitMs), () => this.borrow(row, tokens)]
            : hasFreeTokens(row, tokens)
            ? [() => this.requestFromStore(row, tokens, waitMs), () => this.borrow(row, tokens)]
            : [() => this.borrow(row, tokens), () => this.requestFromStore(row, tokens, waitMs)];
        for (const source of sources) {
            const reservation = await source();
            if (reservation !== "short") {
                return reservation;
            }
        }
        recordPrepaidShortage(row, tokens);
        return "short";
    }

    private async borrow(row: PrepaidRow, tokens: number): Promise<Reservation> {
        await this.loans.borrow(row, tokens);
        return reservePrepaid(row, tokens, this.clock().monotonic);
    }

    private async requestFromStore(row: PrepaidRow, tokens: number, waitMs: number): Promise<Reservation> {
        const now = this.clock().monotonic;
        if (this.health.hasFailedWithin(REQUEST_BACKOFF_MS) || !canGainPrepaid(row, tokens, this.holder, now)) {
            return "short";
        }
        const reservation = this.waiters.wait(row, tokens, waitMs);
        void this.flush();
        return reservation;
    }

    /** Returns the time in ms after which tokens may be available again, with jitter so that callers come apart. */
    retryAfterMs(account: AccountId, tokens: number, now: number): number {
        const row = this.rows.get(account);
        const usableMs = row === undefined ? undefined : usableAfterMs(row, tokens, now);
        if (usableMs !== undefined) {
            return Math.max(usableMs, MIN_RETRY_MS) + this.random() * RETRY_JITTER_MS;
        }
        // On average, an outage goes on for as long as it has lasted so far.
        return Math.max(SHORTAGE_RETURN_MS, this.health.failingMs(now) ?? 0) * (1 + this.random());
    }

    /** Settles a reservation by the tokens that were used. */
    settle(account: AccountId, reserved: number, used: number): void {
        const row = this.rows.get(account);
        if (row !== undefined) {
            settlePrepaid(row, reserved, used);
        }
    }

    /** Handles tokens that another router, which shuts down, hands over. */
    receiveTransfer(parameters: unknown): object {
        return this.transfers.receive(parameters);
    }

    /**
     * Returns all tokens that are not in use; called on shutdown. If the store is slow or away, writes of records would
     * conflict or stay without a response, and another router takes the tokens; without one, a slow store gets them.
     */
    async close(): Promise<void> {
        this.stop();
        // Writes that are under way bound what may be handed over.
        await Promise.all([this.flushing, this.checkpoints.settle()]);
        if (!this.health.isSlow) {
            await this.returnTokens();
        }
        const heldByRow = new Map(this.rowsWithTokens().map((row) => [row, row.granted - row.used - row.reserved]));
        if (heldByRow.size === 0) {
            return;
        }
        if (!this.isStoreFailing()) {
            // All that is held becomes usable, so that all can be handed over.
            await this.checkpoints.write([...heldByRow.keys()], heldByRow);
        }
        if (!await this.transfers.handOver() && !this.isStoreFailing()) {
            await this.returnTokens();
        }
    }

    private isStoreFailing(): boolean {
        return this.health.failingMs(this.clock().monotonic) !== undefined;
    }

    private async returnTokens(): Promise<void> {
        const returnPolicy = { ...this.policyAt(this.clock().monotonic), heldShare: 0 };
        let outcome = "done";
        for (let attempt = 0; attempt < MAX_CLOSE_WRITES; attempt++) {
            const writes = this.rowsWithTokens()
                .slice(0, MAX_RECORDS_PER_WRITE)
                .map((row) => this.planRow(row, 0, returnPolicy))
                .filter((write) => write !== undefined);
            if (writes.length === 0 && this.writer.unanswered === undefined) {
                break;
            }
            outcome = await this.writer.write(this.writer.unanswered ?? writes);
        }
        this.logs.prepaid.info("Return of unused tokens on shutdown ended.", { outcome });
    }

    private flush(): Promise<void> {
        if (this.storeRevision === undefined) {
            return Promise.resolve();
        }
        this.flushing ??= this.writeDue().finally(() => {
            this.flushing = undefined;
        });
        return this.flushing;
    }

    private async writeDue(): Promise<void> {
        for (let attempt = 0; attempt < MAX_FLUSH_WRITES && !this.isStopped;) {
            const { writes, waiters } = this.planWrites();
            const outcome = await this.writer.write(writes);
            if (outcome === "failed") {
                this.waiters.serve(this.waiters.all);
                break;
            }
            if (outcome === "conflict") {
                this.waiters.serve([]);
                await sleep(conflictPauseMs(attempt, this.random()));
                attempt++;
                continue;
            }
            this.waiters.serve(waiters);
            if (this.waiters.isEmpty && this.unstatedRows().length === 0) {
                break;
            }
            // Writes that decide waiting requests don't count, as there are only as many as requests.
            attempt += waiters.length > 0 ? 0 : 1;
        }
    }

    private planWrites(): PlannedWrites {
        if (this.writer.unanswered !== undefined) {
            return { writes: this.writer.unanswered, waiters: [] };
        }
        const requestedByRow = tokensByRow(this.waiters.all);
        const now = this.clock().monotonic;
        // Waiting requests get a small write of their own: more records would conflict with more writes of others.
        const urgentRows = new Set([...this.unstatedRows(), ...requestedByRow.keys(), ...this.rowsToReturn]);
        const rows = (urgentRows.size > 0 ? [...urgentRows] : this.dueRows(now)).slice(0, MAX_RECORDS_PER_WRITE);
        rows.forEach((row) => this.rowsToReturn.delete(row));
        return {
            writes: rows.map((row) => this.planRow(row, requestedByRow.get(row) ?? 0, this.policyAt(now)))
                .filter((write) => write !== undefined),
            waiters: this.waiters.all.filter(({ row }) => rows.includes(row)),
        };
    }

    // Nearly every write meets one of another router once, so that few writes of many accounts are cheaper.
    private dueRows(now: number): readonly PrepaidRow[] {
        const rows = [...this.rows.values()];
        const due = rows.filter((row) => this.needsWrite(row, now));
        const joining = due.length === 0
            ? []
            : rows.filter((row) =>
                !due.includes(row) && canJoinPrepaidWrite(row, this.policyAt(now), this.holder, now)
            );
        return [...due, ...joining];
    }

    private needsWrite(row: PrepaidRow, now: number): boolean {
        return needsPrepaidWrite(row, this.policyAt(now), this.holder, now, this.era.standing(now));
    }

    // Rows whose record lacks something that this router knows of earlier eras of the store.
    private unstatedRows(): readonly PrepaidRow[] {
        const standing = this.era.standing(this.clock().monotonic);
        return [...this.rows.values()].filter((row) => needsRestatement(row, this.holder, standing));
    }

    private planRow(row: PrepaidRow, requested: number, policy: PrepaidPolicy): PrepaidWrite | undefined {
        const sequence = ++this.sequence;
        const { earlier } = this.checkpoints;
        const now = this.clock();
        const standing = this.era.standing(now.monotonic);
        return planPrepaidWrite(row, this.holder, earlier, requested, policy, sequence, now, standing);
    }

    private policyAt(now: number): PrepaidPolicy {
        const policy = now < this.cautiousUntil ? cautiousPrepaidPolicy : defaultPrepaidPolicy;
        return this.health.isSlow
            ? policy
            : { ...policy, stepMs: checkpointStepMs(this.effectiveHolders) };
    }

    // A router with a large part of an account's demand stores checkpoints as often as if few routers held tokens: it
    // has more to lose, and the number of checkpoints of all stays bounded.
    private countEffectiveHolders(): number {
        const largestShare = Math.max(0, ...[...this.rows.values()].map((row) => demandShare(row, this.holder)));
        return Math.min(this.holderCount(), Math.max(MIN_EFFECTIVE_HOLDERS, 1 / largestShare));
    }

    private rowsWithTokens(): readonly PrepaidRow[] {
        return [...this.rows.values()].filter((row) => row.granted > row.used + row.reserved);
    }

    private async writeCheckpoints(): Promise<void> {
        // Without available tokens, a checkpoint has nothing to recover.
        const rows = this.rowsWithTokens();
        const isPaused = this.health.hasFailedWithin(IDLE_BACKOFF_MS);
        if (!isPaused && this.storeRevision !== undefined && rows.length > 0) {
            await this.checkpoints.write(rows, this.checkpointRequests.tokensByRow());
        }
    }

    // Records of accounts that are not configured count too: the account may be added again.
    private isUnreclaimed(incarnation: Incarnation): boolean {
        return this.allRecords().some(({ holdings }) => holdings[this.holder.name]?.incarnation === incarnation);
    }

    private allRecords(): readonly PrepaidRecord[] {
        return [...this.rows.values(), ...this.unconfiguredRecords.values()].map(({ record }) => record);
    }
}
