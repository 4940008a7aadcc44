import type { BudgetId, Incarnation, KeyDigest, OperationId, TransferId } from "../types/ids.js";

/** Tokens of one budget: the total granted and the total billed. */
export type BudgetTotals = { granted: number; billed: number; };

/** Tokens of one budget that one router holds. */
export type Holding = {
    /** Tokens that the holder may use; one of its witnesses has to accept a use before it starts. */
    allowance: number;
};

/** A use of allowance that a lost holder may not have finished. */
export type OpenUse = { budget: BudgetId; tokens: number; };

/** One router's entry in the record of an account. */
export type Holder = {
    /** The last write of this holder; shows whether a write whose reply was lost was applied. */
    operation: OperationId;
    /** Time in ms of that write. */
    at: number;
    /** Peers that record uses: one has to accept a use, all have to close the allowance before the rest is returned. */
    witnesses: Incarnation[];
    /** Uses that were open when the rest of the allowance was returned; undefined if it was not returned. */
    uses?: Record<string, OpenUse> | undefined;
    /** Position of that write in the order of the holder's writes to all records. */
    epoch: number;
    budgets: Record<BudgetId, Holding>;
};

/** An applied top-up, kept so that a repeated one is not counted again. */
export type TopUp = { budget: BudgetId; tokens: number; at: number; };

/** A transfer of allowance that the record contains, and the ends that have acknowledged it. */
export type Transfer = { from: Incarnation; to: Incarnation; at: number; seenBy: Incarnation[]; };

/** A bill within the deduplication window. */
export type Bill = { tokens: number; at: number; };

/** A page of older bills, stored under a key of its own. */
export type BillPage = {
    readonly id: string;
    /** Time in ms of its newest bill. */
    readonly newest: number;
    readonly count: number;
};

/** The ledger record of one client account. */
export type LedgerRecord = {
    budgets: Record<BudgetId, BudgetTotals>;
    topUps: Record<string, TopUp>;
    holders: Record<Incarnation, Holder>;
    /** The latest bills; older ones are in the pages. */
    bills: Record<KeyDigest, Bill>;
    pages: BillPage[];
    transfers: Record<TransferId, Transfer>;
    /** Tokens by budget of closed entries: they stay charged, as they cannot be proven unspent. */
    stranded: Record<BudgetId, number>;
};

/** Creates the record of an account without budgets. */
export function emptyRecord(): LedgerRecord {
    return { budgets: {}, topUps: {}, holders: {}, bills: {}, pages: [], transfers: {}, stranded: {} };
}

/** Parses a stored record; an absent value is an empty record. */
export function parseRecord(value: string | undefined): LedgerRecord {
    return value === undefined ? emptyRecord() : { ...emptyRecord(), ...JSON.parse(value) as LedgerRecord };
}

/** Formats a record for storage. */
export function formatRecord(record: LedgerRecord): string {
    return JSON.stringify(record);
}

/** Returns the key under which an account's record is stored. */
export function ledgerKey(account: string): string {
    return `ledger/${account}`;
}

/** Returns the tokens of a budget that routers hold or that are stranded. */
export function heldTokens(record: LedgerRecord, budget: BudgetId): number {
    let held = record.stranded[budget] ?? 0;
    for (const holder of Object.values<Holder>(record.holders)) {
        const holding = holder.budgets[budget];
        if (holding !== undefined) {
            held += holding.allowance;
        }
    }
    return held;
}

/** Returns the tokens of a budget that are neither billed, held nor stranded. */
export function freeTokens(record: LedgerRecord, budget: BudgetId): number {
    const totals = record.budgets[budget];
    return totals === undefined ? 0 : totals.granted - totals.billed - heldTokens(record, budget);
}

/** Applies a top-up once per id. Returns false if the id was applied before. */
export function applyTopUp(record: LedgerRecord, id: string, topUp: TopUp): boolean {
    if (record.topUps[id] !== undefined) {
        return false;
    }
    record.topUps[id] = topUp;
    const totals = record.budgets[topUp.budget] ??= { granted: 0, billed: 0 };
    totals.granted += topUp.tokens;
    return true;
}
