import type { BudgetId, Incarnation, KeyDigest, OperationId, TransferId } from "../types/ids.js";
import { brand } from "../types/ids.js";
import { applySeal, findBill, type PageCache, type SealedPage } from "./pages.js";
import {
    type Bill,
    freeTokens,
    type Holder,
    type Holding,
    type LedgerRecord,
    type OpenUse,
    type Transfer,
} from "./record.js";

/** A bill to write. */
export type Settlement = {
    readonly key: KeyDigest;
    readonly budget: BudgetId;
    readonly tokens: number;
    /** Transfers that the holder had received and that may have paid for it; for bills written by others. */
    readonly borrowed?: readonly LedgerTransfer[];
};

/** A transfer of allowance to write; either end may write it. */
export type LedgerTransfer = {
    readonly id: TransferId;
    readonly budget: BudgetId;
    readonly from: Incarnation;
    readonly to: Incarnation;
    readonly tokens: number;
};

/** Bills that a witness writes for another holder. */
export type WitnessedSettlements = {
    readonly holder: Incarnation;
    readonly settlements: Settlement[];
};

/** A lost holder's allowance that all its witnesses have closed, and what they know of it. */
export type Recovery = {
    readonly holder: Incarnation;
    readonly epoch: number;
    readonly uses: readonly (OpenUse & { readonly key: string; })[];
    readonly settlements: readonly Settlement[];
};

/** What a holder wants of one budget. */
export type Want = {
    readonly budget: BudgetId;
    /** Tokens that must stay allowed, whatever is free. */
    readonly committed: number;
    /** Tokens beyond the committed ones that waiting requests need. */
    readonly needed: number;
    /** Tokens to keep at hand beyond those. */
    readonly slack: number;
};

/** One write of a holder to the record of an account. */
export type Reconciliation = {
    readonly operation: OperationId;
    readonly holder: Incarnation;
    readonly now: number;
    readonly witnesses: readonly Incarnation[];
    /** Orders this write among the holder's writes to all records. */
    readonly epoch: number;
    readonly settlements: readonly Settlement[];
    readonly transfers: readonly LedgerTransfer[];
    /** Transfers that the holder needs not be reminded of any more. */
    readonly seenTransfers: readonly TransferId[];
    readonly wants: readonly Want[];
    /** Bills that this holder keeps for silent peers. */
    readonly witnessed: readonly WitnessedSettlements[];
    /** Allowances of lost holders that are returned but for what was used. */
    readonly recoveries: readonly Recovery[];
    /** A page that was stored and may now stand for its bills. */
    readonly seal: SealedPage | undefined;
    /** Bills of all pages of the record. */
    readonly pages: PageCache;
    /** True when the holder had an entry before this write. */
    readonly known: boolean;
};

/** What a reconciliation changed. */
export type ReconciliationResult = {
    /** True when the holder's entry was closed, so that nothing was written for it. */
    readonly fenced: boolean;
    /** Settlements whose key was billed before. */
    readonly duplicates: readonly KeyDigest[];
    /** Bills of peers that could not be written yet. */
    readonly postponed: readonly KeyDigest[];
    readonly holdings: ReadonlyMap<BudgetId, Holding>;
};

/** Longest time in ms from the first attempt of a request to its last settlement. */
export const LONGEST_REQUEST_MS = 20 * 60_000;
/** Time in ms after which a silent holder's tokens become stranded and its entry is closed. */
export const HOLDER_RETIREMENT_MS = 2 * 60 * 60_000;
/** Longest time in ms for which a transfer is remembered that its receiver has not seen written. */
const TRANSFER_RETENTION_MS = 24 * 60 * 60_000;
const EMPTY_HOLDER_RETENTION_MS = 60_000;
const MAX_FREE_SHARE = 0.5;

/** Applies a holder's write to the record in place. Total tokens are conserved. */
export function reconcile(record: LedgerRecord, change: Reconciliation): ReconciliationResult {
    if (change.known && record.holders[change.holder] === undefined) {
        return { fenced: true, duplicates: [], postponed: [], holdings: new Map() };
    }
    const holder = holderOf(record, change);
    for (const transfer of change.transfers) {
        applyTransfer(record, transfer, change.now);
    }
    for (const id of change.seenTransfers) {
        record.transfers[id]?.seenBy.push(change.holder);
    }
    const postponed = change.witnessed.flatMap((entry) => settleForPeer(record, change, entry));
    for (const recovery of change.recoveries) {
        recover(record, change, recovery);
    }
    const duplicates = change.settlements
        .filter((settlement) => !settle(record, change, holder, settlement))
        .map((settlement) => settlement.key);
    const holdings = new Map<BudgetId, Holding>();
    for (const want of change.wants) {
        holdings.set(want.budget, { ...resize(record, holder, want) });
    }
    if (change.seal !== undefined) {
        applySeal(record, change.seal);
    }
    closeSettledUses(record, change.pages);
    dropEmptyHoldings(holder);
    prune(record, change.now);
    return { fenced: false, duplicates, postponed, holdings };
}

