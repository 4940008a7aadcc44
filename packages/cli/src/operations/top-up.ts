import {
    applyTopUp,
    formatRecord,
    freeTokens,
    ledgerKey,
    type LedgerRecord,
    parseRecord,
    type TopUp,
} from "@gooseberrybend/core";
import type { KeyValueStore } from "@gooseberrybend/router";
import { err, ok, type Result } from "neverthrow";
import type { CommandFailure } from "../failure.js";

/** Whether a top-up was applied, and the tokens of the budget afterwards. */
export type TopUpReport = {
    readonly applied: boolean;
    readonly granted: number;
    readonly billed: number;
    readonly free: number;
};

const MAX_ATTEMPTS = 40;
const RETRY_PAUSE_MS = 50;

/** Adds tokens to a budget, once per id. After a lost reply the record is read again before another write. */
export async function topUp(
    store: KeyValueStore,
    account: string,
    id: string,
    change: TopUp,
): Promise<Result<TopUpReport, CommandFailure>> {
    const result = await changeRecord(store, account, (record) => applyTopUp(record, id, change));
    return result.map(({ record, changed }) => {
        const totals = record.budgets[change.budget]!;
        return {
            applied: changed,
            granted: totals.granted,
            billed: totals.billed,
            free: freeTokens(record, change.budget),
        };
    });
}

/** A record after a change, and whether this call may have made the change. */
export type ChangedRecord = { readonly record: LedgerRecord; readonly changed: boolean; };

/**
 * Changes an account's record by compare-and-swap. The change must return false if the record already contains it:
 * this makes retries after a lost reply safe.
 */
export async function changeRecord(
    store: KeyValueStore,
    account: string,
    change: (record: LedgerRecord) => boolean,
): Promise<Result<ChangedRecord, CommandFailure>> {
    let mayBeApplied = false;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        const current = await store.get(ledgerKey(account));
        if (current.kind !== "value") {
            await pauseBeforeRetry(attempt);
            continue;
        }
        const record = parseRecord(current.current.value);
        if (!change(record)) {
            return ok({ record, changed: mayBeApplied });
        }
        const result = await store.compareAndSwap(ledgerKey(account), current.current.version, formatRecord(record));
        if (result.kind === "applied") {
            return ok({ record, changed: true });
        }
        mayBeApplied ||= result.kind === "unknown";
        await pauseBeforeRetry(attempt);
    }
    return err({
        kind: "unavailable",
        message: "The key-value service does not answer. Run the same command again: an id is applied only once.",
    });
}

/** Waits before a retry: longer after each attempt, up to a limit, with random jitter. */
export function pauseBeforeRetry(attempt: number): Promise<void> {
    return new Promise((resolve) =>
        setTimeout(resolve, RETRY_PAUSE_MS * Math.min(10, attempt + 1) * (0.5 + Math.random()))
    );
}
