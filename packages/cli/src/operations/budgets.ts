import {
    type Bill,
    freeTokens,
    heldTokens,
    type Incarnation,
    type KeyDigest,
    ledgerKey,
    type LedgerRecord,
    pageKey,
    parsePage,
    parseRecord,
    retireHolder,
} from "@gooseberrybend/core";
import type { KeyValueStore } from "@gooseberrybend/router";
import { err, ok, type Result } from "neverthrow";
import type { CommandFailure } from "../failure.js";
import { changeRecord } from "./top-up.js";

/** Figures of a budget in tokens: granted = billed + held + free. */
export type BudgetFigures = {
    readonly account: string;
    readonly budget: string;
    readonly granted: number;
    readonly billed: number;
    /** Tokens that routers hold or that are stranded. */
    readonly held: number;
    readonly stranded: number;
    readonly free: number;
};

const storeUnavailable: CommandFailure = {
    kind: "unavailable",
    message: "The key-value service does not answer. Try again later.",
};

/** Reads the ledger records of all accounts. */
export async function readLedger(store: KeyValueStore): Promise<Result<Map<string, LedgerRecord>, CommandFailure>> {
    const entries = await store.list(ledgerKey(""));
    if (entries === undefined) {
        return err(storeUnavailable);
    }
    return ok(new Map(entries.map((entry) => [entry.key.slice(ledgerKey("").length), parseRecord(entry.value)])));
}

/** Reads all bills of an account that the ledger has not pruned, including those on its pages. */
export async function readBills(
    store: KeyValueStore,
    account: string,
    record: LedgerRecord,
): Promise<Result<Map<KeyDigest, Bill>, CommandFailure>> {
    const bills = new Map<KeyDigest, Bill>();
    for (const page of record.pages) {
        const result = await store.get(pageKey(account, page.id));
        if (result.kind !== "value") {
            return err(storeUnavailable);
        }
        parsePage(result.current.value).forEach((bill, key) => bills.set(key, bill));
    }
    for (const [key, bill] of Object.entries<Bill>(record.bills)) {
        bills.set(key as KeyDigest, bill);
    }
    return ok(bills);
}

/** Returns the figures of an account's budgets. */
export function budgetFigures(account: string, record: LedgerRecord): BudgetFigures[] {
    return Object.entries(record.budgets).map(([id, totals]) => {
        const budget = id as keyof typeof record.budgets;
        return {
            account,
            budget: id,
            granted: totals.granted,
            billed: totals.billed,
            held: heldTokens(record, budget),
            stranded: record.stranded[budget] ?? 0,
            free: freeTokens(record, budget),
        };
    });
}

/** Result of a release: the tokens returned to the account. */
export type ReleaseReport = { readonly account: string; readonly tokens: number; };

/**
 * Returns the tokens that an ended router holds to their account. The caller must make sure that its
 * process has ended: a router that still runs could spend the tokens a second time.
 */
export async function releaseHolder(
    store: KeyValueStore,
    account: string,
    incarnation: string,
): Promise<Result<ReleaseReport, CommandFailure>> {
    let tokens = 0;
    const changed = await changeRecord(store, account, (record) => {
        const holder = record.holders[incarnation as Incarnation];
        if (holder === undefined) {
            return false;
        }
        const strandedBefore = { ...record.stranded };
        tokens = 0;
        retireHolder(record, incarnation as Incarnation);
        for (const [budget, stranded] of Object.entries(record.stranded)) {
            tokens += stranded - (strandedBefore[budget as keyof typeof strandedBefore] ?? 0);
        }
        record.stranded = strandedBefore;
        return true;
    });
    return changed.map(() => ({ account, tokens }));
}
