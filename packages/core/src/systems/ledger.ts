import { parsePage } from "../ledger/pages.js";
import {
    type AllowanceRequest,
    type LedgerTransfer,
    reconcile,
    type WitnessedSettlements,
} from "../ledger/reconcile.js";
import { formatRecord, type Holder, ledgerKey, type LedgerRecord, parseRecord } from "../ledger/record.js";
import { schedule } from "../support/due-queue.js";
import { randomBelow } from "../support/random.js";
import type { AccountId, Incarnation, KeyDigest, TransferId } from "../types/ids.js";
import type { KeyValueResult, Versioned } from "../types/messages.js";
import type { AccountRow, LedgerWrite } from "../types/rows.js";
import { accountRow, nextOperation, type World } from "../world.js";
import { computeAllowanceRequest, holderName, sumTokens } from "./budgets.js";
import { compareAndSwapKey, readKey } from "./key-value.js";
import { readMissingPages, sealBills } from "./ledger-pages.js";
import { recoverLostHolders } from "./recovery.js";
import { closeBills, closeUse, witnessesFor } from "./witness.js";
import { witnessedSettlements } from "./witnessed.js";

const RETRY_JITTER_MS = 20;

/** Callbacks for the result of a ledger write. */
export type LedgerListener = {
    readonly committed: (world: World, account: AccountRow, write: LedgerWrite, now: number) => void;
    /** Another router closed this router's entry of the account. */
    readonly fenced: (world: World, account: AccountRow, now: number) => void;
    readonly failed: (world: World, account: AccountRow, now: number) => void;
};

/** Schedules a write of an account's record for the given time, unless an earlier one is scheduled. */
export function requestWrite(world: World, account: AccountRow, at: number): void {
    if (at >= account.dueAt) {
        return;
    }
    world.scheduledWrites += account.dueAt === Infinity ? 1 : 0;
    account.dueAt = at;
    schedule(world.due, at, { kind: "ledger", account: account.id, at });
}

/** Schedules a write that no request waits for, paced to keep the fleet within its rate of writes. */
export function requestPacedWrite(world: World, account: AccountRow, now: number): void {
    const routers = world.peers.size + 1;
    const pacedIntervalMs = 1000 * world.scheduledWrites * routers / world.policy.fleetWritesPerSecond;
    const intervalMs = Math.max(world.policy.reconcileIntervalMs, pacedIntervalMs);
    requestWrite(world, account, Math.max(now, account.writtenAt + intervalMs));
}

/** Starts the write that is due, unless a read or write of the account is in flight. */
export function runDueWrite(
    world: World,
    id: AccountId,
    at: number,
    listener: LedgerListener,
    now: number,
): void {
    const account = accountRow(world, id);
    if (account.dueAt !== at) {
        return;
    }
    account.dueAt = Infinity;
    world.scheduledWrites--;
    if (account.callInFlight) {
        return;
    }
    // The current record shows whether an unanswered write was applied.
    if (account.stored === undefined || account.pendingWrite !== undefined) {
        readRecord(world, account);
        return;
    }
    startWrite(world, account, listener, now);
}

function readRecord(world: World, account: AccountRow): void {
    account.callInFlight = true;
    readKey(world, ledgerKey(account.id), { kind: "ledger-read", account: account.id });
}

function startWrite(world: World, account: AccountRow, listener: LedgerListener, now: number): void {
    const stored = account.stored!;
    const record = parseRecord(stored.value);
    if (account.fenced && !startNewGeneration(account)) {
        requestWrite(world, account, now + world.policy.reconcileIntervalMs);
        return;
    }
    if (readMissingPages(world, account, record)) {
        return;
    }
    recoverLostHolders(world, account, record, now);
    const holder = holderName(world, account);
    const change = {
        operation: nextOperation(world),
        holder,
        now,
        witnesses: witnessesFor(world, account, now),
        epoch: ++world.epoch,
        settlements: [...account.settlements],
        transfers: [...account.transfers],
        seenTransfers: transfersToMarkSeen(world, account),
        allowanceRequests: computeAllowanceRequests(world, account, now),
        witnessed: witnessedSettlements(world, account.id, now),
        recoveries: [...account.recoveries],
        seal: account.seal,
        pages: account.pages,
        expectsEntry: holdsTokens(account),
    };
    const result = reconcile(record, change);
    if (result.fenced) {
        fence(world, account, listener, now);
        return;
    }
    account.pendingWrite = {
        operation: change.operation,
        expectedVersion: stored.version,
        value: formatRecord(record),
        epoch: change.epoch,
        witnesses: change.witnesses,
        settlements: change.settlements,
        transfers: change.transfers,
        seenTransfers: change.seenTransfers,
        witnessed: withoutPostponed(change.witnessed, result.postponed),
        recoveries: change.recoveries,
        seal: change.seal,
        holdings: result.holdings,
    };
    sendWrite(world, account, now);
}

