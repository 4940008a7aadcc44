import { schedule } from "../support/due-queue.js";
import type { AccountId } from "../types/ids.js";
import type { Run } from "../types/rows.js";
import type { World } from "../world.js";
import { hasUsableEndpoint, serverOf, slotsOf } from "./endpoints.js";

const UNUSABLE_WAIT_MS = 4_000;
const DEFAULT_SERVICE_MS = 1_000;
const SERVICE_TIME_WEIGHT = 0.1;
const QUEUE_TICK_MS = 100;

/** A run that does not get a place, and the time in ms after which one may be free. */
export type QueueRefusal = { readonly run: Run; readonly waitMs: number; };

/** Queues a run for an endpoint. Returns the runs that are refused for it: this one, or one of a greedier account. */
export function queueRun(world: World, run: Run, now: number): QueueRefusal[] {
    const server = serverOf(run.target);
    const queue = world.queues.get(server) ?? [];
    world.queues.set(server, queue);
    const waitMs = expectedWait(world, run, queue.length, now);
    if (now + waitMs > run.arrival.deadline) {
        return [{ run, waitMs }];
    }
    run.state = "queue";
    queue.push(run.id);
    tendLater(world, server, now);
    if (queue.length <= world.policy.queueLimit) {
        return [];
    }
    const evicted = lastOfGreediest(world, queue);
    return [{ run: evicted, waitMs }];
}

function expectedWait(world: World, run: Run, queued: number, now: number): number {
    if (!hasUsableEndpoint(world, run.target, now)) {
        return now - run.arrivedAt > UNUSABLE_WAIT_MS ? Infinity : 0;
    }
    const server = serverOf(run.target);
    const time = world.serviceTimes.get(server) ?? DEFAULT_SERVICE_MS;
    return Math.ceil(queued * time / Math.max(1, slotsOf(world, server, now)));
}

/** Updates the moving average of the time that requests take at a model or service. */
export function noteServiceTime(world: World, run: Run, now: number): void {
    const server = serverOf(run.target);
    const time = now - run.dispatchedAt;
    const average = world.serviceTimes.get(server) ?? time;
    world.serviceTimes.set(server, average + (time - average) * SERVICE_TIME_WEIGHT);
}

/** Returns the run whose turn it is: the first of the account that has least for its share. */
export function nextQueued(world: World, server: string): Run | undefined {
    let best: Run | undefined;
    let bestUse = Infinity;
    const seen = new Set<AccountId>();
    for (const id of world.queues.get(server) ?? []) {
        const run = world.runs.get(id)!;
        const account = run.arrival.account;
        if (seen.has(account)) {
            continue;
        }
        seen.add(account);
        const use = useOf(world, account);
        if (use < bestUse) {
            best = run;
            bestUse = use;
        }
    }
    return best;
}

function useOf(world: World, account: AccountId): number {
    let running = 0;
    for (const row of world.endpoints.values()) {
        for (const id of row.running) {
            running += world.runs.get(id)?.arrival.account === account ? 1 : 0;
        }
    }
    return running / (world.configuration.accounts.get(account)?.share ?? 1);
}

function lastOfGreediest(world: World, queue: readonly number[]): Run {
    const counts = new Map<AccountId, number>();
    let greediest: Run | undefined;
    let most = -1;
    for (const id of queue) {
        const run = world.runs.get(id)!;
        const account = run.arrival.account;
        const share = world.configuration.accounts.get(account)?.share ?? 1;
        const count = (counts.get(account) ?? 0) + 1 / share;
        counts.set(account, count);
        if (count >= most) {
            most = count;
            greediest = run;
        }
    }
    return greediest!;
}

/** Removes a run from its queue, if it stands in one. */
export function leaveQueue(world: World, run: Run): void {
    if (run.state !== "queue") {
        return;
    }
    const queue = world.queues.get(serverOf(run.target));
    const index = queue?.indexOf(run.id) ?? -1;
    if (index >= 0) {
        queue!.splice(index, 1);
    }
}

/** Returns the queued runs that no endpoint can take any more. */
export function unservable(world: World, server: string, now: number): Run[] {
    const queue = world.queues.get(server) ?? [];
    const runs = queue.map((id) => world.runs.get(id)!);
    const expired = runs.filter((run) =>
        !hasUsableEndpoint(world, run.target, now) && now - run.arrivedAt > UNUSABLE_WAIT_MS
    );
    world.tendedQueues.delete(server);
    if (queue.length > 0) {
        tendLater(world, server, now);
    }
    return expired;
}

function tendLater(world: World, server: string, now: number): void {
    if (!world.tendedQueues.has(server)) {
        world.tendedQueues.add(server);
        schedule(world.due, now + QUEUE_TICK_MS, { kind: "queue", server });
    }
}
