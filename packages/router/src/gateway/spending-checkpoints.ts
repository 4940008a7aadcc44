import type { AccountId, Incarnation } from "@gooseberrybend/core";
import {
    type CheckpointSet,
    checkpointStep,
    committedWith,
    type Instant,
    type PrepaidHolder,
    type PrepaidPolicy,
    type PrepaidRow,
    recordCheckpointFailed,
    recordCheckpointSent,
    recordCheckpointStored,
    type StoredCheckpoints,
} from "@gooseberrybend/core/dispatch";
import type { GatewayLogs } from "./log-sink.js";
import type { StoredItem } from "./metadata-store.js";
import { decodeItem, storedCheckpointsSchema } from "./prepaid-formats.js";
import type { StoreHealth } from "./store-health.js";

/** Prefix of the keys of the routers' spending checkpoints. */
export const CHECKPOINT_PREFIX = "gooseberrybend/marks/";

/** What checkpoints need of this router's accounts. */
export type CheckpointHost = {
    readonly holder: PrepaidHolder;
    readonly rows: ReadonlyMap<AccountId, PrepaidRow>;
    readonly logs: GatewayLogs;
    readonly clock: () => Instant;
    readonly nextSequence: () => number;
    readonly policy: (now: number) => PrepaidPolicy;
    /** Whether tokens of an earlier process of this router are still to be reclaimed. */
    readonly isUnreclaimed: (incarnation: Incarnation) => boolean;
};

/** Checkpoints that were sent to the store; without an answer, they may be stored or not. */
type SentCheckpoints = { readonly value: StoredCheckpoints; answered: boolean; };

/** Writes this router's spending checkpoints to the store, and reads those of its earlier processes. */
export class SpendingCheckpoints {
    /** Last checkpoints of earlier processes of this router; they stay stored until all their tokens are reclaimed. */
    earlier: readonly CheckpointSet[] = [];
    private latest: SentCheckpoints | undefined;
    /** Monotonic time in ms at which the last checkpoints were sent. */
    sentAt = -Infinity;
    private revision = 0;
    private writing: Promise<void> | undefined;

    constructor(private readonly store: StoreHealth, private readonly host: CheckpointHost) {}

    /** Applies stored checkpoints; those of other routers are ignored. */
    apply(item: StoredItem): void {
        const { holder } = this.host;
        if (item.key !== CHECKPOINT_PREFIX + holder.name || item.revision < this.revision) {
            return;
        }
        this.revision = item.revision;
        const checkpoints = this.decode(item);
        if (checkpoints?.incarnation === holder.incarnation) {
            this.recordStored(checkpoints.sequence);
        }
        else if (checkpoints !== undefined) {
            this.recordEarlier(checkpoints);
        }
    }

    private recordEarlier({ earlier = [], ...newest }: StoredCheckpoints): void {
        this.earlier = [newest, ...earlier];
    }

    /**
     * Writes the checkpoints of rows, or those before that have no response. Tokens that waiting requests need count
     * as committed, as these use them at once. Returns after the write, or the one that is under way.
     */
    write(rows: readonly PrepaidRow[], requested: ReadonlyMap<PrepaidRow, number> = new Map()): Promise<void> {
        this.writing ??= this.settleAndSend(rows, requested).finally(() => {
            this.writing = undefined;
        });
        return this.writing;
    }

    /** Waits for the write that is under way. */
    async settle(): Promise<void> {
        await this.writing;
    }

    // Checkpoints that may be stored bound this router, and are old by the time that their outcome is known.
    private async settleAndSend(
        rows: readonly PrepaidRow[],
        requested: ReadonlyMap<PrepaidRow, number>,
    ): Promise<void> {
        if (this.latest?.answered === false) {
            await this.send(this.latest, true);
        }
        if (this.latest?.answered !== false) {
            this.latest = this.create(rows, requested);
            await this.send(this.latest, false);
        }
    }

    private async send(latest: SentCheckpoints, isRetry: boolean): Promise<void> {
        this.sentAt = this.host.clock().monotonic;
        const key = CHECKPOINT_PREFIX + this.host.holder.name;
        const result = await this.store.transact({
            conditions: new Map([[key, this.revision]]),
            puts: [{ key, value: JSON.stringify(latest.value) }],
            deletes: [],
        });
        if (result.kind === "done") {
            this.store.recordAvailable();
            this.revision = result.value;
            this.recordStored(latest.value.sequence);
        }
        else if (result.kind === "conflict") {
            const item = result.items.get(key);
            this.revision = item?.revision ?? 0;
            const stored = item === undefined ? undefined : this.decode(item);
            // An earlier attempt without a response may have stored the checkpoints, which limit this router then.
            const isStored = stored?.incarnation === this.host.holder.incarnation
                && stored.sequence === latest.value.sequence;
            if (isStored) {
                this.recordStored(latest.value.sequence);
            }
            else {
                if (stored !== undefined && stored.incarnation !== this.host.holder.incarnation) {
                    this.recordEarlier(stored);
                }
                this.recordFailed(latest.value.sequence);
            }
        }
        else {
            if (result.kind !== "unanswered" && !isRetry) {
                this.recordFailed(latest.value.sequence);
            }
            this.store.recordFailure(result.kind, "detail" in result ? result.detail : "");
        }
    }

    private decode(item: StoredItem): StoredCheckpoints | undefined {
        return decodeItem(item, storedCheckpointsSchema, this.host.logs) as StoredCheckpoints | undefined;
    }

    private create(rows: readonly PrepaidRow[], requested: ReadonlyMap<PrepaidRow, number>): SentCheckpoints {
        const sequence = this.host.nextSequence();
        const now = this.host.clock();
        const committedOf = (row: PrepaidRow): number => committedWith(row, requested.get(row) ?? 0);
        const policy = this.host.policy(now.monotonic);
        const { ramp, stepMs } = policy;
        const stepTokens: Record<string, number> = {};
        for (const row of rows) {
            const step = checkpointStep(row, policy, this.host.holder, now.monotonic);
            recordCheckpointSent(row, sequence, committedOf(row), ramp, now.monotonic, step);
            if (step !== undefined) {
                stepTokens[row.account] = step.tokens;
            }
        }
        const committed = Object.fromEntries(rows.map((row) => [row.account, committedOf(row)]));
        const steps = stepMs === undefined ? undefined : { ms: stepMs, tokens: stepTokens };
        const { incarnation } = this.host.holder;
        this.earlier = this.earlier.filter((set) => this.host.isUnreclaimed(set.incarnation));
        return {
            value: { incarnation, sequence, at: now.wall, ramp, committed, steps, earlier: this.earlier },
            answered: false,
        };
    }

    private recordStored(sequence: number): void {
        if (this.latest?.value.sequence === sequence) {
            this.latest.answered = true;
        }
        this.host.rows.forEach((row) => recordCheckpointStored(row, sequence));
    }

    private recordFailed(sequence: number): void {
        this.latest!.answered = true;
        this.host.rows.forEach((row) => recordCheckpointFailed(row, sequence));
    }
}
