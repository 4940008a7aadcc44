import { schedule } from "../support/due-queue.js";
import { randomBelow } from "../support/random.js";
import type { AnswerEnd, EndpointFailure } from "../types/messages.js";
import type { RetryReason } from "../types/outcomes.js";
import type { Run } from "../types/rows.js";
import { accountRow, endpointRow, trace, type World } from "../world.js";
import { recordClaimOutcome } from "./claims.js";
import { markLeaving, recordFailure, recordSuccess, serverKey } from "./endpoints.js";
import { leaveIsolation, resumeClearedRuns } from "./isolation.js";
import { requestWrite } from "./ledger.js";
import { broadcastSuspicion } from "./membership.js";
import { recordServiceTime } from "./queue.js";
import { billRun, completeRun, refuseRun, seekEndpoint, serveQueue } from "./runs.js";
import { endDispatch, nextOffset, restartStream, takeRetry } from "./streams.js";
import { clearSuspect, isPoisonRequest, recordCrash } from "./suspects.js";
import { hasEnoughCopies, needsLedger, resendBill } from "./witness.js";

const GROUP_COMMIT_DELAY_MS = 20;
const RETRY_BACKOFF_BASE_MS = 40;
const FAILED_RETRY_AFTER_MS = 1_000;
const BUSY_RETRY_AFTER_MS = 500;

/** Handles the end marker of an answer. If chunks before it are missing, the connection counts as lost. */
export function receiveEnd(world: World, run: Run, end: AnswerEnd, now: number): void {
    if (end.chunks !== nextOffset(run)) {
        handleFailure(world, run, "connection-lost", true, now);
        return;
    }
    const row = endpointRow(world, run.endpoint!);
    endDispatch(world, run, "ended");
    recordSuccess(row);
    recordServiceTime(world, run, now);
    clearSuspect(world, run, now);
    leaveIsolation(world, run, now);
    run.end = end;
    run.state = "billing";
    billRun(world, run, usedTokens(run, end), now);
    recordClaimOutcome(world, run, "ran", end.status, now);
    schedule(world.due, now + world.policy.billWaitMs, { kind: "bill-wait", run: run.id });
    if (needsLedger(world, now)) {
        requestWrite(world, accountRow(world, run.arrival.account), now + GROUP_COMMIT_DELAY_MS);
    }
    serveQueue(world, serverKey(run.target), now);
}

// An answer without reported usage is billed at its worst case, since it may have used that much.
function usedTokens(run: Run, end: AnswerEnd): number {
    if (run.target.kind === "service" || end.usage === undefined) {
        return run.worstCaseTokens;
    }
    return end.usage.promptTokens + end.usage.outputTokens;
}

/** Completes a run if it is in state billing. Called once enough peers or the ledger have its bill. */
export function completeBilling(world: World, run: Run | undefined, now: number): void {
    if (run !== undefined && run.state === "billing") {
        completeRun(world, run, now);
    }
}

/** Offers the bill of a run in state billing to the current witnesses again, or completes the run. */
export function retryBilling(world: World, run: Run, now: number): void {
    if (run.state !== "billing") {
        return;
    }
    if (hasEnoughCopies(world, run.keyDigest) || now - run.lastProgressAt > world.policy.billWaitLimitMs) {
        completeRun(world, run, now);
        return;
    }
    resendBill(world, run.keyDigest);
    if (needsLedger(world, now)) {
        requestWrite(world, accountRow(world, run.arrival.account), now);
    }
    schedule(world.due, now + world.policy.billWaitMs, { kind: "bill-wait", run: run.id });
}

