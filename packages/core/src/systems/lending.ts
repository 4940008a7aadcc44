import type { LedgerTransfer } from "../ledger/reconcile.js";
import { schedule } from "../support/due-queue.js";
import { rendezvousOrder } from "../support/rendezvous.js";
import type { AccountId, BudgetId, Incarnation, TransferId } from "../types/ids.js";
import type { AccountRow, OutgoingTransfer } from "../types/rows.js";
import { accountRow, budgetRow, type World } from "../world.js";
import { holderIncarnation, holderName, spendableTokens } from "./budgets.js";
import { otherHolders, requestPacedWrite, requestWrite } from "./ledger.js";
import { isLive, livePeers, sendToPeer } from "./peers.js";
import { allowUse, closeUse, openUse, resendUse } from "./witness.js";

const BORROW_INTERVAL_MS = 300;
const LEND_RETRY_MS = 500;
const RECALL_MS = 10_000;
const BORROW_MARGIN_REQUESTS = 8;
const BORROW_MARGIN_MS = 5_000;
const MAX_LENDERS = 6;
const WITNESS_TIMEOUT_MS = 1_200;

/** Requests a loan of tokens from other holders or live peers. Returns false when there are none. */
export function requestLoans(
    world: World,
    account: AccountRow,
    budget: BudgetId,
    tokens: number,
    now: number,
): boolean {
    if (account.pendingLenders.size > 0 && now - account.borrowRequestedAt < BORROW_INTERVAL_MS) {
        return true;
    }
    const holders = otherHolders(world, account).map(holderIncarnation).filter((peer) => isLive(world, peer, now));
    const peers = holders.length > 0 ? holders : rendezvousOrder(account.id, livePeers(world, now));
    const lenders = peers.slice(0, MAX_LENDERS);
    account.pendingLenders = new Set(lenders);
    account.borrowRequestedAt = now;
    const holder = holderName(world, account);
    const row = budgetRow(account, budget, now);
    const requestedTokens = tokens
        + Math.ceil(
            Math.max(
                BORROW_MARGIN_REQUESTS * Math.max(tokens, row.averageWorstCaseTokens),
                row.rate * BORROW_MARGIN_MS,
            ),
        );
    for (const lender of lenders) {
        sendToPeer(world, lender, {
            kind: "borrow",
            holder,
            account: account.id,
            budget,
            tokens,
            wanted: requestedTokens,
        });
    }
    return lenders.length > 0;
}

/** Handles a peer's borrow request: lends tokens, or returns unused allowance to the ledger, or refuses. */
export function handleBorrowRequest(
    world: World,
    from: Incarnation,
    request: {
        readonly holder: Incarnation;
        readonly account: AccountId;
        readonly budget: BudgetId;
        readonly tokens: number;
        readonly wanted: number;
    },
    now: number,
): void {
    const account = world.accounts.get(request.account);
    const row = account?.budgets.get(request.budget);
    if (account === undefined || row === undefined) {
        sendToPeer(world, from, { kind: "borrow-refused", account: request.account });
        return;
    }
    // Borrowed tokens are not lent to others: the ledger may not show them as this router's yet.
    const lendable = Math.max(0, spendableTokens(world, account, row, now) - row.borrowed);
    const tokens = Math.min(request.wanted, Math.max(Math.min(request.tokens, lendable), Math.floor(lendable / 2)));
    if (tokens > 0) {
        sendTransfer(world, account, from, { ...request, tokens }, now);
    }
    if (tokens >= request.tokens) {
        return;
    }
    if (world.keyValueFailingSince !== undefined || row.held <= row.reserved + row.unsettled) {
        sendToPeer(world, from, { kind: "borrow-refused", account: request.account });
        return;
    }
    account.borrowers.add(from);
    account.recalledUntil = now + RECALL_MS;
    requestWrite(world, account, now);
}

