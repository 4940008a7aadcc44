import { freeTokens, parseRecord } from "../ledger/record.js";
import { schedule } from "../support/due-queue.js";
import type { AccountRow, Run } from "../types/rows.js";
import { accountRow, budgetRow, trace, type World } from "../world.js";
import { holderName, releaseTokens, reserveTokens, spendableTokens } from "./budgets.js";
import { requestPacedWrite, requestWrite } from "./ledger.js";
import { cancelUnsentTransfers, requestLoans } from "./lending.js";
import { refuseRun, seekEndpoint } from "./runs.js";
import { allowUse, closeUse, hasLiveWitness, openUse, pendingUses, resendUse } from "./witness.js";

const BUDGET_EXHAUSTED_RETRY_AFTER_MS = 60_000;
const BUDGET_WAIT_RETRY_AFTER_MS = 2_000;
const SHORT_RETRY_AFTER_MS = 1_000;

/** Reserves the worst-case tokens of a run, or queues it until tokens are available. */
export function acquireTokens(world: World, run: Run, now: number): void {
    const account = accountRow(world, run.arrival.account);
    const row = budgetRow(account, run.arrival.budget, now);
    if (reserveTokens(world, account, row, run.worstCaseTokens, now)) {
        continueReserved(world, account, run, now);
        return;
    }
    account.waiting.push(run.id);
    schedule(world.due, now + world.policy.budgetWaitMs, { kind: "budget-wait", run: run.id });
    requestWrite(world, account, now);
    if (world.keyValueFailingSince !== undefined) {
        requestLoansInOutage(world, account, run, now);
    }
}

function continueReserved(world: World, account: AccountRow, run: Run, now: number): void {
    run.reserved = run.worstCaseTokens;
    const row = budgetRow(account, run.arrival.budget, now);
    const left = spendableTokens(world, account, row, now);
    trace(world, now, run.arrival, "reserved", { tokens: run.worstCaseTokens, left });
    if (left < row.averageWorstCaseTokens) {
        requestPacedWrite(world, account, now);
    }
    requestWitness(world, account, run, now);
}

// No byte is sent to an endpoint before a witness has recorded the use; otherwise the tokens could be returned to the
// ledger as unused.
function requestWitness(world: World, account: AccountRow, run: Run, now: number): void {
    run.state = "witness";
    const use = {
        holder: holderName(world, account),
        account: account.id,
        budget: run.arrival.budget,
        key: run.keyDigest,
        tokens: run.worstCaseTokens,
        epoch: account.epoch,
    };
    if (openUse(world, account, use, now)) {
        seekEndpoint(world, run, now);
        return;
    }
    const wait = { kind: "witness-wait", run: run.id, since: now } as const;
    schedule(world.due, now + world.policy.witnessRetryMs, wait);
    if (!hasLiveWitness(world, account, now)) {
        requestWrite(world, account, now);
    }
}

/** Continues a run once a witness has recorded its use. */
export function continueWitnessed(world: World, run: Run, now: number): void {
    const account = accountRow(world, run.arrival.account);
    if (run.state === "witness" && allowUse(world, account, run.keyDigest)) {
        seekEndpoint(world, run, now);
    }
}

/**
 * Cancels unsent transfers and unwitnessed uses of budgets that a ledger write shows to be overcommitted: their
 * tokens were returned to the ledger while this router was unresponsive.
 */
export function cancelUncoveredUses(world: World, account: AccountRow, now: number): void {
    for (const row of account.budgets.values()) {
        if (spendableTokens(world, account, row, now) < 0) {
            cancelUnsentTransfers(world, account, now, row.id);
        }
        for (const key of spendableTokens(world, account, row, now) < 0 ? pendingUses(world, account) : []) {
            const run = world.runs.get(world.runsByKey.get(key as Run["keyDigest"]) ?? 0);
            if (run !== undefined && run.state === "witness" && run.arrival.budget === row.id) {
                requeueForTokens(world, account, run, now);
            }
        }
    }
}

function requeueForTokens(world: World, account: AccountRow, run: Run, now: number): void {
    releaseTokens(budgetRow(account, run.arrival.budget, now), run.reserved);
    run.reserved = 0;
    run.state = "budget";
    closeUse(world, run.keyDigest);
    account.waiting.push(run.id);
    schedule(world.due, now + world.policy.budgetWaitMs, { kind: "budget-wait", run: run.id });
}

/** Offers the use of a waiting run to the witnesses again, or refuses the run after `budgetWaitMs`. */
export function retryWitness(world: World, run: Run, since: number, now: number): void {
    if (run.state !== "witness") {
        return;
    }
    if (now - since > world.policy.budgetWaitMs) {
        refuseRun(world, run, "witness-unavailable", SHORT_RETRY_AFTER_MS, now);
        return;
    }
    const account = accountRow(world, run.arrival.account);
    resendUse(world, account, run.keyDigest);
    if (!hasLiveWitness(world, account, now)) {
        requestWrite(world, account, now);
    }
    schedule(world.due, now + world.policy.witnessRetryMs, { kind: "witness-wait", run: run.id, since });
}

/** Reserves tokens that have become available for waiting runs. */
export function reserveForWaitingRuns(world: World, account: AccountRow, now: number): void {
    const waiting = account.waiting;
    account.waiting = [];
    for (const id of waiting) {
        const run = world.runs.get(id);
        if (run === undefined) {
            continue;
        }
        const row = budgetRow(account, run.arrival.budget, now);
        if (reserveTokens(world, account, row, run.worstCaseTokens, now)) {
            continueReserved(world, account, run, now);
        }
        else {
            account.waiting.push(id);
        }
    }
}

/** Refuses runs still without tokens after a ledger write, or requests another write or loans for them. */
export function resolveWaitingRuns(world: World, account: AccountRow, now: number): void {
    const record = parseRecord(account.stored?.value);
    for (const id of [...account.waiting]) {
        const run = world.runs.get(id)!;
        const budget = run.arrival.budget;
        const totals = record.budgets[budget];
        if (totals === undefined || totals.granted - totals.billed < run.worstCaseTokens) {
            refuseRun(world, run, "budget-exhausted", BUDGET_EXHAUSTED_RETRY_AFTER_MS, now);
        }
        else if (run.arrivedAt >= account.writtenAt || freeTokens(record, budget) >= run.worstCaseTokens) {
            requestWrite(world, account, now);
        }
        else if (!requestLoans(world, account, budget, run.worstCaseTokens, now)) {
            refuseRun(world, run, "budget-held-elsewhere", SHORT_RETRY_AFTER_MS, now);
        }
    }
}

/** Requests loans from peers while the key-value service fails. */
export function requestLoansInOutage(world: World, account: AccountRow, run: Run, now: number): void {
    requestLoans(world, account, run.arrival.budget, run.worstCaseTokens, now);
}

/** Refuses a run whose wait for tokens has timed out. */
export function refuseAfterBudgetWait(world: World, run: Run, now: number): void {
    const account = accountRow(world, run.arrival.account);
    if (run.state !== "budget" || !account.waiting.includes(run.id)) {
        return;
    }
    const reason = account.fenced
        ? "fenced"
        : world.keyValueFailingSince === undefined && account.stored !== undefined
        ? "budget-held-elsewhere"
        : "ledger-unavailable";
    refuseRun(world, run, reason, BUDGET_WAIT_RETRY_AFTER_MS, now);
}
