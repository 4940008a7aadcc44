import { schedule } from "../support/due-queue.js";
import type { EndpointId } from "../types/ids.js";
import type { Chunk } from "../types/messages.js";
import type { RetryReason } from "../types/outcomes.js";
import type { Call, Run } from "../types/rows.js";
import { endpointRow, trace, type World } from "../world.js";

/** Dispatches a run to an endpoint, as a new stream or to resume an interrupted one. */
export function dispatchRun(world: World, run: Run, endpoint: EndpointId, now: number): void {
    const row = endpointRow(world, endpoint);
    run.endpoint = endpoint;
    run.dispatch++;
    run.lastProgressAt = now;
    run.writtenBefore = run.written;
    run.written = true;
    if (!run.resuming) {
        run.dispatchedAt = now;
        run.attempts++;
        run.triedEndpoints.push(endpoint);
        run.stream = `${run.keyDigest}.${world.self.incarnation}.${run.id}.${run.dispatch}`;
    }
    row.ownRuns.add(run.id);
    schedule(world.due, now + world.policy.progressTimeoutMs, {
        kind: "progress",
        run: run.id,
        dispatch: run.dispatch,
    });
    world.effects.push({
        kind: "dispatch",
        run: run.id,
        dispatch: run.dispatch,
        call: run.arrival.call,
        endpoint,
        stream: run.stream,
        // Requests the previous chunk again: the last chunk of a stream carries the usage, which is needed for billing.
        resumeAt: run.resuming ? Math.max(0, nextOffset(run) - 1) : undefined,
        freshConnection: run.resuming,
        deadline: run.arrival.deadline,
    });
    trace(world, now, run.arrival, run.resuming ? "resumed" : "dispatched", {
        endpoint,
        attempt: run.attempts,
        load: row.ownRuns.size,
        offset: nextOffset(run),
    });
}

/** How a dispatch ends: the call has ended, its connection is dropped, or the endpoint also receives a stop request. */
export type DispatchEnd = "ended" | "dropped" | "stopped";

/** Removes a run from its endpoint and cancels the call if it has not ended. */
export function endDispatch(world: World, run: Run, end: DispatchEnd): void {
    const endpoint = run.endpoint;
    if (endpoint === undefined || run.state !== "running") {
        return;
    }
    const row = endpointRow(world, endpoint);
    if (row.ownRuns.delete(run.id) && end !== "ended") {
        const stop = end === "stopped";
        world.effects.push({ kind: "cancel", run: run.id, dispatch: run.dispatch, endpoint, stream: run.stream, stop });
    }
    run.dispatch++;
}

/** Returns the offset of the next chunk that a run expects. */
export function nextOffset(run: Run): number {
    return run.firstOffset + run.chunks.length;
}

/** Handles a chunk: drops repeated ones and buffers out-of-order ones until the gap before them is filled. */
export function receiveChunk(world: World, run: Run, chunk: Chunk, now: number): void {
    run.lastProgressAt = now;
    run.resuming = false;
    if (chunk.offset > nextOffset(run)) {
        run.outOfOrderChunks.set(chunk.offset, chunk);
        return;
    }
    if (chunk.offset < nextOffset(run)) {
        return;
    }
    appendChunk(world, run, chunk);
    for (;;) {
        const next = run.outOfOrderChunks.get(nextOffset(run));
        if (next === undefined) {
            return;
        }
        run.outOfOrderChunks.delete(next.offset);
        appendChunk(world, run, next);
    }
}

function appendChunk(world: World, run: Run, chunk: Chunk): void {
    run.chunks.push(chunk);
    run.outputTokens += chunk.tokens;
    for (const id of run.calls) {
        sendChunk(world, run, world.calls.get(id)!, chunk);
    }
}

function sendChunk(world: World, run: Run, call: Call, chunk: Chunk): void {
    if (call.nextOffset !== chunk.offset) {
        return;
    }
    call.nextOffset++;
    const first = chunk.offset === run.firstOffset;
    const resume = first ? { endpoint: run.endpoint!, stream: run.stream, offset: chunk.offset } : undefined;
    world.effects.push({ kind: "caller-chunk", call: call.id, chunk, resume });
}

/** Sends a caller the chunks received so far, from its next offset. */
export function replayChunks(world: World, run: Run, call: Call): void {
    for (let index = call.nextOffset - run.firstOffset; index < run.chunks.length; index++) {
        sendChunk(world, run, call, run.chunks[index]!);
    }
}

/** Restarts an answer from the beginning; callers that have received chunks discard them. */
export function restartStream(world: World, run: Run): void {
    run.resuming = false;
    run.outOfOrderChunks.clear();
    const sent = run.firstOffset > 0 || run.chunks.length > 0;
    run.firstOffset = 0;
    run.chunks = [];
    run.outputTokens = 0;
    for (const id of run.calls) {
        const call = world.calls.get(id)!;
        call.nextOffset = 0;
        if (sent) {
            world.effects.push({ kind: "caller-restart", call: id });
        }
    }
}

/** Takes a retry from the budget. Returns false when the attempts of the run or the retry budget are used up. */
export function takeRetry(world: World, run: Run, reason: RetryReason): boolean {
    if (run.attempts >= world.policy.attemptLimit || world.retryTokens < 1) {
        return false;
    }
    world.retryTokens--;
    world.effects.push({ kind: "retried", reason, endpoint: run.endpoint! });
    return true;
}
