import type { AccountId } from "@gooseberrybend/core";
import {
    applyPrepaidRecord,
    ownHolding,
    type PrepaidHolder,
    type PrepaidRow,
    type PrepaidWrite,
    recordPrepaidWriteFailed,
    recordPrepaidWriteSent,
} from "@gooseberrybend/core/dispatch";
import type { GatewayLogs } from "./log-sink.js";
import type { StoredItem, StoreResult } from "./metadata-store.js";
import { PREPAID_PREFIX } from "./prepaid-formats.js";
import { logEarlierUse, type TokenCounter } from "./prepaid-log.js";
import type { StoreHealth } from "./store-health.js";

/** Outcome of a write of records. */
export type WriteOutcome = "done" | "conflict" | "failed";

/** What writes of records need of this router's accounts. */
export type RecordHost = {
    readonly holder: PrepaidHolder;
    readonly rows: ReadonlyMap<AccountId, PrepaidRow>;
    /** Applies the newer record that a write conflicted with. */
    readonly applyRecord: (item: StoredItem) => void;
};

/** Writes token records to the store, and applies what became of the writes. */
export class RecordWriter {
    /** Writes without a response; they are resent unchanged until their outcome is known. */
    unanswered: readonly PrepaidWrite[] | undefined;

    constructor(
        private readonly host: RecordHost,
        private readonly health: StoreHealth,
        private readonly logs: GatewayLogs,
        private readonly count: TokenCounter,
    ) {}

    /** Gives up writes without a response, as a new era of the store rules them out. */
    forget(): void {
        this.unanswered = undefined;
    }

    /** Sends writes in one transaction, or those without a response again. */
    async write(writes: readonly PrepaidWrite[]): Promise<WriteOutcome> {
        if (writes.length === 0) {
            return "done";
        }
        const isRetry = this.unanswered === writes;
        if (!isRetry) {
            writes.forEach((write) => recordPrepaidWriteSent(this.rowOf(write), write));
        }
        const keyOf = (write: PrepaidWrite): string => PREPAID_PREFIX + write.account;
        const result = await this.health.transact({
            conditions: new Map(writes.map((write) => [keyOf(write), write.revision])),
            puts: writes.map((write) => ({ key: keyOf(write), value: JSON.stringify(write.record) })),
            deletes: [],
        });
        return this.applyWriteResult(writes, result, isRetry);
    }

    private applyWriteResult(
        writes: readonly PrepaidWrite[],
        result: StoreResult<number>,
        isRetry: boolean,
    ): WriteOutcome {
        if (result.kind === "done") {
            this.health.recordAvailable();
            this.unanswered = undefined;
            writes.forEach((write) =>
                applyPrepaidRecord(this.rowOf(write), result.value, write.record, this.host.holder)
            );
            writes.forEach((write) => logEarlierUse(this.logs, this.count, write));
            return "done";
        }
        if (result.kind === "conflict") {
            // A failed condition rules out all further attempts of these writes; an earlier one may have been applied.
            this.health.recordAvailable();
            this.unanswered = undefined;
            result.items.forEach((item) => this.host.applyRecord(item));
            for (const write of writes) {
                if (this.isApplied(write)) {
                    logEarlierUse(this.logs, this.count, write);
                }
                else {
                    recordPrepaidWriteFailed(this.rowOf(write), write);
                }
            }
            return "conflict";
        }
        if (result.kind === "unanswered" || isRetry) {
            // The write may still be applied, so only the lower allowance of both outcomes stays spendable.
            this.unanswered = writes;
        }
        else {
            writes.forEach((write) => recordPrepaidWriteFailed(this.rowOf(write), write));
        }
        this.health.recordFailure(result.kind, "detail" in result ? result.detail : "");
        return "failed";
    }

    private rowOf(write: PrepaidWrite): PrepaidRow {
        return this.host.rows.get(write.account)!;
    }

    private isApplied(write: PrepaidWrite): boolean {
        return ownHolding(this.rowOf(write).record, this.host.holder)?.mark.sequence === write.mark.sequence;
    }
}
