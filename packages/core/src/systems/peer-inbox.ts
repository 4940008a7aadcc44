import { brand, type Incarnation, type KeyDigest, type TransferId } from "../types/ids.js";
import type { PeerMessage } from "../types/messages.js";
import type { AccountRow } from "../types/rows.js";
import { accountRow, type World } from "../world.js";
import { continueWitnessed, reserveForWaitingRuns } from "./admission.js";
import { completeBilling } from "./answers.js";
import { holderIncarnation } from "./budgets.js";
import { adoptSnapshot } from "./configuration.js";
import { queueForIsolation, removeFromIsolation, startIsolatedRun } from "./isolation.js";
import { requestWrite } from "./ledger.js";
import { continueTransfer, handleBorrowRequest, receiveTransfer, recordTransferReceived } from "./lending.js";
import { forwardHeartbeat, receiveHeartbeat } from "./membership.js";
import { isLive, sendToPeer } from "./peers.js";
import { closeAllowance, recordWitnessReport } from "./recovery.js";
import { OVERDUE_RETRY_AFTER_MS } from "./refusals.js";
import { refuseRun } from "./runs.js";
import { recordKeptBatch, recordWitnessedUses } from "./witness.js";
import { keepBills, removeBills, removeUses, witnessUses } from "./witnessed.js";

/** Handles a message from another router. */
export function handlePeerMessage(world: World, from: Incarnation, message: PeerMessage, now: number): void {
    switch (message.kind) {
        case "heartbeat":
            return receiveHeartbeat(world, message, now);
        case "goodbye":
            world.peers.delete(message.incarnation);
            return;
        case "configuration-wanted":
            if (world.snapshot.version > message.above) {
                sendToPeer(world, from, { kind: "configuration", snapshot: world.snapshot });
            }
            return;
        case "configuration":
            return adoptSnapshot(world, message.snapshot);
        case "witness-bills":
            return keepBills(world, from, message.bills, message.batch, now);
        case "witness-bills-kept":
            return completeBilledRuns(world, recordKeptBatch(world, from, message.batch), now);
        case "witness-bills-settled":
            return removeBills(world, from, message.keys);
        case "uses-open":
            return witnessUses(world, from, message.uses, now);
        case "uses-witnessed":
            return handleUsesWitnessed(world, from, message, now);
        case "uses-closed":
            return removeUses(world, from, message.uses);
        case "allowance-close":
            return handleAllowanceClose(world, from, message, now);
        case "allowance-closed":
            return handleAllowanceClosed(world, from, message, now);
        case "borrow":
            return handleBorrowRequest(world, from, message, now);
        case "lend":
            return reserveForWaitingRuns(
                world,
                receiveTransfer(world, from, message.account, message.transfer, now),
                now,
            );
        case "lend-received":
            return recordTransferReceived(world, message.transfer, now);
        case "borrow-refused":
            return handleBorrowRefused(world, from, accountRow(world, message.account), now);
        case "allowance-returned":
            return requestWrite(world, accountRow(world, message.account), now);
        case "lane-wanted":
            return queueForIsolation(
                world,
                message.lane,
                { incarnation: from, body: message.body, server: message.server, ranMs: message.ranMs },
                now,
            );
        case "lane-granted":
            return startIsolatedRun(world, message.lane, message.body, message.endpoint, now);
        case "lane-released":
            return removeFromIsolation(world, message.lane, from, message.body, now);
    }
}

function handleUsesWitnessed(
    world: World,
    from: Incarnation,
    message: Extract<PeerMessage, { kind: "uses-witnessed"; }>,
    now: number,
): void {
    for (const use of recordWitnessedUses(world, from, message.accepted)) {
        continueWitnessedUse(world, use.key, now);
    }
    // The next ledger write opens a new allowance in place of the closed one.
    for (const key of message.refused) {
        const account = world.openUses.get(key)?.use.account;
        if (account !== undefined) {
            requestWrite(world, accountRow(world, account), now);
        }
    }
}

/** Continues the request or transfer of a use that a witness has accepted. */
export function continueWitnessedUse(world: World, key: string, now: number): void {
    const run = world.runs.get(world.runsByKey.get(brand<KeyDigest>(key)) ?? 0);
    if (run !== undefined) {
        continueWitnessed(world, run, now);
    }
    continueTransfer(world, brand<TransferId>(key));
}

function handleAllowanceClose(
    world: World,
    from: Incarnation,
    message: Extract<PeerMessage, { kind: "allowance-close"; }>,
    now: number,
): void {
    const { holder, epoch, account } = message;
    // A holder sends every heartbeat to its witnesses, so the sender may have missed heartbeats of a live holder.
    if (isLive(world, holder, now)) {
        return forwardHeartbeat(world, from, holderIncarnation(holder), now);
    }
    const report = closeAllowance(world, holder, account, epoch, now);
    sendToPeer(world, from, { kind: "allowance-closed", holder, epoch, account, ...report });
}

function handleAllowanceClosed(
    world: World,
    from: Incarnation,
    message: Extract<PeerMessage, { kind: "allowance-closed"; }>,
    now: number,
): void {
    const account = accountRow(world, message.account);
    if (recordWitnessReport(account, message.holder, message.epoch, from, message)) {
        requestWrite(world, account, now);
    }
}

function handleBorrowRefused(world: World, from: Incarnation, account: AccountRow, now: number): void {
    if (!account.pendingLenders.delete(from) || account.pendingLenders.size > 0) {
        return;
    }
    const reason = world.keyValueFailingSince === undefined ? "budget-held-elsewhere" : "ledger-unavailable";
    for (const id of [...account.waiting]) {
        refuseRun(world, world.runs.get(id)!, reason, OVERDUE_RETRY_AFTER_MS, now);
    }
}

/** Completes the answers whose bills are stored at enough witnesses or in the ledger. */
export function completeBilledRuns(world: World, keys: readonly KeyDigest[], now: number): void {
    for (const key of keys) {
        completeBilling(world, world.runs.get(world.runsByKey.get(key) ?? 0), now);
    }
}
