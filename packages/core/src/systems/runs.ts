import { operationKey } from "../configuration/snapshot.js";
import { digestKey } from "../support/digest.js";
import { schedule } from "../support/due-queue.js";
import type { Arrival, Target } from "../types/messages.js";
import { isProvablyFirst, type Outcome, type RefusalReason } from "../types/outcomes.js";
import type { Call, Run } from "../types/rows.js";
import { accountRow, budgetRow, trace, type World } from "../world.js";
import { acquireTokens } from "./admission.js";
import { borrowedTransfers, holderName, recordUsedTokens, releaseTokens } from "./budgets.js";
import { recordClaimOutcome, startClaim } from "./claims.js";
import { hasAddressExpired } from "./drain.js";
import { chooseEndpoint, serverKey } from "./endpoints.js";
import { awaitIsolationEndpoint, leaveIsolation, requestIsolation } from "./isolation.js";
import { requestPacedWrite } from "./ledger.js";
import { leaveQueue, nextQueued, queueRun } from "./queue.js";
import { detailOf } from "./refusals.js";
import { dispatchRun, endDispatch, nextOffset, replayChunks } from "./streams.js";
import { isPoisonRequest, isSuspect } from "./suspects.js";
import { closeUse, openBill } from "./witness.js";

const LONG_RETRY_AFTER_MS = 60_000;
const SHORT_RETRY_AFTER_MS = 1_000;

/** Handles a request: attaches it to the run of its idempotency key, starts a new run, or refuses it. */
export function handleArrival(world: World, arrival: Arrival, now: number): void {
    const provablyFirst = isProvablyFirst(arrival);
    const keyDigest = digestKey(arrival.account, arrival.key);
    const existing = world.runs.get(world.runsByKey.get(keyDigest) ?? 0);
    if (existing !== undefined) {
        joinRun(world, existing, arrival, provablyFirst);
        return;
    }
    const refusalReason = refusalReasonFor(world, arrival, now);
    if (refusalReason !== undefined) {
        refuseArrival(world, arrival, refusalReason, provablyFirst, now);
        return;
    }
    const run = createRun(world, arrival, keyDigest, now);
    addCall(world, run, arrival, provablyFirst);
    if (provablyFirst) {
        world.retryTokens = Math.min(world.policy.retryBurst, world.retryTokens + world.policy.retryShare);
    }
    schedule(world.due, run.arrival.deadline, { kind: "deadline", run: run.id });
    acquireTokens(world, run, now);
}

function refusalReasonFor(world: World, arrival: Arrival, now: number): RefusalReason | undefined {
    const { accounts, budgets, servers } = world.configuration;
    if (!accounts.has(arrival.account)) {
        return "account-unknown";
    }
    if (!budgets.has(`${arrival.account}/${arrival.budget}`)) {
        return "bad-request";
    }
    if (isPoisonRequest(world, arrival.bodyDigest, now)) {
        return "poison-request";
    }
    if (!servers.has(serverKey(arrival.target))) {
        return "no-endpoint";
    }
    if (arrival.deadline <= now) {
        return "deadline-exceeded";
    }
    return hasAddressExpired(world, now) ? "draining" : undefined;
}

function refuseArrival(
    world: World,
    arrival: Arrival,
    reason: RefusalReason,
    provablyFirst: boolean,
    now: number,
): void {
    const outcome: Outcome = provablyFirst ? "not-run" : "may-have-run";
    const retryAfterMs = reason === "draining" ? 0 : LONG_RETRY_AFTER_MS;
    const refusal = { reason, outcome, retryAfterMs, detail: detailOf(reason) };
    world.effects.push({ kind: "caller-refused", call: arrival.call, refusal });
    world.effects.push({ kind: "body-released", call: arrival.call });
    trace(world, now, arrival, "refused", { reason, outcome });
}

