import { PAGE_LIFETIME_MS, pageKey, pageToSeal, type SealedPage } from "../ledger/pages.js";
import type { LedgerRecord } from "../ledger/record.js";
import type { AccountId } from "../types/ids.js";
import type { KeyValueResult } from "../types/messages.js";
import type { AccountRow, LedgerWrite } from "../types/rows.js";
import { accountRow, type World } from "../world.js";
import { compareAndSwapKey, readKey } from "./key-value.js";

/**
 * Reads the pages of a record that are not cached: only all of them together show that a key was not billed before.
 * Returns true when some are missing.
 */
export function readMissingPages(world: World, account: AccountRow, record: LedgerRecord): boolean {
    const missing = record.pages.filter((page) => !account.pages.has(page.id));
    for (const page of missing) {
        account.callInFlight = true;
        readKey(world, pageKey(account.id, page.id), { kind: "page-read", account: account.id, page: page.id });
    }
    return missing.length > 0;
}

/** Stores the oldest bills as a page when a record has many; a later write replaces them by a reference to it. */
export function sealBills(world: World, account: AccountRow, record: LedgerRecord, write: LedgerWrite): void {
    if (account.seal === write.seal) {
        account.seal = undefined;
    }
    dropUnreferencedPages(account, record);
    const page = account.seal === undefined && !account.sealing ? pageToSeal(record) : undefined;
    if (page === undefined) {
        return;
    }
    account.sealing = true;
    const purpose = { kind: "page-write", account: account.id, page } as const;
    compareAndSwapKey(world, pageKey(account.id, page.id), 0, page.text, purpose, PAGE_LIFETIME_MS);
}

function dropUnreferencedPages(account: AccountRow, record: LedgerRecord): void {
    for (const id of account.pages.keys()) {
        if (id !== account.seal?.id && !record.pages.some((page) => page.id === id)) {
            account.pages.delete(id);
        }
    }
}

/** Records that a page is stored; a conflict shows that the same page was stored before. */
export function recordSealedPage(world: World, id: AccountId, page: SealedPage, result: KeyValueResult): void {
    const account = accountRow(world, id);
    account.sealing = false;
    if (result.kind === "applied" || result.kind === "conflict") {
        account.seal = page;
        account.pages.set(page.id, page.bills);
    }
}
