import type { Incarnation } from "../types/ids.js";

/** Spending checkpoint: tokens that a router had committed at a time; bounds what it may have used since. */
export type SpendingCheckpoint = {
    /** Orders the checkpoints of one router. */
    readonly sequence: number;
    /** Tokens used and reserved since the router started. */
    readonly committed: number;
    /** Wall-clock time in ms at the router. */
    readonly at: number;
    readonly ramp?: RampVersion | undefined;
    readonly step?: CheckpointStep | undefined;
};

/**
 * Bound on the tokens that may be committed within a time in ms after a checkpoint, below that of the ramp. Versions
 * that do not know it drop it, and then count by the ramp, which allows more.
 */
export type CheckpointStep = { readonly ms: number; readonly tokens: number; };

/** One router's holding of an account's tokens, as stored. Counts are totals since the router started. */
export type PrepaidHolding = {
    readonly incarnation: Incarnation;
    /** Tokens that the router may have used, or may use without another write. */
    readonly granted: number;
    /** Tokens that it has definitely used. */
    readonly used: number;
    /** Token shortage; other routers return tokens that they can spare. */
    readonly lacking: number;
    /** Recent demand in tokens per second. */
    readonly rate: number;
    readonly mark: SpendingCheckpoint;
    /** Era of the store in which the router wrote it; missing if the store has no eras. */
    readonly era?: number | undefined;
    /** The holding of the router's incarnation before, which was closed as it was written with this sequence. */
    readonly closes?: { readonly incarnation: Incarnation; readonly sequence: number; } | undefined;
};

/** The router that holds tokens. */
export type PrepaidHolder = {
    readonly name: string;
    readonly incarnation: Incarnation;
    /** Wall-clock time in ms at which it started. */
    readonly startedAt: number;
};

/** The stored record of an account. Closed tokens and the grants of all holdings never exceed the total. */
export type PrepaidRecord = {
    /** Tokens that earlier incarnations of restarted routers may have used. */
    readonly closed: number;
    readonly holdings: Readonly<Record<string, PrepaidHolding>>;
    /** Latest era of the store in which tokens were granted from what looks free; missing if it has no eras. */
    readonly era?: number | undefined;
    /** What was added from routers' memory, in the latest era in which the record was written. */
    readonly restated?: {
        readonly era: number;
        /** Count of the newest revision of the era before that is contained. */
        readonly from: number;
        /** Whether a router that had read all records until the store went away has added what it knew. */
        readonly isWitnessed: boolean;
    } | undefined;
};

/** The spending checkpoints of one router for all accounts, written more often than the records. */
export type CheckpointSet = {
    readonly incarnation: Incarnation;
    readonly sequence: number;
    readonly at: number;
    readonly ramp?: RampVersion | undefined;
    readonly committed: Readonly<Record<string, number>>;
    /** Time in ms and tokens of the step of each account; accounts that are not listed have none. */
    readonly steps?: { readonly ms: number; readonly tokens: Readonly<Record<string, number>>; } | undefined;
};

/** The stored checkpoints of a router, with those of earlier processes whose tokens are not all reclaimed. */
export type StoredCheckpoints = CheckpointSet & { readonly earlier?: readonly CheckpointSet[] | undefined; };

/** The record of an account without grants. */
export const emptyPrepaidRecord: PrepaidRecord = { closed: 0, holdings: {} };

/** Version of the way in which an allowance becomes usable after a checkpoint; absent in checkpoints of 0.12.0. */
export type RampVersion = number;

/** Points in between which the usable share of an allowance grows evenly with the time in ms since the checkpoint. */
type Ramp = readonly { readonly ms: number; readonly share: number; }[];

/** The ramp for calm times, and of checkpoints that state none: requests go on if the store goes away. */
export const CALM_RAMP: RampVersion = 1;
/**
 * The ramp of a router that has crashed: another crash is likely, and it costs what the ramp allows until the router
 * is back, mostly within 3 s. Outages of the store last up to 9 s.
 */
export const CAUTIOUS_RAMP: RampVersion = 2;

const RAMPS: ReadonlyMap<RampVersion, Ramp> = new Map([
    [CALM_RAMP, [{ ms: 0, share: 0.2 }, { ms: 7_200, share: 1 }]],
    [CAUTIOUS_RAMP, [{ ms: 0, share: 0.06 }, { ms: 3_000, share: 0.26 }, { ms: 9_000, share: 1 }]],
]);
/** Time in ms added to the age of a crashed router's last checkpoint, for clock granularity. */
const AGE_MARGIN_MS = 100;