/** Resumes, retries or refuses a run whose call to an endpoint failed. */
export function handleFailure(
    world: World,
    run: Run,
    failure: EndpointFailure,
    written: boolean,
    now: number,
): void {
    const row = endpointRow(world, run.endpoint!);
    trace(world, now, run.arrival, "endpoint failed", { endpoint: row.id, failure, written: String(written) });
    run.written = run.writtenBefore || written;
    endDispatch(world, run, failure === "silent" ? "dropped" : "ended");
    switch (failure) {
        case "busy":
            retry(world, run, "endpoint-busy", now);
            break;
        case "leaving":
            markLeaving(world, row.id);
            retry(world, run, "endpoint-leaving", now);
            break;
        case "rejected":
            refuseRun(world, run, "endpoint-failed", FAILED_RETRY_AFTER_MS, now);
            break;
        case "connection-refused":
            recordFailure(world, row, now);
            handleRefusedConnection(world, run, now);
            break;
        case "unknown-stream":
            recordFailure(world, row, now);
            handleCrash(world, run, "stream-lost", now);
            break;
        case "connection-lost":
        case "silent":
            handleLostConnection(world, run, failure, now);
            break;
    }
    serveQueue(world, serverKey(run.target), now);
}

function handleRefusedConnection(world: World, run: Run, now: number): void {
    if (run.resuming) {
        handleCrash(world, run, "endpoint-crashed", now);
        return;
    }
    retry(world, run, "connection-refused", now);
}

// The connection is suspected first: a stream is resumed on a new one before the failure is attributed to the endpoint.
function handleLostConnection(world: World, run: Run, failure: "connection-lost" | "silent", now: number): void {
    const row = endpointRow(world, run.endpoint!);
    if (run.target.kind === "model" && !run.resuming) {
        run.resuming = true;
        seekEndpoint(world, run, now);
        return;
    }
    recordFailure(world, row, now);
    if (!run.idempotent) {
        refuseRun(world, run, "endpoint-failed", FAILED_RETRY_AFTER_MS, now);
        return;
    }
    if (failure === "connection-lost") {
        handleCrash(world, run, "endpoint-crashed", now);
        return;
    }
    retry(world, run, "connection-silent", now);
}

function handleCrash(world: World, run: Run, reason: RetryReason, now: number): void {
    recordCrash(world, run, now);
    broadcastSuspicion(world, run.arrival.bodyDigest, now);
    leaveIsolation(world, run, now);
    if (isPoisonRequest(world, run.arrival.bodyDigest, now)) {
        refuseRun(world, run, "poison-request", world.policy.convictionMs, now);
        resumeClearedRuns(world, now);
        return;
    }
    retry(world, run, reason, now);
}

function retry(world: World, run: Run, reason: RetryReason, now: number): void {
    if (!run.idempotent && run.written) {
        refuseRun(world, run, "endpoint-failed", FAILED_RETRY_AFTER_MS, now);
        return;
    }
    if (!takeRetry(world, run, reason)) {
        const refusalReason = world.retryTokens < 1 ? "retry-budget-spent" : "endpoint-failed";
        refuseRun(world, run, refusalReason, BUSY_RETRY_AFTER_MS, now);
        return;
    }
    restartStream(world, run);
    run.state = "queue";
    const backoffMs = randomBelow(world.random, RETRY_BACKOFF_BASE_MS * 2 ** run.attempts);
    schedule(world.due, now + backoffMs, { kind: "retry", run: run.id });
}

/** Dispatches a run again after its back-off. */
export function continueRetry(world: World, run: Run, now: number): void {
    if (run.state === "queue" || (run.state === "lane" && run.isolationEndpoint !== undefined)) {
        seekEndpoint(world, run, now);
    }
}

/** Fails a connection that made no progress within the time-out, or schedules the next check. */
export function checkProgress(world: World, run: Run, dispatch: number, now: number): void {
    if (run.dispatch !== dispatch || run.state !== "running") {
        return;
    }
    const timeoutAt = run.lastProgressAt + world.policy.progressTimeoutMs;
    if (now < timeoutAt) {
        schedule(world.due, timeoutAt, { kind: "progress", run: run.id, dispatch });
        return;
    }
    handleFailure(world, run, "silent", true, now);
}