function sendTransfer(
    world: World,
    account: AccountRow,
    to: Incarnation,
    request: { readonly holder: Incarnation; readonly budget: BudgetId; readonly tokens: number; },
    now: number,
): void {
    const transfer: LedgerTransfer = {
        id: `${world.self.incarnation}.${world.nextOperationNumber++}` as TransferId,
        budget: request.budget,
        from: holderName(world, account),
        to: request.holder,
        tokens: request.tokens,
    };
    budgetRow(account, request.budget, now).lent += request.tokens;
    world.outgoingTransfers.set(transfer.id, { to, account: account.id, transfer, since: now, sent: false });
    const { id: key, budget, tokens } = transfer;
    const use = { holder: transfer.from, account: account.id, budget, key, tokens, epoch: account.epoch };
    openUse(world, account, use, now);
    resendTransfer(world, transfer.id, now);
}

/** Sends a transfer once a witness has recorded it, and repeats it until the receiver acknowledges it. */
export function resendTransfer(world: World, id: TransferId, now: number): void {
    const row = world.outgoingTransfers.get(id);
    if (row === undefined) {
        return;
    }
    const account = accountRow(world, row.account);
    if (!allowUse(world, account, id) && now - row.since > WITNESS_TIMEOUT_MS) {
        cancelTransfer(world, account, row, now);
        return;
    }
    if (allowUse(world, account, id)) {
        row.sent = true;
        sendToPeer(world, row.to, { kind: "lend", account: row.account, transfer: row.transfer });
    }
    else {
        resendUse(world, account, id);
    }
    schedule(world.due, now + LEND_RETRY_MS, { kind: "lend", transfer: id });
}

/** Sends a transfer that was waiting for a witness. */
export function continueTransfer(world: World, id: TransferId): void {
    const row = world.outgoingTransfers.get(id);
    if (row !== undefined && !row.sent && allowUse(world, accountRow(world, row.account), id)) {
        row.sent = true;
        sendToPeer(world, row.to, { kind: "lend", account: row.account, transfer: row.transfer });
    }
}

/** Cancels unsent transfers of one budget or of all, whose tokens this router no longer holds. */
export function cancelUnsentTransfers(world: World, account: AccountRow, now: number, budget?: BudgetId): void {
    for (const row of [...world.outgoingTransfers.values()]) {
        const matches = budget === undefined || row.transfer.budget === budget;
        if (row.account === account.id && matches && !row.sent) {
            cancelTransfer(world, account, row, now);
        }
    }
}

function cancelTransfer(world: World, account: AccountRow, row: OutgoingTransfer, now: number): void {
    world.outgoingTransfers.delete(row.transfer.id);
    closeUse(world, row.transfer.id);
    budgetRow(account, row.transfer.budget, now).lent -= row.transfer.tokens;
    sendToPeer(world, row.to, { kind: "borrow-refused", account: row.account });
}

/** Receives a transfer; repeats of it are acknowledged but not counted again. */
export function receiveTransfer(
    world: World,
    from: Incarnation,
    id: AccountId,
    transfer: LedgerTransfer,
    now: number,
): AccountRow {
    const account = accountRow(world, id);
    sendToPeer(world, from, { kind: "lend-received", transfer: transfer.id });
    if (account.receivedTransfers.has(transfer.id) || transfer.to !== holderName(world, account)) {
        return account;
    }
    account.receivedTransfers.set(transfer.id, now);
    account.transfers.push(transfer);
    if (account.committedAt === -Infinity) {
        account.committedAt = now;
    }
    budgetRow(account, transfer.budget, now).borrowed += transfer.tokens;
    account.pendingLenders.delete(from);
    requestPacedWrite(world, account, now);
    return account;
}

/** Schedules the ledger write of an acknowledged transfer. Written earlier, it could count twice at its receiver. */
export function recordTransferReceived(world: World, id: TransferId, now: number): void {
    const row = world.outgoingTransfers.get(id);
    if (row === undefined) {
        return;
    }
    world.outgoingTransfers.delete(id);
    const account = accountRow(world, row.account);
    account.transfers.push(row.transfer);
    requestPacedWrite(world, account, now);
}

/** Notifies peers whose borrow requests are pending that unused allowance was returned. */
export function notifyAllowanceReturned(world: World, account: AccountRow): void {
    for (const borrower of account.borrowers) {
        sendToPeer(world, borrower, { kind: "allowance-returned", account: account.id });
    }
    account.borrowers.clear();
}