function createRun(world: World, arrival: Arrival, keyDigest: Run["keyDigest"], now: number): Run {
    const resume = arrival.resume;
    const run: Run = {
        id: world.nextRunId++,
        arrival: { ...arrival, deadline: Math.min(arrival.deadline, now + world.policy.longestDeadlineMs) },
        keyDigest,
        target: arrival.target,
        idempotent: isIdempotent(world, arrival.target),
        worstCaseTokens: worstCaseTokens(world, arrival.target),
        arrivedAt: now,
        state: "budget",
        calls: new Set(),
        reserved: 0,
        endpoint: resume?.endpoint,
        dispatch: 0,
        dispatchedAt: now,
        stream: resume?.stream ?? "",
        triedEndpoints: [],
        attempts: 0,
        written: resume !== undefined,
        writtenBefore: resume !== undefined,
        resuming: resume !== undefined,
        endpointsProbedAt: -Infinity,
        lastProgressAt: now,
        firstOffset: resume?.offset ?? 0,
        chunks: [],
        outOfOrderChunks: new Map(),
        // Chunks that the caller already has count as output; each has at least one token.
        outputTokens: resume?.offset ?? 0,
        end: undefined,
        claim: undefined,
        isolationQueue: undefined,
        isolationGrantedAt: -Infinity,
        isolationEndpoint: undefined,
        ranMs: 0,
    };
    world.runs.set(run.id, run);
    world.runsByKey.set(keyDigest, run.id);
    world.serverUsedAt.set(serverKey(run.target), now);
    accountRow(world, arrival.account).activeRuns++;
    return run;
}

function isIdempotent(world: World, target: Target): boolean {
    if (target.kind === "model") {
        return true;
    }
    return world.configuration.operations.get(operationKey(target.service, target.operation))?.idempotent ?? false;
}

function worstCaseTokens(world: World, target: Target): number {
    if (target.kind === "model") {
        return target.promptTokens + target.maxTokens;
    }
    return world.configuration.operations.get(operationKey(target.service, target.operation))?.tokens ?? 1;
}

function addCall(world: World, run: Run, arrival: Arrival, provablyFirst: boolean): Call {
    const call = { id: arrival.call, run: run.id, provablyFirst, nextOffset: arrival.resume?.offset ?? 0 };
    world.calls.set(call.id, call);
    run.calls.add(call.id);
    return call;
}

function joinRun(world: World, run: Run, arrival: Arrival, provablyFirst: boolean): void {
    world.effects.push({ kind: "body-released", call: arrival.call });
    if (run.arrival.bodyDigest !== arrival.bodyDigest) {
        const outcome: Outcome = provablyFirst ? "not-run" : "may-have-run";
        const refusal = { reason: "key-reused", outcome, retryAfterMs: 0, detail: detailOf("key-reused") } as const;
        world.effects.push({ kind: "caller-refused", call: arrival.call, refusal });
        return;
    }
    const sameStream = arrival.resume !== undefined && arrival.resume.stream === run.stream;
    const offset = sameStream ? arrival.resume!.offset : 0;
    if (offset < run.firstOffset || offset > nextOffset(run)) {
        const refusal = {
            reason: "endpoint-failed",
            outcome: "may-have-run",
            retryAfterMs: SHORT_RETRY_AFTER_MS,
        } as const;
        world.effects.push({
            kind: "caller-refused",
            call: arrival.call,
            refusal: { ...refusal, detail: detailOf("endpoint-failed") },
        });
        return;
    }
    const call = addCall(world, run, arrival, provablyFirst);
    call.nextOffset = offset;
    if (arrival.resume !== undefined && !sameStream) {
        world.effects.push({ kind: "caller-restart", call: call.id });
    }
    replayChunks(world, run, call);
    if (run.state === "done") {
        world.effects.push({ kind: "caller-end", call: call.id, end: run.end! });
        removeCall(world, call.id);
    }
}

/** Removes a caller's call. Returns its run. */
export function removeCall(world: World, id: Call["id"]): Run | undefined {
    const call = world.calls.get(id);
    const run = world.runs.get(call?.run ?? 0);
    world.calls.delete(id);
    run?.calls.delete(id);
    return run;
}

