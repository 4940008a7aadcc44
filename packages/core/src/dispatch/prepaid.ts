import type { AccountId } from "../types/ids.js";
import {
    CALM_RAMP,
    CAUTIOUS_RAMP,
    type CheckpointSet,
    type CheckpointStep,
    committedLimit,
    type EarlierUse,
    earlierUse,
    emptyPrepaidRecord,
    freeTokens,
    type PrepaidHolder,
    type PrepaidHolding,
    type PrepaidRecord,
    type RampVersion,
    wholeGrant,
} from "./prepaid-record.js";
import {
    type EarlierRecord,
    type EraStanding,
    isStatedIn,
    mergeRecords,
    needsRestatement,
    restateRecord,
    settledStanding,
} from "./prepaid-restatement.js";
import { countOf, eraOf } from "./store-revision.js";

/** A grant in a write that may have been applied or may still be. */
type PendingGrant = { readonly revision: number; readonly granted: number; readonly sequence: number; };

/** A spending checkpoint that is or may be stored; its time is monotonic, in ms. */
type LocalCheckpoint = {
    readonly sequence: number;
    readonly committed: number;
    readonly at: number;
    readonly ramp: RampVersion;
    readonly step?: CheckpointStep | undefined;
};

/** This router's view of an account's tokens. */
export type PrepaidRow = {
    readonly account: AccountId;
    /** Total in the current configuration. */
    total: number;
    /** Revision of the record, 0 when there is none; undefined before the first read. */
    revision: number | undefined;
    record: PrepaidRecord;
    /** Era of the store of the last read, 0 if it has no eras. */
    era: number;
    /** What this router knew of the record before the era, until it is contained in the record again. */
    earlier: EarlierRecord | undefined;
    /** Tokens granted to this router by the last record that had its holding in the era of the record. */
    granted: number;
    pendingGrants: PendingGrant[];
    /** The newest checkpoint known to be stored, and later ones that may be. */
    checkpoints: LocalCheckpoint[];
    /** Worst-case tokens of running requests. */
    reserved: number;
    /** Tokens used since this router started. */
    used: number;
    /** Used tokens according to the record. */
    usedInRecord: number;
    /** Token shortage of requests refused since the last write. */
    lacking: number;
    /** Time in ms of the last write that reported the shortage. */
    shortageReportedAt: number;
    /** Decayed sums of the requested tokens, and of the time in ms over which they were requested. */
    demand: number;
    demandMs: number;
    demandAt: number;
    maxWorstCase: number;
};

/** Sizes of allowances. Times in ms. */
export type PrepaidPolicy = {
    /** Duration of demand that an allowance covers while tokens are plentiful. */
    readonly allowanceMs: number;
    /** Share of the remaining tokens that routers hold as allowances. */
    readonly heldShare: number;
    /** How allowances become usable after a checkpoint. */
    readonly ramp: RampVersion;
    /** Time in ms after a checkpoint within which only a step is usable, while the store responds; none if missing. */
    readonly stepMs?: number | undefined;
};

/** The default policy of routers. */
export const defaultPrepaidPolicy: PrepaidPolicy = {
    // Store outages last 4 to 9 s, and demand is uneven.
    allowanceMs: 15_000,
    // A part of an allowance is lost if its router crashes; the tokens not held serve restarted routers.
    heldShare: 0.85,
    ramp: CALM_RAMP,
};

/** The policy of a router that has crashed, as another crash is likely. */
export const cautiousPrepaidPolicy: PrepaidPolicy = {
    ...defaultPrepaidPolicy,
    // Just longer than the longest outages of the store.
    allowanceMs: 10_000,
    ramp: CAUTIOUS_RAMP,
};

/** The current time on both clocks, in ms. */
export type Instant = {
    /** Monotonic time. */
    readonly monotonic: number;
    /** Wall-clock time; comparable across restarts, but may jump. */
    readonly wall: number;
};

/** Result of a reservation. */
export type Reservation = "reserved" | "short" | "exhausted";

