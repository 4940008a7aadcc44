import { HOLDER_RETIREMENT_MS } from "../ledger/reconcile.js";
import { schedule } from "../support/due-queue.js";
import { randomBelow } from "../support/random.js";
import { rendezvousOrder } from "../support/rendezvous.js";
import type { AccountId, BodyDigest, Incarnation } from "../types/ids.js";
import type { Heartbeat, PeerMessage } from "../types/messages.js";
import { accountRow, type World } from "../world.js";
import { markLeaving } from "./endpoints.js";
import { resumeClearedRuns } from "./isolation.js";
import { requestPacedWrite } from "./ledger.js";
import { isLive, livePeers, sendToPeer, silentAfterMs } from "./peers.js";
import { hasLostHolder } from "./recovery.js";
import { applySuspicions, currentSuspicions, removeExpiredSuspects, suspicionsOf } from "./suspects.js";
import { oldestOpenAt } from "./witness.js";
import { accountsToSettle, removeSettledEntries, removeStaleWitnessRows } from "./witnessed.js";

const MAX_BROADCAST_PEERS = 32;
const RUNS_PER_EXTRA_ROUTER = 16;
const MIN_ROUTERS_PER_ACCOUNT = 2;
const MAX_ROUTERS_PER_ACCOUNT = 4;

type HeartbeatMessage = Extract<PeerMessage, { kind: "heartbeat"; }>;

/** The address of a router that callers may use, and its failure domain. */
export type RouterAddress = { readonly address: string; readonly domain: string; };

/** Sends this router's heartbeat, handles peers that went silent, and schedules the next heartbeat. */
export function runHeartbeat(world: World, now: number): void {
    sendHeartbeats(world, now);
    removeStalePeers(world, now);
    removeStaleWitnessRows(world, now);
    removeExpiredEntries(world, now);
    requestWritesForLostPeers(world, now);
    schedule(world.due, now + world.policy.heartbeatIntervalMs, { kind: "heartbeat" });
}

/** Sends this router's heartbeat to a random subset of the peers and to its witnesses. */
export function sendHeartbeats(world: World, now: number): void {
    const message = createHeartbeatMessage(world, now, {
        heard: recentHeartbeats(world, now),
        leavingEndpoints: [...world.leavingEndpoints],
        ...currentSuspicions(world, now),
    });
    for (const address of heartbeatTargets(world, now)) {
        world.effects.push({ kind: "peer-send", to: undefined, address, message });
    }
}

function createHeartbeatMessage(world: World, now: number, fields: Partial<HeartbeatMessage>): HeartbeatMessage {
    const own = ownHeartbeat(world, now);
    return { kind: "heartbeat", own, heard: [], leavingEndpoints: [], suspects: [], convicts: [], ...fields };
}

function ownHeartbeat(world: World, now: number): Heartbeat {
    world.heartbeatSequence++;
    return {
        incarnation: world.self.incarnation,
        address: world.self.address,
        domain: world.self.domain,
        sequence: world.heartbeatSequence,
        draining: world.drainingSince !== undefined,
        configurationVersion: world.configuration.version,
        oldestOpenAt: oldestOpenAt(world, now),
    };
}

function recentHeartbeats(world: World, now: number): Heartbeat[] {
    const silentMs = silentAfterMs(world);
    const rows = [...world.peers.values()].filter((row) => now - row.heartbeatReceivedAt < silentMs);
    const entries: Heartbeat[] = [];
    while (rows.length > 0 && entries.length < world.policy.heartbeatEntries) {
        const [row] = rows.splice(randomBelow(world.random, rows.length), 1);
        entries.push(row!.heartbeat);
    }
    return entries;
}

function heartbeatTargets(world: World, now: number): string[] {
    const addresses = new Set<string>();
    for (const address of world.instances.keys()) {
        addresses.add(address);
    }
    for (const row of world.peers.values()) {
        if (now - row.heartbeatReceivedAt < world.policy.peerForgottenMs) {
            addresses.add(row.heartbeat.address);
        }
    }
    addresses.delete(world.self.address);
    // Sent without an incarnation, so that a restarted router at a known address learns of its peers at once.
    const remaining = [...addresses];
    const targets: string[] = [];
    while (remaining.length > 0 && targets.length < world.policy.heartbeatFanout) {
        targets.push(remaining.splice(randomBelow(world.random, remaining.length), 1)[0]!);
    }
    for (const witness of world.witnesses) {
        const address = world.peers.get(witness)?.heartbeat.address;
        if (address !== undefined && !targets.includes(address)) {
            targets.push(address);
        }
    }
    return targets;
}