/** Handles the disconnect of a caller. A run without callers is ended after a while if none returns. */
export function handleCallerDisconnect(world: World, id: Call["id"], now: number): void {
    const run = removeCall(world, id);
    if (run === undefined || run.calls.size > 0 || run.state === "done") {
        return;
    }
    schedule(world.due, now + world.policy.orphanMs, { kind: "orphan", run: run.id });
}

/** Ends a run that still has no caller. Runs that are not idempotent continue. */
export function endOrphan(world: World, run: Run, now: number): void {
    const settled = run.state === "done" || run.state === "billing";
    if (run.calls.size > 0 || settled || !run.idempotent) {
        return;
    }
    const mayHaveStarted = run.written;
    endDispatch(world, run, "stopped");
    if (mayHaveStarted && run.target.kind === "model") {
        billRun(world, run, run.target.promptTokens + run.outputTokens, now);
    }
    trace(world, now, run.arrival, "abandoned", { outputTokens: run.outputTokens });
    endRun(world, run, now);
}

/** Finds an endpoint for a run whose tokens are reserved, or queues or refuses the run. */
export function seekEndpoint(world: World, run: Run, now: number): void {
    if (isPoisonRequest(world, run.arrival.bodyDigest, now)) {
        refuseRun(world, run, "poison-request", LONG_RETRY_AFTER_MS, now);
        return;
    }
    if (run.resuming) {
        run.state = "running";
        dispatchRun(world, run, run.endpoint!, now);
        return;
    }
    if (isSuspect(world, run.arrival.bodyDigest, now) && run.isolationEndpoint === undefined) {
        run.state = "lane";
        requestIsolation(world, run, now);
        return;
    }
    const endpoint = chooseEndpoint(world, run, now);
    if (endpoint !== undefined) {
        claimOrDispatch(world, run, endpoint, now);
        return;
    }
    if (run.isolationEndpoint !== undefined) {
        awaitIsolationEndpoint(world, run, now);
        return;
    }
    for (const refused of queueRun(world, run, now)) {
        refuseRun(world, refused.run, "overloaded", refused.waitMs, now);
    }
}

function claimOrDispatch(world: World, run: Run, endpoint: NonNullable<Run["endpoint"]>, now: number): void {
    if (run.idempotent || run.claim !== undefined) {
        run.state = "running";
        dispatchRun(world, run, endpoint, now);
        return;
    }
    run.state = "claim";
    startClaim(world, run, now);
}

/** Continues a run after this router has claimed its key. */
export function continueClaimed(world: World, run: Run, now: number): void {
    seekEndpoint(world, run, now);
}

/** Assigns queued runs to endpoints with free capacity. */
export function serveQueue(world: World, server: string, now: number): void {
    for (;;) {
        const run = nextQueued(world, server);
        if (run === undefined) {
            return;
        }
        const endpoint = chooseEndpoint(world, run, now);
        if (endpoint === undefined) {
            return;
        }
        leaveQueue(world, run);
        claimOrDispatch(world, run, endpoint, now);
    }
}

/** Bills the used tokens of a run once and queues the bill for the witnesses and the ledger. */
export function billRun(world: World, run: Run, used: number, now: number): void {
    const account = accountRow(world, run.arrival.account);
    const row = budgetRow(account, run.arrival.budget, now);
    const tokens = Math.min(used, run.reserved);
    recordUsedTokens(row, run.reserved, tokens);
    run.reserved = 0;
    if (account.fenced) {
        closeUse(world, run.keyDigest);
        return;
    }
    const settlement = { key: run.keyDigest, budget: row.id, tokens };
    account.settlements.push(settlement);
    const borrowed = borrowedTransfers(world, account, row);
    openBill(world, { ...settlement, account: account.id, holder: holderName(world, account), borrowed, at: now });
    requestPacedWrite(world, account, now);
    trace(world, now, run.arrival, "billed", { tokens });
}

