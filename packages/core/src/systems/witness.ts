import { rendezvousOrder } from "../support/rendezvous.js";
import type { Incarnation, KeyDigest } from "../types/ids.js";
import type { WitnessedBill, WitnessedUse } from "../types/messages.js";
import type { AccountRow, OpenUseRow } from "../types/rows.js";
import type { World } from "../world.js";
import { isLive, livePeers, sendToPeer } from "./peers.js";

const WITNESSES = 2;
const LEAST_TIME_STEP_MS = 0.001;

/** Returns the peers that witness this router's uses and bills; they stay while they live. */
export function witnessesOf(world: World, now: number): readonly Incarnation[] {
    const kept = world.witnesses.filter((peer) =>
        isLive(world, peer, now) && !world.peers.get(peer)!.heartbeat.draining
    );
    if (kept.length < WITNESSES) {
        const others = preferredPeers(world, now).filter((peer) => !kept.includes(peer));
        world.witnesses = [...kept, ...others.slice(0, WITNESSES - kept.length)];
    }
    return world.witnesses;
}

// Peers in other failure domains of the region come first: near, but not lost together with this router.
function preferredPeers(world: World, now: number): Incarnation[] {
    const region = world.self.domain.split("/")[0]!;
    const rank = (peer: Incarnation): number => {
        const domain = world.peers.get(peer)!.heartbeat.domain;
        if (domain === world.self.domain) {
            return 2;
        }
        return domain.startsWith(`${region}/`) ? 0 : 1;
    };
    return rendezvousOrder(world.self.incarnation, livePeers(world, now)).sort((first, second) =>
        rank(first) - rank(second)
    );
}

/**
 * Returns the witnesses to write into an account's record: the preferred ones if, for each use that is
 * allowed, one of them knows of it; else those of the record, until the preferred ones were told.
 */
export function witnessesFor(world: World, account: AccountRow, now: number): readonly Incarnation[] {
    const preferred = witnessesOf(world, now);
    let known = true;
    for (const open of world.openUses.values()) {
        const isOwn = open.use.account === account.id && open.allowed;
        if (isOwn && !preferred.some((witness) => open.witnessedBy.has(witness))) {
            known = false;
            world.unsentUses.push(open.use);
        }
    }
    return known ? preferred : account.witnesses;
}

/** Has a use of allowance witnessed. Returns true when it may go ahead at once. */
export function openUse(world: World, account: AccountRow, use: Omit<WitnessedUse, "at">, now: number): boolean {
    // Times differ, so that a late message about an earlier use of a key is told apart.
    world.lastUseAt = Math.max(now, world.lastUseAt + LEAST_TIME_STEP_MS);
    const open: OpenUseRow = { use: { ...use, at: world.lastUseAt }, witnessedBy: new Set(), allowed: false };
    world.openUses.set(use.key, open);
    world.unsentUses.push(open.use);
    return allowUse(world, account, use.key);
}

/** Offers a use again to the witnesses of the record as it is now. */
export function reofferUse(world: World, account: AccountRow, key: string): void {
    const open = world.openUses.get(key);
    if (open !== undefined) {
        open.use = { ...open.use, epoch: account.epoch };
        world.unsentUses.push(open.use);
    }
}

/**
 * Allows a use that is known to a witness of the record, whichever way a write on its way ends.
 * All witnesses have to agree before a lost router's tokens are returned, so that one is enough.
 */
export function allowUse(world: World, account: AccountRow, key: string): boolean {
    const open = world.openUses.get(key);
    if (open === undefined) {
        return false;
    }
    const knows = (witnesses: readonly Incarnation[]): boolean =>
        witnesses.length === 0 || witnesses.some((witness) => open.witnessedBy.has(witness));
    open.allowed ||= knows(account.witnesses) && (account.write === undefined || knows(account.write.witnesses));
    return open.allowed;
}

/** Returns the keys of an account's uses that wait for a witness. */
export function waitingUses(world: World, account: AccountRow): string[] {
    const keys: string[] = [];
    for (const [key, open] of world.openUses) {
        if (!open.allowed && open.use.account === account.id) {
            keys.push(key);
        }
    }
    return keys;
}

/** Returns true when some witness of the record can be asked. */
export function hasLiveWitness(world: World, account: AccountRow, now: number): boolean {
    return account.witnesses.length === 0 || account.witnesses.some((witness) => isLive(world, witness, now));
}

/** Forgets a use of which nothing came, here and at the witnesses. */
export function closeUse(world: World, key: string): void {
    const open = world.openUses.get(key);
    if (open !== undefined) {
        world.openUses.delete(key);
        world.closedUses.push({ key, at: open.use.at });
    }
}

