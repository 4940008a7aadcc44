import { HOLDER_RETIREMENT_MS } from "../ledger/reconcile.js";
import { schedule } from "../support/due-queue.js";
import { randomBelow } from "../support/random.js";
import { rendezvousOrder } from "../support/rendezvous.js";
import type { AccountId, BodyDigest, Incarnation } from "../types/ids.js";
import type { Heartbeat, PeerMessage } from "../types/messages.js";
import { accountRow, type World } from "../world.js";
import { markLeaving } from "./endpoints.js";
import { leaveLaneCleared } from "./lanes.js";
import { requestPacedWrite } from "./ledger.js";
import { isLive, livePeers, sendToPeer, silentAfterMs } from "./peers.js";
import { hasLostHolder } from "./recovery.js";
import { adoptSuspicions, forgetSuspects, knownSuspicions, suspicionsOf } from "./suspects.js";
import { oldestOpenAt } from "./witness.js";
import { accountsToSettle, dropSettled, forgetWitnessed } from "./witnessed.js";

const BROADCAST_LIMIT = 32;
const WIDTH_STEP = 16;
const NARROWEST = 2;
const WIDEST = 4;

type HeartbeatMessage = Extract<PeerMessage, { kind: "heartbeat"; }>;

/** An address that callers may use. */
export type RouterAddress = { readonly address: string; readonly domain: string; };

/** Sends this router's heartbeat, acts on peers that are silent, and schedules the next one. */
export function beat(world: World, now: number): void {
    sendHeartbeats(world, now);
    forgetPeers(world, now);
    forgetWitnessed(world, now);
    forgetOldEntries(world, now);
    settleForLostPeers(world, now);
    schedule(world.due, now + world.policy.heartbeatIntervalMs, { kind: "heartbeat" });
}

/** Sends this router's heartbeat to some of its peers. */
export function sendHeartbeats(world: World, now: number): void {
    const message = heartbeatWith(world, now, {
        heard: heardLately(world, now),
        leavingEndpoints: [...world.leavingEndpoints],
        ...knownSuspicions(world, now),
    });
    for (const address of heartbeatTargets(world, now)) {
        world.effects.push({ kind: "peer-send", to: undefined, address, message });
    }
}

function heartbeatWith(world: World, now: number, news: Partial<HeartbeatMessage>): HeartbeatMessage {
    const own = ownHeartbeat(world, now);
    return { kind: "heartbeat", own, heard: [], leavingEndpoints: [], suspects: [], convicts: [], ...news };
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

function heardLately(world: World, now: number): Heartbeat[] {
    const silentMs = silentAfterMs(world);
    const rows = [...world.peers.values()].filter((row) => now - row.heardAt < silentMs);
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
        if (now - row.heardAt < world.policy.peerForgottenMs) {
            addresses.add(row.heartbeat.address);
        }
    }
    addresses.delete(world.self.address);
    // No incarnation is named: a restarted router at an address should hear of its peers at once.
    const all = [...addresses];
    const targets: string[] = [];
    while (all.length > 0 && targets.length < world.policy.heartbeatFanout) {
        targets.push(all.splice(randomBelow(world.random, all.length), 1)[0]!);
    }
    for (const witness of world.witnesses) {
        const address = world.peers.get(witness)?.heartbeat.address;
        if (address !== undefined && !targets.includes(address)) {
            targets.push(address);
        }
    }
    return targets;
}

/** Takes in a peer's heartbeat and what it passes on. */
export function receiveHeartbeat(
    world: World,
    message: HeartbeatMessage,
    now: number,
): void {
    notePeer(world, message.own, now);
    for (const heartbeat of message.heard) {
        notePeer(world, heartbeat, now);
    }
    for (const endpoint of message.leavingEndpoints) {
        if (!world.leavingEndpoints.has(endpoint)) {
            markLeaving(world, endpoint);
        }
    }
    if (adoptSuspicions(world, message, now)) {
        leaveLaneCleared(world, now);
    }
    if (message.own.configurationVersion > world.configuration.version) {
        sendToPeer(world, message.own.incarnation, {
            kind: "configuration-wanted",
            above: world.configuration.version,
        });
    }
}

function notePeer(world: World, heartbeat: Heartbeat, now: number): void {
    if (heartbeat.incarnation === world.self.incarnation) {
        return;
    }
    const known = world.peers.get(heartbeat.incarnation);
    if (known !== undefined && known.heartbeat.sequence >= heartbeat.sequence) {
        return;
    }
    world.peers.set(heartbeat.incarnation, { heartbeat, heardAt: now });
    dropSettled(world, heartbeat);
}

function forgetPeers(world: World, now: number): void {
    for (const [incarnation, row] of world.peers) {
        if (now - row.heardAt > world.policy.peerForgottenMs) {
            world.peers.delete(incarnation);
        }
    }
}

function forgetOldEntries(world: World, now: number): void {
    forgetSuspects(world, now);
    for (const account of world.accounts.values()) {
        for (const [transfer, at] of account.receivedTransfers) {
            if (now - at > HOLDER_RETIREMENT_MS) {
                account.receivedTransfers.delete(transfer);
            }
        }
    }
}

function settleForLostPeers(world: World, now: number): void {
    for (const account of accountsToSettle(world, now)) {
        requestPacedWrite(world, accountRow(world, account), now);
    }
    for (const account of world.accounts.values()) {
        if (hasLostHolder(world, account, now)) {
            requestPacedWrite(world, account, now);
        }
    }
}

/** Passes a peer's latest heartbeat on to another one. */
export function tellOf(world: World, to: Incarnation, peer: Incarnation, now: number): void {
    const known = world.peers.get(peer);
    if (known !== undefined) {
        sendToPeer(world, to, heartbeatWith(world, now, { heard: [known.heartbeat] }));
    }
}

/** Tells all peers at once that a body is suspected or convicted of crashing endpoints. */
export function spreadSuspicion(world: World, body: BodyDigest, now: number): void {
    const message = heartbeatWith(world, now, suspicionsOf(world, body, now));
    // Routers that drain take requests for a while, too.
    const peers = [...world.peers.keys()].filter((peer) => isLive(world, peer, now));
    for (const peer of peers.slice(0, BROADCAST_LIMIT)) {
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
    // Addresses stay in place over restarts, incarnations do not.
    const byAddress = new Map([...routers.values()].map((router) => [router.address, router]));
    if (isCutOff(world, routers.size)) {
        return [...otherAddresses(world), ...byAddress.values()];
    }
    const order = rendezvousOrder(account, byAddress.keys()).map((address) => byAddress.get(address)!);
    const width = Math.min(order.length, widthOf(world, account));
    const turn = randomBelow(world.random, width);
    return [...order.slice(turn, width), ...order.slice(0, turn), ...order.slice(width)];
}

// A router that hears nobody cannot use tokens; its callers are better off anywhere else.
function isCutOff(world: World, routers: number): boolean {
    return routers <= 1 && world.keyValueFailingSince !== undefined && otherAddresses(world).length > 0;
}

function otherAddresses(world: World): RouterAddress[] {
    const others = [...world.instances].filter(([address, entry]) => address !== world.self.address && !entry.leaving);
    return others.map(([address]) => ({ address, domain: "" }));
}

// Few routers per account keep allowances few. Two at least have some, should one be lost in an outage of
// the key-value service; a busy account is spread over more.
function widthOf(world: World, account: AccountId): number {
    const running = world.accounts.get(account)?.runningRuns ?? 0;
    return Math.min(WIDEST, NARROWEST + Math.floor(running / WIDTH_STEP));
}
