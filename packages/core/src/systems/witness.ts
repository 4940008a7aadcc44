import type { Settlement, WitnessedSettlements } from "../ledger/reconcile.js";
import type { Holder, Holding, LedgerRecord } from "../ledger/record.js";
import { rendezvousOrder } from "../support/rendezvous.js";
import type { AccountId, Incarnation, KeyDigest } from "../types/ids.js";
import type { ClosedReserve, WitnessedBill } from "../types/messages.js";
import type { AccountRow, WitnessRow, World } from "../world.js";
import { accountRow } from "../world.js";
import { holderIncarnation, holderName } from "./budgets.js";
import { isLive, isLost, livePeers, sendToPeer } from "./peers.js";

const OPEN_RETRY_MS = 500;

/** Returns the peer that witnesses this router's bills and reserve; it stays while it lives. */
export function witnessOf(world: World, now: number): Incarnation | undefined {
    const current = world.witness;
    if (current !== undefined && isLive(world, current, now) && !world.peers.get(current)!.heartbeat.draining) {
        return current;
    }
    const live = livePeers(world, now);
    const elsewhere = live.filter((peer) => world.peers.get(peer)!.heartbeat.domain !== world.self.domain);
    const region = world.self.domain.split("/")[0]!;
    const near = elsewhere.filter((peer) => world.peers.get(peer)!.heartbeat.domain.startsWith(`${region}/`));
    const candidates = [near, elsewhere, live].find((peers) => peers.length > 0) ?? [];
    world.witness = rendezvousOrder(world.self.incarnation, candidates)[0];
    return world.witness;
}

/** Offers the bills of this tick to the witness, in one message. */
export function offerBills(world: World, now: number): void {
    if (world.unkeptBills.length === 0) {
        return;
    }
    const bills = world.unkeptBills;
    world.unkeptBills = [];
    const witness = witnessOf(world, now);
    if (witness === undefined) {
        return;
    }
    const batch = world.nextBatch++;
    world.billBatches.set(batch, bills.map((bill) => bill.key));
    sendToPeer(world, witness, { kind: "witness-bills", bills, batch });
}

/** Keeps a peer's bills until the ledger has them. */
export function keepBills(world: World, from: Incarnation, bills: readonly WitnessedBill[], batch: number): void {
    const row = witnessRow(world, from);
    for (const bill of bills) {
        row.bills.set(bill.key, bill);
    }
    sendToPeer(world, from, { kind: "witness-bills-kept", batch });
}

/** Takes the keys of a batch that the witness keeps now. */
export function takeKeptBatch(world: World, batch: number): readonly KeyDigest[] {
    const keys = world.billBatches.get(batch) ?? [];
    world.billBatches.delete(batch);
    return keys;
}

/** Tells the witness which bills the ledger has. */
export function announceSettled(world: World, keys: readonly KeyDigest[], now: number): void {
    const witness = witnessOf(world, now);
    if (witness !== undefined && keys.length > 0) {
        sendToPeer(world, witness, { kind: "witness-bills-settled", keys });
    }
}

/** Forgets bills that the ledger has. */
export function forgetBills(world: World, from: Incarnation, keys: readonly KeyDigest[]): void {
    const row = world.witnessed.get(from);
    for (const key of keys) {
        row?.bills.delete(key);
    }
}

/** Returns the accounts for which this router keeps bills of lost peers. */
export function accountsToSettle(world: World, now: number): Set<AccountId> {
    const accounts = new Set<AccountId>();
    for (const [peer, row] of world.witnessed) {
        if (row.bills.size === 0 || !isLost(world, peer, now)) {
            continue;
        }
        for (const bill of row.bills.values()) {
            accounts.add(bill.account);
        }
    }
    return accounts;
}

/** Returns the bills of lost peers for an account, to be written on their behalf. */
export function witnessedSettlements(world: World, account: AccountId, now: number): WitnessedSettlements[] {
    const all: WitnessedSettlements[] = [];
    for (const [holder, row] of world.witnessed) {
        if (row.bills.size === 0 || !isLost(world, holder, now)) {
            continue;
        }
        const settlements: Settlement[] = [...row.bills.values()].filter((bill) => bill.account === account);
        if (settlements.length > 0) {
            all.push({ holder, settlements });
        }
    }
    return all;
}