function newHolder(now: number): Holder {
    return { operation: brand<OperationId>(""), at: now, witnesses: [], epoch: 0, budgets: {} };
}

function holderOf(record: LedgerRecord, change: Reconciliation): Holder {
    const holder = record.holders[change.holder] ??= newHolder(change.now);
    holder.witnesses = [...change.witnesses];
    holder.uses = undefined;
    holder.epoch = change.epoch;
    holder.operation = change.operation;
    holder.at = change.now;
    return holder;
}

// A bill whose holder does not have the tokens waits. Returns the keys that wait.
function settleForPeer(
    record: LedgerRecord,
    change: Reconciliation,
    entry: Pick<Recovery, "holder" | "settlements">,
): KeyDigest[] {
    const unbilled = entry.settlements.filter((bill) => findBill(record, change.pages, bill.key) === undefined);
    // The holder keeps a transfer marked in the record until the bills that it may have paid are written.
    for (const transfer of unbilled.flatMap((bill) => bill.borrowed ?? [])) {
        applyTransfer(record, transfer, change.now);
    }
    const holder = record.holders[entry.holder];
    const postponed: KeyDigest[] = [];
    for (const settlement of unbilled) {
        const allowance = holder?.budgets[settlement.budget]?.allowance ?? 0;
        if (holder !== undefined && allowance >= settlement.tokens) {
            settle(record, change, holder, settlement);
        }
        else {
            postponed.push(settlement.key);
        }
    }
    return postponed;
}

// Returns a lost holder's allowance but for its open uses, unless it has written since it was closed.
function recover(record: LedgerRecord, change: Reconciliation, recovery: Recovery): void {
    const holder = record.holders[recovery.holder];
    if (holder === undefined || holder.epoch !== recovery.epoch || holder.uses !== undefined) {
        return;
    }
    settleForPeer(record, change, recovery);
    const open = recovery.uses.filter((use) => !isSettled(record, change.pages, use.key));
    holder.uses = Object.fromEntries(open.map(({ key, budget, tokens }) => [key, { budget, tokens }]));
    for (const [budget, holding] of Object.entries<Holding>(holder.budgets)) {
        const used = open.filter((use) => use.budget === budget).reduce((sum, use) => sum + use.tokens, 0);
        holding.allowance = Math.min(holding.allowance, used);
    }
}

function isSettled(record: LedgerRecord, pages: PageCache, key: string): boolean {
    const transferred = record.transfers[brand<TransferId>(key)] !== undefined;
    return transferred || findBill(record, pages, brand<KeyDigest>(key)) !== undefined;
}

// A use that was billed by another router, or moved to one, needs no allowance any more.
function closeSettledUses(record: LedgerRecord, pages: PageCache): void {
    for (const [id, holder] of Object.entries<Holder>(record.holders)) {
        for (const [key, use] of Object.entries<OpenUse>(holder.uses ?? {})) {
            if (isSettled(record, pages, key)) {
                dropUse(holder, key, use);
            }
        }
        if (holder.uses !== undefined && Object.keys(holder.uses).length === 0) {
            dropRecovered(record, id as Incarnation, holder);
        }
    }
}

function dropUse(holder: Holder, key: string, use: OpenUse): void {
    delete holder.uses![key];
    const holding = holder.budgets[use.budget];
    if (holding !== undefined) {
        holding.allowance = Math.max(Math.min(0, holding.allowance), holding.allowance - use.tokens);
    }
}

function dropRecovered(record: LedgerRecord, id: Incarnation, holder: Holder): void {
    if (Object.values<Holding>(holder.budgets).every((holding) => holding.allowance === 0)) {
        delete record.holders[id];
    }
}

