import { HOLDER_RETIREMENT_MS, MAX_REQUEST_LIFETIME_MS, type WitnessedSettlements } from "../ledger/reconcile.js";
import type { AccountId, Incarnation, KeyDigest } from "../types/ids.js";
import type { ClosedUse, Heartbeat, WitnessedBill, WitnessedUse } from "../types/messages.js";
import type { WitnessRow } from "../types/rows.js";
import type { World } from "../world.js";
import { holderIncarnation } from "./budgets.js";
import { isLost, sendToPeer } from "./peers.js";

const MAX_KEPT_BILL_AGE_MS = MAX_REQUEST_LIFETIME_MS * 0.75;

/** Stores a peer's uses, except those of closed allowances, and replies which were accepted and refused. */
export function witnessUses(world: World, from: Incarnation, uses: readonly WitnessedUse[], now: number): void {
    const row = witnessRow(world, from, now);
    const accepted: string[] = [];
    const refused: string[] = [];
    for (const use of uses) {
        if (use.epoch <= (row.closedEpochs.get(use.account) ?? -1)) {
            refused.push(use.key);
            continue;
        }
        accepted.push(use.key);
        row.uses.set(use.key, { ...use, keptAt: now });
    }
    sendToPeer(world, from, { kind: "uses-witnessed", accepted, refused });
}

/** Removes uses that a peer has closed, unless the same key has a later use. */
export function removeUses(world: World, from: Incarnation, closed: readonly ClosedUse[]): void {
    const row = world.witnessed.get(from);
    for (const { key, at } of closed) {
        if ((row?.uses.get(key)?.at ?? Infinity) <= at) {
            row!.uses.delete(key);
        }
    }
}

/** Stores a peer's bills until the ledger has them, and acknowledges the batch. */
export function keepBills(
    world: World,
    from: Incarnation,
    bills: readonly WitnessedBill[],
    batch: number,
    now: number,
): void {
    const row = witnessRow(world, from, now);
    for (const bill of bills) {
        row.uses.delete(bill.key);
        row.bills.set(bill.key, { ...bill, keptAt: now });
    }
    sendToPeer(world, from, { kind: "witness-bills-kept", batch });
}

/** Removes entries that a peer's heartbeat reports as settled, in case the message about them was lost. */
export function removeSettledEntries(world: World, heartbeat: Heartbeat): void {
    const row = world.witnessed.get(heartbeat.incarnation);
    if (row === undefined) {
        return;
    }
    for (const entries of [row.bills, row.uses] as readonly Map<string, { readonly at: number; }>[]) {
        for (const [key, entry] of entries) {
            if (entry.at < heartbeat.oldestOpenAt) {
                entries.delete(key);
            }
        }
    }
}

/** Removes bills that the ledger has. */
export function removeBills(world: World, from: Incarnation, keys: readonly KeyDigest[]): void {
    const row = world.witnessed.get(from);
    for (const key of keys) {
        row?.bills.delete(key);
    }
}

/** Returns the accounts for which this router stores overdue bills of peers. Removes expired entries. */
export function accountsToSettle(world: World, now: number): Set<AccountId> {
    const accounts = new Set<AccountId>();
    for (const [peer, row] of world.witnessed) {
        removeExpiredEntries(row, now);
        for (const bill of row.bills.values()) {
            if (isOverdue(world, peer, bill, now)) {
                accounts.add(bill.account);
            }
        }
    }
    return accounts;
}

// The ledger deletes old bills and would no longer detect such a bill as a duplicate.
function removeExpiredEntries(row: WitnessRow, now: number): void {
    for (const bill of row.bills.values()) {
        if (now - bill.keptAt > MAX_KEPT_BILL_AGE_MS) {
            row.bills.delete(bill.key);
        }
    }
    for (const use of row.uses.values()) {
        if (now - use.keptAt > HOLDER_RETIREMENT_MS) {
            row.uses.delete(use.key);
        }
    }
}

// The ledger ignores duplicate bills, so both the bill's router and a witness may write it.
function isOverdue(world: World, peer: Incarnation, bill: { readonly keptAt: number; }, now: number): boolean {
    return isLost(world, peer, now) || now - bill.keptAt > world.policy.witnessSettleMs;
}

/** Returns the overdue bills of peers for an account, to write on their behalf. */
export function witnessedSettlements(world: World, account: AccountId, now: number): WitnessedSettlements[] {
    const all: WitnessedSettlements[] = [];
    for (const [peer, row] of world.witnessed) {
        removeExpiredEntries(row, now);
        for (const bill of row.bills.values()) {
            if (bill.account === account && isOverdue(world, peer, bill, now)) {
                addSettlement(all, bill);
            }
        }
    }
    return all;
}

function addSettlement(all: WitnessedSettlements[], bill: WitnessedBill): void {
    const existing = all.find((entry) => entry.holder === bill.holder);
    if (existing === undefined) {
        all.push({ holder: bill.holder, settlements: [bill] });
        return;
    }
    existing.settlements.push(bill);
}

/** Removes bills that were written on behalf of peers. */
export function removeWrittenBills(world: World, written: readonly WitnessedSettlements[]): void {
    for (const { holder, settlements } of written) {
        removeBills(world, holderIncarnation(holder), settlements.map((settlement) => settlement.key));
    }
}

/** Returns the row of what this router witnesses for a peer, created on first use. */
export function witnessRow(world: World, peer: Incarnation, now: number): WitnessRow {
    const row = world.witnessed.get(peer)
        ?? { bills: new Map(), uses: new Map(), closedEpochs: new Map(), updatedAt: now };
    row.updatedAt = now;
    world.witnessed.set(peer, row);
    return row;
}

/** Removes the rows of peers that were not used for longer than the ledger retains their entries. */
export function removeStaleWitnessRows(world: World, now: number): void {
    for (const [peer, row] of world.witnessed) {
        if (now - row.updatedAt > 2 * HOLDER_RETIREMENT_MS) {
            world.witnessed.delete(peer);
        }
    }
}