/** A conditional write of a record, applied only if the record still has the revision. */
export type PrepaidWrite = {
    readonly account: AccountId;
    readonly revision: number;
    readonly record: PrepaidRecord;
    readonly granted: number;
    readonly mark: LocalCheckpoint;
    /** What it counts as used for the earlier process of this router. */
    readonly closed?: EarlierUse | undefined;
};

/** Time in ms over which demand is averaged; shorter windows are noisy, since request sizes differ widely. */
const DEMAND_WINDOW_MS = 12_000;
const MIN_DEMAND_WINDOW_MS = 2_000;
const MS_PER_SECOND = 1_000;
/** Factor on returned tokens, since some holders are partitioned or late. */
const RETURN_FACTOR = 2;
/** Time in ms that other routers take to return tokens that they can spare. */
export const SHORTAGE_RETURN_MS = 700;
/** Time in ms for which a shortage report holds; reporting it for every request would overload the store. */
const SHORTAGE_REPORT_MS = 2_000;
/** Deviation of an allowance, relative to its target, that justifies a write of its own. */
const ALLOWANCE_TOLERANCE = 0.4;
/** The same for an account that joins a write of others: it would be due soon, and need a write of its own. */
const JOIN_TOLERANCE = 0.15;
/** Time in ms of demand that the step of a checkpoint covers: smaller requests need no checkpoint of their own. */
const STEP_DEMAND_MS = 800;
/** Greatest part of the remaining tokens that covers demand: near the end of an account, a second of it is much. */
const MAX_STEP_SHARE = 0.01;
/** Precision in ms of the time after which tokens become usable. */
const USABLE_STEP_MS = 100;
/** Share of the remaining tokens that steps allow beyond that, as a loss of power of all routers may cost as much. */
const STEP_REMAINING_SHARE = 0.01;

/** Creates the row of an account. */
export function createPrepaidRow(account: AccountId, total: number, now: number): PrepaidRow {
    return {
        account,
        total,
        revision: undefined,
        record: emptyPrepaidRecord,
        era: 0,
        earlier: undefined,
        granted: 0,
        pendingGrants: [],
        checkpoints: [],
        reserved: 0,
        used: 0,
        usedInRecord: 0,
        lacking: 0,
        shortageReportedAt: -Infinity,
        demand: 0,
        demandMs: 0,
        demandAt: now,
        maxWorstCase: 0,
    };
}

/** Returns the tokens that may be used now, regardless of the outcome of pending writes. */
export function spendableTokens(row: PrepaidRow, now: number): number {
    const granted = lowestGrant(row);
    const limit = row.checkpoints.reduce(
        (lowest, checkpoint) => Math.min(lowest, committedLimit(granted, checkpoint, now - checkpoint.at)),
        granted,
    );
    return limit - row.used - row.reserved;
}

// Tokens of the allowance, usable now or later.
function heldTokens(row: PrepaidRow): number {
    return Math.max(0, row.granted - row.used - row.reserved);
}

// The lower allowance of both outcomes of each pending write.
function lowestGrant(row: PrepaidRow): number {
    return row.pendingGrants.reduce((lowest, write) => Math.min(lowest, write.granted), row.granted);
}

/** Records the tokens that a request requires; the demand rate sizes the allowance. */
export function recordPrepaidDemand(row: PrepaidRow, tokens: number, now: number): void {
    decayDemand(row, now);
    row.demand += tokens;
    row.maxWorstCase = Math.max(row.maxWorstCase, tokens);
}

function decayDemand(row: PrepaidRow, now: number): void {
    const elapsed = Math.max(0, now - row.demandAt);
    const decay = Math.exp(-elapsed / DEMAND_WINDOW_MS);
    row.demand *= decay;
    row.demandMs = row.demandMs * decay + (1 - decay) * DEMAND_WINDOW_MS;
    row.demandAt = now;
}

// Tokens per ms, averaged over at least MIN_DEMAND_WINDOW_MS.
function demandRate(row: PrepaidRow): number {
    return row.demand / Math.max(MIN_DEMAND_WINDOW_MS, row.demandMs);
}

