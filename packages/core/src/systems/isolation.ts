import { schedule } from "../support/due-queue.js";
import { randomElement } from "../support/random.js";
import { rendezvousOrder } from "../support/rendezvous.js";
import type { BodyDigest, EndpointId, Incarnation } from "../types/ids.js";
import type { IsolationQueue, IsolationRequest, IsolationSlot, Run } from "../types/rows.js";
import { endpointRow, type World } from "../world.js";
import { isUsable, serverKey } from "./endpoints.js";
import { isLive, livePeers, sendToPeer } from "./peers.js";
import { isPoisonRequest, isSuspect } from "./suspects.js";

const REQUEST_INTERVAL_MS = 1_000;
const ENDPOINT_CHECK_MS = 50;

/** Requests an endpoint at which a suspect request runs isolated from the other suspects of the fleet. */
export function requestIsolation(world: World, run: Run, now: number): void {
    // An endpoint may serve several models, so there is one isolation queue for each kind of endpoint.
    const queueName = run.target.kind;
    run.isolationQueue = queueName;
    schedule(world.due, now + REQUEST_INTERVAL_MS, { kind: "lane-wait", run: run.id });
    const coordinator = isolationCoordinator(world, queueName, now);
    const request = { body: run.arrival.bodyDigest, server: serverKey(run.target), ranMs: run.ranMs };
    if (coordinator === world.self.incarnation) {
        queueForIsolation(world, queueName, { ...request, incarnation: coordinator }, now);
        return;
    }
    sendToPeer(world, coordinator, { kind: "lane-wanted", lane: queueName, ...request });
}

/** Repeats a run's isolation request: a message or the coordinator may be lost, or its endpoint does not answer. */
export function repeatIsolationRequest(world: World, run: Run, now: number): void {
    if (run.state !== "lane") {
        return;
    }
    if (run.isolationEndpoint !== undefined) {
        leaveIsolation(world, run, now);
    }
    requestIsolation(world, run, now);
}

/** Schedules a check whether the endpoint granted to a suspect has reported its load. */
export function awaitIsolationEndpoint(world: World, run: Run, now: number): void {
    run.state = "lane";
    schedule(world.due, now + ENDPOINT_CHECK_MS, { kind: "retry", run: run.id });
}

/** Resumes runs waiting for isolation that are no longer suspect: a confirmed poison request explains their crash. */
export function resumeClearedRuns(world: World, now: number): void {
    for (const run of world.runs.values()) {
        const isWaiting = run.state === "lane" && run.isolationEndpoint === undefined;
        if (isWaiting && !isSuspect(world, run.arrival.bodyDigest, now)) {
            leaveIsolation(world, run, now);
            run.state = "queue";
            schedule(world.due, now, { kind: "retry", run: run.id });
        }
    }
}

function isolationCoordinator(world: World, queueName: string, now: number): Incarnation {
    const peers = livePeers(world, now);
    const candidates = world.drainingSince === undefined || peers.length === 0
        ? [world.self.incarnation, ...peers]
        : peers;
    return rendezvousOrder(queueName, candidates)[0]!;
}

/** Queues a suspect at this router as coordinator; if it already has an endpoint, repeats the grant. */
export function queueForIsolation(world: World, queueName: string, request: IsolationRequest, now: number): void {
    const queue = isolationQueue(world, queueName);
    const isSame = (other: IsolationSlot | IsolationRequest): boolean =>
        other.incarnation === request.incarnation && other.body === request.body;
    const slot = queue.slots.find(isSame);
    if (slot !== undefined) {
        notifyGranted(world, queueName, slot, now);
        return;
    }
    if (!queue.requests.some(isSame)) {
        queue.requests.push(request);
    }
    grantIsolation(world, queueName, now);
}

/** Grants endpoints that no suspect occupies, or whose suspect has exceeded its time or lost its router. */
export function grantIsolation(world: World, queueName: string, now: number): void {
    const queue = isolationQueue(world, queueName);
    queue.slots = queue.slots.filter((slot) => now < slot.expiresAt && isReachable(world, slot.incarnation, now));
    queue.requests = queue.requests.filter((request) => !isPoisonRequest(world, request.body, now));
    for (let grant = takeNextGrant(world, queue, now); grant !== undefined; grant = takeNextGrant(world, queue, now)) {
        queue.slots.push(grant);
        schedule(world.due, grant.expiresAt, { kind: "lane", lane: queueName });
        notifyGranted(world, queueName, grant, now);
    }
}

