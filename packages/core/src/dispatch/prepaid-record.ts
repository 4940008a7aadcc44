import type { Incarnation } from "../types/ids.js";

/** What a router had committed at a time; it bounds what the router may have used since. */
export type SpendingMark = {
    /** Orders the marks of one router. */
    readonly sequence: number;
    /** Tokens used and reserved since the router started. */
    readonly committed: number;
    /** Time of day in ms at the router. */
    readonly at: number;
};

/** One router's part of an account's tokens, as stored. Figures are totals since the router started. */
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
    readonly mark: SpendingMark;
};

/** The stored record of an account. What the holdings and the closed ones were granted never exceeds the total. */
export type PrepaidRecord = {
    /** Tokens that routers which have started again since may have used. */
    readonly closed: number;
    readonly holdings: Readonly<Record<string, PrepaidHolding>>;
};

/** The marks of one router for all accounts, written more often than the records. */
export type MarkSheet = {
    readonly incarnation: Incarnation;
    readonly sequence: number;
    readonly at: number;
    readonly committed: Readonly<Record<string, number>>;
};

/** The record of an account that nothing was granted of. */
export const emptyPrepaidRecord: PrepaidRecord = { closed: 0, holdings: {} };

/** Part of an allowance that may be used right after a mark. */
const BURST_SHARE = 0.2;
/** Time in ms after a mark in which the rest becomes usable; outages of the store last up to 9 s. */
const RAMP_MS = 9_000;
/** Time in ms added to the age of a lost router's last mark, for the coarseness of clocks. */
const AGE_MARGIN_MS = 100;

/**
 * Returns the most that a router may have committed a time in ms after a mark. An allowance becomes
 * usable bit by bit, so that only a part of it is lost with a router that dies soon after its last mark.
 */
export function committedLimit(granted: number, mark: { readonly committed: number; }, elapsedMs: number): number {
    const allowance = Math.max(0, granted - mark.committed);
    const share = Math.min(1, BURST_SHARE + Math.max(0, elapsedMs) / RAMP_MS);
    return Math.min(Math.max(granted, mark.committed), mark.committed + Math.floor(allowance * share));
}

/**
 * Returns the most that a router used which has started again since: what its last mark allowed until
 * its successor started. Without a mark that can be trusted, all that it was granted.
 */
export function lostTokens(
    account: string,
    holding: PrepaidHolding,
    sheet: MarkSheet | undefined,
    successorStartedAt: number,
): number {
    if (sheet === undefined || sheet.incarnation !== holding.incarnation) {
        return holding.granted;
    }
    const committed = sheet.committed[account];
    const newer = sheet.sequence > holding.mark.sequence && committed !== undefined;
    const mark = newer ? { sequence: sheet.sequence, committed, at: sheet.at } : holding.mark;
    const elapsedMs = successorStartedAt - mark.at;
    // A clock that went back tells nothing.
    return elapsedMs < 0 ? holding.granted : committedLimit(holding.granted, mark, elapsedMs + AGE_MARGIN_MS);
}

/** Returns the tokens that nobody was granted. */
export function freeTokens(record: PrepaidRecord, total: number): number {
    const granted = Object.values(record.holdings).reduce((sum, holding) => sum + holding.granted, 0);
    return total - record.closed - granted;
}
