import type { Settlement } from "../ledger/reconcile.js";
import { type Holder, type Holding, type LedgerRecord, parseRecord } from "../ledger/record.js";
import type { AccountId, Incarnation } from "../types/ids.js";
import type { PeerMessage, WitnessedUse } from "../types/messages.js";
import type { AccountRow } from "../types/rows.js";
import type { World } from "../world.js";
import { holderIncarnation, holderName } from "./budgets.js";
import { isLive, isLost, sendToPeer } from "./peers.js";
import { witnessRow } from "./witnessed.js";

/** The uses and bills of a lost holder's allowance that a witness reports after closing it. */
export type WitnessReport = Pick<Extract<PeerMessage, { kind: "allowance-closed"; }>, "uses" | "bills">;

const MIN_REQUEST_INTERVAL_MS = 1_000;

/** Requests the witnesses of lost holders to close their allowances, so that unused tokens can be returned. */
export function recoverLostHolders(world: World, account: AccountRow, record: LedgerRecord, now: number): void {
    if (now - account.recoveryRequestedAt < MIN_REQUEST_INTERVAL_MS) {
        return;
    }
    account.recoveryRequestedAt = now;
    for (const [id, holder] of Object.entries<Holder>(record.holders)) {
        const name = id as Incarnation;
        if (name !== holderName(world, account) && isLost(world, name, now) && isRecoverable(world, holder, now)) {
            requestWitnessReports(world, account, name, holder, now);
        }
    }
}

/** Returns true when the record has a lost holder whose unused tokens can be returned. */
export function hasLostHolder(world: World, account: AccountRow, now: number): boolean {
    if (account.stored === undefined) {
        return false;
    }
    const record = parseRecord(account.stored.value);
    return Object.entries<Holder>(record.holders).some(([id, holder]) =>
        id !== holderName(world, account) && isLost(world, id as Incarnation, now)
        && isRecoverable(world, holder, now)
    );
}

// Recovery needs the reports of all witnesses to know every use. Holders with recorded uses are recovered already.
function isRecoverable(world: World, holder: Holder, now: number): boolean {
    const reachable = holder.witnesses.every((witness) =>
        witness === world.self.incarnation || isLive(world, witness, now)
    );
    const hasAllowance = Object.values<Holding>(holder.budgets).some((holding) => holding.allowance > 0);
    return holder.witnesses.length > 0 && reachable && holder.uses === undefined && hasAllowance;
}

function requestWitnessReports(
    world: World,
    account: AccountRow,
    name: Incarnation,
    holder: Holder,
    now: number,
): void {
    const { epoch } = holder;
    for (const witness of holder.witnesses) {
        if (witness === world.self.incarnation) {
            const report = closeAllowance(world, name, account.id, epoch, now);
            recordWitnessReport(account, name, epoch, witness, report);
        }
        else {
            sendToPeer(world, witness, { kind: "allowance-close", holder: name, epoch, account: account.id });
        }
    }
}

/** Closes a holder's allowance, so that no further use of it is witnessed. Returns its witnessed uses and bills. */
export function closeAllowance(
    world: World,
    holder: Incarnation,
    account: AccountId,
    epoch: number,
    now: number,
): WitnessReport {
    const row = witnessRow(world, holderIncarnation(holder), now);
    row.closedEpochs.set(account, Math.max(epoch, row.closedEpochs.get(account) ?? 0));
    const isOfHolder = (entry: { readonly account: AccountId; readonly holder: Incarnation; }): boolean =>
        entry.account === account && entry.holder === holder;
    return {
        uses: [...row.uses.values()].filter(isOfHolder),
        bills: [...row.bills.values()].filter(isOfHolder),
    };
}

/** Records a witness report. Returns true once all witnesses of the holder's entry have reported. */
export function recordWitnessReport(
    account: AccountRow,
    holder: Incarnation,
    epoch: number,
    witness: Incarnation,
    report: WitnessReport,
): boolean {
    const entry = parseRecord(account.stored?.value).holders[holder];
    if (entry === undefined || entry.epoch !== epoch) {
        return false;
    }
    const key = `${holder} ${epoch}`;
    const reports = account.witnessReports.get(key) ?? new Map<Incarnation, WitnessReport>();
    account.witnessReports.set(key, reports);
    reports.set(witness, report);
    if (!entry.witnesses.every((other) => reports.has(other))) {
        return false;
    }
    account.witnessReports.delete(key);
    addRecovery(account, holder, epoch, [...reports.values()]);
    return true;
}

function addRecovery(account: AccountRow, holder: Incarnation, epoch: number, reports: readonly WitnessReport[]): void {
    if (account.recoveries.some((recovery) => recovery.holder === holder && recovery.epoch === epoch)) {
        return;
    }
    const uses = new Map<string, WitnessedUse>();
    const settlements = new Map<string, Settlement>();
    for (const report of reports) {
        report.uses.forEach((use) => uses.set(use.key, use));
        report.bills.forEach((bill) => settlements.set(bill.key, bill));
    }
    const bills = [...settlements.values()];
    account.recoveries.push({ holder, epoch, uses: [...uses.values()], settlements: bills });
}
