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
    LaneRow,
    LendRow,
    OpenBill,
    OpenUseRow,
    PeerRow,
    Run,
    SeenCrash,
    SuspectRow,
    WitnessRow,
} from "./types/rows.js";

/** What a key-value call was made for. */
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

/** Who a router is. */
export type Identity = {
    readonly incarnation: Incarnation;
    readonly address: string;
    readonly domain: FailureDomain;
};

/** All tables of one router. Systems read and change them; nothing else does. */
export type World = {
    readonly self: Identity;
    readonly policy: Policy;
    readonly random: Random;
    snapshot: Snapshot;
    configuration: Configuration;
    readonly declarations: DeclarationCache;
    /** The pointer whose parts are being read. */
    head: ConfigurationHead | undefined;
    /** Version of the stored pointer that was read last. */
    headVersion: number | undefined;
    readonly parts: Map<string, string>;
    readonly accounts: Map<AccountId, AccountRow>;
    readonly runs: Map<number, Run>;
    readonly runsByKey: Map<KeyDigest, number>;
    readonly calls: Map<CallId, Call>;
    readonly endpoints: Map<EndpointId, EndpointRow>;
    readonly leavingEndpoints: Set<EndpointId>;
    /** Runs that wait for an endpoint, by what they need. */
    readonly queues: Map<string, number[]>;
    /** Queues that a timer looks after. */
    readonly tendedQueues: Set<string>;
    readonly serverUsedAt: Map<string, number>;
    /** Moving average of a request's time at an endpoint, by model or service. */
    readonly serviceTimes: Map<string, number>;
    readonly peers: Map<Incarnation, PeerRow>;
    /** Addresses of routers that the instance list names. */
    readonly instances: Map<string, { leaving: boolean; }>;
    readonly witnessed: Map<Incarnation, WitnessRow>;
    /** Bills to offer to the witnesses at the end of the tick. */
    unkeptBills: WitnessedBill[];
    /** Bills that the ledger does not have, with the peers that were offered them and that keep them. */
    readonly openBills: Map<KeyDigest, OpenBill>;
    readonly billBatches: Map<number, readonly KeyDigest[]>;
    nextBatch: number;
    /** Uses that may still be on their way, and the witnesses that know of them. */
    readonly openUses: Map<string, OpenUseRow>;
    lastUseAt: number;
    unsentUses: WitnessedUse[];
    closedUses: ClosedUse[];
    /** Peers that witness this router's uses and bills. */
    witnesses: readonly Incarnation[];
    readonly lends: Map<TransferId, LendRow>;
    readonly lanes: Map<string, LaneRow>;
    readonly suspects: Map<BodyDigest, SuspectRow>;
    readonly convicts: Map<BodyDigest, readonly SeenCrash[]>;
    readonly keyValueCalls: Map<KeyValueCallId, KeyValuePurpose>;
    /** Time since which the key-value service has not answered, if it fails. */
    keyValueFailingSince: number | undefined;
    readonly due: DueQueue<Task>;
    effects: Effect[];
    retryTokens: number;
    nextRun: number;
    nextCall: number;
    nextOperation: number;
    /** Accounts with a write that is due some time. */
    pendingWrites: number;
    epoch: number;
    heartbeatSequence: number;
    drainingSince: number | undefined;
    drained: boolean;
};

/** What a world is created from. */
export type WorldOptions = {
    readonly self: Identity;
    readonly seed: number;
    readonly now: number;
    readonly policy?: Partial<Policy>;
};

/** Creates the tables of a router that starts now, with its periodic tasks scheduled. */
export function createWorld(options: WorldOptions): World {
    const policy = { ...defaultPolicy, ...options.policy };
    const world: World = {
        self: options.self,
        policy,
        random: createRandom(options.seed),
        snapshot: { version: 0, files: {} },
        configuration: emptyConfiguration,
        declarations: new Map(),
        head: undefined,
        headVersion: undefined,
        parts: new Map(),
        accounts: new Map(),
        runs: new Map(),
        runsByKey: new Map(),
        calls: new Map(),
        endpoints: new Map(),
        leavingEndpoints: new Set(),
        queues: new Map(),
        tendedQueues: new Set(),
        serverUsedAt: new Map(),
        serviceTimes: new Map(),
        peers: new Map(),
        instances: new Map(),
        witnessed: new Map(),
        unkeptBills: [],
        openBills: new Map(),
        billBatches: new Map(),
        nextBatch: 1,
        openUses: new Map(),
        lastUseAt: -Infinity,
        unsentUses: [],
        closedUses: [],
        witnesses: [],
        lends: new Map(),
        lanes: new Map(),
        suspects: new Map(),
        convicts: new Map(),
        keyValueCalls: new Map(),
        keyValueFailingSince: undefined,
        due: createDueQueue(),
        effects: [],
        retryTokens: policy.retryBurst,
        nextRun: 1,
        nextCall: 1,
        nextOperation: 1,
        pendingWrites: 0,
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
    const known = world.accounts.get(id);
    if (known !== undefined) {
        return known;
    }
    const row: AccountRow = {
        id,
        budgets: new Map(),
        stored: undefined,
        busy: false,
        write: undefined,
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
        lenders: new Set(),
        lentAskedAt: -Infinity,
        borrowers: new Set(),
        recalledUntil: -Infinity,
        runningRuns: 0,
        testimonies: new Map(),
        recoveryAskedAt: -Infinity,
    };
    world.accounts.set(id, row);
    return row;
}

/** Returns the row of a budget, created on first use. */
export function budgetRow(account: AccountRow, id: BudgetId, now: number): BudgetRow {
    const known = account.budgets.get(id);
    if (known !== undefined) {
        return known;
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
        rateSeen: 0,
        typicalWorst: 0,
        lastUsedAt: now,
        openRuns: 0,
    };
    account.budgets.set(id, row);
    return row;
}

/** Returns the row of an endpoint, created on first use. */
export function endpointRow(world: World, id: EndpointId): EndpointRow {
    const known = world.endpoints.get(id);
    if (known !== undefined) {
        return known;
    }
    const row: EndpointRow = {
        id,
        report: undefined,
        reportedAt: -Infinity,
        reportProbedAt: -Infinity,
        ownAtReport: 0,
        running: new Set(),
        failures: 0,
        ejections: 0,
        ejectedUntil: -Infinity,
        leaving: world.leavingEndpoints.has(id),
        probedAt: -Infinity,
    };
    world.endpoints.set(id, row);
    return row;
}

/** Creates an id for a write of this router. */
export function nextOperation(world: World): OperationId {
    return `${world.self.incarnation}.${world.nextOperation++}` as OperationId;
}

/** Records a decision on a request with the figures it was taken on. */
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
