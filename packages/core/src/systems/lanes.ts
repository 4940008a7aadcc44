import { schedule } from "../support/due-queue.js";
import { rendezvousOrder } from "../support/rendezvous.js";
import type { BodyDigest, Incarnation } from "../types/ids.js";
import type { LaneRow, Run, World } from "../world.js";
import { isLive, livePeers, sendToPeer } from "./peers.js";

const CONVICTING_CRASHES = 2;

/** Returns true when a body was in flight at a crashed endpoint and was not cleared since. */
export function isSuspect(world: World, body: BodyDigest, now: number): boolean {
    const suspect = world.suspects.get(body);
    return suspect !== undefined && now - suspect.at < world.policy.convictionMs;
}

/** Returns true when a body crashed endpoints repeatedly. */
export function isConvict(world: World, body: BodyDigest, now: number): boolean {
    const at = world.convicts.get(body);
    return at !== undefined && now - at < world.policy.convictionMs;
}

/** Notes that a body was in flight when an endpoint crashed. A second crash while it ran alone convicts it. */
export function noteCrash(world: World, run: Run, now: number): void {
    const body = run.arrival.bodyDigest;
    const crashes = (world.suspects.get(body)?.crashes ?? 0) + 1;
    world.suspects.set(body, { crashes, at: now });
    if (crashes >= CONVICTING_CRASHES && run.laneGranted) {
        world.convicts.set(body, now);
    }
}

/** Clears a body that ran to its end. */
export function clearSuspect(world: World, run: Run): void {
    world.suspects.delete(run.arrival.bodyDigest);
}

/** Takes in suspects and convicts that a peer knows. */
export function adoptSuspicion(
    world: World,
    suspects: readonly BodyDigest[],
    convicts: readonly BodyDigest[],
    now: number,
): void {
    for (const body of suspects) {
        if (!world.suspects.has(body)) {
            world.suspects.set(body, { crashes: 1, at: now });
        }
    }
    for (const body of convicts) {
        if (!world.convicts.has(body)) {
            world.convicts.set(body, now);
        }
    }
}

/** Asks for the lane in which the fleet's suspects run one at a time. */
export function askForLane(world: World, run: Run, now: number): void {
    // One endpoint may serve several models, so the lane is one for each kind of endpoint.
    const lane = run.target.kind;
    run.lane = lane;
    schedule(world.due, now + world.policy.laneMs, { kind: "lane-wait", run: run.id });
    const keeper = laneKeeper(world, lane, now);
    const body = run.arrival.bodyDigest;
    if (keeper === world.self.incarnation) {
        queueForLane(world, lane, keeper, body, now);
        return;
    }
    sendToPeer(world, keeper, { kind: "lane-wanted", lane, body });
}

function laneKeeper(world: World, lane: string, now: number): Incarnation {
    const peers = livePeers(world, now);
    const keepers = world.drainingSince === undefined || peers.length === 0
        ? [world.self.incarnation, ...peers]
        : peers;
    return rendezvousOrder(lane, keepers)[0]!;
}

/** Queues a suspect for a lane that this router keeps. */
export function queueForLane(
    world: World,
    lane: string,
    incarnation: Incarnation,
    body: BodyDigest,
    now: number,
): void {
    const row = laneRow(world, lane);
    row.waiting.push({ incarnation, body });
    grantLane(world, lane, now);
}

/** Gives the lane to the next suspect if it is free or its holder is overdue or gone. */
export function grantLane(world: World, lane: string, now: number): void {
    const row = laneRow(world, lane);
    const holder = row.holder;
    if (holder !== undefined && now < holder.until && isReachable(world, holder.incarnation, now)) {
        return;
    }
    row.holder = undefined;
    const next = row.waiting.shift();
    if (next === undefined) {
        return;
    }
    row.holder = { ...next, until: now + world.policy.laneMs };
    schedule(world.due, row.holder.until, { kind: "lane", lane });
    if (next.incarnation === world.self.incarnation) {
        enterLane(world, lane, next.body, now);
        return;
    }
    sendToPeer(world, next.incarnation, { kind: "lane-granted", lane, body: next.body });
}

function isReachable(world: World, incarnation: Incarnation, now: number): boolean {
    return incarnation === world.self.incarnation || isLive(world, incarnation, now);
}

/** Lets one waiting run of a body enter the lane, or gives the lane back when none waits any more. */
export function enterLane(world: World, lane: string, body: BodyDigest, now: number): void {
    for (const run of world.runs.values()) {
        if (run.state === "lane" && !run.laneGranted && run.lane === lane && run.arrival.bodyDigest === body) {
            run.laneGranted = true;
            run.laneGrantedAt = now;
            schedule(world.due, now, { kind: "retry", run: run.id });
            return;
        }
    }
    releaseLane(world, lane, body, now);
}

/** Gives the lane back after a suspect's run. */
export function leaveLane(world: World, run: Run, now: number): void {
    const lane = run.lane;
    if (lane === undefined) {
        return;
    }
    run.lane = undefined;
    run.laneGranted = false;
    releaseLane(world, lane, run.arrival.bodyDigest, now);
}

/** Returns a lane to its keeper for a body that runs no longer. */
export function releaseLane(world: World, lane: string, body: BodyDigest, now: number): void {
    const keeper = laneKeeper(world, lane, now);
    if (keeper === world.self.incarnation) {
        freeLane(world, lane, world.self.incarnation, body, now);
        return;
    }
    sendToPeer(world, keeper, { kind: "lane-released", lane, body });
}

/** Frees a lane that this router keeps. */
export function freeLane(world: World, lane: string, incarnation: Incarnation, body: BodyDigest, now: number): void {
    const row = laneRow(world, lane);
    row.waiting = row.waiting.filter((entry) => entry.body !== body || entry.incarnation !== incarnation);
    if (row.holder?.incarnation === incarnation && row.holder.body === body) {
        row.holder = undefined;
    }
    grantLane(world, lane, now);
}

function laneRow(world: World, lane: string): LaneRow {
    const known = world.lanes.get(lane);
    if (known !== undefined) {
        return known;
    }
    const row: LaneRow = { holder: undefined, waiting: [] };
    world.lanes.set(lane, row);
    return row;
}
