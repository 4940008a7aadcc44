import type { PageCache, SealedPage } from "../ledger/pages.js";
import type { LedgerTransfer, Recovery, Settlement, WitnessedSettlements } from "../ledger/reconcile.js";
import type { Holding } from "../ledger/record.js";
import type { Testimony } from "../systems/recovery.js";
import type {
    AccountId,
    BodyDigest,
    BudgetId,
    CallId,
    EndpointId,
    Incarnation,
    KeyDigest,
    OperationId,
    TransferId,
} from "./ids.js";
import type {
    AnswerEnd,
    Arrival,
    Chunk,
    Heartbeat,
    LoadReport,
    Target,
    WitnessedBill,
    WitnessedUse,
} from "./messages.js";

/** A budget as this router sees it. All figures in tokens. */
export type BudgetRow = {
    readonly id: BudgetId;
    /** Allowance of the last write that is known to be applied. */
    held: number;
    /** Worst case of the requests that run. */
    reserved: number;
    /** Used, but not yet billed in the ledger. */
    unsettled: number;
    /** Lent to peers, not yet written. */
    lent: number;
    /** Borrowed from peers, not yet written. */
    borrowed: number;
    /** Tokens used since the rate was last computed. */
    used: number;
    /** Tokens used per ms. */
    rate: number;
    rateAt: number;
    /** Share of its window that the rate has seen. */
    rateSeen: number;
    /** Moving average of the worst case of a request. */
    typicalWorst: number;
    lastUsedAt: number;
    openRuns: number;
};

/** A write to an account's record that is not yet known to be applied or lost. */
export type LedgerWrite = {
    readonly operation: OperationId;
    readonly expected: number;
    readonly value: string;
    readonly epoch: number;
    readonly witnesses: readonly Incarnation[];
    readonly settlements: readonly Settlement[];
    readonly transfers: readonly LedgerTransfer[];
    readonly seenTransfers: readonly TransferId[];
    readonly witnessed: readonly WitnessedSettlements[];
    readonly recoveries: readonly Recovery[];
    readonly seal: SealedPage | undefined;
    readonly holdings: ReadonlyMap<BudgetId, Holding>;
};

/** An account's ledger record as this router sees it. */
export type AccountRow = {
    readonly id: AccountId;
    readonly budgets: Map<BudgetId, BudgetRow>;
    /** Version and text of the record, or undefined before the first read. */
    stored: { version: number; value: string | undefined; } | undefined;
    /** A read or write is on its way. */
    busy: boolean;
    write: LedgerWrite | undefined;
    /** Pages of the record that were read. */
    readonly pages: PageCache;
    /** A page that is stored and not yet referred to. */
    seal: SealedPage | undefined;
    sealing: boolean;
    settlements: Settlement[];
    /** Transfers that this router's figures count and the ledger may not. */
    transfers: LedgerTransfer[];
    /** Transfers that the other end wrote, still to be marked as seen. */
    writtenTransfers: LedgerTransfer[];
    /** Transfers taken in, so that a repeated one counts once. */
    readonly receivedTransfers: Map<TransferId, number>;
    recoveries: Recovery[];
    /** Epoch and witnesses of the last applied write. */
    epoch: number;
    witnesses: readonly Incarnation[];
    committedAt: number;
    writtenAt: number;
    dueAt: number;
    failures: number;
    /** The entry was closed: nothing new is spent until the runs of the account have ended. */
    fenced: boolean;
    /** Counts the entries that this router has had in the record. */
    generation: number;
    /** Runs that wait for tokens, in order of arrival. */
    waiting: number[];
    /** Peers asked to lend that have not answered. */
    lenders: Set<Incarnation>;
    lentAskedAt: number;
    /** Peers that wait for this router to return what it does not use. */
    readonly borrowers: Set<Incarnation>;
    /** Time until which nothing beyond the open reservations is held. */
    recalledUntil: number;
    runningRuns: number;
    /** What witnesses said of a lost holder's allowance, by holder and epoch. */
    readonly testimonies: Map<string, Map<Incarnation, Testimony>>;
    recoveryAskedAt: number;
};

/** Where a run stands. */
export type RunState = "budget" | "witness" | "queue" | "lane" | "claim" | "running" | "billing" | "done";

