import type { AllowanceRequest } from "../ledger/reconcile.js";
import type { AccountRow, BudgetRow } from "../types/rows.js";
import type { World } from "../world.js";

const USAGE_RATE_WINDOW_MS = 30_000;
const WORST_CASE_AVERAGE_WEIGHT = 0.1;
const MIN_SLACK_REQUESTS = 4;

/** Returns the tokens that may be spent now, whether or not a write in flight is applied. */
export function spendableTokens(world: World, account: AccountRow, row: BudgetRow, now: number): number {
    if (account.fenced || now - account.committedAt > world.policy.holderFenceMs) {
        return 0;
    }
    const openTokens = row.reserved + row.unsettled;
    const withoutWrite = row.held + row.borrowed - row.lent - openTokens;
    const write = account.pendingWrite;
    const holding = write?.holdings.get(row.id);
    if (write === undefined || holding === undefined) {
        return withoutWrite;
    }
    const settled = sumTokens(write.settlements.filter((settlement) => settlement.budget === row.id));
    const countedTransfers = write.transfers.filter((transfer) => account.transfers.includes(transfer));
    const lent = sumTokens(countedTransfers.filter((transfer) => isLentTransfer(world, account, row, transfer)));
    const borrowed = sumTokens(
        countedTransfers.filter((transfer) => isBorrowedTransfer(world, account, row, transfer)),
    );
    const withWrite = holding.allowance + (row.borrowed - borrowed) - (row.lent - lent)
        - row.reserved - (row.unsettled - settled);
    return Math.min(withoutWrite, withWrite);
}

/** Returns the name of this router's entry in an account's record. */
export function holderName(world: World, account: AccountRow): World["self"]["incarnation"] {
    const name = account.generation === 1 ? world.self.incarnation : `${world.self.incarnation}~${account.generation}`;
    return name as World["self"]["incarnation"];
}

/** Returns the incarnation that a holder's name belongs to. */
export function holderIncarnation(name: World["self"]["incarnation"]): World["self"]["incarnation"] {
    return name.split("~")[0] as World["self"]["incarnation"];
}

function isLentTransfer(
    world: World,
    account: AccountRow,
    row: BudgetRow,
    transfer: { budget: string; from: string; },
): boolean {
    return transfer.budget === row.id && transfer.from === holderName(world, account);
}

function isBorrowedTransfer(
    world: World,
    account: AccountRow,
    row: BudgetRow,
    transfer: { budget: string; to: string; },
): boolean {
    return transfer.budget === row.id && transfer.to === holderName(world, account);
}

/** Returns the transfers of a budget that this router received and has not written to the ledger. */
export function borrowedTransfers(world: World, account: AccountRow, row: BudgetRow): AccountRow["transfers"] {
    return account.transfers.filter((transfer) => isBorrowedTransfer(world, account, row, transfer));
}

/** Returns the sum of the tokens of some items. */
export function sumTokens(items: Iterable<{ readonly tokens: number; }>): number {
    let sum = 0;
    for (const item of items) {
        sum += item.tokens;
    }
    return sum;
}

/** Reserves the worst-case tokens of a request. Returns false when they are not available. */
export function reserveTokens(
    world: World,
    account: AccountRow,
    row: BudgetRow,
    tokens: number,
    now: number,
): boolean {
    row.lastUsedAt = now;
    if (spendableTokens(world, account, row, now) < tokens) {
        return false;
    }
    row.averageWorstCaseTokens += (tokens - row.averageWorstCaseTokens)
        * (row.averageWorstCaseTokens === 0 ? 1 : WORST_CASE_AVERAGE_WEIGHT);
    row.reserved += tokens;
    row.openRuns++;
    return true;
}

/** Releases a reservation without billing any use. */
export function releaseTokens(row: BudgetRow, tokens: number): void {
    row.reserved -= tokens;
    row.openRuns--;
}

/** Replaces a reservation by the tokens used, which are still to be billed. */
export function recordUsedTokens(row: BudgetRow, reserved: number, used: number): void {
    releaseTokens(row, reserved);
    row.unsettled += used;
    row.used += used;
}

/** Updates the moving average of tokens used per ms. */
export function updateRate(row: BudgetRow, now: number): void {
    const elapsed = now - row.rateAt;
    if (elapsed <= 0) {
        return;
    }
    // Corrects for the part of the window not covered yet; otherwise the average starts too low.
    const coverage = 1 - (1 - row.rateCoverage) * Math.exp(-elapsed / USAGE_RATE_WINDOW_MS);
    const weight = (1 - Math.exp(-elapsed / USAGE_RATE_WINDOW_MS)) / coverage;
    row.rate += (row.used / elapsed - row.rate) * weight;
    row.rateCoverage = coverage;
    row.used = 0;
    row.rateAt = now;
}

/** Computes the allowance of a budget that this router needs. */
export function computeAllowanceRequest(
    world: World,
    account: AccountRow,
    row: BudgetRow,
    needed: number,
    now: number,
): AllowanceRequest {
    updateRate(row, now);
    const committed = row.reserved + row.lent
        - sumTokens(account.transfers.filter((it) => isLentTransfer(world, account, row, it)));
    const idle = now - row.lastUsedAt > world.policy.idleReturnMs;
    const drained = world.drainingSince !== undefined && account.activeRuns === 0;
    if (idle || drained || now < account.recalledUntil) {
        return { budget: row.id, committed, needed, slack: 0 };
    }
    const slack = Math.ceil(
        Math.max(row.rate * world.policy.allowanceMs, MIN_SLACK_REQUESTS * row.averageWorstCaseTokens),
    );
    return { budget: row.id, committed, needed, slack };
}
