import type { AccountId, Incarnation } from "../types/ids.js";

/** One router's part of an account's tokens, as stored. Both figures are totals since the router started. */
export type PrepaidHolding = {
    readonly incarnation: Incarnation;
    /** Tokens that the router may have used, or may use without asking. */
    readonly granted: number;
    /** Tokens that it has used for sure. */
    readonly used: number;
    /** Tokens that it lacks; the others return what they can spare. */
    readonly lacking: number;
    /** Tokens that it lately reserved a second. */
    readonly rate: number;
};

/** The stored record of an account. What all holdings and the closed ones were granted never exceeds the total. */
export type PrepaidRecord = {
    /** Granted to routers that have started again since; what they used of it is not known. */
    readonly closed: number;
    readonly holdings: Readonly<Record<string, PrepaidHolding>>;
};

/** A write that may be applied, now or later. */
type OpenWrite = { readonly revision: number; readonly granted: number; };

/** An account's tokens as this router sees them. */
export type PrepaidRow = {
    readonly account: AccountId;
    /** Total of the configuration in force. */
    total: number;
    /** Revision of the record, 0 when there is none; undefined before the first read. */
    revision: number | undefined;
    record: PrepaidRecord;
    /** Tokens granted to this router by the record. */
    granted: number;
    openWrites: OpenWrite[];
    /** Worst case of the requests that run. */
    reserved: number;
    /** Tokens used since this router started. */
    used: number;
    /** Used tokens that the record shows. */
    usedWritten: number;
    /** Tokens that requests were refused for since the last write. */
    lacking: number;
    /** Decayed sum of the tokens that were asked for, and of the time in ms in which they were. */
    asked: number;
    askedMs: number;
    askedAt: number;
    largestWorst: number;
};

/** Sizes of allowances. Times in ms. */
export type PrepaidPolicy = {
    /** Time of use that an allowance covers while tokens are plentiful. */
    readonly allowanceMs: number;
    /** Part of the free tokens that all routers together may hold as allowances. */
    readonly heldShare: number;
};

/** The sizes that routers use unless settings say otherwise. */
export const defaultPrepaidPolicy: PrepaidPolicy = {
    // Outages of the store last 4 to 9 s.
    allowanceMs: 12_000,
    // What is held is lost when its router dies; the rest serves those that start again.
    heldShare: 0.7,
};

/** Who holds tokens: the name of a router and its start. */
export type PrepaidHolder = { readonly name: string; readonly incarnation: Incarnation; };

/** How a reservation went. */
export type Reservation = "reserved" | "short" | "exhausted";

/** Time in ms over which the demand is averaged; requests differ much in size, so shorter windows jump about. */
const DEMAND_WINDOW_MS = 12_000;
const LEAST_DEMAND_MS = 2_000;
const MS_PER_SECOND = 1_000;
/** Change of an allowance, relative to its target, that is worth a write of its own. */
const ALLOWANCE_TOLERANCE = 0.4;

/** The record of an account that nothing was granted of. */
export const emptyRecord: PrepaidRecord = { closed: 0, holdings: {} };

/** Creates the row of an account. */
export function createPrepaidRow(account: AccountId, total: number, now: number): PrepaidRow {
    return {
        account,
        total,
        revision: undefined,
        record: emptyRecord,
        granted: 0,
        openWrites: [],
        reserved: 0,
        used: 0,
        usedWritten: 0,
        lacking: 0,
        asked: 0,
        askedMs: 0,
        askedAt: now,
        largestWorst: 0,
    };
}

/** Returns the tokens that may be used now, whichever way the open writes end. */
export function spendableTokens(row: PrepaidRow): number {
    const granted = row.openWrites.reduce((least, write) => Math.min(least, write.granted), row.granted);
    return granted - row.used - row.reserved;
}

/** Notes that a request asks for tokens; the rate of asking sizes the allowance. */
export function notePrepaidDemand(row: PrepaidRow, tokens: number, now: number): void {
    decayDemand(row, now);
    row.asked += tokens;
    row.largestWorst = Math.max(row.largestWorst, tokens);
}

function decayDemand(row: PrepaidRow, now: number): void {
    const elapsed = Math.max(0, now - row.askedAt);
    const decay = Math.exp(-elapsed / DEMAND_WINDOW_MS);
    row.asked *= decay;
    row.askedMs = row.askedMs * decay + (1 - decay) * DEMAND_WINDOW_MS;
    row.askedAt = now;
}

// Tokens per ms; the first seconds count as a whole window's least.
function demandRate(row: PrepaidRow): number {
    return row.asked / Math.max(LEAST_DEMAND_MS, row.askedMs);
}

/** Reserves the worst case of a request, or tells why it can't. */
export function reservePrepaid(row: PrepaidRow, tokens: number): Reservation {
    if (spendableTokens(row) >= tokens) {
        row.reserved += tokens;
        return "reserved";
    }
    return row.total - usedByAll(row) < tokens && row.revision !== undefined ? "exhausted" : "short";
}

/** Notes that a request could not be served for want of tokens at this router. */
export function notePrepaidShortage(row: PrepaidRow, tokens: number): void {
    row.lacking = Math.max(row.lacking, tokens);
}

