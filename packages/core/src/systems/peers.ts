import type { Incarnation } from "../types/ids.js";
import type { PeerMessage } from "../types/messages.js";
import type { World } from "../world.js";
import { holderIncarnation } from "./budgets.js";

// Mean heartbeat intervals without a heartbeat after which a peer counts as silent or lost. Several are needed because
// heartbeats spread at random, so single intervals are often missed.
const SILENT_AFTER_INTERVALS = 4;
const LOST_AFTER_INTERVALS = 10;

// Mean time in ms between two heartbeats of the same peer arriving here; it grows with the number of peers.
function meanHeartbeatIntervalMs(world: World): number {
    const { heartbeatIntervalMs, heartbeatFanout, heartbeatEntries } = world.policy;
    return heartbeatIntervalMs * world.peers.size / (heartbeatFanout * (heartbeatEntries + 1));
}

/** Returns the time in ms without a heartbeat after which a peer's address is no longer given to callers. */
export function silentAfterMs(world: World): number {
    return Math.max(world.policy.peerSilentMs, SILENT_AFTER_INTERVALS * meanHeartbeatIntervalMs(world));
}

function lostAfterMs(world: World): number {
    return Math.max(world.policy.peerLostMs, LOST_AFTER_INTERVALS * meanHeartbeatIntervalMs(world));
}

/** Sends a message to a peer; does nothing when the peer is unknown. */
export function sendToPeer(world: World, to: Incarnation, message: PeerMessage): void {
    const peer = world.peers.get(to);
    if (peer !== undefined) {
        world.effects.push({ kind: "peer-send", to, address: peer.heartbeat.address, message });
    }
}

/** Returns true when a heartbeat of a peer arrived recently enough for it not to be silent. */
export function isLive(world: World, peer: Incarnation, now: number): boolean {
    const row = world.peers.get(holderIncarnation(peer));
    return row !== undefined && now - row.heartbeatReceivedAt <= silentAfterMs(world);
}

/** Returns true when a peer has been silent for long enough to write its bills and recover its allowances. */
export function isLost(world: World, peer: Incarnation, now: number): boolean {
    const row = world.peers.get(holderIncarnation(peer));
    return row === undefined || now - row.heartbeatReceivedAt > lostAfterMs(world);
}

/** Returns the live peers that are not draining. */
export function livePeers(world: World, now: number): Incarnation[] {
    const live: Incarnation[] = [];
    const silentMs = silentAfterMs(world);
    for (const [incarnation, row] of world.peers) {
        if (!row.heartbeat.draining && now - row.heartbeatReceivedAt <= silentMs) {
            live.push(incarnation);
        }
    }
    return live;
}