/** Reserves the worst-case tokens of a request, or returns why it can't. */
export function reservePrepaid(row: PrepaidRow, tokens: number, now: number): Reservation {
    if (spendableTokens(row, now) >= tokens) {
        row.reserved += tokens;
        return "reserved";
    }
    return row.total - usedByAll(row) < tokens && row.revision !== undefined ? "exhausted" : "short";
}

/** Returns whether a write could gain tokens, or is needed to report the shortage to other routers. */
export function canGainPrepaid(row: PrepaidRow, tokens: number, holder: PrepaidHolder, now: number): boolean {
    const own = ownHolding(row.record, holder);
    const reported = own !== undefined && own.lacking > 0 && now - row.shortageReportedAt < SHORTAGE_REPORT_MS;
    return !reported || hasFreeTokens(row, tokens);
}

/** Returns whether the last known record has enough free tokens for a request. */
export function hasFreeTokens(row: PrepaidRow, tokens: number): boolean {
    return freeTokens(row.record, row.total) >= tokens - heldTokens(row);
}

/** Records that a request could not be served because of a token shortage at this router. */
export function recordPrepaidShortage(row: PrepaidRow, tokens: number): void {
    row.lacking = Math.max(row.lacking, tokens);
}

/** Settles a reservation with the tokens that were used of it. */
export function settlePrepaid(row: PrepaidRow, reserved: number, used: number): void {
    row.reserved -= reserved;
    row.used += used;
}

// Minimum tokens used by all routers together. Tokens that crashed routers may have used count as used.
function usedByAll(row: PrepaidRow): number {
    const recorded = Object.values(row.record.holdings).reduce((sum, holding) => sum + holding.used, row.record.closed);
    return recorded - row.usedInRecord + row.used;
}

/**
 * Applies a stored record; revisions older than the known one are ignored. In a later era of the store, this router
 * keeps the tokens that it had until it has written its holding again.
 */
export function applyPrepaidRecord(
    row: PrepaidRow,
    revision: number,
    record: PrepaidRecord,
    holder: PrepaidHolder,
    era: number = eraOf(revision),
): void {
    if (row.revision !== undefined && (era < row.era || (era === row.era && revision < row.revision))) {
        return;
    }
    if (row.revision !== undefined && era > row.era) {
        beginEra(row, holder);
    }
    row.era = era;
    row.revision = revision;
    row.record = record;
    const own = ownHolding(record, holder);
    const stored = record.holdings[holder.name];
    if (stored !== undefined && isStatedIn(era, stored)) {
        row.granted = own?.granted ?? 0;
        row.earlier = own === undefined ? row.earlier : undefined;
    }
    row.usedInRecord = own?.used ?? 0;
    // A write conditional on an older revision can't be applied any more.
    const settled = row.pendingGrants.filter((write) => write.revision < revision);
    row.pendingGrants = row.pendingGrants.filter((write) => write.revision >= revision);
    const applied = own?.mark.sequence;
    for (const write of settled.filter((other) => other.sequence !== applied)) {
        row.checkpoints = row.checkpoints.filter((checkpoint) => checkpoint.sequence !== write.sequence);
    }
    if (applied !== undefined) {
        recordCheckpointStored(row, applied);
    }
}

// The lower allowance of both outcomes of a pending write stays: other routers may have taken what it returned.
function beginEra(row: PrepaidRow, holder: PrepaidHolder): void {
    row.granted = lowestGrant(row);
    row.pendingGrants = [];
    const { record, era, earlier } = row;
    row.earlier = {
        era,
        count: countOf(row.revision!),
        record: earlier === undefined ? record : mergeRecords(record, era, earlier.record, holder),
    };
}

/** Returns the holding of this incarnation in a record. */
export function ownHolding(record: PrepaidRecord, holder: PrepaidHolder): PrepaidHolding | undefined {
    const own = record.holdings[holder.name];
    return own?.incarnation === holder.incarnation ? own : undefined;
}