/** Ends a reservation with the tokens that were used of it. */
export function settlePrepaid(row: PrepaidRow, reserved: number, used: number): void {
    row.reserved -= reserved;
    row.used += used;
}

// The least that was used by all routers together. What a lost router held counts as used.
function usedByAll(row: PrepaidRow): number {
    const known = Object.values(row.record.holdings).reduce((sum, holding) => sum + holding.used, row.record.closed);
    return known - row.usedWritten + row.used;
}

/** Returns the tokens that nobody was granted. */
export function freeTokens(record: PrepaidRecord, total: number): number {
    const granted = Object.values(record.holdings).reduce((sum, holding) => sum + holding.granted, 0);
    return total - record.closed - granted;
}

/** Takes in the stored record; older ones than the known are ignored. */
export function notePrepaidRecord(
    row: PrepaidRow,
    revision: number,
    record: PrepaidRecord,
    holder: PrepaidHolder,
): void {
    if (row.revision !== undefined && revision < row.revision) {
        return;
    }
    row.revision = revision;
    row.record = record;
    const own = record.holdings[holder.name];
    const mine = own?.incarnation === holder.incarnation ? own : undefined;
    row.granted = mine?.granted ?? 0;
    row.usedWritten = mine?.used ?? 0;
    // A write under a condition on an older revision can't be applied any more.
    row.openWrites = row.openWrites.filter((write) => write.revision >= revision);
}

/** A change of a record, to be written if the record still has the revision. */
export type PrepaidWrite = {
    readonly account: AccountId;
    readonly revision: number;
    readonly record: PrepaidRecord;
    readonly granted: number;
};

/** Returns whether the allowance or the reported use is far enough from what it should be to write. */
export function needsPrepaidWrite(
    row: PrepaidRow,
    policy: PrepaidPolicy,
    holder: PrepaidHolder,
    now: number,
): boolean {
    decayDemand(row, now);
    if (row.revision === undefined) {
        return row.asked > 0;
    }
    const target = allowanceTarget(row, policy, holder);
    const off = Math.abs(spendableTokens(row) - target);
    return off > ALLOWANCE_TOLERANCE * Math.max(target, row.largestWorst)
        || row.used - row.usedWritten > Math.max(target, row.largestWorst) / 2;
}

// Tokens beyond the reservations that this router wants to hold: what it will need in an outage, and no
// more than its part of what is left, by how much each router was lately asked for.
function allowanceTarget(row: PrepaidRow, policy: PrepaidPolicy, holder: PrepaidHolder): number {
    const others = Object.entries(row.record.holdings).filter(([name]) => name !== holder.name);
    if (others.some(([, holding]) => holding.lacking > 0)) {
        return 0;
    }
    const own = demandRate(row) * MS_PER_SECOND;
    const all = others.reduce((sum, [, holding]) => sum + holding.rate, own);
    const left = Math.max(0, freeTokens(row.record, row.total)) + Math.max(0, spendableTokens(row))
        + others.reduce((sum, [, holding]) => sum + Math.max(0, holding.granted - holding.used), 0);
    const share = all === 0 ? 0 : left * policy.heldShare * own / all;
    return Math.floor(Math.min(share, demandRate(row) * policy.allowanceMs + row.largestWorst));
}

/**
 * Plans the next write of an account's record: what this router used, and an allowance of the right
 * size. Wanted tokens are granted first. Returns undefined before the record was read.
 */
export function planPrepaidWrite(
    row: PrepaidRow,
    holder: PrepaidHolder,
    wanted: number,
    policy: PrepaidPolicy,
    now: number,
): PrepaidWrite | undefined {
    if (row.revision === undefined) {
        return undefined;
    }
    decayDemand(row, now);
    const { [holder.name]: previous, ...others } = row.record.holdings;
    const restarted = previous !== undefined && previous.incarnation !== holder.incarnation;
    const closed = row.record.closed + (restarted ? previous.granted : 0);
    const taken = Object.values(others).reduce((sum, holding) => sum + holding.granted, closed);
    const committed = row.used + row.reserved;
    const available = Math.max(0, row.total - taken - committed);
    const slack = Math.min(available, Math.max(wanted, allowanceTarget(row, policy, holder)));
    // Never below what is already granted and in use, even if the total was lowered.
    const granted = committed + slack;
    const lacking = Math.max(0, Math.max(wanted, row.lacking) - slack);
    const rate = Math.round(demandRate(row) * MS_PER_SECOND);
    const own = { incarnation: holder.incarnation, granted, used: row.used, lacking, rate };
    return {
        account: row.account,
        revision: row.revision,
        record: { closed, holdings: { ...others, [holder.name]: own } },
        granted,
    };
}

/** Notes that a write is on its way. */
export function notePrepaidWriteSent(row: PrepaidRow, write: PrepaidWrite): void {
    row.openWrites.push({ revision: write.revision, granted: write.granted });
    row.lacking = 0;
}

/** Notes that a write was surely not applied and never will be. */
export function notePrepaidWriteFailed(row: PrepaidRow, write: PrepaidWrite): void {
    const index = row.openWrites.findIndex((open) =>
        open.revision === write.revision && open.granted === write.granted
    );
    if (index >= 0) {
        row.openWrites.splice(index, 1);
    }
}
