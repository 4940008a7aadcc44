import { schedule } from "../support/due-queue.js";
import { randomElement } from "../support/random.js";
import { rendezvousOrder } from "../support/rendezvous.js";
import type { BodyDigest, EndpointId, Incarnation } from "../types/ids.js";
import type { LaneHolder, LaneRequest, LaneRow, Run } from "../types/rows.js";
import { endpointRow, type World } from "../world.js";
import { isUsable, serverOf } from "./endpoints.js";
import { isLive, livePeers, sendToPeer } from "./peers.js";
import { isConvict, isSuspect } from "./suspects.js";

const ASK_INTERVAL_MS = 1_000;
const ENDPOINT_CHECK_MS = 50;

/** Asks for an endpoint at which a suspect runs alone among the suspects of the fleet. */
export function askForLane(world: World, run: Run, now: number): void {
    // One endpoint may serve several models, so the lane is one for each kind of endpoint.
    const lane = run.target.kind;
    run.lane = lane;
    schedule(world.due, now + ASK_INTERVAL_MS, { kind: "lane-wait", run: run.id });
    const keeper = laneKeeper(world, lane, now);
    const request = { body: run.arrival.bodyDigest, server: serverOf(run.target), ranMs: run.ranMs };
    if (keeper === world.self.incarnation) {
        queueForLane(world, lane, { ...request, incarnation: keeper }, now);
        return;
    }
    sendToPeer(world, keeper, { kind: "lane-wanted", lane, ...request });
}

/** Asks again for a run that waits: a message or the keeper may have been lost, or its endpoint does not answer. */
export function askForLaneAgain(world: World, run: Run, now: number): void {
    if (run.state !== "lane") {
        return;
    }
    if (run.laneEndpoint !== undefined) {
        leaveLane(world, run, now);
    }
    askForLane(world, run, now);
}

/** Looks again soon whether the endpoint that a suspect was granted has told its load. */
export function awaitLaneEndpoint(world: World, run: Run, now: number): void {
    run.state = "lane";
    schedule(world.due, now + ENDPOINT_CHECK_MS, { kind: "retry", run: run.id });
}

/** Lets runs go on that waited for the lane and are not suspect any more, since a convict explains their crash. */
export function leaveLaneCleared(world: World, now: number): void {
    for (const run of world.runs.values()) {
        const isWaiting = run.state === "lane" && run.laneEndpoint === undefined;
        if (isWaiting && !isSuspect(world, run.arrival.bodyDigest, now)) {
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

/** Queues a suspect for a lane that this router keeps; one that was granted an endpoint is told so again. */
export function queueForLane(world: World, lane: string, request: LaneRequest, now: number): void {
    const row = laneRow(world, lane);
    const isSame = (other: LaneHolder | LaneRequest): boolean =>
        other.incarnation === request.incarnation && other.body === request.body;
    const holder = row.holders.find(isSame);
    if (holder !== undefined) {
        tellGranted(world, lane, holder, now);
        return;
    }
    if (!row.waiting.some(isSame)) {
        row.waiting.push(request);
    }
    grantLane(world, lane, now);
}

/** Grants the endpoints that no suspect has, or whose suspect is overdue or gone. */
export function grantLane(world: World, lane: string, now: number): void {
    const row = laneRow(world, lane);
    row.holders = row.holders.filter((holder) => now < holder.until && isReachable(world, holder.incarnation, now));
    row.waiting = row.waiting.filter((request) => !isConvict(world, request.body, now));
    for (let next = takeGrant(world, row, now); next !== undefined; next = takeGrant(world, row, now)) {
        row.holders.push(next);
        schedule(world.due, next.until, { kind: "lane", lane });
        tellGranted(world, lane, next, now);
    }
}

// A request that crashes endpoints mostly does so soon: the shorter one ran, the more suspect it is. A body that
// runs already waits, so that it crashes one endpoint only.
function takeGrant(world: World, row: LaneRow, now: number): LaneHolder | undefined {
    const order = [...row.waiting].sort((first, second) => first.ranMs - second.ranMs);
    for (const request of order) {
        const isRunning = row.holders.some((holder) => holder.body === request.body);
        const endpoint = isRunning ? undefined : freeEndpoint(world, row, request.server, now);
        if (endpoint !== undefined) {
            row.waiting.splice(row.waiting.indexOf(request), 1);
            const { incarnation, body } = request;
            return { incarnation, body, endpoint, until: now + world.policy.laneMs };
        }
    }
    return undefined;
}

function freeEndpoint(world: World, row: LaneRow, server: string, now: number): EndpointId | undefined {
    const free = (world.configuration.servers.get(server) ?? []).filter((id) =>
        isUsable(world, endpointRow(world, id), now) && !row.holders.some((holder) => holder.endpoint === id)
    );
    const sound = free.filter((id) => endpointRow(world, id).failures === 0);
    return randomElement(world.random, sound.length > 0 ? sound : free);
}

function tellGranted(world: World, lane: string, holder: LaneHolder, now: number): void {
    const { incarnation, body, endpoint } = holder;
    if (incarnation === world.self.incarnation) {
        enterLane(world, lane, body, endpoint, now);
        return;
    }
    sendToPeer(world, incarnation, { kind: "lane-granted", lane, body, endpoint });
}

function isReachable(world: World, incarnation: Incarnation, now: number): boolean {
    return incarnation === world.self.incarnation || isLive(world, incarnation, now);
}

/** Lets one waiting run of a body go to its endpoint, or gives that back when none waits any more. */
export function enterLane(world: World, lane: string, body: BodyDigest, endpoint: EndpointId, now: number): void {
    const runs = [...world.runs.values()].filter((run) => run.lane === lane && run.arrival.bodyDigest === body);
    if (runs.some((run) => run.laneEndpoint !== undefined)) {
        return;
    }
    // A suspect that nobody waits for is not worth an endpoint.
    const next = runs.find((run) => run.state === "lane" && run.calls.size > 0);
    if (next === undefined) {
        releaseLane(world, lane, body, now);
        return;
    }
    next.laneGrantedAt = now;
    next.laneEndpoint = endpoint;
    schedule(world.due, now, { kind: "retry", run: next.id });
}

/** Gives the endpoint back after a suspect's run, or ends its wait. */
export function leaveLane(world: World, run: Run, now: number): void {
    const lane = run.lane;
    if (lane === undefined) {
        return;
    }
    run.lane = undefined;
    run.laneEndpoint = undefined;
    releaseLane(world, lane, run.arrival.bodyDigest, now);
}

// Tells a lane's keeper that a body runs or waits no longer.
function releaseLane(world: World, lane: string, body: BodyDigest, now: number): void {
    const keeper = laneKeeper(world, lane, now);
    if (keeper === world.self.incarnation) {
        freeLane(world, lane, world.self.incarnation, body, now);
        return;
    }
    sendToPeer(world, keeper, { kind: "lane-released", lane, body });
}

/** Takes a body off a lane that this router keeps. */
export function freeLane(world: World, lane: string, incarnation: Incarnation, body: BodyDigest, now: number): void {
    const row = laneRow(world, lane);
    const isOther = (entry: LaneHolder | LaneRequest): boolean =>
        entry.body !== body || entry.incarnation !== incarnation;
    row.waiting = row.waiting.filter(isOther);
    row.holders = row.holders.filter(isOther);
    grantLane(world, lane, now);
}

function laneRow(world: World, lane: string): LaneRow {
    const row = world.lanes.get(lane) ?? { holders: [], waiting: [] };
    world.lanes.set(lane, row);
    return row;
}
