import type { ConfigurationHead } from "./configuration/publication.js";
import {
    type Configuration,
    type DeclarationCache,
    emptyConfiguration,
    type Snapshot,
} from "./configuration/snapshot.js";
import type { SealedPage } from "./ledger/pages.js";
import { defaultPolicy, type Policy } from "./policy.js";
import { createDueQueue, type DueQueue } from "./support/due-queue.js";
import { createRandom, type Random } from "./support/random.js";
import type {
    AccountId,
    BodyDigest,
    BudgetId,
    CallId,
    EndpointId,
    FailureDomain,
    Incarnation,
    KeyDigest,
    KeyValueCallId,
    OperationId,
    RequestKey,
    TransferId,
} from "./types/ids.js";
import type { ClosedUse, Effect, WitnessedBill, WitnessedUse } from "./types/messages.js";
import type {
    AccountRow,
    BudgetRow,
    Call,
    EndpointRow,
    IsolationQueue,
    ObservedCrash,
    OpenBill,
    OpenUseRow,
    OutgoingTransfer,
    PeerRow,
    Run,
    SuspectRow,
    WitnessRow,
} from "./types/rows.js";

/** Purpose of a key-value call; selects the handler of its reply. */
export type KeyValuePurpose =
    | { readonly kind: "ledger-read"; readonly account: AccountId; }
    | { readonly kind: "ledger-write"; readonly account: AccountId; }
    | { readonly kind: "page-read"; readonly account: AccountId; readonly page: string; }
    | { readonly kind: "page-write"; readonly account: AccountId; readonly page: SealedPage; }
    | { readonly kind: "claim"; readonly run: number; }
    | { readonly kind: "claim-outcome"; readonly key: string; readonly value: string; readonly expected: number; }
    | { readonly kind: "configuration-version"; }
    | { readonly kind: "configuration-head"; }
    | { readonly kind: "configuration-part"; readonly digest: string; };

/** A task of the timer queue. */
export type Task =
    | { readonly kind: "ledger"; readonly account: AccountId; readonly at: number; }
    | { readonly kind: "budget-wait"; readonly run: number; }
    | { readonly kind: "witness-wait"; readonly run: number; readonly since: number; }
    | { readonly kind: "deadline"; readonly run: number; }
    | { readonly kind: "progress"; readonly run: number; readonly dispatch: number; }
    | { readonly kind: "bill-wait"; readonly run: number; }
    | { readonly kind: "forget-run"; readonly run: number; }
    | { readonly kind: "orphan"; readonly run: number; }
    | { readonly kind: "heartbeat"; }
    | { readonly kind: "probe"; }
    | { readonly kind: "configuration"; }
    | { readonly kind: "queue"; readonly server: string; }
    | { readonly kind: "lane"; readonly lane: string; }
    | { readonly kind: "lane-wait"; readonly run: number; }
    | { readonly kind: "retry"; readonly run: number; }
    | { readonly kind: "lend"; readonly transfer: TransferId; }
    | { readonly kind: "claim-outcome"; readonly key: string; readonly value: string; readonly expected: number; }
    | { readonly kind: "drain"; };

/** Incarnation, address and failure domain of a router. */
export type RouterIdentity = {
    readonly incarnation: Incarnation;
    readonly address: string;
    readonly domain: FailureDomain;
};

/** All state tables of one router. Only tick and the systems change them. */
export type World = {
    readonly self: RouterIdentity;
    readonly policy: Policy;
    readonly random: Random;
    snapshot: Snapshot;
    configuration: Configuration;
    readonly declarationCache: DeclarationCache;
    /** Configuration head whose parts are still being read. */
    pendingHead: ConfigurationHead | undefined;
    /** Version, in the key-value service, of the configuration head that was read last. */
    storedHeadVersion: number | undefined;
    readonly parts: Map<string, string>;
    readonly accounts: Map<AccountId, AccountRow>;
    readonly runs: Map<number, Run>;
    readonly runsByKey: Map<KeyDigest, number>;
    readonly calls: Map<CallId, Call>;
    readonly endpoints: Map<EndpointId, EndpointRow>;
    readonly leavingEndpoints: Set<EndpointId>;
    /** Ids of runs that wait for an endpoint, by model or service. */
    readonly queues: Map<string, number[]>;
    /** Queues with a scheduled queue task. */
    readonly scheduledQueues: Set<string>;
    readonly serverUsedAt: Map<string, number>;
    /** Moving average of the time in ms that a request takes at an endpoint, by model or service. */
    readonly serviceTimes: Map<string, number>;
    readonly peers: Map<Incarnation, PeerRow>;
    /** Addresses of routers in the instance list. */
    readonly instances: Map<string, { leaving: boolean; }>;
    readonly witnessed: Map<Incarnation, WitnessRow>;
    /** Bills to send to the witnesses at the end of the tick. */
    unsentBills: WitnessedBill[];
    /** Bills that are not in the ledger yet, with the witnesses that they were sent to and that store them. */
    readonly openBills: Map<KeyDigest, OpenBill>;
    readonly billBatches: Map<number, readonly KeyDigest[]>;
    nextBillBatch: number;
    /** Uses that are neither billed nor closed, and the witnesses that have confirmed them. */
    readonly openUses: Map<string, OpenUseRow>;
    lastUseAt: number;
    unsentUses: WitnessedUse[];
    closedUses: ClosedUse[];
    /** Peers that witness this router's uses and bills. */
    witnesses: readonly Incarnation[];
    readonly outgoingTransfers: Map<TransferId, OutgoingTransfer>;
    readonly isolationQueues: Map<string, IsolationQueue>;
    readonly suspects: Map<BodyDigest, SuspectRow>;
    readonly poisonRequests: Map<BodyDigest, readonly ObservedCrash[]>;
    readonly keyValueCalls: Map<KeyValueCallId, KeyValuePurpose>;
    /** Time in ms since which the key-value service has not answered; undefined while it answers. */
    keyValueFailingSince: number | undefined;
    readonly due: DueQueue<Task>;
    effects: Effect[];
    retryTokens: number;
    nextRunId: number;
    nextKeyValueCallId: number;
    nextOperationNumber: number;
    /** Number of accounts with a scheduled write. */
    scheduledWrites: number;
    epoch: number;
    heartbeatSequence: number;
    drainingSince: number | undefined;
    drained: boolean;
};

