import { schedule } from "../support/due-queue.js";
import { rendezvousOrder } from "../support/rendezvous.js";
import type { BodyDigest, Incarnation } from "../types/ids.js";
import type { LaneRow, Run } from "../types/rows.js";
import type { World } from "../world.js";
import { isLive, livePeers, sendToPeer } from "./peers.js";
import { isSuspect } from "./suspects.js";

/** A suspect that waits for the lane. */
export type LaneRequest = LaneRow["waiting"][number];

/** Asks for the lane in which the fleet's suspects run one at a time. */
export function askForLane(world: World, run: Run, now: number): void {
    // One endpoint may serve several models, so the lane is one for each kind of endpoint.
    const lane = run.target.kind;
    run.lane = lane;
    schedule(world.due, now + world.policy.laneMs, { kind: "lane-wait", run: run.id });
    const keeper = laneKeeper(world, lane, now);
    const request = { body: run.arrival.bodyDigest, ranMs: run.ranMs };
    if (keeper === world.self.incarnation) {
        queueForLane(world, lane, { ...request, incarnation: keeper }, now);
        return;
    }
    sendToPeer(world, keeper, { kind: "lane-wanted", lane, ...request });
}

/** Lets runs go on that waited for the lane and are not suspect any more, since a convict explains their crash. */
export function leaveLaneCleared(world: World, now: number): void {
    for (const run of world.runs.values()) {
        if (run.state === "lane" && !run.laneGranted && !isSuspect(world, run.arrival.bodyDigest, now)) {
            leaveLane(world, run, now);
            run.state = "queue";
            schedule(world.due, now, { kind: "retry", run: run.id });
        }
    }
}

function laneKeeper(world: World, lane: string, now: number): Incarnation {
    const peers = livePeers(world, now);
    const keepers = world.drainingSince === undefined || peers.length === 0
        ? [world.self.incarnation, ...peers]
        : peers;
    return rendezvousOrder(lane, keepers)[0]!;
}

/** Queues a suspect for a lane that this router keeps. */
export function queueForLane(world: World, lane: string, request: LaneRequest, now: number): void {
    laneRow(world, lane).waiting.push(request);
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
    const next = takeMostSuspect(row);
    if (next === undefined) {
        return;
    }
    const { incarnation, body } = next;
    row.holder = { incarnation, body, until: now + world.policy.laneMs };
    schedule(world.due, row.holder.until, { kind: "lane", lane });
    if (incarnation === world.self.incarnation) {
        enterLane(world, lane, body, now);
        return;
    }
    sendToPeer(world, incarnation, { kind: "lane-granted", lane, body });
}

// A request that crashes endpoints mostly does so soon: the shorter one ran, the more suspect it is.
function takeMostSuspect(row: LaneRow): LaneRequest | undefined {
    const shortest = Math.min(...row.waiting.map((request) => request.ranMs));
    const index = row.waiting.findIndex((request) => request.ranMs === shortest);
    return row.waiting.splice(index, index < 0 ? 0 : 1)[0];
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