/** Applies a peer's heartbeat, and the heartbeats, leaving endpoints and suspicions that it carries. */
export function receiveHeartbeat(
    world: World,
    message: HeartbeatMessage,
    now: number,
): void {
    applyHeartbeat(world, message.own, now);
    for (const heartbeat of message.heard) {
        applyHeartbeat(world, heartbeat, now);
    }
    for (const endpoint of message.leavingEndpoints) {
        if (!world.leavingEndpoints.has(endpoint)) {
            markLeaving(world, endpoint);
        }
    }
    if (applySuspicions(world, message, now)) {
        resumeClearedRuns(world, now);
    }
    if (message.own.configurationVersion > world.configuration.version) {
        sendToPeer(world, message.own.incarnation, {
            kind: "configuration-wanted",
            above: world.configuration.version,
        });
    }
}

function applyHeartbeat(world: World, heartbeat: Heartbeat, now: number): void {
    if (heartbeat.incarnation === world.self.incarnation) {
        return;
    }
    const existing = world.peers.get(heartbeat.incarnation);
    if (existing !== undefined && existing.heartbeat.sequence >= heartbeat.sequence) {
        return;
    }
    world.peers.set(heartbeat.incarnation, { heartbeat, heartbeatReceivedAt: now });
    removeSettledEntries(world, heartbeat);
}

function removeStalePeers(world: World, now: number): void {
    for (const [incarnation, row] of world.peers) {
        if (now - row.heartbeatReceivedAt > world.policy.peerForgottenMs) {
            world.peers.delete(incarnation);
        }
    }
}

function removeExpiredEntries(world: World, now: number): void {
    removeExpiredSuspects(world, now);
    for (const account of world.accounts.values()) {
        for (const [transfer, at] of account.receivedTransfers) {
            if (now - at > HOLDER_RETIREMENT_MS) {
                account.receivedTransfers.delete(transfer);
            }
        }
    }
}

function requestWritesForLostPeers(world: World, now: number): void {
    for (const account of accountsToSettle(world, now)) {
        requestPacedWrite(world, accountRow(world, account), now);
    }
    for (const account of world.accounts.values()) {
        if (hasLostHolder(world, account, now)) {
            requestPacedWrite(world, account, now);
        }
    }
}

/** Forwards a peer's latest heartbeat to another peer. */
export function forwardHeartbeat(world: World, to: Incarnation, peer: Incarnation, now: number): void {
    const existing = world.peers.get(peer);
    if (existing !== undefined) {
        sendToPeer(world, to, createHeartbeatMessage(world, now, { heard: [existing.heartbeat] }));
    }
}

/** Notifies live peers at once that a body is suspected or confirmed to crash endpoints. */
export function broadcastSuspicion(world: World, body: BodyDigest, now: number): void {
    const message = createHeartbeatMessage(world, now, suspicionsOf(world, body, now));
    // Includes draining routers, which still accept requests for a while.
    const peers = [...world.peers.keys()].filter((peer) => isLive(world, peer, now));
    for (const peer of peers.slice(0, MAX_BROADCAST_PEERS)) {
        sendToPeer(world, peer, message);
    }
}

/** Returns the routers that a caller of an account should use, best first. */
export function addressesFor(world: World, account: AccountId, now: number): RouterAddress[] {
    const routers = new Map<Incarnation, RouterAddress>();
    if (world.drainingSince === undefined) {
        routers.set(world.self.incarnation, { address: world.self.address, domain: world.self.domain });
    }
    for (const peer of livePeers(world, now)) {
        const { address, domain } = world.peers.get(peer)!.heartbeat;
        if (!world.instances.get(address)?.leaving) {
            routers.set(peer, { address, domain });
        }
    }
    // Keyed by address: addresses survive restarts, incarnations do not.
    const byAddress = new Map([...routers.values()].map((router) => [router.address, router]));
    if (isPartitioned(world, routers.size)) {
        return [...otherAddresses(world), ...byAddress.values()];
    }
    const ordered = rendezvousOrder(account, byAddress.keys()).map((address) => byAddress.get(address)!);
    const preferredCount = Math.min(ordered.length, preferredRouterCount(world, account));
    const rotation = randomBelow(world.random, preferredCount);
    return [
        ...ordered.slice(rotation, preferredCount),
        ...ordered.slice(0, rotation),
        ...ordered.slice(preferredCount),
    ];
}

// A router that reaches neither peers nor the key-value service cannot use tokens; callers should try others first.
function isPartitioned(world: World, routerCount: number): boolean {
    return routerCount <= 1 && world.keyValueFailingSince !== undefined && otherAddresses(world).length > 0;
}

function otherAddresses(world: World): RouterAddress[] {
    const others = [...world.instances].filter(([address, entry]) => address !== world.self.address && !entry.leaving);
    return others.map(([address]) => ({ address, domain: "" }));
}

// An account uses few routers, so that its tokens are split into few allowances. It uses at least two, so that one
// still holds tokens if the other is lost while the key-value service is unavailable. Busy accounts use more.
function preferredRouterCount(world: World, account: AccountId): number {
    const activeRuns = world.accounts.get(account)?.activeRuns ?? 0;
    return Math.min(MAX_ROUTERS_PER_ACCOUNT, MIN_ROUTERS_PER_ACCOUNT + Math.floor(activeRuns / RUNS_PER_EXTRA_ROUTER));
}
