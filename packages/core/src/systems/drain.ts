import { schedule } from "../support/due-queue.js";
import type { World } from "../world.js";
import { hasUnwrittenChanges, requestWrite } from "./ledger.js";
import { sendHeartbeats } from "./membership.js";
import { sendToPeer } from "./peers.js";

const DRAIN_CHECK_MS = 200;
// Peers may hand out this router's address until they learn of its drain, and callers cache it for one lifetime.
const ADDRESS_LIFETIMES = 2;

/** Starts draining: callers are directed to other routers, and open requests are completed. */
export function startDrain(world: World, now: number): void {
    if (world.drainingSince !== undefined) {
        return;
    }
    world.drainingSince = now;
    sendHeartbeats(world, now);
    schedule(world.due, now, { kind: "drain" });
}

/** Ends the drain once addresses have expired, no request is open and all changes are in the ledger. */
export function checkDrain(world: World, now: number): void {
    if (world.drained) {
        return;
    }
    schedule(world.due, now + DRAIN_CHECK_MS, { kind: "drain" });
    if (!hasAddressExpired(world, now) || runsLeft(world) > 0) {
        return;
    }
    let unwrittenAccounts = 0;
    for (const account of world.accounts.values()) {
        const holdsTokens = [...account.budgets.values()].some((row) => row.held > 0);
        if (holdsTokens || hasUnwrittenChanges(account) || account.pendingWrite !== undefined) {
            unwrittenAccounts++;
            requestWrite(world, account, now);
        }
    }
    if (unwrittenAccounts > 0) {
        return;
    }
    world.drained = true;
    for (const peer of world.peers.keys()) {
        sendToPeer(world, peer, { kind: "goodbye", incarnation: world.self.incarnation });
    }
    world.effects.push({ kind: "drained" });
}

/** Returns true when this router drains and its address has expired at all callers. */
export function hasAddressExpired(world: World, now: number): boolean {
    const drainingSince = world.drainingSince ?? Infinity;
    return now - drainingSince >= ADDRESS_LIFETIMES * world.policy.addressLifetimeMs;
}

/** Returns the number of requests that are not answered yet. */
export function runsLeft(world: World): number {
    let openRuns = 0;
    for (const run of world.runs.values()) {
        openRuns += run.state === "done" ? 0 : 1;
    }
    return openRuns;
}
