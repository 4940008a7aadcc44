import { LONGEST_REQUEST_MS, type WitnessedSettlements } from "../ledger/reconcile.js";
import { type Holder, type Holding, type LedgerRecord, parseRecord } from "../ledger/record.js";
import { rendezvousOrder } from "../support/rendezvous.js";
import type { AccountId, Incarnation, KeyDigest } from "../types/ids.js";
import type { ClosedReserve, Heartbeat, WitnessedBill } from "../types/messages.js";
import type { AccountRow, WitnessRow, World } from "../world.js";
import { holderIncarnation, holderName } from "./budgets.js";
import { isLive, isLost, livePeers, sendToPeer } from "./peers.js";

const OPEN_RETRY_MS = 500;
const WITNESSES = 2;
const KEPT_BILL_LIMIT_MS = LONGEST_REQUEST_MS * 0.75;

/** Returns the peers that witness this router's bills and reserves; they stay while they live. */
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

/** Adds a bill that must not be lost with this router. */
export function openBill(world: World, bill: WitnessedBill): void {
    world.openBills.set(bill.key, { bill, offeredTo: new Set(), keptBy: new Set() });
    world.unkeptBills.push(bill);
}

/** Offers a bill again to witnesses that do not keep it. */
export function reofferBill(world: World, key: KeyDigest): void {
    const open = world.openBills.get(key);
    if (open !== undefined) {
        world.unkeptBills.push(open.bill);
    }
}

