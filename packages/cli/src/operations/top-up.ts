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

/** What a top-up changed. Tokens of the budget afterwards. */
export type TopUpReport = {
    readonly applied: boolean;
    readonly granted: number;
    readonly billed: number;
    readonly free: number;
};

const MOST_TRIES = 40;
const TRY_PAUSE_MS = 50;

/** Adds tokens to a budget once per id. A lost reply is read back, never added twice. */
export async function topUp(
    store: KeyValueStore,
    account: string,
    id: string,
    change: TopUp,
): Promise<Result<TopUpReport, CommandFailure>> {
    const before = await changeRecord(store, account, (record) => applyTopUp(record, id, change));
    return before.map(({ record, changed }) => {
        const totals = record.budgets[change.budget]!;
        return {
            applied: changed,
            granted: totals.granted,
            billed: totals.billed,
            free: freeTokens(record, change.budget),
        };
    });
}

/** A record after a change, and whether this call changed it. */
export type ChangedRecord = { readonly record: LedgerRecord; readonly changed: boolean; };

/** Changes an account's record by compare-and-swap. The change must be one that is seen when it was applied before. */
export async function changeRecord(
    store: KeyValueStore,
    account: string,
    change: (record: LedgerRecord) => boolean,
): Promise<Result<ChangedRecord, CommandFailure>> {
    let mayBeApplied = false;
    for (let tries = 0; tries < MOST_TRIES; tries++) {
        const current = await store.get(ledgerKey(account));
        if (current.kind !== "value") {
            await pause(tries);
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
        await pause(tries);
    }
    return err({
        kind: "unavailable",
        message: "The key-value service does not answer. Run the same command again: an id counts once.",
    });
}

/** Waits a little longer with each try. */
export function pause(tries: number): Promise<void> {
    return new Promise((resolve) =>
        setTimeout(resolve, TRY_PAUSE_MS * Math.min(10, tries + 1) * (0.5 + Math.random()))
    );
}
