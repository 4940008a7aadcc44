import { rendezvousOrder } from "../support/rendezvous.js";
import type { Incarnation, KeyDigest } from "../types/ids.js";
import type { WitnessedBill, WitnessedUse } from "../types/messages.js";
import type { AccountRow, OpenUseRow } from "../types/rows.js";
import type { World } from "../world.js";
import { isLive, livePeers, sendToPeer } from "./peers.js";

const WITNESS_COUNT = 2;
const MIN_TIME_STEP_MS = 0.001;

/** Returns the peers that witness this router's uses and bills. They are replaced only when silent or draining. */
export function selectWitnesses(world: World, now: number): readonly Incarnation[] {
    const retained = world.witnesses.filter((peer) =>
        isLive(world, peer, now) && !world.peers.get(peer)!.heartbeat.draining
    );
    if (retained.length < WITNESS_COUNT) {
        const others = preferredPeers(world, now).filter((peer) => !retained.includes(peer));
        world.witnesses = [...retained, ...others.slice(0, WITNESS_COUNT - retained.length)];
    }
    return world.witnesses;
}

// Peers in other failure domains of the same region come first: near, but not likely to fail with this router.
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
 * Returns the witnesses to write into an account's record: the preferred ones if each allowed use is witnessed by at
 * least one of them, otherwise those of the record, while the uses are sent to the preferred ones again.
 */
export function witnessesFor(world: World, account: AccountRow, now: number): readonly Incarnation[] {
    const preferred = selectWitnesses(world, now);
    let allWitnessed = true;
    for (const open of world.openUses.values()) {
        const isOwn = open.use.account === account.id && open.allowed;
        if (isOwn && !preferred.some((witness) => open.witnessedBy.has(witness))) {
            allWitnessed = false;
            world.unsentUses.push(open.use);
        }
    }
    return allWitnessed ? preferred : account.witnesses;
}

/** Opens a use of the allowance and queues it for the witnesses. Returns true when it may proceed at once. */
export function openUse(world: World, account: AccountRow, use: Omit<WitnessedUse, "at">, now: number): boolean {
    // Timestamps are unique, so that a late message about an earlier use of the same key is recognized.
    world.lastUseAt = Math.max(now, world.lastUseAt + MIN_TIME_STEP_MS);
    const open: OpenUseRow = { use: { ...use, at: world.lastUseAt }, witnessedBy: new Set(), allowed: false };
    world.openUses.set(use.key, open);
    world.unsentUses.push(open.use);
    return allowUse(world, account, use.key);
}

/** Sends a use again, with the account's current epoch and witnesses. */
export function resendUse(world: World, account: AccountRow, key: string): void {
    const open = world.openUses.get(key);
    if (open !== undefined) {
        open.use = { ...open.use, epoch: account.epoch };
        world.unsentUses.push(open.use);
    }
}

/**
 * Allows a use that a witness of the record has, whether or not a pending write of the record succeeds. One witness is
 * enough, because a lost router's tokens are returned only after all its witnesses have reported.
 */
export function allowUse(world: World, account: AccountRow, key: string): boolean {
    const open = world.openUses.get(key);
    if (open === undefined) {
        return false;
    }
    const isWitnessedByAny = (witnesses: readonly Incarnation[]): boolean =>
        witnesses.length === 0 || witnesses.some((witness) => open.witnessedBy.has(witness));
    open.allowed ||= isWitnessedByAny(account.witnesses)
        && (account.pendingWrite === undefined || isWitnessedByAny(account.pendingWrite.witnesses));
    return open.allowed;
}

/** Returns the keys of an account's uses that are not allowed yet. */
export function pendingUses(world: World, account: AccountRow): string[] {
    const keys: string[] = [];
    for (const [key, open] of world.openUses) {
        if (!open.allowed && open.use.account === account.id) {
            keys.push(key);
        }
    }
    return keys;
}

/** Returns true when the record has no witnesses or at least one live one. */
export function hasLiveWitness(world: World, account: AccountRow, now: number): boolean {
    return account.witnesses.length === 0 || account.witnesses.some((witness) => isLive(world, witness, now));
}

/** Removes a use that ended without a bill or transfer, locally and at the witnesses. */
export function closeUse(world: World, key: string): void {
    const open = world.openUses.get(key);
    if (open !== undefined) {
        world.openUses.delete(key);
        world.closedUses.push({ key, at: open.use.at });
    }
}

