import type { Want } from "../ledger/reconcile.js";
import type { AccountRow, BudgetRow } from "../types/rows.js";
import type { World } from "../world.js";

const RATE_WINDOW_MS = 30_000;
const WORST_CASE_WEIGHT = 0.1;
const FEWEST_REQUESTS = 4;

/** Returns the tokens that may be spent now, whichever way a write on its way ends. */
export function spendableTokens(world: World, account: AccountRow, row: BudgetRow, now: number): number {
    if (account.fenced || now - account.committedAt > world.policy.holderFenceMs) {
        return 0;
    }
    const open = row.reserved + row.unsettled;
    const withoutWrite = row.held + row.borrowed - row.lent - open;
    const write = account.write;
    const holding = write?.holdings.get(row.id);
    if (write === undefined || holding === undefined) {
        return withoutWrite;
    }
    const settled = sumTokens(write.settlements.filter((settlement) => settlement.budget === row.id));
    const counted = write.transfers.filter((transfer) => account.transfers.includes(transfer));
    const lent = sumTokens(counted.filter((transfer) => isLent(world, account, row, transfer)));
    const borrowed = sumTokens(counted.filter((transfer) => isBorrowed(world, account, row, transfer)));
    const withWrite = holding.allowance + (row.borrowed - borrowed) - (row.lent - lent)
        - row.reserved - (row.unsettled - settled);
    return Math.min(withoutWrite, withWrite);
}

/** Returns the name under which this router stands in an account's record. */
export function holderName(world: World, account: AccountRow): World["self"]["incarnation"] {
    const name = account.generation === 1 ? world.self.incarnation : `${world.self.incarnation}~${account.generation}`;
    return name as World["self"]["incarnation"];
}

/** Returns the incarnation behind a holder's name. */
export function holderIncarnation(name: World["self"]["incarnation"]): World["self"]["incarnation"] {
    return name.split("~")[0] as World["self"]["incarnation"];
}

function isLent(
    world: World,
    account: AccountRow,
    row: BudgetRow,
    transfer: { budget: string; from: string; },
): boolean {
    return transfer.budget === row.id && transfer.from === holderName(world, account);
}

function isBorrowed(
    world: World,
    account: AccountRow,
    row: BudgetRow,
    transfer: { budget: string; to: string; },
): boolean {
    return transfer.budget === row.id && transfer.to === holderName(world, account);
}

/** Returns the transfers of a budget that this router received and has not written. */
export function borrowedTransfers(world: World, account: AccountRow, row: BudgetRow): AccountRow["transfers"] {
    return account.transfers.filter((transfer) => isBorrowed(world, account, row, transfer));
}

/** Returns the sum of the tokens of some items. */
export function sumTokens(items: Iterable<{ readonly tokens: number; }>): number {
    let sum = 0;
    for (const item of items) {
        sum += item.tokens;
    }
    return sum;
}

/** Reserves the worst case of a request. Returns false when it is not at hand. */
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
    row.typicalWorst += (tokens - row.typicalWorst) * (row.typicalWorst === 0 ? 1 : WORST_CASE_WEIGHT);
    row.reserved += tokens;
    row.openRuns++;
    return true;
}

/** Gives back a reservation of which nothing was used. */
export function releaseTokens(row: BudgetRow, tokens: number): void {
    row.reserved -= tokens;
    row.openRuns--;
}

/** Turns a reservation into a use that is to be billed. */
export function useTokens(row: BudgetRow, reserved: number, used: number): void {
    releaseTokens(row, reserved);
    row.unsettled += used;
    row.used += used;
}

/** Updates the moving rate of use. */
export function updateRate(row: BudgetRow, now: number): void {
    const elapsed = now - row.rateAt;
    if (elapsed <= 0) {
        return;
    }
    // A young average counts only as much as it has seen, so that it is not too low at first.
    const seen = 1 - (1 - row.rateSeen) * Math.exp(-elapsed / RATE_WINDOW_MS);
    const weight = (1 - Math.exp(-elapsed / RATE_WINDOW_MS)) / seen;
    row.rate += (row.used / elapsed - row.rate) * weight;
    row.rateSeen = seen;
    row.used = 0;
    row.rateAt = now;
}

/** Computes what this router wants to hold of a budget. */
export function wantOf(world: World, account: AccountRow, row: BudgetRow, needed: number, now: number): Want {
    updateRate(row, now);
    const committed = row.reserved + row.lent
        - sumTokens(account.transfers.filter((it) => isLent(world, account, row, it)));
    const idle = now - row.lastUsedAt > world.policy.idleReturnMs;
    const drained = world.drainingSince !== undefined && account.runningRuns === 0;
    if (idle || drained || now < account.recalledUntil) {
        return { budget: row.id, committed, needed, slack: 0 };
    }
    const slack = Math.ceil(Math.max(row.rate * world.policy.allowanceMs, FEWEST_REQUESTS * row.typicalWorst));
    return { budget: row.id, committed, needed, slack };
}
