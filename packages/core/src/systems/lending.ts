import type { LedgerTransfer } from "../ledger/reconcile.js";
import { schedule } from "../support/due-queue.js";
import { rendezvousOrder } from "../support/rendezvous.js";
import type { AccountId, BudgetId, Incarnation, TransferId } from "../types/ids.js";
import { type AccountRow, accountRow, budgetRow, type World } from "../world.js";
import { holderIncarnation, holderName, spendableTokens } from "./budgets.js";
import { otherHolders, requestPacedWrite, requestWrite } from "./ledger.js";
import { isLive, livePeers, sendToPeer } from "./peers.js";
import { askToOpenReserve } from "./witness.js";

const BORROW_INTERVAL_MS = 300;
const LEND_RETRY_MS = 500;
const RECALL_MS = 10_000;
const MOST_LENDERS = 6;

/** Asks the other holders of a budget for tokens. Returns false when there is nobody to ask. */
export function askToLend(world: World, account: AccountRow, budget: BudgetId, tokens: number, now: number): boolean {
    if (account.lenders.size > 0 && now - account.lentAskedAt < BORROW_INTERVAL_MS) {
        return true;
    }
    const holders = otherHolders(world, account).map(holderIncarnation).filter((peer) => isLive(world, peer, now));
    const peers = holders.length > 0 ? holders : rendezvousOrder(account.id, livePeers(world, now));
    const lenders = peers.slice(0, MOST_LENDERS);
    account.lenders = new Set(lenders);
    account.lentAskedAt = now;
    const holder = holderName(world, account);
    for (const lender of lenders) {
        sendToPeer(world, lender, { kind: "borrow", holder, account: account.id, budget, tokens });
    }
    return lenders.length > 0;
}

/** Lends what a peer asks for, or returns what is not used to the ledger. */
export function lend(
    world: World,
    from: Incarnation,
    request: {
        readonly holder: Incarnation;
        readonly account: AccountId;
        readonly budget: BudgetId;
        readonly tokens: number;
    },
    now: number,
): void {
    const account = world.accounts.get(request.account);
    const row = account?.budgets.get(request.budget);
    if (account === undefined || row === undefined) {
        sendToPeer(world, from, { kind: "borrow-refused", account: request.account });
        return;
    }
    // Borrowed tokens are not lent on: the ledger may not show them as this router's yet.
    const lendable = Math.max(0, spendableTokens(world, account, row, now) - row.borrowed);
    const tokens = Math.min(request.tokens, lendable);
    if (tokens > 0) {
        sendTransfer(world, account, from, { ...request, tokens }, now);
    }
    if (tokens === request.tokens) {
        return;
    }
    if (world.keyValueFailingSince !== undefined || (row.reserve === 0 && row.held <= row.reserved + row.unsettled)) {
        openOwnReserve(world, row.reserve, now);
        sendToPeer(world, from, { kind: "borrow-refused", account: request.account });
        return;
    }
    account.borrowers.add(from);
    account.recalledUntil = now + RECALL_MS;
    requestWrite(world, account, now);
}

function openOwnReserve(world: World, reserve: number, now: number): void {
    if (world.keyValueFailingSince !== undefined && reserve > 0) {
        askToOpenReserve(world, now);
    }
}

function sendTransfer(
    world: World,
    account: AccountRow,
    to: Incarnation,
    request: { readonly holder: Incarnation; readonly budget: BudgetId; readonly tokens: number; },
    now: number,
): void {
    const transfer: LedgerTransfer = {
        id: `${world.self.incarnation}.${world.nextOperation++}` as TransferId,
        budget: request.budget,
        from: holderName(world, account),
        to: request.holder,
        tokens: request.tokens,
    };
    budgetRow(account, request.budget, now).lent += request.tokens;
    world.lends.set(transfer.id, { to, account: account.id, transfer });
    resendTransfer(world, transfer.id, now);
}

/** Sends a transfer again until its receiver has acknowledged it. */
export function resendTransfer(world: World, id: TransferId, now: number): void {
    const row = world.lends.get(id);
    if (row === undefined) {
        return;
    }
    sendToPeer(world, row.to, { kind: "lend", account: row.account, transfer: row.transfer });
    schedule(world.due, now + LEND_RETRY_MS, { kind: "lend", transfer: id });
}

/** Takes in a transfer, once. */
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
    account.receivedTransfers.add(transfer.id);
    account.transfers.push(transfer);
    budgetRow(account, transfer.budget, now).borrowed += transfer.tokens;
    account.lenders.delete(from);
    requestPacedWrite(world, account, now);
    return account;
}

/** Writes a transfer down once its receiver has it: an earlier write could be counted twice there. */
export function noteReceived(world: World, id: TransferId, now: number): void {
    const row = world.lends.get(id);
    if (row === undefined) {
        return;
    }
    world.lends.delete(id);
    const account = accountRow(world, row.account);
    account.transfers.push(row.transfer);
    requestPacedWrite(world, account, now);
}

/** Tells the peers that asked that unused allowance was returned. */
export function announceReturned(world: World, account: AccountRow): void {
    for (const borrower of account.borrowers) {
        sendToPeer(world, borrower, { kind: "allowance-returned", account: account.id });
    }
    account.borrowers.clear();
}
