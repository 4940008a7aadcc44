import type { Incarnation } from "../types/ids.js";
import type { PeerMessage } from "../types/messages.js";
import type { World } from "../world.js";
import { holderIncarnation } from "./budgets.js";

// Heartbeats in which a peer should have been heard of, by chance of fan-out, before its silence tells something.
const SILENT_TURNS = 4;
const LOST_TURNS = 10;

// Time in ms in which a peer is heard of once on average: the more peers, the longer.
function newsIntervalMs(world: World): number {
    const { heartbeatIntervalMs, heartbeatFanout, heartbeatEntries } = world.policy;
    return heartbeatIntervalMs * world.peers.size / (heartbeatFanout * (heartbeatEntries + 1));
}

/** Returns the time in ms after which a peer that was not heard of is not named to callers. */
export function silentAfterMs(world: World): number {
    return Math.max(world.policy.peerSilentMs, SILENT_TURNS * newsIntervalMs(world));
}

function lostAfterMs(world: World): number {
    return Math.max(world.policy.peerLostMs, LOST_TURNS * newsIntervalMs(world));
}

/** Sends a message to a known peer; to an unknown one nothing is sent. */
export function sendToPeer(world: World, to: Incarnation, message: PeerMessage): void {
    const peer = world.peers.get(to);
    if (peer !== undefined) {
        world.effects.push({ kind: "peer-send", to, address: peer.heartbeat.address, message });
    }
}

/** Returns true when a peer was heard of lately. */
export function isLive(world: World, peer: Incarnation, now: number): boolean {
    const row = world.peers.get(holderIncarnation(peer));
    return row !== undefined && now - row.heardAt <= silentAfterMs(world);
}

/** Returns true when a peer was not heard of for long enough to act on its behalf. */
export function isLost(world: World, peer: Incarnation, now: number): boolean {
    const row = world.peers.get(holderIncarnation(peer));
    return row === undefined || now - row.heardAt > lostAfterMs(world);
}

/** Returns the live peers that take new work. */
export function livePeers(world: World, now: number): Incarnation[] {
    const live: Incarnation[] = [];
    const silentMs = silentAfterMs(world);
    for (const [incarnation, row] of world.peers) {
        if (!row.heartbeat.draining && now - row.heardAt <= silentMs) {
            live.push(incarnation);
        }
    }
    return live;
}