/** Returns whether a record still has the holding of an earlier incarnation of this router. */
export function hasPredecessor(record: PrepaidRecord, holder: PrepaidHolder): boolean {
    const own = record.holdings[holder.name];
    return own !== undefined && own.incarnation !== holder.incarnation;
}

/** Returns whether a record has tokens that an earlier process of this router held when it ended. */
export function hasCrashedPredecessor(record: PrepaidRecord, holder: PrepaidHolder): boolean {
    const own = record.holdings[holder.name];
    return own !== undefined && own.incarnation !== holder.incarnation && own.granted > own.used;
}

/** Returns whether other routers report a shortage of tokens that this one could return. */
export function shouldReturnTokens(row: PrepaidRow, holder: PrepaidHolder): boolean {
    const shortage = otherHoldings(row.record, holder).reduce((sum, holding) => sum + holding.lacking, 0);
    return shortage > Math.max(0, freeTokens(row.record, row.total)) && heldTokens(row) > 0;
}

/** Records that a checkpoint is stored, which supersedes earlier ones. */
export function recordCheckpointStored(row: PrepaidRow, sequence: number): void {
    if (row.checkpoints.some((checkpoint) => checkpoint.sequence === sequence)) {
        row.checkpoints = row.checkpoints.filter((checkpoint) => checkpoint.sequence >= sequence);
    }
}

/** Returns the tokens that count as committed if waiting requests reserve as many as they can of those they need. */
export function committedWith(row: PrepaidRow, requested: number): number {
    const committed = row.used + row.reserved;
    return committed + Math.min(requested, Math.max(0, lowestGrant(row) - committed));
}

/** Returns whether the router holds the tokens of a request, but may use them only after another checkpoint. */
export function isCheckpointMissing(row: PrepaidRow, tokens: number, now: number): boolean {
    return spendableTokens(row, now) < tokens && lowestGrant(row) - row.used - row.reserved >= tokens;
}

/** Returns the step of a checkpoint that is written now; undefined if the policy has none. */
export function checkpointStep(
    row: PrepaidRow,
    { stepMs }: PrepaidPolicy,
    holder: PrepaidHolder,
    now: number,
): CheckpointStep | undefined {
    if (stepMs === undefined) {
        return undefined;
    }
    decayDemand(row, now);
    const { left, ownShare } = remainingTokens(row, holder);
    const ownLeft = left * ownShare;
    const forDemand = Math.min(demandRate(row) * STEP_DEMAND_MS, ownLeft * MAX_STEP_SHARE);
    return { ms: stepMs, tokens: Math.ceil(forDemand + ownLeft * STEP_REMAINING_SHARE) };
}

/** Returns the share of this router in the recent demand of an account, by the record. */
export function demandShare(row: PrepaidRow, holder: PrepaidHolder): number {
    return remainingTokens(row, holder).ownShare;
}

/**
 * Returns the time in ms until tokens that this router holds become usable without another checkpoint; undefined if it
 * does not hold as many.
 */
export function usableAfterMs(row: PrepaidRow, tokens: number, now: number): number | undefined {
    if (!isCheckpointMissing(row, tokens, now)) {
        return undefined;
    }
    let ms = 0;
    while (spendableTokens(row, now + ms) < tokens) {
        ms += USABLE_STEP_MS;
    }
    return ms;
}

/** Records that a checkpoint is being written to the store. */
export function recordCheckpointSent(
    row: PrepaidRow,
    sequence: number,
    committed: number,
    ramp: RampVersion,
    now: number,
    step?: CheckpointStep,
): void {
    row.checkpoints.push({ sequence, committed, at: now, ramp, step });
}

/** Records that a checkpoint was definitely not stored and never will be. */
export function recordCheckpointFailed(row: PrepaidRow, sequence: number): void {
    row.checkpoints = row.checkpoints.filter((checkpoint) => checkpoint.sequence !== sequence);
}