/** Forgets bills that were written on behalf of lost peers. */
export function dropWitnessed(world: World, written: readonly WitnessedSettlements[]): void {
    for (const { holder, settlements } of written) {
        forgetBills(world, holder, settlements.map((settlement) => settlement.key));
    }
}

/** Asks the witness to open the reserves, once the key-value service fails. */
export function askToOpenReserve(world: World, now: number): void {
    if (now - world.openAskedAt < OPEN_RETRY_MS) {
        return;
    }
    const witness = witnessOf(world, now);
    if (witness === undefined) {
        return;
    }
    world.openAskedAt = now;
    sendToPeer(world, witness, { kind: "reserve-open", epoch: world.epoch });
}

/** Opens a peer's reserves up to an epoch, but for those already closed. */
export function openReserve(world: World, from: Incarnation, epoch: number): void {
    const row = witnessRow(world, from);
    row.openedEpoch = Math.max(row.openedEpoch, epoch);
    const closed: ClosedReserve[] = [...row.closed].map(([account, until]) => ({ account, epoch: until }));
    sendToPeer(world, from, { kind: "reserve-opened", epoch, closed });
}

/** Notes that the witness opened the reserves. */
export function noteOpened(world: World, from: Incarnation, epoch: number, closed: readonly ClosedReserve[]): void {
    if (world.witness !== from || (world.opened?.witness === from && world.opened.epoch > epoch)) {
        return;
    }
    world.opened = { witness: from, epoch, closed: new Map(closed.map((entry) => [entry.account, entry.epoch])) };
}

/** Closes a holder's reserve unless it was opened. Returns true when it can no longer be opened. */
export function closeReserve(world: World, holder: Incarnation, account: AccountId, epoch: number): boolean {
    const row = witnessRow(world, holderIncarnation(holder));
    if (epoch <= row.openedEpoch) {
        return false;
    }
    row.closed.set(account, Math.max(epoch, row.closed.get(account) ?? 0));
    return true;
}

/** Starts the return of reserves whose holders are lost. */
export function reclaimSilentHolders(world: World, account: AccountRow, record: LedgerRecord, now: number): void {
    for (const [id, holder] of Object.entries<Holder>(record.holders)) {
        const name = id as Incarnation;
        if (name === holderName(world, account) || !isLost(world, name, now) || !hasReserve(holder)) {
            continue;
        }
        reclaimHolder(world, account, name, holder, now);
    }
}

function reclaimHolder(world: World, account: AccountRow, name: Incarnation, holder: Holder, now: number): void {
    const witness = holder.witness;
    const closable = witness === undefined
        || (witness === world.self.incarnation && closeReserve(world, name, account.id, holder.epoch));
    if (closable) {
        account.reclaims.push({ holder: name, epoch: holder.epoch });
        return;
    }
    if (witness !== world.self.incarnation && isLive(world, witness, now)) {
        sendToPeer(world, witness, { kind: "reserve-close", holder: name, epoch: holder.epoch, account: account.id });
    }
}

function hasReserve(holder: Holder): boolean {
    return Object.values<Holding>(holder.budgets).some((holding) => holding.reserve > 0);
}

/** Notes that a lost holder's reserve was closed and may be returned. */
export function noteClosed(world: World, account: AccountId, holder: Incarnation, epoch: number): AccountRow {
    const row = accountRow(world, account);
    if (!row.reclaims.some((reclaim) => reclaim.holder === holder && reclaim.epoch === epoch)) {
        row.reclaims.push({ holder, epoch });
    }
    return row;
}

function witnessRow(world: World, peer: Incarnation): WitnessRow {
    const known = world.witnessed.get(peer);
    if (known !== undefined) {
        return known;
    }
    const row: WitnessRow = { bills: new Map(), openedEpoch: -1, closed: new Map() };
    world.witnessed.set(peer, row);
    return row;
}