function withoutPostponed(
    witnessed: readonly WitnessedSettlements[],
    postponed: readonly KeyDigest[],
): WitnessedSettlements[] {
    return witnessed.map(({ holder, settlements }) => ({
        holder,
        settlements: settlements.filter((settlement) => !postponed.includes(settlement.key)),
    }));
}

function sendWrite(world: World, account: AccountRow, now: number): void {
    const write = account.pendingWrite!;
    account.callInFlight = true;
    account.writtenAt = now;
    compareAndSwapKey(world, ledgerKey(account.id), write.expectedVersion, write.value, {
        kind: "ledger-write",
        account: account.id,
    });
}

function holdsTokens(account: AccountRow): boolean {
    for (const row of account.budgets.values()) {
        if (row.held > 0) {
            return true;
        }
    }
    return false;
}

function computeAllowanceRequests(world: World, account: AccountRow, now: number): AllowanceRequest[] {
    const needed = new Map<string, number>();
    for (const id of account.waiting) {
        const run = world.runs.get(id)!;
        needed.set(run.arrival.budget, (needed.get(run.arrival.budget) ?? 0) + run.worstCaseTokens);
    }
    return [...account.budgets.values()].map((row) =>
        computeAllowanceRequest(world, account, row, needed.get(row.id) ?? 0, now)
    );
}

/** Caches a page; once none is missing, the write continues. */
export function handlePageReply(
    world: World,
    id: AccountId,
    page: string,
    result: KeyValueResult,
    listener: LedgerListener,
    now: number,
): void {
    const account = accountRow(world, id);
    if (result.kind !== "value") {
        account.callInFlight = false;
        account.failures++;
        scheduleRetry(world, account, now);
        listener.failed(world, account, now);
        return;
    }
    account.pages.set(page, parsePage(result.current.value));
    const record = parseRecord(account.stored?.value);
    if (account.callInFlight && record.pages.every((entry) => account.pages.has(entry.id))) {
        account.callInFlight = false;
        requestWrite(world, account, now);
    }
}

/** Handles the key-value service's reply to an account's read or write. */
export function handleLedgerReply(
    world: World,
    id: AccountId,
    result: KeyValueResult,
    listener: LedgerListener,
    now: number,
): void {
    const account = accountRow(world, id);
    account.callInFlight = false;
    switch (result.kind) {
        case "applied":
            account.failures = 0;
            commit(world, account, { version: result.version, value: account.pendingWrite?.value }, listener, now);
            return;
        case "conflict":
        case "value":
            account.failures = 0;
            handleCurrentRecord(world, account, result.current, listener, now);
            return;
        case "unavailable":
        case "unknown":
            account.failures++;
            scheduleRetry(world, account, now);
            listener.failed(world, account, now);
            return;
    }
}

function scheduleRetry(world: World, account: AccountRow, now: number): void {
    const backoffMs = Math.min(world.policy.ledgerRetryMs, 50 * 2 ** Math.min(account.failures, 6));
    requestWrite(world, account, now + backoffMs + randomBelow(world.random, RETRY_JITTER_MS));
}

// Once the version has changed, an unanswered write either is the holder's last operation in the record, or can no
// longer be applied, because its expected version has been replaced.
function handleCurrentRecord(
    world: World,
    account: AccountRow,
    current: Versioned,
    listener: LedgerListener,
    now: number,
): void {
    const write = account.pendingWrite;
    if (write === undefined) {
        account.stored = current;
        startWrite(world, account, listener, now);
        return;
    }
    if (current.version === write.expectedVersion) {
        sendWrite(world, account, now);
        return;
    }
    const record = parseRecord(current.value);
    if (record.holders[holderName(world, account)]?.operation === write.operation) {
        commit(world, account, current, listener, now);
        return;
    }
    account.pendingWrite = undefined;
    account.stored = current;
    // Borrowed tokens may have been returned with this router's entry, so they are not spent until the next write
    // shows what is held. Lent tokens stay deducted, since the holdings are still the earlier ones.
    movePeerWrittenTransfers(world, account, record, (transfer) => transfer.to === holderName(world, account));
    account.failures++;
    requestWrite(world, account, now + randomBelow(world.random, RETRY_JITTER_MS * account.failures));
}