/** One execution of a request key. Several callers may follow it. */
export type Run = {
    readonly id: number;
    readonly arrival: Arrival;
    readonly keyDigest: KeyDigest;
    readonly target: Target;
    readonly idempotent: boolean;
    readonly worst: number;
    readonly arrivedAt: number;
    state: RunState;
    calls: Set<CallId>;
    /** Tokens reserved of the budget, 0 before and after. */
    reserved: number;
    endpoint: EndpointId | undefined;
    dispatch: number;
    /** Time in ms at which its stream was started, wherever it was continued since. */
    dispatchedAt: number;
    stream: string;
    tried: EndpointId[];
    attempts: number;
    /** True once any byte may have reached an endpoint that did not deny having run it. */
    written: boolean;
    /** The same before the dispatch on its way. */
    writtenBefore: boolean;
    resuming: boolean;
    /** Time in ms at which endpoints were last asked for their load for it. */
    sampledAt: number;
    lastProgress: number;
    /** Offset of the first kept chunk; above 0 for a run that continues a stream. */
    base: number;
    chunks: Chunk[];
    early: Map<number, Chunk>;
    outputTokens: number;
    end: AnswerEnd | undefined;
    claim: { operation: OperationId; value: string; version: number; } | undefined;
    lane: string | undefined;
    laneGrantedAt: number;
    /** The endpoint that it has to itself among the suspects; undefined while it has none. */
    laneEndpoint: EndpointId | undefined;
    /** Time in ms for which it had run when its endpoint crashed; 0 before. */
    ranMs: number;
};

/** One caller that follows a run. */
export type Call = {
    readonly id: CallId;
    readonly run: number;
    readonly provablyFirst: boolean;
    /** Next offset that this caller is sent. */
    next: number;
};

/** An endpoint as this router sees it. */
export type EndpointRow = {
    readonly id: EndpointId;
    report: LoadReport | undefined;
    reportedAt: number;
    /** When the probe was sent that the report answers. */
    reportProbedAt: number;
    /** Requests of this router that ran there at the time of the report. */
    ownAtReport: number;
    running: Set<number>;
    failures: number;
    ejections: number;
    ejectedUntil: number;
    leaving: boolean;
    probedAt: number;
};

/** Another router as this one sees it. */
export type PeerRow = { heartbeat: Heartbeat; heardAt: number; };

/** What a router keeps as the witness of a peer. */
export type WitnessRow = {
    readonly bills: Map<KeyDigest, WitnessedBill & { readonly keptAt: number; }>;
    readonly uses: Map<string, WitnessedUse & { readonly keptAt: number; }>;
    /** Time in ms at which the peer last told something. */
    touchedAt: number;
    /** Epoch up to which a peer's uses are refused, by account. */
    readonly closed: Map<AccountId, number>;
};

/** A bill that only this router and its witnesses have. */
export type OpenBill = {
    readonly bill: WitnessedBill;
    readonly offeredTo: Set<Incarnation>;
    readonly keptBy: Set<Incarnation>;
};

/** A use of allowance that is not billed yet. */
export type OpenUseRow = {
    use: WitnessedUse;
    readonly witnessedBy: Set<Incarnation>;
    /** True once the tokens may be in use. */
    allowed: boolean;
};

/** A suspect that runs alone at an endpoint. */
export type LaneHolder = {
    readonly incarnation: Incarnation;
    readonly body: BodyDigest;
    readonly endpoint: EndpointId;
    readonly until: number;
};

/** A suspect that waits to run alone. */
export type LaneRequest = {
    readonly incarnation: Incarnation;
    readonly body: BodyDigest;
    /** Model or service that it wants. */
    readonly server: string;
    /** Time in ms for which the body ran before its endpoint crashed: the shorter, the more suspect. */
    readonly ranMs: number;
};

/** The lane of a kind of endpoint, at the router that keeps it: one suspect at each endpoint. */
export type LaneRow = { holders: LaneHolder[]; waiting: LaneRequest[]; };

/** A crash of an endpoint, and the time in ms at which this router saw it. */
export type SeenCrash = { readonly endpoint: EndpointId; readonly at: number; };

/** A body that was in flight when endpoints crashed. */
export type SuspectRow = {
    /** Crashes that no convict explains. */
    crashes: SeenCrash[];
    /** Time in ms of its last run to the end: earlier crashes do not speak against it. */
    clearedAt: number;
};

/** A transfer that its receiver has not acknowledged. */
export type LendRow = {
    readonly to: Incarnation;
    readonly account: AccountId;
    readonly transfer: LedgerTransfer;
    readonly since: number;
    /** True once it may have reached its receiver. */
    sent: boolean;
};