/**
 * Returns the maximum tokens that a router may have committed elapsedMs after a checkpoint. An allowance becomes
 * usable gradually, so that only a part is lost if the router crashes soon after its last checkpoint.
 */
export function committedLimit(
    granted: number,
    checkpoint: {
        readonly committed: number;
        readonly ramp?: RampVersion | undefined;
        readonly step?: CheckpointStep | undefined;
    },
    elapsedMs: number,
): number {
    const { step } = checkpoint;
    const stepTokens = isWithinStep(step, elapsedMs) ? Math.max(0, step!.tokens) : Infinity;
    const allowance = Math.max(0, granted - checkpoint.committed);
    const share = usableShare(checkpoint.ramp, Math.max(0, elapsedMs));
    return Math.min(
        Math.max(granted, checkpoint.committed),
        checkpoint.committed + Math.min(stepTokens, Math.floor(allowance * share)),
    );
}

function isWithinStep(step: CheckpointStep | undefined, elapsedMs: number): boolean {
    return step !== undefined && elapsedMs < step.ms;
}

// The whole allowance may be in use if a later version of the router wrote the checkpoint.
function usableShare(version: RampVersion = CALM_RAMP, elapsedMs: number): number {
    const ramp = RAMPS.get(version) ?? [];
    const index = ramp.findIndex(({ ms }) => ms > elapsedMs);
    if (index <= 0) {
        return 1;
    }
    const [from, to] = [ramp[index - 1]!, ramp[index]!];
    return from.share + (to.share - from.share) * (elapsedMs - from.ms) / (to.ms - from.ms);
}

/** What is counted as used for the earlier process of a restarted router. */
export type EarlierUse = {
    readonly incarnation: Incarnation;
    /** Tokens counted as used. */
    readonly counted: number;
    readonly granted: number;
    /** Tokens that it has definitely used. */
    readonly used: number;
    /** What bounds its use: its checkpoint set, the checkpoint in the record, or only its grant. */
    readonly basis: "checkpoint-set" | "record" | "grant";
    /** Tokens committed at the checkpoint, and the time in ms from it until the successor started. */
    readonly committed?: number | undefined;
    readonly elapsedMs?: number | undefined;
    /** Tokens of the step that bounded its use; undefined if the ramp did. */
    readonly stepTokens?: number | undefined;
};

/**
 * Returns the maximum tokens that a restarted router's earlier process may have used: what its last checkpoint allowed
 * until its successor started. A process that stored no checkpoint set is bounded by the checkpoint in the record.
 */
export function earlierUse(
    account: string,
    holding: PrepaidHolding,
    checkpointSets: readonly CheckpointSet[],
    successorStartedAt: number,
): EarlierUse {
    const set = checkpointSets.find(({ incarnation }) => incarnation === holding.incarnation);
    const committed = set?.committed[account];
    const newer = set !== undefined && set.sequence > holding.mark.sequence && committed !== undefined;
    const checkpoint = newer
        ? { committed, at: set.at, ramp: set.ramp, step: stepOf(set, account) }
        : holding.mark;
    const elapsedMs = successorStartedAt - checkpoint.at;
    // The elapsed time is unknown if the wall clock went back.
    if (elapsedMs < 0) {
        return { ...wholeGrant(holding), elapsedMs };
    }
    return {
        incarnation: holding.incarnation,
        counted: committedLimit(holding.granted, checkpoint, elapsedMs + AGE_MARGIN_MS),
        granted: holding.granted,
        used: holding.used,
        basis: newer ? "checkpoint-set" : "record",
        committed: checkpoint.committed,
        elapsedMs,
        stepTokens: isWithinStep(checkpoint.step, elapsedMs + AGE_MARGIN_MS) ? checkpoint.step?.tokens : undefined,
    };
}

function stepOf({ steps }: CheckpointSet, account: string): CheckpointStep | undefined {
    const tokens = steps?.tokens[account];
    return steps === undefined || tokens === undefined ? undefined : { ms: steps.ms, tokens };
}

/** Counts all that an earlier process was granted as used. */
export function wholeGrant({ incarnation, granted, used }: PrepaidHolding): EarlierUse {
    return { incarnation, counted: granted, granted, used, basis: "grant" };
}

/** Returns the tokens that are not granted to any router; negative if the total was lowered below the grants. */
export function freeTokens(record: PrepaidRecord, total: number): number {
    const granted = Object.values(record.holdings).reduce((sum, holding) => sum + holding.granted, 0);
    return total - record.closed - granted;
}