/** Options of createWorld. */
export type WorldOptions = {
    readonly self: RouterIdentity;
    readonly seed: number;
    readonly now: number;
    readonly policy?: Partial<Policy>;
};

/** Creates the state of a router that starts now, and schedules its periodic tasks. */
export function createWorld(options: WorldOptions): World {
    const policy = { ...defaultPolicy, ...options.policy };
    const world: World = {
        self: options.self,
        policy,
        random: createRandom(options.seed),
        snapshot: { version: 0, files: {} },
        configuration: emptyConfiguration,
        declarationCache: new Map(),
        pendingHead: undefined,
        storedHeadVersion: undefined,
        parts: new Map(),
        accounts: new Map(),
        runs: new Map(),
        runsByKey: new Map(),
        calls: new Map(),
        endpoints: new Map(),
        leavingEndpoints: new Set(),
        queues: new Map(),
        scheduledQueues: new Set(),
        serverUsedAt: new Map(),
        serviceTimes: new Map(),
        peers: new Map(),
        instances: new Map(),
        witnessed: new Map(),
        unsentBills: [],
        openBills: new Map(),
        billBatches: new Map(),
        nextBillBatch: 1,
        openUses: new Map(),
        lastUseAt: -Infinity,
        unsentUses: [],
        closedUses: [],
        witnesses: [],
        outgoingTransfers: new Map(),
        isolationQueues: new Map(),
        suspects: new Map(),
        poisonRequests: new Map(),
        keyValueCalls: new Map(),
        keyValueFailingSince: undefined,
        due: createDueQueue(),
        effects: [],
        retryTokens: policy.retryBurst,
        nextRunId: 1,
        nextKeyValueCallId: 1,
        nextOperationNumber: 1,
        scheduledWrites: 0,
        epoch: 0,
        heartbeatSequence: 0,
        drainingSince: undefined,
        drained: false,
    };
    world.due.entries.push({ at: options.now, task: { kind: "configuration" } });
    world.due.entries.push({ at: options.now, task: { kind: "heartbeat" } });
    world.due.entries.push({ at: options.now, task: { kind: "probe" } });
    return world;
}

/** Returns the row of an account, created on first use. */
export function accountRow(world: World, id: AccountId): AccountRow {
    const existing = world.accounts.get(id);
    if (existing !== undefined) {
        return existing;
    }
    const row: AccountRow = {
        id,
        budgets: new Map(),
        stored: undefined,
        callInFlight: false,
        pendingWrite: undefined,
        pages: new Map(),
        seal: undefined,
        sealing: false,
        settlements: [],
        transfers: [],
        writtenTransfers: [],
        receivedTransfers: new Map(),
        recoveries: [],
        epoch: 0,
        witnesses: [],
        committedAt: -Infinity,
        writtenAt: -Infinity,
        dueAt: Infinity,
        failures: 0,
        fenced: false,
        generation: 1,
        waiting: [],
        pendingLenders: new Set(),
        borrowRequestedAt: -Infinity,
        borrowers: new Set(),
        recalledUntil: -Infinity,
        activeRuns: 0,
        witnessReports: new Map(),
        recoveryRequestedAt: -Infinity,
    };
    world.accounts.set(id, row);
    return row;
}

/** Returns the row of a budget, created on first use. */
export function budgetRow(account: AccountRow, id: BudgetId, now: number): BudgetRow {
    const existing = account.budgets.get(id);
    if (existing !== undefined) {
        return existing;
    }
    const row: BudgetRow = {
        id,
        held: 0,
        reserved: 0,
        unsettled: 0,
        lent: 0,
        borrowed: 0,
        used: 0,
        rate: 0,
        rateAt: now,
        rateCoverage: 0,
        averageWorstCaseTokens: 0,
        lastUsedAt: now,
        openRuns: 0,
    };
    account.budgets.set(id, row);
    return row;
}

/** Returns the row of an endpoint, created on first use. */
export function endpointRow(world: World, id: EndpointId): EndpointRow {
    const existing = world.endpoints.get(id);
    if (existing !== undefined) {
        return existing;
    }
    const row: EndpointRow = {
        id,
        report: undefined,
        reportedAt: -Infinity,
        reportProbedAt: -Infinity,
        ownRunsAtReport: 0,
        ownRuns: new Set(),
        failures: 0,
        ejections: 0,
        ejectedUntil: -Infinity,
        leaving: world.leavingEndpoints.has(id),
        probedAt: -Infinity,
    };
    world.endpoints.set(id, row);
    return row;
}

/** Returns a new id for a write of this router. */
export function nextOperation(world: World): OperationId {
    return `${world.self.incarnation}.${world.nextOperationNumber++}` as OperationId;
}

/** Records a decision on a request, with the figures that it was based on. */
export function trace(
    world: World,
    now: number,
    request: { account: AccountId; key: RequestKey; },
    decision: string,
    figures: Record<string, number | string>,
): void {
    const entry = { at: now, account: request.account, key: request.key, decision, figures };
    world.effects.push({ kind: "trace", trace: entry });
}
