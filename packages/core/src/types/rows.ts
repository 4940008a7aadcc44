import type { PageCache, SealedPage } from "../ledger/pages.js";
import type { LedgerTransfer, Recovery, Settlement, WitnessedSettlements } from "../ledger/reconcile.js";
import type { Holding } from "../ledger/record.js";
import type { WitnessReport } from "../systems/recovery.js";
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

/** Local state of a budget. Amounts are in tokens. */
export type BudgetRow = {
    readonly id: BudgetId;
    /** Allowance granted by the last write that is known to be applied. */
    held: number;
    /** Worst-case tokens of the open requests. */
    reserved: number;
    /** Used, but not yet billed in the ledger. */
    unsettled: number;
    /** Lent to peers, not yet written to the ledger. */
    lent: number;
    /** Borrowed from peers, not yet written to the ledger. */
    borrowed: number;
    /** Tokens used since the rate was last computed. */
    used: number;
    /** Tokens used per ms. */
    rate: number;
    rateAt: number;
    /** Share of the averaging window that the rate covers so far, 0 to 1. */
    rateCoverage: number;
    /** Moving average of the worst-case tokens of a request. */
    averageWorstCaseTokens: number;
    lastUsedAt: number;
    openRuns: number;
};

/** A write to an account's record that is not yet known to be applied or lost. */
export type LedgerWrite = {
    readonly operation: OperationId;
    readonly expectedVersion: number;
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

/** Local state of an account and its ledger record. */
export type AccountRow = {
    readonly id: AccountId;
    readonly budgets: Map<BudgetId, BudgetRow>;
    /** Version and text of the record, or undefined before the first read. */
    stored: { version: number; value: string | undefined; } | undefined;
    /** True while a read or write of the record is in flight. */
    callInFlight: boolean;
    pendingWrite: LedgerWrite | undefined;
    /** Cached pages of the record. */
    readonly pages: PageCache;
    /** A stored page that the record does not reference yet. */
    seal: SealedPage | undefined;
    sealing: boolean;
    settlements: Settlement[];
    /** Transfers counted in the local amounts that may not be in the ledger yet. */
    transfers: LedgerTransfer[];
    /** Transfers known to be in the ledger that this router has yet to mark as seen there. */
    writtenTransfers: LedgerTransfer[];
    /** Received transfers and their time of receipt in ms, so that a duplicate is ignored. */
    readonly receivedTransfers: Map<TransferId, number>;
    recoveries: Recovery[];
    /** Epoch and witnesses of the last applied write. */
    epoch: number;
    witnesses: readonly Incarnation[];
    committedAt: number;
    writtenAt: number;
    dueAt: number;
    failures: number;
    /** True after this router's entry was closed by others: nothing is spent until all reservations have ended. */
    fenced: boolean;
    /** Number of entries that this router has had in the record. */
    generation: number;
    /** Ids of runs that wait for tokens, in order of arrival. */
    waiting: number[];
    /** Peers with an unanswered borrow request. */
    pendingLenders: Set<Incarnation>;
    borrowRequestedAt: number;
    /** Peers to notify once this router has returned its unused allowance. */
    readonly borrowers: Set<Incarnation>;
    /** Time in ms until which no allowance beyond the open reservations is held. */
    recalledUntil: number;
    activeRuns: number;
    /** Reports of witnesses on the allowances of lost holders, by holder and epoch. */
    readonly witnessReports: Map<string, Map<Incarnation, WitnessReport>>;
    recoveryRequestedAt: number;
};

/** Stage of a run. In lane, it waits for an isolation slot or for a probe of the endpoint granted to it. */
export type RunState = "budget" | "witness" | "queue" | "lane" | "claim" | "running" | "billing" | "done";

/** One execution of a request key. Several callers may follow it. */
export type Run = {
    readonly id: number;
    readonly arrival: Arrival;
    readonly keyDigest: KeyDigest;
    readonly target: Target;
    readonly idempotent: boolean;
    readonly worstCaseTokens: number;
    readonly arrivedAt: number;
    state: RunState;
    calls: Set<CallId>;
    /** Tokens reserved from the budget; 0 before the reservation and after its end. */
    reserved: number;
    endpoint: EndpointId | undefined;
    dispatch: number;
    /** Time in ms at which its stream was started; resuming the stream does not change it. */
    dispatchedAt: number;
    stream: string;
    triedEndpoints: EndpointId[];
    attempts: number;
    /** True once an endpoint may have received the request and did not deny having run it. */
    written: boolean;
    /** Value of written before the current dispatch. */
    writtenBefore: boolean;
    resuming: boolean;
    /** Time in ms at which endpoints were last probed for it. */
    endpointsProbedAt: number;
    lastProgressAt: number;
    /** Offset of the first buffered chunk; above 0 for a run that resumes a stream. */
    firstOffset: number;
    chunks: Chunk[];
    outOfOrderChunks: Map<number, Chunk>;
    outputTokens: number;
    end: AnswerEnd | undefined;
    claim: { operation: OperationId; value: string; version: number; } | undefined;
    isolationQueue: string | undefined;
    isolationGrantedAt: number;
    /** Endpoint at which it is the only suspect request; undefined until one is granted. */
    isolationEndpoint: EndpointId | undefined;
    /** Time in ms for which it had run when its endpoint last crashed; 0 before a crash. */
    ranMs: number;
};

/** One caller connection that receives the answer of a run. */
export type Call = {
    readonly id: CallId;
    readonly run: number;
    readonly provablyFirst: boolean;
    /** Offset of the next chunk to send to this caller. */
    nextOffset: number;
};

/** Local state of an endpoint. */
export type EndpointRow = {
    readonly id: EndpointId;
    report: LoadReport | undefined;
    reportedAt: number;
    /** Time in ms at which the probe was sent that the report answers. */
    reportProbedAt: number;
    /** Number of this router's runs there at the time of the report. */
    ownRunsAtReport: number;
    ownRuns: Set<number>;
    failures: number;
    ejections: number;
    ejectedUntil: number;
    leaving: boolean;
    probedAt: number;
};

/** Local state of another router: its latest heartbeat and when that was received, directly or forwarded. */
export type PeerRow = { heartbeat: Heartbeat; heartbeatReceivedAt: number; };

/** State that a router stores as a witness of a peer. */
export type WitnessRow = {
    readonly bills: Map<KeyDigest, WitnessedBill & { readonly keptAt: number; }>;
    readonly uses: Map<string, WitnessedUse & { readonly keptAt: number; }>;
    /** Time in ms at which uses or bills were last stored, or an allowance was last closed. */
    updatedAt: number;
    /** Epoch up to which a peer's uses are refused, by account. */
    readonly closedEpochs: Map<AccountId, number>;
};

/** A bill that is not in the ledger yet, with the witnesses that it was sent to and that store it. */
export type OpenBill = {
    readonly bill: WitnessedBill;
    readonly offeredTo: Set<Incarnation>;
    readonly keptBy: Set<Incarnation>;
};

/** A use of allowance that is not billed yet. */
export type OpenUseRow = {
    use: WitnessedUse;
    readonly witnessedBy: Set<Incarnation>;
    /** True once the tokens may be spent. */
    allowed: boolean;
};

/** An isolation slot: the one suspect request that may run at an endpoint. */
export type IsolationSlot = {
    readonly incarnation: Incarnation;
    readonly body: BodyDigest;
    readonly endpoint: EndpointId;
    readonly expiresAt: number;
};

/** A suspect request that waits for an isolation slot. */
export type IsolationRequest = {
    readonly incarnation: Incarnation;
    readonly body: BodyDigest;
    /** Model or service that it is for. */
    readonly server: string;
    /** Time in ms for which the body had run when its endpoint crashed: the shorter, the more likely the cause. */
    readonly ranMs: number;
};

/** Isolation queue of one kind of endpoint, at the router that manages it: one suspect request per endpoint. */
export type IsolationQueue = { slots: IsolationSlot[]; requests: IsolationRequest[]; };

/** A crash of an endpoint, and the time in ms at which this router observed it. */
export type ObservedCrash = { readonly endpoint: EndpointId; readonly at: number; };

/** Crashes attributed to a request body that was in flight at them. */
export type SuspectRow = {
    /** Crashes that no confirmed poison request explains. */
    crashes: ObservedCrash[];
    /** Time in ms at which it last completed: earlier crashes are not attributed to it. */
    clearedAt: number;
};

/** A transfer that its receiver has not acknowledged. */
export type OutgoingTransfer = {
    readonly to: Incarnation;
    readonly account: AccountId;
    readonly transfer: LedgerTransfer;
    readonly since: number;
    /** True once it may have reached its receiver. */
    sent: boolean;
};
