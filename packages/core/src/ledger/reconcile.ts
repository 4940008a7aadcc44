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
    /** For bills written by others: transfers that the holder had received and that may have paid for the bill. */
    readonly borrowed?: readonly LedgerTransfer[];
};

/** A transfer of allowance to write. Either end may write it. */
export type LedgerTransfer = {
    readonly id: TransferId;
    readonly budget: BudgetId;
    readonly from: Incarnation;
    readonly to: Incarnation;
    readonly tokens: number;
};

/** Bills that a witness writes on behalf of another holder. */
export type WitnessedSettlements = {
    readonly holder: Incarnation;
    readonly settlements: Settlement[];
};

/** A lost holder's allowance that all its witnesses have closed, with the uses and bills that they recorded. */
export type Recovery = {
    readonly holder: Incarnation;
    readonly epoch: number;
    readonly uses: readonly (OpenUse & { readonly key: string; })[];
    readonly settlements: readonly Settlement[];
};

/** Allowance that a holder requests from one budget. */
export type AllowanceRequest = {
    readonly budget: BudgetId;
    /** Tokens already committed, such as reservations; the allowance is never reduced below them. */
    readonly committed: number;
    /** Tokens that waiting requests need beyond the committed ones. */
    readonly needed: number;
    /** Spare tokens beyond those, for requests to come. */
    readonly slack: number;
};

/** One write of a holder to the record of an account. */
export type Reconciliation = {
    readonly operation: OperationId;
    readonly holder: Incarnation;
    readonly now: number;
    readonly witnesses: readonly Incarnation[];
    /** Position of this write in the order of the holder's writes to all records. */
    readonly epoch: number;
    readonly settlements: readonly Settlement[];
    readonly transfers: readonly LedgerTransfer[];
    /** Transfers that the holder acknowledges, so that the record need not keep them for it. */
    readonly seenTransfers: readonly TransferId[];
    readonly allowanceRequests: readonly AllowanceRequest[];
    /** Overdue bills of peers that this holder keeps as a witness. */
    readonly witnessed: readonly WitnessedSettlements[];
    /** Allowances of lost holders to return, except for their open uses. */
    readonly recoveries: readonly Recovery[];
    /** A stored page that can now replace its bills in the record. */
    readonly seal: SealedPage | undefined;
    /** Bills of all pages of the record. */
    readonly pages: PageCache;
    /** True if the holder held tokens after its last write, so that the record must still have its entry. */
    readonly expectsEntry: boolean;
};

/** What a reconciliation changed. */
export type ReconciliationResult = {
    /** True if the holder's entry was closed; nothing was written then. */
    readonly fenced: boolean;
    /** Keys of settlements that were already billed. */
    readonly duplicates: readonly KeyDigest[];
    /** Keys of peers' bills that the holder's allowance does not cover yet. */
    readonly postponed: readonly KeyDigest[];
    readonly holdings: ReadonlyMap<BudgetId, Holding>;
};

/** Maximum time in ms from the first attempt of a request to its last settlement. */
export const MAX_REQUEST_LIFETIME_MS = 20 * 60_000;
/** Time in ms without a write after which a holder's entry is closed and its tokens become stranded. */
export const HOLDER_RETIREMENT_MS = 2 * 60 * 60_000;
/** Maximum time in ms for which a transfer is kept without acknowledgement of both ends. */
const TRANSFER_RETENTION_MS = 24 * 60 * 60_000;
const EMPTY_HOLDER_RETENTION_MS = 60_000;
const MAX_SLACK_SHARE = 0.5;