/** Returns whether the allowance or the reported use deviates enough from its target to justify a write. */
export function needsPrepaidWrite(
    row: PrepaidRow,
    policy: PrepaidPolicy,
    holder: PrepaidHolder,
    now: number,
    standing: EraStanding = settledStanding,
): boolean {
    decayDemand(row, now);
    if (row.revision === undefined) {
        return row.demand > 0;
    }
    if (needsRestatement(row, holder, standing) || hasPredecessor(row.record, holder)) {
        return true;
    }
    const reportedShortage = ownHolding(row.record, holder)?.lacking ?? 0;
    if (reportedShortage > 0 && now - row.shortageReportedAt > SHORTAGE_REPORT_MS) {
        return true;
    }
    const target = allowanceTarget(row, policy, holder);
    return deviatesFrom(row, target, ALLOWANCE_TOLERANCE)
        || Math.abs(row.used - row.usedInRecord) > Math.max(target, row.maxWorstCase) / 2;
}

/** Returns whether an allowance deviates enough to be part of a write that is sent anyway for another account. */
export function canJoinPrepaidWrite(
    row: PrepaidRow,
    policy: PrepaidPolicy,
    holder: PrepaidHolder,
    now: number,
): boolean {
    decayDemand(row, now);
    return row.revision !== undefined && deviatesFrom(row, allowanceTarget(row, policy, holder), JOIN_TOLERANCE);
}

function deviatesFrom(row: PrepaidRow, target: number, tolerance: number): boolean {
    return Math.abs(heldTokens(row) - target) > tolerance * Math.max(target, row.maxWorstCase);
}

// Target of held tokens beyond the reservations: the demand of this router during an outage, limited to its
// share of the remaining tokens in proportion to recent demand.
function allowanceTarget(row: PrepaidRow, policy: PrepaidPolicy, holder: PrepaidHolder): number {
    const { left, ownShare, heldByOthers } = remainingTokens(row, holder);
    const held = heldTokens(row);
    const others = otherHoldings(row.record, holder);
    const share = left * policy.heldShare * ownShare;
    const target = Math.min(share, demandRate(row) * policy.allowanceMs + row.maxWorstCase);
    const shortage = others.reduce((sum, holding) => sum + holding.lacking, 0);
    return Math.floor(shortage === 0 ? target : Math.min(target, held - returnedTokens(row, shortage, heldByOthers)));
}

// Tokens that are left by the record, those that other routers hold, and the share of this router in recent demand.
function remainingTokens(
    row: PrepaidRow,
    holder: PrepaidHolder,
): { readonly left: number; readonly heldByOthers: number; readonly ownShare: number; } {
    const others = otherHoldings(row.record, holder);
    const own = demandRate(row) * MS_PER_SECOND;
    const all = others.reduce((sum, holding) => sum + holding.rate, own);
    const heldByOthers = others.reduce((sum, holding) => sum + Math.max(0, holding.granted - holding.used), 0);
    const left = Math.max(0, freeTokens(row.record, row.total)) + heldTokens(row) + heldByOthers;
    return { left, heldByOthers, ownShare: all === 0 ? 0 : own / all };
}

// Tokens that this router returns for the shortage of others, in proportion to what each router holds.
function returnedTokens(row: PrepaidRow, shortage: number, heldByOthers: number): number {
    const missing = Math.max(0, shortage - Math.max(0, freeTokens(row.record, row.total)));
    const held = heldTokens(row);
    return missing === 0 ? 0 : Math.min(held, missing * held / Math.max(1, held + heldByOthers) * RETURN_FACTOR);
}

function otherHoldings(record: PrepaidRecord, holder: PrepaidHolder): PrepaidHolding[] {
    return Object.entries(record.holdings).filter(([name]) => name !== holder.name).map(([, holding]) => holding);
}

/**
 * Plans the next write of an account's record: the tokens that this router used, and its new allowance.
 * Requested tokens are granted first. Returns undefined before the first read of the record.
 */
