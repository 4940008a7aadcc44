import type { Incarnation } from "../types/ids.js";
import type { PeerMessage } from "../types/messages.js";
import type { World } from "../world.js";
import { holderIncarnation } from "./budgets.js";

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
    return row !== undefined && now - row.heardAt <= world.policy.peerSilentMs;
}

/** Returns true when a peer was not heard of for long enough to act on its behalf. */
export function isLost(world: World, peer: Incarnation, now: number): boolean {
    const row = world.peers.get(holderIncarnation(peer));
    return row === undefined || now - row.heardAt > world.policy.peerLostMs;
}

/** Returns the live peers that take new work. */
export function livePeers(world: World, now: number): Incarnation[] {
    const live: Incarnation[] = [];
    for (const [incarnation, row] of world.peers) {
        if (!row.heartbeat.draining && now - row.heardAt <= world.policy.peerSilentMs) {
            live.push(incarnation);
        }
    }
    return live;
}
