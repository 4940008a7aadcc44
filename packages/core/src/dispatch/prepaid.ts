import type { AccountId, Incarnation } from "../types/ids.js";
import {
    committedLimit,
    emptyPrepaidRecord,
    freeTokens,
    lostTokens,
    type MarkSheet,
    type PrepaidHolding,
    type PrepaidRecord,
} from "./prepaid-record.js";

/** A grant in a write that may be applied, now or later. */
type OpenGrant = { readonly revision: number; readonly granted: number; readonly sequence: number; };

/** A mark that is stored or may be. Its time is of the steady clock, in ms. */
type HeldMark = { readonly sequence: number; readonly committed: number; readonly at: number; };

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
    openGrants: OpenGrant[];
    /** The newest mark that is stored for sure, and later ones that may be. */
    marks: HeldMark[];
    /** Worst case of the requests that run. */
    reserved: number;
    /** Tokens used since this router started. */
    used: number;
    /** Used tokens that the record shows. */
    usedWritten: number;
    /** Tokens that requests were refused for since the last write. */
    lacking: number;
    /** Time in ms of the last write that told others what is lacking. */
    toldAt: number;
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
    /** Part of the tokens that are left that routers hold as allowances. */
    readonly heldShare: number;
};

/** The sizes that routers use unless settings say otherwise. */
export const defaultPrepaidPolicy: PrepaidPolicy = {
    // Outages of the store last 4 to 9 s, and demand is uneven.
    allowanceMs: 15_000,
    // Part of what is held is lost when its router dies; the rest serves those that start again.
    heldShare: 0.85,
};

/** Who holds tokens. */
export type PrepaidHolder = {
    readonly name: string;
    readonly incarnation: Incarnation;
    /** Time of day in ms at which it started. */
    readonly startedAt: number;
};

/** The present by both clocks, in ms. */
export type Instant = {
    /** Steady time; it never jumps. */
    readonly steady: number;
    /** Time of day; it outlives the process, and may jump. */
    readonly wall: number;
};

/** How a reservation went. */
export type Reservation = "reserved" | "short" | "exhausted";

/** A change of a record, to be written if the record still has the revision. */
export type PrepaidWrite = {
    readonly account: AccountId;
    readonly revision: number;
    readonly record: PrepaidRecord;
    readonly granted: number;
    readonly mark: HeldMark;
};

/** Time in ms over which the demand is averaged; requests differ much in size, so shorter windows jump about. */
const DEMAND_WINDOW_MS = 12_000;
const LEAST_DEMAND_MS = 2_000;
const MS_PER_SECOND = 1_000;
/** Factor on what is returned, as some holders are cut off or late. */
const RETURN_FACTOR = 2;
/** Time in ms that others take to return what they can spare. */
export const LACK_MS = 700;
/** Time in ms for which others know what is lacking here; telling it again for each request would flood the store. */
const TELL_MS = 2_000;
/** Change of an allowance, relative to its target, that is worth a write of its own. */
const ALLOWANCE_TOLERANCE = 0.4;

/** Creates the row of an account. */
export function createPrepaidRow(account: AccountId, total: number, now: number): PrepaidRow {
    return {
        account,
        total,
        revision: undefined,
        record: emptyPrepaidRecord,
        granted: 0,
        openGrants: [],
        marks: [],
        reserved: 0,
        used: 0,
        usedWritten: 0,
        lacking: 0,
        toldAt: -Infinity,
        asked: 0,
        askedMs: 0,
        askedAt: now,
        largestWorst: 0,
    };
}

/** Returns the tokens that may be used now, whichever way the open writes end. */
export function spendableTokens(row: PrepaidRow, now: number): number {
    const granted = row.openGrants.reduce((least, write) => Math.min(least, write.granted), row.granted);
    const limit = row.marks.reduce(
        (least, mark) => Math.min(least, committedLimit(granted, mark, now - mark.at)),
        granted,
    );
    return limit - row.used - row.reserved;
}