export function planPrepaidWrite(
    row: PrepaidRow,
    holder: PrepaidHolder,
    earlierCheckpoints: readonly CheckpointSet[],
    requested: number,
    policy: PrepaidPolicy,
    sequence: number,
    now: Instant,
    standing: EraStanding = settledStanding,
): PrepaidWrite | undefined {
    if (row.revision === undefined) {
        return undefined;
    }
    decayDemand(row, now.monotonic);
    const base = restateRecord(row, holder, standing);
    const { [holder.name]: previous, ...others } = base.holdings;
    const isClosing = previous !== undefined && previous.incarnation !== holder.incarnation;
    const earlier = isClosing ? useOfEarlier(row, previous, earlierCheckpoints, holder) : undefined;
    const closed = base.closed + (earlier?.counted ?? 0);
    const taken = Object.values(others).reduce((sum, holding) => sum + holding.granted, closed);
    const committed = row.used + row.reserved;
    const available = Math.max(0, row.total - taken - committed);
    const mayGrant = row.era === 0 || base.era === row.era;
    const slack = mayGrant
        ? Math.min(available, Math.max(requested, allowanceTarget(row, policy, holder), 0))
        : Math.max(0, row.granted - committed);
    const checkpoint = {
        sequence,
        // Requested tokens count as committed, because the waiting requests use them at once.
        committed: committed + Math.min(slack, requested),
        ramp: policy.ramp,
        step: checkpointStep(row, policy, holder, now.monotonic),
    };
    const own: PrepaidHolding = {
        incarnation: holder.incarnation,
        // Never below what is already in use, even if the total was lowered.
        granted: committed + slack,
        used: row.used,
        lacking: Math.max(0, Math.max(requested, row.lacking) - slack),
        rate: Math.round(demandRate(row) * MS_PER_SECOND),
        mark: { ...checkpoint, at: now.wall },
        ...(row.era === 0 ? {} : { era: row.era }),
        ...(isClosing
            ? { closes: { incarnation: previous.incarnation, sequence: previous.mark.sequence } }
            : { closes: previous?.closes }),
    };
    return {
        account: row.account,
        revision: row.revision,
        record: { ...base, closed, holdings: { ...others, [holder.name]: own } },
        granted: own.granted,
        mark: { ...checkpoint, at: now.monotonic },
        closed: earlier,
    };
}

// The checkpoints of an earlier era do not bound what was granted in the time that the store lost.
function useOfEarlier(
    row: PrepaidRow,
    previous: PrepaidHolding,
    earlierCheckpoints: readonly CheckpointSet[],
    holder: PrepaidHolder,
): EarlierUse {
    return isStatedIn(row.era, previous)
        ? earlierUse(row.account, previous, earlierCheckpoints, holder.startedAt)
        : wholeGrant(previous);
}

/** Records that a write was sent. */
export function recordPrepaidWriteSent(row: PrepaidRow, write: PrepaidWrite): void {
    row.pendingGrants.push({ revision: write.revision, granted: write.granted, sequence: write.mark.sequence });
    row.checkpoints.push(write.mark);
    row.lacking = 0;
    row.shortageReportedAt = write.mark.at;
}

/** Records that a write was definitely not applied and never will be. */
export function recordPrepaidWriteFailed(row: PrepaidRow, write: PrepaidWrite): void {
    row.pendingGrants = row.pendingGrants.filter((open) => open.sequence !== write.mark.sequence);
    recordCheckpointFailed(row, write.mark.sequence);
}

/** Where the tokens of a refused request are, as far as this router knows. */
export const shortageCauses = ["held-here", "free", "held-by-others", "used"] as const;

/** Where the tokens of a refused request are, as far as this router knows. */
export type ShortageCause = typeof shortageCauses[number];

/** Returns where the tokens of a request are that this router can't reserve. */
export function shortageCause(row: PrepaidRow, tokens: number): ShortageCause {
    const held = heldTokens(row);
    if (held >= tokens) {
        return "held-here";
    }
    if (hasFreeTokens(row, tokens)) {
        return "free";
    }
    return row.total - usedByAll(row) >= tokens ? "held-by-others" : "used";
}

/** Returns the values on which a refusal because of a token shortage was based. */
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