/** Offers the bills of this tick to the witnesses, in one message each. */
export function offerBills(world: World, now: number): void {
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

/** Keeps a peer's bills until the ledger has them. */
export function keepBills(
    world: World,
    from: Incarnation,
    bills: readonly WitnessedBill[],
    batch: number,
    now: number,
): void {
    const row = witnessRow(world, from);
    for (const bill of bills) {
        row.bills.set(bill.key, { ...bill, keptAt: now });
    }
    sendToPeer(world, from, { kind: "witness-bills-kept", batch });
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

/** Returns the time of the oldest bill that the ledger does not have, or now. */
export function oldestBillAt(world: World, now: number): number {
    // Bills are added in order of time.
    for (const { bill } of world.openBills.values()) {
        return bill.at;
    }
    return now;
}

/** Forgets bills of a peer that the ledger has by its own word, should the message about them be lost. */
export function dropSettledBills(world: World, heartbeat: Heartbeat): void {
    const row = world.witnessed.get(heartbeat.incarnation);
    for (const bill of row?.bills.values() ?? []) {
        if (bill.at < heartbeat.oldestBillAt) {
            row!.bills.delete(bill.key);
        }
    }
}

/** Forgets bills that the ledger has. */
export function forgetBills(world: World, from: Incarnation, keys: readonly KeyDigest[]): void {
    const row = world.witnessed.get(from);
    for (const key of keys) {
        row?.bills.delete(key);
    }
}

/** Returns the accounts for which this router keeps bills that their router seems unable to write. */
export function accountsToSettle(world: World, now: number): Set<AccountId> {
    const accounts = new Set<AccountId>();
    for (const [peer, row] of world.witnessed) {
        dropOldBills(row, now);
        for (const bill of row.bills.values()) {
            if (isOverdue(world, peer, bill, now)) {
                accounts.add(bill.account);
            }
        }
    }
    return accounts;
}

// The ledger forgets bills after a while; a bill as old as that could be written a second time.
function dropOldBills(row: WitnessRow, now: number): void {
    for (const bill of row.bills.values()) {
        if (now - bill.keptAt > KEPT_BILL_LIMIT_MS) {
            row.bills.delete(bill.key);
        }
    }
}

// The ledger takes a bill once, so it does no harm when both its router and a witness write it.
function isOverdue(world: World, peer: Incarnation, bill: { readonly keptAt: number; }, now: number): boolean {
    return isLost(world, peer, now) || now - bill.keptAt > world.policy.witnessSettleMs;
}

/** Returns the overdue bills of peers for an account, to be written on their behalf. */
export function witnessedSettlements(world: World, account: AccountId, now: number): WitnessedSettlements[] {
    const all: WitnessedSettlements[] = [];
    for (const [peer, row] of world.witnessed) {
        dropOldBills(row, now);
        for (const bill of row.bills.values()) {
            if (bill.account === account && isOverdue(world, peer, bill, now)) {
                addWitnessed(all, bill);
            }
        }
    }
    return all;
}

function addWitnessed(all: WitnessedSettlements[], bill: WitnessedBill): void {
    const known = all.find((entry) => entry.holder === bill.holder);
    if (known === undefined) {
        all.push({ holder: bill.holder, settlements: [bill] });
        return;
    }
    known.settlements.push(bill);
}

/** Forgets bills that were written on behalf of lost peers. */
export function dropWitnessed(world: World, written: readonly WitnessedSettlements[]): void {
    for (const { holder, settlements } of written) {
        forgetBills(world, holderIncarnation(holder), settlements.map((settlement) => settlement.key));
    }
}

/** Asks the witnesses to open the reserves, once the key-value service fails. */
export function askToOpenReserve(world: World, now: number): void {
    if (now - world.openAskedAt < OPEN_RETRY_MS) {
        return;
    }
    world.openAskedAt = now;
    const recorded = [...world.accounts.values()].flatMap((account) => account.witnesses);
    for (const witness of new Set([...recorded, ...witnessesOf(world, now)])) {
        sendToPeer(world, witness, { kind: "reserve-open", epoch: world.epoch });
    }
}

/** Opens a peer's reserves up to an epoch, but for those already closed. */
export function openReserve(world: World, from: Incarnation, epoch: number): void {
    const row = witnessRow(world, from);
    row.openedEpoch = Math.max(row.openedEpoch, epoch);
    const closed: ClosedReserve[] = [...row.closed].map(([account, until]) => ({ account, epoch: until }));
    sendToPeer(world, from, { kind: "reserve-opened", epoch, closed });
}

/** Notes that a witness opened the reserves. */
export function noteOpened(world: World, from: Incarnation, epoch: number, closed: readonly ClosedReserve[]): void {
    const known = world.opened.get(from);
    if (known === undefined || known.epoch <= epoch) {
        world.opened.set(from, { epoch, closed: new Map(closed.map((entry) => [entry.account, entry.epoch])) });
    }
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
    const { epoch } = holder;
    if (holder.witnesses.length === 0) {
        addReclaim(account, name, epoch);
        return;
    }
    for (const witness of holder.witnesses) {
        if (witness !== world.self.incarnation) {
            sendToPeer(world, witness, { kind: "reserve-close", holder: name, epoch, account: account.id });
        }
        else if (closeReserve(world, name, account.id, epoch)) {
            noteClosed(world, account, name, epoch, witness);
        }
    }
}

function addReclaim(account: AccountRow, holder: Incarnation, epoch: number): void {
    if (!account.reclaims.some((reclaim) => reclaim.holder === holder && reclaim.epoch === epoch)) {
        account.reclaims.push({ holder, epoch });
    }
}

function hasReserve(holder: Holder): boolean {
    return Object.values<Holding>(holder.budgets).some((holding) => holding.reserve > 0);
}

/** Notes that a witness closed a lost holder's reserve. Returns true once all of them did. */
export function noteClosed(
    world: World,
    account: AccountRow,
    holder: Incarnation,
    epoch: number,
    witness: Incarnation,
): boolean {
    const entry = parseRecord(account.stored?.value).holders[holder];
    if (entry === undefined || entry.epoch !== epoch) {
        return false;
    }
    const key = `${holder} ${epoch}`;
    const closedBy = account.closedBy.get(key) ?? new Set();
    account.closedBy.set(key, closedBy);
    closedBy.add(witness);
    if (!entry.witnesses.every((other) => closedBy.has(other))) {
        return false;
    }
    account.closedBy.delete(key);
    addReclaim(account, holder, epoch);
    return true;
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
