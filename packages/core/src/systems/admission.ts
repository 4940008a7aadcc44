import { freeTokens, parseRecord } from "../ledger/record.js";
import { schedule } from "../support/due-queue.js";
import type { AccountRow, Run } from "../types/rows.js";
import { accountRow, budgetRow, trace, type World } from "../world.js";
import { holderName, releaseTokens, reserveTokens, spendableTokens } from "./budgets.js";
import { requestPacedWrite, requestWrite } from "./ledger.js";
import { askToLend, cancelUnsentTransfers } from "./lending.js";
import { refuseRun, seekEndpoint } from "./runs.js";
import { allowUse, closeUse, hasLiveWitness, openUse, reofferUse, waitingUses } from "./witness.js";

const EXHAUSTED_RETRY_MS = 60_000;
const LEDGER_RETRY_MS = 2_000;
const SHORT_RETRY_MS = 1_000;

/** Reserves the worst case of a run, or has it wait for tokens. */
export function seekTokens(world: World, run: Run, now: number): void {
    const account = accountRow(world, run.arrival.account);
    const row = budgetRow(account, run.arrival.budget, now);
    if (reserveTokens(world, account, row, run.worst, now)) {
        noteReserved(world, account, run, now);
        return;
    }
    account.waiting.push(run.id);
    schedule(world.due, now + world.policy.budgetWaitMs, { kind: "budget-wait", run: run.id });
    requestWrite(world, account, now);
    if (world.keyValueFailingSince !== undefined) {
        seekTokensInOutage(world, account, run, now);
    }
}

function noteReserved(world: World, account: AccountRow, run: Run, now: number): void {
    run.reserved = run.worst;
    const row = budgetRow(account, run.arrival.budget, now);
    const left = spendableTokens(world, account, row, now);
    trace(world, now, run.arrival, "reserved", { tokens: run.worst, left });
    if (left < row.typicalWorst) {
        requestPacedWrite(world, account, now);
    }
    seekWitness(world, account, run, now);
}

// No byte leaves for an endpoint before a witness knows of the use: else it could be returned as unused.
function seekWitness(world: World, account: AccountRow, run: Run, now: number): void {
    run.state = "witness";
    const use = {
        holder: holderName(world, account),
        account: account.id,
        budget: run.arrival.budget,
        key: run.keyDigest,
        tokens: run.worst,
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

/** Lets a run go ahead if a witness knows of its use now. */
export function continueWitnessed(world: World, run: Run, now: number): void {
    const account = accountRow(world, run.arrival.account);
    if (run.state === "witness" && allowUse(world, account, run.keyDigest)) {
        seekEndpoint(world, run, now);
    }
}

/**
 * Takes back uses that were not allowed yet where a write shows that the tokens are gone: they were
 * returned while this router was silent.
 */
export function dropUncoveredUses(world: World, account: AccountRow, now: number): void {
    for (const row of account.budgets.values()) {
        if (spendableTokens(world, account, row, now) < 0) {
            cancelUnsentTransfers(world, account, now, row.id);
        }
        for (const key of spendableTokens(world, account, row, now) < 0 ? waitingUses(world, account) : []) {
            const run = world.runs.get(world.runsByKey.get(key as Run["keyDigest"]) ?? 0);
            if (run !== undefined && run.state === "witness" && run.arrival.budget === row.id) {
                waitAgain(world, account, run, now);
            }
        }
    }
}

function waitAgain(world: World, account: AccountRow, run: Run, now: number): void {
    releaseTokens(budgetRow(account, run.arrival.budget, now), run.reserved);
    run.reserved = 0;
    run.state = "budget";
    closeUse(world, run.keyDigest);
    account.waiting.push(run.id);
    schedule(world.due, now + world.policy.budgetWaitMs, { kind: "budget-wait", run: run.id });
}

/** Asks the witnesses of a waiting run again, or refuses it. */
export function retryWitness(world: World, run: Run, since: number, now: number): void {
    if (run.state !== "witness") {
        return;
    }
    if (now - since > world.policy.budgetWaitMs) {
        refuseRun(world, run, "witness-unavailable", SHORT_RETRY_MS, now);
        return;
    }
    const account = accountRow(world, run.arrival.account);
    reofferUse(world, account, run.keyDigest);
    if (!hasLiveWitness(world, account, now)) {
        requestWrite(world, account, now);
    }
    schedule(world.due, now + world.policy.witnessRetryMs, { kind: "witness-wait", run: run.id, since });
}

/** Gives waiting runs the tokens that came in. */
export function serveWaiting(world: World, account: AccountRow, now: number): void {
    const waiting = account.waiting;
    account.waiting = [];
    for (const id of waiting) {
        const run = world.runs.get(id);
        if (run === undefined) {
            continue;
        }
        const row = budgetRow(account, run.arrival.budget, now);
        if (reserveTokens(world, account, row, run.worst, now)) {
            noteReserved(world, account, run, now);
        }
        else {
            account.waiting.push(id);
        }
    }
}

/** Decides on the runs that a write of the ledger left without tokens. */
export function judgeWaiting(world: World, account: AccountRow, now: number): void {
    const record = parseRecord(account.stored?.value);
    for (const id of [...account.waiting]) {
        const run = world.runs.get(id)!;
        const budget = run.arrival.budget;
        const totals = record.budgets[budget];
        if (totals === undefined || totals.granted - totals.billed < run.worst) {
            refuseRun(world, run, "budget-exhausted", EXHAUSTED_RETRY_MS, now);
        }
        else if (run.arrivedAt >= account.writtenAt || freeTokens(record, budget) >= run.worst) {
            requestWrite(world, account, now);
        }
        else if (!askToLend(world, account, budget, run.worst, now)) {
            refuseRun(world, run, "budget-held-elsewhere", SHORT_RETRY_MS, now);
        }
    }
}

/** Looks for tokens outside the ledger while the key-value service fails. */
export function seekTokensInOutage(world: World, account: AccountRow, run: Run, now: number): void {
    askToLend(world, account, run.arrival.budget, run.worst, now);
}

/** Refuses a run that waited long enough for tokens. */
export function endBudgetWait(world: World, run: Run, now: number): void {
    const account = accountRow(world, run.arrival.account);
    if (run.state !== "budget" || !account.waiting.includes(run.id)) {
        return;
    }
    const reason = account.fenced
        ? "fenced"
        : world.keyValueFailingSince === undefined && account.stored !== undefined
        ? "budget-held-elsewhere"
        : "ledger-unavailable";
    refuseRun(world, run, reason, LEDGER_RETRY_MS, now);
}