// A request that crashes endpoints mostly does so soon, so those that ran the shortest time before a crash go first.
// A body that already runs isolated has to wait, so that it crashes only one endpoint.
function takeNextGrant(world: World, queue: IsolationQueue, now: number): IsolationSlot | undefined {
    const sortedRequests = [...queue.requests].sort((first, second) => first.ranMs - second.ranMs);
    for (const request of sortedRequests) {
        const isRunning = queue.slots.some((slot) => slot.body === request.body);
        const endpoint = isRunning ? undefined : pickIsolationEndpoint(world, queue, request.server, now);
        if (endpoint !== undefined) {
            queue.requests.splice(queue.requests.indexOf(request), 1);
            const { incarnation, body } = request;
            return { incarnation, body, endpoint, expiresAt: now + world.policy.laneMs };
        }
    }
    return undefined;
}

function pickIsolationEndpoint(
    world: World,
    queue: IsolationQueue,
    server: string,
    now: number,
): EndpointId | undefined {
    const available = (world.configuration.servers.get(server) ?? []).filter((id) =>
        isUsable(world, endpointRow(world, id), now) && !queue.slots.some((slot) => slot.endpoint === id)
    );
    const healthy = available.filter((id) => endpointRow(world, id).failures === 0);
    return randomElement(world.random, healthy.length > 0 ? healthy : available);
}

function notifyGranted(world: World, queueName: string, slot: IsolationSlot, now: number): void {
    const { incarnation, body, endpoint } = slot;
    if (incarnation === world.self.incarnation) {
        startIsolatedRun(world, queueName, body, endpoint, now);
        return;
    }
    sendToPeer(world, incarnation, { kind: "lane-granted", lane: queueName, body, endpoint });
}

function isReachable(world: World, incarnation: Incarnation, now: number): boolean {
    return incarnation === world.self.incarnation || isLive(world, incarnation, now);
}

/** Starts one waiting run of a body at the granted endpoint, or releases the endpoint when none waits. */
export function startIsolatedRun(
    world: World,
    queueName: string,
    body: BodyDigest,
    endpoint: EndpointId,
    now: number,
): void {
    const runs = [...world.runs.values()].filter((run) =>
        run.isolationQueue === queueName && run.arrival.bodyDigest === body
    );
    if (runs.some((run) => run.isolationEndpoint !== undefined)) {
        return;
    }
    // A suspect request without callers does not take up an endpoint.
    const waitingRun = runs.find((run) => run.state === "lane" && run.calls.size > 0);
    if (waitingRun === undefined) {
        releaseIsolation(world, queueName, body, now);
        return;
    }
    waitingRun.isolationGrantedAt = now;
    waitingRun.isolationEndpoint = endpoint;
    schedule(world.due, now, { kind: "retry", run: waitingRun.id });
}

/** Releases the endpoint after a suspect's run, or ends the wait for one. */
export function leaveIsolation(world: World, run: Run, now: number): void {
    const queueName = run.isolationQueue;
    if (queueName === undefined) {
        return;
    }
    run.isolationQueue = undefined;
    run.isolationEndpoint = undefined;
    releaseIsolation(world, queueName, run.arrival.bodyDigest, now);
}

// Notifies the coordinator that a body no longer runs or waits.
function releaseIsolation(world: World, queueName: string, body: BodyDigest, now: number): void {
    const coordinator = isolationCoordinator(world, queueName, now);
    if (coordinator === world.self.incarnation) {
        removeFromIsolation(world, queueName, world.self.incarnation, body, now);
        return;
    }
    sendToPeer(world, coordinator, { kind: "lane-released", lane: queueName, body });
}

/** Removes a body from an isolation queue that this router coordinates. */
export function removeFromIsolation(
    world: World,
    queueName: string,
    incarnation: Incarnation,
    body: BodyDigest,
    now: number,
): void {
    const queue = isolationQueue(world, queueName);
    const isOther = (entry: IsolationSlot | IsolationRequest): boolean =>
        entry.body !== body || entry.incarnation !== incarnation;
    queue.requests = queue.requests.filter(isOther);
    queue.slots = queue.slots.filter(isOther);
    grantIsolation(world, queueName, now);
}

function isolationQueue(world: World, queueName: string): IsolationQueue {
    const queue = world.isolationQueues.get(queueName) ?? { slots: [], requests: [] };
    world.isolationQueues.set(queueName, queue);
    return queue;
}