function commit(world: World, account: AccountRow, current: Versioned, listener: LedgerListener, now: number): void {
    const write = account.pendingWrite!;
    const record = parseRecord(current.value);
    account.pendingWrite = undefined;
    account.stored = current;
    account.epoch = write.epoch;
    account.witnesses = write.witnesses;
    account.committedAt = now;
    const settled = new Set(write.settlements);
    account.settlements = account.settlements.filter((settlement) => !settled.has(settlement));
    removeWrittenTransfers(world, account, write);
    movePeerWrittenTransfers(world, account, record, () => true);
    account.recoveries = account.recoveries.filter((recovery) => !write.recoveries.includes(recovery));
    for (const row of account.budgets.values()) {
        row.unsettled -= sumTokens(write.settlements.filter((settlement) => settlement.budget === row.id));
    }
    applyHoldings(account, record.holders[holderName(world, account)]);
    sealBills(world, account, record, write);
    listener.committed(world, account, write, now);
    scheduleNextWrite(world, account, record, now);
}

function applyHoldings(account: AccountRow, holder: Holder | undefined): void {
    for (const row of account.budgets.values()) {
        const holding = holder?.budgets[row.id];
        row.held = holding?.allowance ?? 0;
    }
}

// A written transfer is not marked as seen while a bill that it may have paid for is unwritten.
function transfersToMarkSeen(world: World, account: AccountRow): TransferId[] {
    const needed = new Set<TransferId>();
    for (const { bill } of world.openBills.values()) {
        bill.borrowed.forEach((transfer) => needed.add(transfer.id));
    }
    return account.writtenTransfers.map((transfer) => transfer.id).filter((id) => !needed.has(id));
}

function removeWrittenTransfers(world: World, account: AccountRow, write: LedgerWrite): void {
    const written = account.transfers.filter((transfer) => write.transfers.includes(transfer));
    for (const transfer of written) {
        removeTransferFromTotals(world, account, transfer);
    }
    account.transfers = account.transfers.filter((transfer) => !written.includes(transfer));
    account.writtenTransfers = [...account.writtenTransfers, ...written]
        .filter((transfer) => !write.seenTransfers.includes(transfer.id));
}

// The record just read already includes transfers that the other router wrote; they must not count twice.
function movePeerWrittenTransfers(
    world: World,
    account: AccountRow,
    record: LedgerRecord,
    matches: (transfer: LedgerTransfer) => boolean,
): void {
    const written = account.transfers.filter((transfer) =>
        record.transfers[transfer.id] !== undefined && matches(transfer)
    );
    for (const transfer of written) {
        removeTransferFromTotals(world, account, transfer);
    }
    account.transfers = account.transfers.filter((transfer) => !written.includes(transfer));
    account.writtenTransfers.push(...written);
}

function removeTransferFromTotals(world: World, account: AccountRow, transfer: LedgerTransfer): void {
    closeUse(world, transfer.id);
    const row = account.budgets.get(transfer.budget);
    if (row === undefined) {
        return;
    }
    if (transfer.from === holderName(world, account)) {
        row.lent -= transfer.tokens;
    }
    else {
        row.borrowed -= transfer.tokens;
    }
}

function scheduleNextWrite(world: World, account: AccountRow, record: LedgerRecord, now: number): void {
    if (hasUnwrittenChanges(account)) {
        requestPacedWrite(world, account, now);
        return;
    }
    if (record.holders[holderName(world, account)] !== undefined && holdsTokens(account)) {
        requestWrite(world, account, now + world.policy.idleReturnMs);
    }
}

/** Returns true when the account has changes that are not written to the ledger. */
export function hasUnwrittenChanges(account: AccountRow): boolean {
    return account.settlements.length + account.transfers.length + account.writtenTransfers.length
            + account.recoveries.length > 0;
}

function fence(world: World, account: AccountRow, listener: LedgerListener, now: number): void {
    account.fenced = true;
    closeBills(world, account.settlements.map((settlement) => settlement.key));
    account.settlements = [];
    account.transfers = [];
    account.writtenTransfers = [];
    account.recoveries = [];
    listener.fenced(world, account, now);
    requestWrite(world, account, now + world.policy.reconcileIntervalMs);
}

/** Switches to a new holder name once nothing is reserved of the closed entry. Returns false until then. */
export function startNewGeneration(account: AccountRow): boolean {
    if ([...account.budgets.values()].some((row) => row.reserved > 0)) {
        return false;
    }
    account.fenced = false;
    account.generation++;
    account.settlements = [];
    account.transfers = [];
    account.budgets.clear();
    return true;
}

/** Returns the other holders of an account's tokens according to the last record read or written. */
export function otherHolders(world: World, account: AccountRow): Incarnation[] {
    if (account.stored === undefined) {
        return [];
    }
    const record = parseRecord(account.stored.value);
    const self = holderName(world, account);
    return Object.keys(record.holders).filter((id) => id !== self) as Incarnation[];
}
