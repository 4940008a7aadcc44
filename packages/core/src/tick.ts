import { earliestDue, takeDue } from "./support/due-queue.js";
import {
    cancelUncoveredUses,
    refuseAfterBudgetWait,
    requestLoansInOutage,
    reserveForWaitingRuns,
    resolveWaitingRuns,
    retryWitness,
} from "./systems/admission.js";
import { checkProgress, continueRetry, handleFailure, receiveEnd, retryBilling } from "./systems/answers.js";
import { handleClaimOutcomeReply, handleClaimReply, writeClaimOutcome } from "./systems/claims.js";
import {
    handleHeadReply,
    handleHeadVersionReply,
    handlePartReply,
    pollConfiguration,
    readHead,
} from "./systems/configuration.js";
import { checkDrain, startDrain } from "./systems/drain.js";
import { recordLoadReport } from "./systems/endpoints.js";
import { grantIsolation, repeatIsolationRequest } from "./systems/isolation.js";
import { completeCall } from "./systems/key-value.js";
import { recordSealedPage } from "./systems/ledger-pages.js";
import { handleLedgerReply, handlePageReply, type LedgerListener, runDueWrite } from "./systems/ledger.js";
import { cancelUnsentTransfers, notifyAllowanceReturned, resendTransfer } from "./systems/lending.js";
import { runHeartbeat } from "./systems/membership.js";
import { completeBilledRuns, continueWitnessedUse, handlePeerMessage } from "./systems/peer-inbox.js";
import { probeEndpoints } from "./systems/probes.js";
import { unservableRuns } from "./systems/queue.js";
import { OVERDUE_RETRY_AFTER_MS } from "./systems/refusals.js";
import {
    continueClaimed,
    endOrphan,
    handleArrival,
    handleCallerDisconnect,
    refuseBilled,
    refuseClaimed,
    refuseRun,
    removeRun,
    serveQueue,
} from "./systems/runs.js";
import { receiveChunk } from "./systems/streams.js";
import { closeBills, pendingUses, resendUse, sendToWitnesses } from "./systems/witness.js";
import { removeWrittenBills } from "./systems/witnessed.js";
import type { KeyValueCallId } from "./types/ids.js";
import type { Effect, KeyValueResult, Message } from "./types/messages.js";
import type { AccountRow, LedgerWrite, Run } from "./types/rows.js";
import type { Task, World } from "./world.js";

/**
 * Handles messages, runs the tasks that are due, and returns the effects that the host must carry out.
 * Uses neither a clock nor the network; now is the current time in ms.
 */
export function tick(world: World, now: number, inbox: readonly Message[]): Effect[] {
    for (const message of inbox) {
        handleMessage(world, message, now);
    }
    for (let task = takeDue(world.due, now); task !== undefined; task = takeDue(world.due, now)) {
        runTask(world, task, now);
    }
    sendToWitnesses(world, now);
    const effects = world.effects;
    world.effects = [];
    return effects;
}

/** Returns the time in ms at which the next tick is due without a message, Infinity for none. */
export function nextTickAt(world: World): number {
    return earliestDue(world.due) ?? Infinity;
}

function handleMessage(world: World, message: Message, now: number): void {
    switch (message.kind) {
        case "request-arrived":
            return handleArrival(world, message.arrival, now);
        case "caller-gone":
            return handleCallerDisconnect(world, message.call, now);
        case "endpoint-chunk":
            return withCurrentDispatch(world, message, (run) => receiveChunk(world, run, message.chunk, now));
        case "endpoint-alive":
            return withCurrentDispatch(world, message, (run) => {
                run.lastProgressAt = now;
            });
        case "endpoint-end":
            return withCurrentDispatch(world, message, (run) => receiveEnd(world, run, message.end, now));
        case "endpoint-failed":
            return withCurrentDispatch(
                world,
                message,
                (run) => handleFailure(world, run, message.failure, message.written, now),
            );
        case "load-report":
            return receiveLoadReport(world, message, now);
        case "key-value-reply":
            return handleKeyValueReply(world, message.call, message.result, now);
        case "peer-message":
            if (message.to === undefined || message.to === world.self.incarnation) {
                handlePeerMessage(world, message.from, message.message, now);
            }
            return;
        case "instances":
            return applyInstances(world, message.peers);
        case "configuration-changed":
            return readHead(world);
        case "drain":
            return startDrain(world, now);
    }
}

function withCurrentDispatch(
    world: World,
    message: { readonly run: number; readonly dispatch: number; },
    action: (run: Run) => void,
): void {
    const run = world.runs.get(message.run);
    if (run !== undefined && run.state === "running" && run.dispatch === message.dispatch) {
        action(run);
    }
}

function receiveLoadReport(world: World, message: Extract<Message, { kind: "load-report"; }>, now: number): void {
    recordLoadReport(world, message.endpoint, message.report, now);
    const endpoint = world.configuration.endpoints.get(message.endpoint);
    for (const name of endpoint?.serves ?? []) {
        serveQueue(world, `${endpoint!.kind}:${name}`, now);
    }
}

