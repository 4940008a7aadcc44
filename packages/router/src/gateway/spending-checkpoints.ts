import type { AccountId, Incarnation } from "@gooseberrybend/core";
import {
    type CheckpointSet,
    type Instant,
    type PrepaidHolder,
    type PrepaidRow,
    recordCheckpointFailed,
    recordCheckpointSent,
    recordCheckpointStored,
    type StoredCheckpoints,
} from "@gooseberrybend/core/dispatch";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";
import { decodeItem, storedCheckpointsSchema } from "./prepaid-formats.js";

/** Prefix of the keys of the routers' spending checkpoints. */
export const CHECKPOINT_PREFIX = "gooseberrybend/marks/";

/** What checkpoints need of this router's accounts. */
export type CheckpointHost = {
    readonly holder: PrepaidHolder;
    readonly rows: ReadonlyMap<AccountId, PrepaidRow>;
    readonly logs: GatewayLogs;
    readonly clock: () => Instant;
    readonly nextSequence: () => number;
    /** Whether tokens of an earlier process of this router are still to be reclaimed. */
    readonly isUnreclaimed: (incarnation: Incarnation) => boolean;
    readonly recordAvailable: () => void;
    readonly recordFailure: (kind: string, detail: string) => void;
};

/** Writes this router's spending checkpoints to the store, and reads those of its earlier processes. */
export class SpendingCheckpoints {
    /** Last checkpoints of earlier processes of this router; they stay stored until all their tokens are reclaimed. */
    earlier: readonly CheckpointSet[] = [];
    private latest: { readonly value: StoredCheckpoints; answered: boolean; } | undefined;
    private revision = 0;
    private isWriting = false;

    constructor(private readonly store: MetadataStore, private readonly host: CheckpointHost) {}

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

    /** Writes the checkpoints of rows, or those before that have no response. */
    async write(rows: readonly PrepaidRow[]): Promise<void> {
        if (!this.isWriting) {
            this.isWriting = true;
            await this.send(rows);
            this.isWriting = false;
        }
    }

    private async send(rows: readonly PrepaidRow[]): Promise<void> {
        const isRetry = this.latest !== undefined && !this.latest.answered;
        const latest = isRetry ? this.latest! : this.create(rows);
        this.latest = latest;
        const key = CHECKPOINT_PREFIX + this.host.holder.name;
        const result = await this.store.transact({
            conditions: new Map([[key, this.revision]]),
            puts: [{ key, value: JSON.stringify(latest.value) }],
            deletes: [],
        });
        if (result.kind === "done") {
            this.host.recordAvailable();
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
            this.host.recordFailure(result.kind, "detail" in result ? result.detail : "");
        }
    }

    private decode(item: StoredItem): StoredCheckpoints | undefined {
        return decodeItem(item, storedCheckpointsSchema, this.host.logs) as StoredCheckpoints | undefined;
    }

    private create(rows: readonly PrepaidRow[]): { value: StoredCheckpoints; answered: boolean; } {
        const sequence = this.host.nextSequence();
        const now = this.host.clock();
        rows.forEach((row) => recordCheckpointSent(row, sequence, now.monotonic));
        const committed = Object.fromEntries(rows.map((row) => [row.account, row.used + row.reserved]));
        const { incarnation } = this.host.holder;
        this.earlier = this.earlier.filter((set) => this.host.isUnreclaimed(set.incarnation));
        return { value: { incarnation, sequence, at: now.wall, committed, earlier: this.earlier }, answered: false };
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