/** Adds a bill to replicate to the witnesses. It replaces its use and takes over the use's timestamp. */
export function openBill(world: World, bill: WitnessedBill): void {
    const use = world.openUses.get(bill.key)?.use;
    const timedBill = { ...bill, at: use?.at ?? bill.at };
    world.openUses.delete(bill.key);
    world.openBills.set(bill.key, { bill: timedBill, offeredTo: new Set(), keptBy: new Set() });
    world.unsentBills.push(timedBill);
}

/** Sends a bill again to the witnesses that have not acknowledged it. */
export function resendBill(world: World, key: KeyDigest): void {
    const open = world.openBills.get(key);
    if (open !== undefined) {
        world.unsentBills.push(open.bill);
    }
}

/** Sends the uses and bills of this tick to the witnesses, in one message of each kind per witness. */
export function sendToWitnesses(world: World, now: number): void {
    sendUses(world, now);
    sendBills(world, now);
    const closed = world.closedUses;
    world.closedUses = [];
    if (closed.length > 0) {
        const witnesses = new Set([...world.accounts.values()].flatMap((account) => account.witnesses));
        witnesses.forEach((witness) => sendToPeer(world, witness, { kind: "uses-closed", uses: closed }));
    }
}

function sendUses(world: World, now: number): void {
    const uses = world.unsentUses;
    world.unsentUses = [];
    if (uses.length === 0) {
        return;
    }
    const preferred = selectWitnesses(world, now);
    const byWitness = new Map<Incarnation, WitnessedUse[]>();
    for (const use of uses) {
        const account = world.accounts.get(use.account)!;
        for (const witness of new Set([...account.witnesses, ...account.pendingWrite?.witnesses ?? [], ...preferred])) {
            byWitness.set(witness, [...byWitness.get(witness) ?? [], use]);
        }
    }
    for (const [witness, offered] of byWitness) {
        sendToPeer(world, witness, { kind: "uses-open", uses: offered });
    }
}

function sendBills(world: World, now: number): void {
    if (world.unsentBills.length === 0) {
        return;
    }
    const bills = world.unsentBills;
    world.unsentBills = [];
    for (const witness of selectWitnesses(world, now)) {
        sendBillBatch(world, witness, bills.filter((bill) => !world.openBills.get(bill.key)?.keptBy.has(witness)));
    }
}

function sendBillBatch(world: World, witness: Incarnation, bills: readonly WitnessedBill[]): void {
    if (bills.length === 0) {
        return;
    }
    const batch = world.nextBillBatch++;
    world.billBatches.set(batch, bills.map((bill) => bill.key));
    for (const bill of bills) {
        world.openBills.get(bill.key)?.offeredTo.add(witness);
    }
    sendToPeer(world, witness, { kind: "witness-bills", bills, batch });
}

/** Records the uses that a witness has accepted. Returns those that are still open. */
export function recordWitnessedUses(world: World, from: Incarnation, accepted: readonly string[]): WitnessedUse[] {
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

/** Records that a witness has stored a batch. Returns the keys of its bills that have enough copies now. */
export function recordKeptBatch(world: World, from: Incarnation, batch: number): KeyDigest[] {
    const keys = world.billBatches.get(batch) ?? [];
    world.billBatches.delete(batch);
    for (const key of keys) {
        world.openBills.get(key)?.keptBy.add(from);
    }
    return keys.filter((key) => hasEnoughCopies(world, key));
}

/** Returns true when a bill survives the loss of two routers, or of one while the key-value service is unavailable. */
export function hasEnoughCopies(world: World, key: KeyDigest): boolean {
    const open = world.openBills.get(key);
    const required = world.keyValueFailingSince === undefined ? WITNESS_COUNT : 1;
    return open !== undefined && open.keptBy.size >= required;
}

/** Returns true when answers must wait for the ledger: it is available, and there are too few witnesses. */
export function needsLedger(world: World, now: number): boolean {
    return selectWitnesses(world, now).length < WITNESS_COUNT && world.keyValueFailingSince === undefined;
}

/** Removes bills that the ledger has, locally and at the witnesses. */
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

/** Returns the time of the oldest use or bill that is not in the ledger, or now if there is none. */
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