function applyInstances(
    world: World,
    peers: readonly { readonly address: string; readonly leaving: boolean; }[],
): void {
    world.instances.clear();
    for (const peer of peers) {
        world.instances.set(peer.address, { leaving: peer.leaving });
    }
}

function handleKeyValueReply(world: World, call: KeyValueCallId, result: KeyValueResult, now: number): void {
    const purpose = completeCall(world, call, result, now);
    switch (purpose?.kind) {
        case undefined:
            return;
        case "ledger-read":
        case "ledger-write":
            return handleLedgerReply(world, purpose.account, result, ledgerListener, now);
        case "page-read":
            return handlePageReply(world, purpose.account, purpose.page, result, ledgerListener, now);
        case "page-write":
            return recordSealedPage(world, purpose.account, purpose.page, result);
        case "claim":
            return handleClaim(world, purpose.run, result, now);
        case "claim-outcome":
            return handleClaimOutcomeReply(world, purpose, result, now);
        case "configuration-version":
            return handleHeadVersionReply(world, result);
        case "configuration-head":
            return handleHeadReply(world, result);
        case "configuration-part":
            return handlePartReply(world, purpose.digest, result);
    }
}

const ledgerListener: LedgerListener = {
    committed(world: World, account: AccountRow, write: LedgerWrite, now: number): void {
        const keys = write.settlements.map((settlement) => settlement.key);
        closeBills(world, keys);
        removeWrittenBills(world, write.witnessed);
        completeBilledRuns(world, keys, now);
        notifyAllowanceReturned(world, account);
        cancelUncoveredUses(world, account, now);
        for (const key of pendingUses(world, account)) {
            resendUse(world, account, key);
            continueWitnessedUse(world, key, now);
        }
        reserveForWaitingRuns(world, account, now);
        resolveWaitingRuns(world, account, now);
    },
    fenced(world: World, account: AccountRow, now: number): void {
        cancelUnsentTransfers(world, account, now);
    },
    failed(world: World, account: AccountRow, now: number): void {
        for (const id of [...account.waiting]) {
            requestLoansInOutage(world, account, world.runs.get(id)!, now);
        }
    },
};

function handleClaim(world: World, id: number, result: KeyValueResult, now: number): void {
    const run = world.runs.get(id);
    if (run === undefined || run.state !== "claim") {
        return;
    }
    const verdict = handleClaimReply(world, run, result);
    switch (verdict.kind) {
        case "owned":
            return continueClaimed(world, run, now);
        case "pending":
            return;
        case "elsewhere":
            return refuseClaimed(world, run, verdict.claim.state === "ran", now);
        case "unavailable":
            return refuseRun(world, run, "ledger-unavailable", world.policy.ledgerRetryMs, now);
    }
}

function runTask(world: World, task: Task, now: number): void {
    switch (task.kind) {
        case "ledger":
            return runDueWrite(world, task.account, task.at, ledgerListener, now);
        case "heartbeat":
            return runHeartbeat(world, now);
        case "probe":
            probeEndpoints(world, now);
            world.due.entries.push({ at: now + world.policy.probeIntervalMs / 2, task });
            return;
        case "configuration":
            return pollConfiguration(world, now);
        case "lane":
            return grantIsolation(world, task.lane, now);
        case "lend":
            return resendTransfer(world, task.transfer, now);
        case "claim-outcome":
            return writeClaimOutcome(world, task);
        case "queue":
            return processQueue(world, task.server, now);
        case "drain":
            return checkDrain(world, now);
        default:
            return runTaskOfRun(world, task, now);
    }
}

function endAtDeadline(world: World, run: Run, now: number): void {
    if (run.state !== "done") {
        refuseRun(world, run, "deadline-exceeded", OVERDUE_RETRY_AFTER_MS, now);
    }
}

function processQueue(world: World, server: string, now: number): void {
    serveQueue(world, server, now);
    for (const run of unservableRuns(world, server, now)) {
        refuseRun(world, run, "no-endpoint", OVERDUE_RETRY_AFTER_MS, now);
    }
}

function runTaskOfRun(world: World, task: Extract<Task, { run: number; }>, now: number): void {
    const run = world.runs.get(task.run);
    if (run === undefined) {
        return;
    }
    switch (task.kind) {
        case "budget-wait":
            return refuseAfterBudgetWait(world, run, now);
        case "deadline":
            return run.state === "billing" ? refuseBilled(world, run, now) : endAtDeadline(world, run, now);
        case "witness-wait":
            return retryWitness(world, run, task.since, now);
        case "progress":
            return checkProgress(world, run, task.dispatch, now);
        case "bill-wait":
            return retryBilling(world, run, now);
        case "forget-run":
            return removeRun(world, run);
        case "orphan":
            return endOrphan(world, run, now);
        case "retry":
            return continueRetry(world, run, now);
        case "lane-wait":
            return repeatIsolationRequest(world, run, now);
    }
}
