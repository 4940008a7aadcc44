import { schedule } from "../support/due-queue.js";
import type { World } from "../world.js";
import { hasUnwritten, requestWrite } from "./ledger.js";
import { sendHeartbeats } from "./membership.js";
import { sendToPeer } from "./peers.js";

const DRAIN_CHECK_MS = 200;
// Others may name this router until they hear of its drain, and callers keep that address for a lifetime.
const ADDRESS_LIFETIMES = 2;

/** Starts to drain: no caller is sent here any more, all that runs is finished. */
export function startDrain(world: World, now: number): void {
    if (world.drainingSince !== undefined) {
        return;
    }
    world.drainingSince = now;
    sendHeartbeats(world, now);
    schedule(world.due, now, { kind: "drain" });
}

/** Ends the drain once addresses have expired, nothing runs, and the ledger has all of it. */
export function checkDrain(world: World, now: number): void {
    if (world.drained) {
        return;
    }
    schedule(world.due, now + DRAIN_CHECK_MS, { kind: "drain" });
    if (!hasLeftAddresses(world, now) || runsLeft(world) > 0) {
        return;
    }
    let left = 0;
    for (const account of world.accounts.values()) {
        const holds = [...account.budgets.values()].some((row) => row.held > 0);
        if (holds || hasUnwritten(account) || account.write !== undefined) {
            left++;
            requestWrite(world, account, now);
        }
    }
    if (left > 0) {
        return;
    }
    world.drained = true;
    for (const peer of world.peers.keys()) {
        sendToPeer(world, peer, { kind: "goodbye", incarnation: world.self.incarnation });
    }
    world.effects.push({ kind: "drained" });
}

/** Returns true when this router drains and no caller has its address any more. */
export function hasLeftAddresses(world: World, now: number): boolean {
    const since = world.drainingSince ?? Infinity;
    return now - since >= ADDRESS_LIFETIMES * world.policy.addressLifetimeMs;
}

/** Returns the number of requests that are not answered yet. */
export function runsLeft(world: World): number {
    let left = 0;
    for (const run of world.runs.values()) {
        left += run.state === "done" ? 0 : 1;
    }
    return left;
}
