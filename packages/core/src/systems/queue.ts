import { schedule } from "../support/due-queue.js";
import type { AccountId } from "../types/ids.js";
import type { Run } from "../types/rows.js";
import type { World } from "../world.js";
import { hasUsableEndpoint, serverKey, usableSlots } from "./endpoints.js";

const MAX_WAIT_WITHOUT_ENDPOINT_MS = 4_000;
const DEFAULT_SERVICE_TIME_MS = 1_000;
const SERVICE_TIME_WEIGHT = 0.1;
const QUEUE_CHECK_INTERVAL_MS = 100;

/** A run that is refused a place in the queue, and the expected wait in ms. */
export type QueueRefusal = { readonly run: Run; readonly waitMs: number; };

/**
 * Queues a run for an endpoint. Returns the runs to refuse: this one if its deadline would pass in the queue; if the
 * queue is full, the last run of the account with the most queued runs for its share.
 */
export function queueRun(world: World, run: Run, now: number): QueueRefusal[] {
    const server = serverKey(run.target);
    const queue = world.queues.get(server) ?? [];
    world.queues.set(server, queue);
    const waitMs = expectedWaitMs(world, run, queue.length, now);
    if (now + waitMs > run.arrival.deadline) {
        return [{ run, waitMs }];
    }
    run.state = "queue";
    queue.push(run.id);
    scheduleQueueCheck(world, server, now);
    if (queue.length <= world.policy.queueLimit) {
        return [];
    }
    const evicted = selectRunToEvict(world, queue);
    return [{ run: evicted, waitMs }];
}

function expectedWaitMs(world: World, run: Run, queued: number, now: number): number {
    if (!hasUsableEndpoint(world, run.target, now)) {
        return now - run.arrivedAt > MAX_WAIT_WITHOUT_ENDPOINT_MS ? Infinity : 0;
    }
    const server = serverKey(run.target);
    const serviceTimeMs = world.serviceTimes.get(server) ?? DEFAULT_SERVICE_TIME_MS;
    return Math.ceil(queued * serviceTimeMs / Math.max(1, usableSlots(world, server, now)));
}

/** Updates the moving average of the time that requests take at a model or service. */
export function recordServiceTime(world: World, run: Run, now: number): void {
    const server = serverKey(run.target);
    const serviceTimeMs = now - run.dispatchedAt;
    const average = world.serviceTimes.get(server) ?? serviceTimeMs;
    world.serviceTimes.set(server, average + (serviceTimeMs - average) * SERVICE_TIME_WEIGHT);
}

/** Returns the next run to serve: the first one of the account with the fewest running requests for its share. */
export function nextQueued(world: World, server: string): Run | undefined {
    let next: Run | undefined;
    let lowestLoad = Infinity;
    const seen = new Set<AccountId>();
    for (const id of world.queues.get(server) ?? []) {
        const run = world.runs.get(id)!;
        const account = run.arrival.account;
        if (seen.has(account)) {
            continue;
        }
        seen.add(account);
        const load = runningPerShare(world, account);
        if (load < lowestLoad) {
            next = run;
            lowestLoad = load;
        }
    }
    return next;
}

function runningPerShare(world: World, account: AccountId): number {
    let running = 0;
    for (const row of world.endpoints.values()) {
        for (const id of row.ownRuns) {
            running += world.runs.get(id)?.arrival.account === account ? 1 : 0;
        }
    }
    return running / (world.configuration.accounts.get(account)?.share ?? 1);
}

function selectRunToEvict(world: World, queue: readonly number[]): Run {
    const counts = new Map<AccountId, number>();
    let candidate: Run | undefined;
    let highest = -1;
    for (const id of queue) {
        const run = world.runs.get(id)!;
        const account = run.arrival.account;
        const share = world.configuration.accounts.get(account)?.share ?? 1;
        const count = (counts.get(account) ?? 0) + 1 / share;
        counts.set(account, count);
        if (count >= highest) {
            highest = count;
            candidate = run;
        }
    }
    return candidate!;
}

/** Removes a run from its queue, if it is queued. */
export function leaveQueue(world: World, run: Run): void {
    if (run.state !== "queue") {
        return;
    }
    const queue = world.queues.get(serverKey(run.target));
    const index = queue?.indexOf(run.id) ?? -1;
    if (index >= 0) {
        queue!.splice(index, 1);
    }
}

/** Returns the queued runs that have waited too long without a usable endpoint, and schedules the next check. */
export function unservableRuns(world: World, server: string, now: number): Run[] {
    const queue = world.queues.get(server) ?? [];
    const runs = queue.map((id) => world.runs.get(id)!);
    const expired = runs.filter((run) =>
        !hasUsableEndpoint(world, run.target, now) && now - run.arrivedAt > MAX_WAIT_WITHOUT_ENDPOINT_MS
    );
    world.scheduledQueues.delete(server);
    if (queue.length > 0) {
        scheduleQueueCheck(world, server, now);
    }
    return expired;
}

function scheduleQueueCheck(world: World, server: string, now: number): void {
    if (!world.scheduledQueues.has(server)) {
        world.scheduledQueues.add(server);
        schedule(world.due, now + QUEUE_CHECK_INTERVAL_MS, { kind: "queue", server });
    }
}