// Tokens of the allowance, usable now or later.
function heldTokens(row: PrepaidRow): number {
    return Math.max(0, row.granted - row.used - row.reserved);
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
export function reservePrepaid(row: PrepaidRow, tokens: number, now: number): Reservation {
    if (spendableTokens(row, now) >= tokens) {
        row.reserved += tokens;
        return "reserved";
    }
    return row.total - usedByAll(row) < tokens && row.revision !== undefined ? "exhausted" : "short";
}

/** Returns whether a write can bring tokens, or has not yet told the others that they lack here. */
export function canGainPrepaid(row: PrepaidRow, tokens: number, holder: PrepaidHolder, now: number): boolean {
    const own = ownHolding(row.record, holder);
    const told = own !== undefined && own.lacking > 0 && now - row.toldAt < TELL_MS;
    return !told || hasFreeTokens(row, tokens);
}

/** Returns whether the record, as far as it is known, has enough free tokens for a request. */
export function hasFreeTokens(row: PrepaidRow, tokens: number): boolean {
    return freeTokens(row.record, row.total) >= tokens - heldTokens(row);
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

// The least that was used by all routers together. What lost routers may have used counts as used.
function usedByAll(row: PrepaidRow): number {
    const known = Object.values(row.record.holdings).reduce((sum, holding) => sum + holding.used, row.record.closed);
    return known - row.usedWritten + row.used;
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
    const own = ownHolding(record, holder);
    row.granted = own?.granted ?? 0;
    row.usedWritten = own?.used ?? 0;
    // A write under a condition on an older revision can't be applied any more.
    const settled = row.openGrants.filter((write) => write.revision < revision);
    row.openGrants = row.openGrants.filter((write) => write.revision >= revision);
    const applied = own?.mark.sequence;
    for (const write of settled.filter((other) => other.sequence !== applied)) {
        row.marks = row.marks.filter((mark) => mark.sequence !== write.sequence);
    }
    if (applied !== undefined) {
        noteMarkStored(row, applied);
    }
}

/** Returns what this process itself was granted by a record. */
export function ownHolding(record: PrepaidRecord, holder: PrepaidHolder): PrepaidHolding | undefined {
    const own = record.holdings[holder.name];
    return own?.incarnation === holder.incarnation ? own : undefined;
}

/** Returns whether a record still has what the last process of this router was granted. */
export function hasPredecessor(record: PrepaidRecord, holder: PrepaidHolder): boolean {
    const own = record.holdings[holder.name];
    return own !== undefined && own.incarnation !== holder.incarnation;
}

/** Returns whether other routers lack tokens that this one could return. */
export function isAskedToReturn(row: PrepaidRow, holder: PrepaidHolder): boolean {
    const lacking = otherHoldings(row.record, holder).reduce((sum, holding) => sum + holding.lacking, 0);
    return lacking > Math.max(0, freeTokens(row.record, row.total)) && heldTokens(row) > 0;
}

/** Notes that a mark is stored, which frees this router from earlier ones. */
export function noteMarkStored(row: PrepaidRow, sequence: number): void {
    if (row.marks.some((mark) => mark.sequence === sequence)) {
        row.marks = row.marks.filter((mark) => mark.sequence >= sequence);
    }
}

/** Notes that a mark is on its way to the store. */
export function noteMarkSent(row: PrepaidRow, sequence: number, now: number): void {
    row.marks.push({ sequence, committed: row.used + row.reserved, at: now });
}

/** Notes that a mark was surely not stored and never will be. */
export function noteMarkFailed(row: PrepaidRow, sequence: number): void {
    row.marks = row.marks.filter((mark) => mark.sequence !== sequence);
}

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
    if (hasPredecessor(row.record, holder)) {
        return true;
    }
    const told = ownHolding(row.record, holder)?.lacking ?? 0;
    if (told > 0 && now - row.toldAt > TELL_MS) {
        return true;
    }
    const target = allowanceTarget(row, policy, holder);
    const off = Math.abs(heldTokens(row) - target);
    return off > ALLOWANCE_TOLERANCE * Math.max(target, row.largestWorst)
        || row.used - row.usedWritten > Math.max(target, row.largestWorst) / 2;
}

// Tokens beyond the reservations that this router wants to hold: what it will need in an outage, and no
// more than its part of what is left, by how much each router was lately asked for.
function allowanceTarget(row: PrepaidRow, policy: PrepaidPolicy, holder: PrepaidHolder): number {
    const others = otherHoldings(row.record, holder);
    const own = demandRate(row) * MS_PER_SECOND;
    const all = others.reduce((sum, holding) => sum + holding.rate, own);
    const held = heldTokens(row);
    const heldByOthers = others.reduce((sum, holding) => sum + Math.max(0, holding.granted - holding.used), 0);
    const left = Math.max(0, freeTokens(row.record, row.total)) + held + heldByOthers;
    const share = all === 0 ? 0 : left * policy.heldShare * own / all;
    const target = Math.min(share, demandRate(row) * policy.allowanceMs + row.largestWorst);
    const lacking = others.reduce((sum, holding) => sum + holding.lacking, 0);
    return Math.floor(lacking === 0 ? target : Math.min(target, held - returnedTokens(row, lacking, heldByOthers)));
}

// What this router gives back for others that lack tokens: its part, by what each holds.
function returnedTokens(row: PrepaidRow, lacking: number, heldByOthers: number): number {
    const missing = Math.max(0, lacking - Math.max(0, freeTokens(row.record, row.total)));
    const held = heldTokens(row);
    return missing === 0 ? 0 : Math.min(held, missing * held / Math.max(1, held + heldByOthers) * RETURN_FACTOR);
}

function otherHoldings(record: PrepaidRecord, holder: PrepaidHolder): PrepaidHolding[] {
    return Object.entries(record.holdings).filter(([name]) => name !== holder.name).map(([, holding]) => holding);
}

/**
 * Plans the next write of an account's record: what this router used, and an allowance of the right
 * size. Wanted tokens are granted first. Returns undefined before the record was read.
 */
export function planPrepaidWrite(
    row: PrepaidRow,
    holder: PrepaidHolder,
    predecessor: MarkSheet | undefined,
    wanted: number,
    policy: PrepaidPolicy,
    sequence: number,
    now: Instant,
): PrepaidWrite | undefined {
    if (row.revision === undefined) {
        return undefined;
    }
    decayDemand(row, now.steady);
    const { [holder.name]: previous, ...others } = row.record.holdings;
    const lost = previous !== undefined && previous.incarnation !== holder.incarnation
        ? lostTokens(row.account, previous, predecessor, holder.startedAt)
        : 0;
    const closed = row.record.closed + lost;
    const taken = Object.values(others).reduce((sum, holding) => sum + holding.granted, closed);
    const committed = row.used + row.reserved;
    const available = Math.max(0, row.total - taken - committed);
    const slack = Math.min(available, Math.max(wanted, allowanceTarget(row, policy, holder), 0));
    const own: PrepaidHolding = {
        incarnation: holder.incarnation,
        // Never below what is already in use, even if the total was lowered.
        granted: committed + slack,
        used: row.used,
        lacking: Math.max(0, Math.max(wanted, row.lacking) - slack),
        rate: Math.round(demandRate(row) * MS_PER_SECOND),
        // Wanted tokens count as committed: the requests that wait for them get them at once.
        mark: { sequence, committed: committed + Math.min(slack, wanted), at: now.wall },
    };
    return {
        account: row.account,
        revision: row.revision,
        record: { closed, holdings: { ...others, [holder.name]: own } },
        granted: own.granted,
        mark: { sequence, committed: own.mark.committed, at: now.steady },
    };
}

/** Notes that a write is on its way. */
export function notePrepaidWriteSent(row: PrepaidRow, write: PrepaidWrite): void {
    row.openGrants.push({ revision: write.revision, granted: write.granted, sequence: write.mark.sequence });
    row.marks.push(write.mark);
    row.lacking = 0;
    row.toldAt = write.mark.at;
}

/** Notes that a write was surely not applied and never will be. */
export function notePrepaidWriteFailed(row: PrepaidRow, write: PrepaidWrite): void {
    row.openGrants = row.openGrants.filter((open) => open.sequence !== write.mark.sequence);
    noteMarkFailed(row, write.mark.sequence);
}

/** Returns the figures that a refusal for want of tokens was decided on. */
export function prepaidFigures(row: PrepaidRow, now: number): Readonly<Record<string, number | undefined>> {
    const holdings = Object.values(row.record.holdings);
    return {
        total: row.total,
        closed: row.record.closed,
        free: freeTokens(row.record, row.total),
        grantedToAll: holdings.reduce((sum, holding) => sum + holding.granted, 0),
        usedByAll: holdings.reduce((sum, holding) => sum + holding.used, 0),
        granted: row.granted,
        used: row.used,
        reserved: row.reserved,
        spendable: spendableTokens(row, now),
        revision: row.revision,
    };
}
