import { brand, type Incarnation } from "../types/ids.js";
import { freeTokens, type PrepaidHolder, type PrepaidHolding, type PrepaidRecord } from "./prepaid-record.js";
import { countOf } from "./store-revision.js";

/** A record as a router knew it before the store came back from an older copy. */
export type EarlierRecord = {
    readonly era: number;
    /** Its revision, as the store counted it in that era. */
    readonly count: number;
    readonly record: PrepaidRecord;
};

/** What a router can say about the tokens that were granted before the current era of the store. */
export type EraStanding = {
    /** Whether it had read all records until the store went away. */
    readonly isWitness: boolean;
    /** Whether all routers in touch with the store have had time to write their holdings again. */
    readonly isSettled: boolean;
};

/** The standing of a router whose store has no eras. */
export const settledStanding: EraStanding = { isWitness: false, isSettled: true };

/** Time in ms that routers have to write their holdings again before tokens that look free are granted. */
export const ERA_SETTLE_MS = 3_000;

/** A router's view of a record, as far as it matters for eras. */
type Row = {
    readonly era: number;
    readonly revision: number | undefined;
    readonly record: PrepaidRecord;
    readonly earlier: EarlierRecord | undefined;
    readonly total: number;
    readonly granted: number;
};

/** Returns whether a holding was written in an era, rather than taken over from an earlier one. */
export function isStatedIn(era: number, holding: PrepaidHolding): boolean {
    return (holding.era ?? 0) === era;
}

/** Returns whether the record lacks something that this router knows of earlier eras. */
export function needsRestatement(row: Row, holder: PrepaidHolder, standing: EraStanding): boolean {
    if (row.era === 0) {
        return false;
    }
    const stored = row.record.holdings[holder.name];
    const isOwnStated = row.granted === 0 || (stored !== undefined && isStatedIn(row.era, stored));
    return !isOwnStated || isEarlierNewer(row)
        || (canWitness(row, standing) && !isWitnessed(row.record, row.era) && hasHoldings(row.record));
}

/**
 * Returns the record on which the next write is based, with everything that this router knows of earlier eras. Until
 * `era` of the result is the current one, tokens that look free may have been granted in the lost time.
 */
export function restateRecord(row: Row, holder: PrepaidHolder, standing: EraStanding): PrepaidRecord {
    const { record, era } = row;
    if (era === 0 || (record.era === era && row.earlier === undefined)) {
        return record;
    }
    const known = withEarlier(row, holder);
    const wasWitnessed = isWitnessed(record, era);
    const witnessed = wasWitnessed || canWitness(row, standing);
    const holdings = witnessed && !wasWitnessed ? without(known.holdings, unaccountedName(era)) : known.holdings;
    const earlierCount = isEarlierNewer(row) && isOfEraBefore(row) ? row.earlier!.count : 0;
    const statedCount = statedCountOf(row);
    const restated = { era, from: Math.max(statedCount, earlierCount), isWitnessed: witnessed };
    const base = { ...known, holdings, restated };
    if (!standing.isSettled) {
        return base;
    }
    const mayLackGrants = !witnessed && record.era !== undefined && record.era !== era;
    return { ...base, era, holdings: mayLackGrants ? withUnaccounted(base, era, row.total) : holdings };
}

/** Combines a record of an era with one of an earlier era, so that no tokens of any holder are missing. */
export function mergeRecords(
    current: PrepaidRecord,
    era: number,
    earlier: PrepaidRecord,
    holder: PrepaidHolder,
): PrepaidRecord {
    const holdings: Record<string, PrepaidHolding> = { ...current.holdings };
    for (const [name, known] of Object.entries(earlier.holdings)) {
        if (known.incarnation === holder.incarnation) {
            // This router writes its own holding from what it has in memory.
            continue;
        }
        const listed = holdings[name];
        if (listed === undefined) {
            holdings[name] = known;
        }
        else if (listed.incarnation === known.incarnation) {
            holdings[name] = known.mark.sequence > listed.mark.sequence ? known : listed;
        }
        else if (known.closes?.incarnation === listed.incarnation && !isStatedIn(era, listed)) {
            holdings[name] = known;
            holdings[unownedName(name, listed)] = listed;
        }
        else if (!hasClosed(listed, known)) {
            holdings[unownedName(name, known)] ??= known;
        }
    }
    return { ...current, closed: Math.max(current.closed, earlier.closed), holdings };
}

// Name under which a record holds tokens that may have been granted without a trace before an era; no router has it.
function unaccountedName(era: number): string {
    return `#${era}`;
}

function hasClosed({ closes }: PrepaidHolding, known: PrepaidHolding): boolean {
    return closes?.incarnation === known.incarnation && closes.sequence >= known.mark.sequence;
}

// The name is the same for all routers that add this holding, so that it counts once.
function unownedName(name: string, { incarnation }: PrepaidHolding): string {
    return `${name}#${incarnation}`;
}

function withEarlier(row: Row, holder: PrepaidHolder): PrepaidRecord {
    const { record, earlier, era } = row;
    if (earlier === undefined || !isEarlierNewer(row)) {
        return record;
    }
    // A record that nobody has written in this era is an earlier state of the one that this router knew.
    const isCopy = record.restated?.era !== era;
    return isCopy && isOfEraBefore(row) ? earlier.record : mergeRecords(record, era, earlier.record, holder);
}

// Counts of revisions are comparable only between a copy and the era that it was made in.
function isEarlierNewer(row: Row): boolean {
    const { earlier } = row;
    return earlier !== undefined && (!isOfEraBefore(row) || earlier.count > statedCountOf(row));
}

// Count of the newest revision of the era before that the record contains.
function statedCountOf({ record, era, revision }: Row): number {
    return record.restated?.era === era ? record.restated.from : countOf(revision ?? 0);
}

function isOfEraBefore({ era, earlier }: Row): boolean {
    return earlier?.era === era - 1;
}

// Whether the record has all tokens that were granted in earlier eras, as far as any router knows them.
function isWitnessed(record: PrepaidRecord, era: number): boolean {
    return record.era === era || (record.restated?.era === era && record.restated.isWitnessed);
}

// A router can say that nothing is missing only if nothing was missing in the era before.
function canWitness({ earlier, era }: Row, { isWitness }: EraStanding): boolean {
    return isWitness && earlier !== undefined && earlier.era === era - 1
        && (!hasHoldings(earlier.record) || isWitnessed(earlier.record, earlier.era));
}

function hasHoldings(record: PrepaidRecord): boolean {
    return Object.keys(record.holdings).length > 0;
}

function withUnaccounted(record: PrepaidRecord, era: number, total: number): PrepaidRecord["holdings"] {
    const granted = Math.max(0, freeTokens(record, total));
    const mark = { sequence: 0, committed: granted, at: 0 };
    return {
        ...record.holdings,
        [unaccountedName(era)]: {
            incarnation: brand<Incarnation>(""),
            granted,
            used: granted,
            lacking: 0,
            rate: 0,
            mark,
        },
    };
}

function without(holdings: PrepaidRecord["holdings"], removed: string): PrepaidRecord["holdings"] {
    return Object.fromEntries(Object.entries(holdings).filter(([name]) => name !== removed));
}