/** Refuses a run and sends the refusal to all its callers. */
export function refuseRun(world: World, run: Run, reason: RefusalReason, retryAfterMs: number, now: number): void {
    endDispatch(world, run, "stopped");
    leaveQueue(world, run);
    for (const id of run.calls) {
        const outcome = outcomeFor(run, world.calls.get(id)!);
        const refusal = { reason, outcome, retryAfterMs, detail: detailOf(reason) };
        world.effects.push({ kind: "caller-refused", call: id, refusal });
    }
    trace(world, now, run.arrival, "refused", { reason, written: String(run.written), attempts: run.attempts });
    // A non-idempotent run that may have been executed is billed; idempotent ones are billed only when answered.
    if (run.written && !run.idempotent) {
        billRun(world, run, run.worstCaseTokens, now);
    }
    recordClaimOutcome(world, run, run.written ? "ran" : "released", undefined, now);
    endRun(world, run, now);
}

function outcomeFor(run: Run, call: Call): Outcome {
    return call.provablyFirst && !run.written ? "not-run" : "may-have-run";
}

/** Refuses a run whose key is claimed by another router. */
export function refuseClaimed(world: World, run: Run, ran: boolean, now: number): void {
    run.claim = undefined;
    for (const id of run.calls) {
        const outcome: Outcome = ran ? "ran" : "may-have-run";
        const refusal = {
            reason: "claimed-elsewhere",
            outcome,
            retryAfterMs: 0,
            detail: detailOf("claimed-elsewhere"),
        } as const;
        world.effects.push({ kind: "caller-refused", call: id, refusal });
    }
    trace(world, now, run.arrival, "refused", { reason: "claimed-elsewhere", ran: String(ran) });
    endRun(world, run, now);
}

/** Refuses the callers of a complete answer whose deadline passed before its bill was safely stored. */
export function refuseBilled(world: World, run: Run, now: number): void {
    for (const id of [...run.calls]) {
        const refusal = { reason: "deadline-exceeded", outcome: "ran", retryAfterMs: SHORT_RETRY_AFTER_MS } as const;
        world.effects.push({
            kind: "caller-refused",
            call: id,
            refusal: { ...refusal, detail: detailOf("deadline-exceeded") },
        });
        removeCall(world, id);
    }
    trace(world, now, run.arrival, "refused", { reason: "deadline-exceeded", outcome: "ran" });
}

/** Ends a billed answer for all callers and retains it for repeated requests. */
export function completeRun(world: World, run: Run, now: number): void {
    run.state = "done";
    for (const id of [...run.calls]) {
        world.effects.push({ kind: "caller-end", call: id, end: run.end! });
        removeCall(world, id);
    }
    accountRow(world, run.arrival.account).activeRuns--;
    trace(world, now, run.arrival, "completed", { chunks: run.end!.chunks, elapsedMs: now - run.arrivedAt });
    schedule(world.due, now + world.policy.answerRetentionMs, { kind: "forget-run", run: run.id });
}

function endRun(world: World, run: Run, now: number): void {
    const account = accountRow(world, run.arrival.account);
    account.waiting = account.waiting.filter((id) => id !== run.id);
    if (run.reserved > 0) {
        releaseTokens(budgetRow(account, run.arrival.budget, now), run.reserved);
        run.reserved = 0;
        closeUse(world, run.keyDigest);
    }
    leaveIsolation(world, run, now);
    for (const id of [...run.calls]) {
        removeCall(world, id);
    }
    account.activeRuns--;
    removeRun(world, run);
}

/** Removes a run and releases its body. */
export function removeRun(world: World, run: Run): void {
    world.runs.delete(run.id);
    if (world.runsByKey.get(run.keyDigest) === run.id) {
        world.runsByKey.delete(run.keyDigest);
    }
    world.effects.push({ kind: "body-released", call: run.arrival.call });
}