/** Moves allowance between two holders once per transfer id, whoever writes it. */
export function applyTransfer(record: LedgerRecord, transfer: LedgerTransfer, now: number): void {
    if (record.transfers[transfer.id] !== undefined) {
        return;
    }
    record.transfers[transfer.id] = { from: transfer.from, to: transfer.to, at: now, seenBy: [] };
    const source = record.holders[transfer.from]?.budgets[transfer.budget];
    if (source === undefined) {
        return;
    }
    const target = record.holders[transfer.to] ??= newHolder(now);
    const holding = target.budgets[transfer.budget] ??= { allowance: 0 };
    delete record.holders[transfer.from]?.uses?.[transfer.id];
    source.allowance -= transfer.tokens;
    holding.allowance += transfer.tokens;
}

// Writes a bill against a holder's allowance. Returns false when the key was billed before.
function settle(record: LedgerRecord, change: Reconciliation, holder: Holder, settlement: Settlement): boolean {
    if (findBill(record, change.pages, settlement.key) !== undefined) {
        return false;
    }
    record.bills[settlement.key] = { tokens: settlement.tokens, at: change.now };
    const totals = record.budgets[settlement.budget] ??= { granted: 0, billed: 0 };
    const holding = holder.budgets[settlement.budget] ??= { allowance: 0 };
    totals.billed += settlement.tokens;
    holding.allowance -= settlement.tokens;
    const use = holder.uses?.[settlement.key];
    if (use !== undefined) {
        // What the use did not need goes back to the budget.
        delete holder.uses![settlement.key];
        holding.allowance -= use.tokens - settlement.tokens;
    }
    return true;
}

function resize(record: LedgerRecord, holder: Holder, want: Want): Holding {
    const holding = holder.budgets[want.budget] ??= { allowance: 0 };
    const available = freeTokens(record, want.budget) + holding.allowance - want.committed;
    if (available < 0) {
        return holding;
    }
    const needed = Math.min(want.needed, available);
    const slack = Math.min(want.slack, Math.floor((available - needed) * MAX_FREE_SHARE));
    holding.allowance = want.committed + needed + slack;
    return holding;
}

function dropEmptyHoldings(holder: Holder): void {
    for (const [budget, holding] of Object.entries<Holding>(holder.budgets)) {
        if (holding.allowance === 0) {
            delete holder.budgets[budget as BudgetId];
        }
    }
}

function prune(record: LedgerRecord, now: number): void {
    let oldestWrite = now;
    for (const [id, holder] of Object.entries<Holder>(record.holders)) {
        if (Object.keys(holder.budgets).length === 0) {
            pruneEmptyHolder(record, id as Incarnation, now);
            continue;
        }
        if (now - holder.at > HOLDER_RETIREMENT_MS) {
            retireHolder(record, id as Incarnation);
            continue;
        }
        oldestWrite = Math.min(oldestWrite, holder.at);
    }
    pruneBills(record, oldestWrite - LONGEST_REQUEST_MS);
    pruneTransfers(record, now);
}

function pruneEmptyHolder(record: LedgerRecord, id: Incarnation, now: number): void {
    if (now - record.holders[id]!.at > EMPTY_HOLDER_RETENTION_MS) {
        delete record.holders[id];
    }
}

/** Closes a holder's entry. All it held stays charged, since it may still be spending it. */
export function retireHolder(record: LedgerRecord, id: Incarnation): void {
    for (const [budget, holding] of Object.entries<Holding>(record.holders[id]?.budgets ?? {})) {
        const stranded = record.stranded[budget as BudgetId] ?? 0;
        record.stranded[budget as BudgetId] = stranded + holding.allowance;
    }
    delete record.holders[id];
}

function pruneBills(record: LedgerRecord, before: number): void {
    record.pages = record.pages.filter((page) => page.newest >= before);
    for (const [key, bill] of Object.entries<Bill>(record.bills)) {
        if (bill.at < before) {
            delete record.bills[key as KeyDigest];
        }
    }
}

// A transfer is forgotten only when its receiver cannot write it again, whose entry may be gone for a while.
// Its sender can write it again only while it has an entry.
function pruneTransfers(record: LedgerRecord, now: number): void {
    for (const [id, transfer] of Object.entries<Transfer>(record.transfers)) {
        const senderDone = transfer.seenBy.includes(transfer.from) || record.holders[transfer.from] === undefined;
        const settled = senderDone && transfer.seenBy.includes(transfer.to);
        if (settled || now - transfer.at > TRANSFER_RETENTION_MS) {
            delete record.transfers[id as TransferId];
        }
    }
}