/** Applies a holder's write to the record in place. Total tokens are conserved. */
export function reconcile(record: LedgerRecord, change: Reconciliation): ReconciliationResult {
    if (change.expectsEntry && record.holders[change.holder] === undefined) {
        return { fenced: true, duplicates: [], postponed: [], holdings: new Map() };
    }
    const holder = upsertHolder(record, change);
    for (const transfer of change.transfers) {
        applyTransfer(record, transfer, change.now);
    }
    for (const id of change.seenTransfers) {
        record.transfers[id]?.seenBy.push(change.holder);
    }
    const postponed = change.witnessed.flatMap((entry) => settleForPeer(record, change, entry));
    for (const recovery of change.recoveries) {
        applyRecovery(record, change, recovery);
    }
    const duplicates = change.settlements
        .filter((settlement) => !settle(record, change, holder, settlement))
        .map((settlement) => settlement.key);
    const holdings = new Map<BudgetId, Holding>();
    for (const request of change.allowanceRequests) {
        holdings.set(request.budget, { ...resizeHolding(record, holder, request) });
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

function upsertHolder(record: LedgerRecord, change: Reconciliation): Holder {
    const holder = record.holders[change.holder] ??= newHolder(change.now);
    holder.witnesses = [...change.witnesses];
    holder.uses = undefined;
    holder.epoch = change.epoch;
    holder.operation = change.operation;
    holder.at = change.now;
    return holder;
}

// Writes bills on behalf of a holder. Returns the keys of bills that the holder's allowance does not cover yet.
function settleForPeer(
    record: LedgerRecord,
    change: Reconciliation,
    entry: Pick<Recovery, "holder" | "settlements">,
): KeyDigest[] {
    const unbilled = entry.settlements.filter((bill) => findBill(record, change.pages, bill.key) === undefined);
    // A holder acknowledges a transfer only once the bills that it may have paid for are written, so that the record
    // still recognises a repeated one here.
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

// Returns a lost holder's allowance except for its open uses, unless the holder wrote after the allowance was closed.
function applyRecovery(record: LedgerRecord, change: Reconciliation, recovery: Recovery): void {
    const holder = record.holders[recovery.holder];
    if (holder === undefined || holder.epoch !== recovery.epoch || holder.uses !== undefined) {
        return;
    }
    settleForPeer(record, change, recovery);
    const openUses = recovery.uses.filter((use) => !isSettled(record, change.pages, use.key));
    holder.uses = Object.fromEntries(openUses.map(({ key, budget, tokens }) => [key, { budget, tokens }]));
    for (const [budget, holding] of Object.entries<Holding>(holder.budgets)) {
        const used = openUses.filter((use) => use.budget === budget).reduce((sum, use) => sum + use.tokens, 0);
        holding.allowance = Math.min(holding.allowance, used);
    }
}

function isSettled(record: LedgerRecord, pages: PageCache, key: string): boolean {
    const transferred = record.transfers[brand<TransferId>(key)] !== undefined;
    return transferred || findBill(record, pages, brand<KeyDigest>(key)) !== undefined;
}

// A use needs no allowance any longer once another router has billed it or written it as a transfer.
function closeSettledUses(record: LedgerRecord, pages: PageCache): void {
    for (const [id, holder] of Object.entries<Holder>(record.holders)) {
        for (const [key, use] of Object.entries<OpenUse>(holder.uses ?? {})) {
            if (isSettled(record, pages, key)) {
                dropUse(holder, key, use);
            }
        }
        if (holder.uses !== undefined && Object.keys(holder.uses).length === 0) {
            dropRecoveredHolder(record, id as Incarnation, holder);
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

function dropRecoveredHolder(record: LedgerRecord, id: Incarnation, holder: Holder): void {
    if (Object.values<Holding>(holder.budgets).every((holding) => holding.allowance === 0)) {
        delete record.holders[id];
    }
}

/** Moves allowance between two holders, once per transfer id, whichever end writes it. */
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

// Writes a bill and deducts it from the holder's allowance. Returns false if the key was already billed.
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
        // Tokens that the use held beyond the bill return to the budget.
        delete holder.uses![settlement.key];
        holding.allowance -= use.tokens - settlement.tokens;
    }
    return true;
}

function resizeHolding(record: LedgerRecord, holder: Holder, request: AllowanceRequest): Holding {
    const holding = holder.budgets[request.budget] ??= { allowance: 0 };
    const available = freeTokens(record, request.budget) + holding.allowance - request.committed;
    if (available < 0) {
        return holding;
    }
    const needed = Math.min(request.needed, available);
    const slack = Math.min(request.slack, Math.floor((available - needed) * MAX_SLACK_SHARE));
    holding.allowance = request.committed + needed + slack;
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
    pruneBills(record, oldestWrite - MAX_REQUEST_LIFETIME_MS);
    pruneTransfers(record, now);
}

function pruneEmptyHolder(record: LedgerRecord, id: Incarnation, now: number): void {
    if (now - record.holders[id]!.at > EMPTY_HOLDER_RETENTION_MS) {
        delete record.holders[id];
    }
}

/** Removes a holder's entry. Its tokens become stranded and stay charged, as it may still be spending them. */
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

// A transfer is removed once neither end can write it again, or after the retention time. The receiver has to
// acknowledge it, as its entry may be missing for a time; the sender can write it only while it has an entry.
function pruneTransfers(record: LedgerRecord, now: number): void {
    for (const [id, transfer] of Object.entries<Transfer>(record.transfers)) {
        const senderDone = transfer.seenBy.includes(transfer.from) || record.holders[transfer.from] === undefined;
        const acknowledged = senderDone && transfer.seenBy.includes(transfer.to);
        if (acknowledged || now - transfer.at > TRANSFER_RETENTION_MS) {
            delete record.transfers[id as TransferId];
        }
    }
}
