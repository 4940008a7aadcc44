import type { BudgetId, Incarnation, KeyDigest, OperationId, TransferId } from "../types/ids.js";

/** Tokens of one budget: all that was granted and all that was billed. */
export type BudgetTotals = { granted: number; billed: number; };

/** Tokens of one budget that one router holds. */
export type Holding = {
    /** Tokens that the holder may use; each use is first made known to one of its witnesses. */
    allowance: number;
};

/** A use of allowance that a lost holder may still be at. */
export type OpenUse = { budget: BudgetId; tokens: number; };

/** One router's entry in the record of an account. */
export type Holder = {
    /** The last write of this holder, to recognise it after a lost reply. */
    operation: OperationId;
    /** Time in ms of that write. */
    at: number;
    /** Peers that know each use: one is enough to use tokens, all have to agree to return the rest. */
    witnesses: Incarnation[];
    /** Uses that were open when the rest of the allowance was returned; undefined while it was not. */
    uses?: Record<string, OpenUse> | undefined;
    /** Order of that write among the holder's writes to all records. */
    epoch: number;
    budgets: Record<BudgetId, Holding>;
};

/** A top-up that was applied, kept so that a repeated one counts once. */
export type TopUp = { budget: BudgetId; tokens: number; at: number; };

/** A transfer of allowance that is in force in the record, and the ends that wrote it down. */
export type Transfer = { from: Incarnation; to: Incarnation; at: number; seenBy: Incarnation[]; };

/** A bill of the dedupe window. */
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
    /** The latest bills; older ones stand in the pages. */
    bills: Record<KeyDigest, Bill>;
    pages: BillPage[];
    transfers: Record<TransferId, Transfer>;
    /** Tokens by budget that routers took with them and nobody can prove unspent. */
    stranded: Record<BudgetId, number>;
};

/** Creates the record of an account without budgets. */
export function emptyRecord(): LedgerRecord {
    return { budgets: {}, topUps: {}, holders: {}, bills: {}, pages: [], transfers: {}, stranded: {} };
}

/** Reads a stored record; an absent value is an empty record. */
export function parseRecord(value: string | undefined): LedgerRecord {
    return value === undefined ? emptyRecord() : { ...emptyRecord(), ...JSON.parse(value) as LedgerRecord };
}

/** Writes a record for storage. */
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

/** Returns the tokens of a budget that nobody holds and nobody spent. */
export function freeTokens(record: LedgerRecord, budget: BudgetId): number {
    const totals = record.budgets[budget];
    return totals === undefined ? 0 : totals.granted - totals.billed - heldTokens(record, budget);
}

/** Applies a top-up once per id. Returns false when the id was applied before. */
export function applyTopUp(record: LedgerRecord, id: string, topUp: TopUp): boolean {
    if (record.topUps[id] !== undefined) {
        return false;
    }
    record.topUps[id] = topUp;
    const totals = record.budgets[topUp.budget] ??= { granted: 0, billed: 0 };
    totals.granted += topUp.tokens;
    return true;
}