/** Adds a bill that must not be lost with this router; it takes the place of its use, and its time. */
export function openBill(world: World, bill: WitnessedBill): void {
    const use = world.openUses.get(bill.key)?.use;
    const timed = { ...bill, at: use?.at ?? bill.at };
    world.openUses.delete(bill.key);
    world.openBills.set(bill.key, { bill: timed, offeredTo: new Set(), keptBy: new Set() });
    world.unkeptBills.push(timed);
}

/** Offers a bill again to witnesses that do not keep it. */
export function reofferBill(world: World, key: KeyDigest): void {
    const open = world.openBills.get(key);
    if (open !== undefined) {
        world.unkeptBills.push(open.bill);
    }
}

/** Sends the uses and bills of this tick to the witnesses, in one message each. */
export function informWitnesses(world: World, now: number): void {
    offerUses(world, now);
    offerBills(world, now);
    const closed = world.closedUses;
    world.closedUses = [];
    if (closed.length > 0) {
        const witnesses = new Set([...world.accounts.values()].flatMap((account) => account.witnesses));
        witnesses.forEach((witness) => sendToPeer(world, witness, { kind: "uses-closed", uses: closed }));
    }
}

function offerUses(world: World, now: number): void {
    const uses = world.unsentUses;
    world.unsentUses = [];
    if (uses.length === 0) {
        return;
    }
    const preferred = witnessesOf(world, now);
    const byWitness = new Map<Incarnation, WitnessedUse[]>();
    for (const use of uses) {
        const account = world.accounts.get(use.account)!;
        for (const witness of new Set([...account.witnesses, ...account.write?.witnesses ?? [], ...preferred])) {
            byWitness.set(witness, [...byWitness.get(witness) ?? [], use]);
        }
    }
    for (const [witness, offered] of byWitness) {
        sendToPeer(world, witness, { kind: "uses-open", uses: offered });
    }
}

function offerBills(world: World, now: number): void {
    if (world.unkeptBills.length === 0) {
        return;
    }
    const bills = world.unkeptBills;
    world.unkeptBills = [];
    for (const witness of witnessesOf(world, now)) {
        offerTo(world, witness, bills.filter((bill) => !world.openBills.get(bill.key)?.keptBy.has(witness)));
    }
}

function offerTo(world: World, witness: Incarnation, bills: readonly WitnessedBill[]): void {
    if (bills.length === 0) {
        return;
    }
    const batch = world.nextBatch++;
    world.billBatches.set(batch, bills.map((bill) => bill.key));
    for (const bill of bills) {
        world.openBills.get(bill.key)?.offeredTo.add(witness);
    }
    sendToPeer(world, witness, { kind: "witness-bills", bills, batch });
}

/** Notes which uses a witness knows. Returns those that were waited for. */
export function noteWitnessed(world: World, from: Incarnation, accepted: readonly string[]): WitnessedUse[] {
    const uses: WitnessedUse[] = [];
    for (const key of accepted) {
        const open = world.openUses.get(key);
        if (open !== undefined) {
            open.witnessedBy.add(from);
            uses.push(open.use);
        }
    }
    return uses;
}

/** Notes that a witness keeps a batch. Returns the bills that are now kept well enough. */
export function noteKept(world: World, from: Incarnation, batch: number): KeyDigest[] {
    const keys = world.billBatches.get(batch) ?? [];
    world.billBatches.delete(batch);
    for (const key of keys) {
        world.openBills.get(key)?.keptBy.add(from);
    }
    return keys.filter((key) => isKeptWell(world, key));
}

/**
 * Returns true when a bill outlives the loss of two routers, or of one while the key-value service
 * does not answer.
 */
export function isKeptWell(world: World, key: KeyDigest): boolean {
    const open = world.openBills.get(key);
    const wanted = world.keyValueFailingSince === undefined ? WITNESSES : 1;
    return open !== undefined && open.keptBy.size >= wanted;
}

/** Returns true when there are too few witnesses to end answers without the ledger. */
export function needsLedger(world: World, now: number): boolean {
    return witnessesOf(world, now).length < WITNESSES && world.keyValueFailingSince === undefined;
}

/** Forgets bills that the ledger has, here and at the witnesses. */
export function closeBills(world: World, keys: readonly KeyDigest[]): void {
    const byWitness = new Map<Incarnation, KeyDigest[]>();
    for (const key of keys) {
        for (const witness of world.openBills.get(key)?.offeredTo ?? []) {
            byWitness.set(witness, [...byWitness.get(witness) ?? [], key]);
        }
        world.openBills.delete(key);
    }
    for (const [witness, settled] of byWitness) {
        sendToPeer(world, witness, { kind: "witness-bills-settled", keys: settled });
    }
}

/** Returns the time of the oldest use or bill that the ledger does not have, or now. */
export function oldestOpenAt(world: World, now: number): number {
    let oldest = now;
    for (const { bill } of world.openBills.values()) {
        oldest = Math.min(oldest, bill.at);
    }
    for (const { use } of world.openUses.values()) {
        oldest = Math.min(oldest, use.at);
    }
    return oldest;
}
