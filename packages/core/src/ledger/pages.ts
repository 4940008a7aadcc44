import { digestText } from "../support/digest.js";
import type { KeyDigest } from "../types/ids.js";
import type { Bill, BillPage, LedgerRecord } from "./record.js";

/** Bills of the pages read so far, by page id. */
export type PageCache = Map<string, ReadonlyMap<KeyDigest, Bill>>;

/** Bills that are moved out of a record into a page of their own. */
export type SealedPage = { readonly id: string; readonly text: string; readonly bills: ReadonlyMap<KeyDigest, Bill>; };

/** Number of bills in a page; a record's bills are moved into a page once there are as many. */
export const BILLS_PER_PAGE = 128;
/** Time in ms for which a stored page is kept; longer than any record refers to it. */
export const PAGE_LIFETIME_MS = 6 * 60 * 60_000;

/** Returns the key under which a page is stored. Its id is the digest of its content, so a page never changes. */
export function pageKey(account: string, id: string): string {
    return `bills/${account}/${id}`;
}

/** Returns the page to move a record's bills into, or undefined if there are fewer than `BILLS_PER_PAGE`. */
export function pageToSeal(record: LedgerRecord): SealedPage | undefined {
    const entries = Object.entries<Bill>(record.bills);
    if (entries.length < BILLS_PER_PAGE) {
        return undefined;
    }
    const bills = entries.slice(0, BILLS_PER_PAGE) as [KeyDigest, Bill][];
    const text = JSON.stringify(Object.fromEntries(bills));
    return { id: digestText(text), text, bills: new Map(bills) };
}

/** Parses a stored page; an absent value is a page without bills. */
export function parsePage(value: string | undefined): ReadonlyMap<KeyDigest, Bill> {
    const bills = value === undefined ? {} : JSON.parse(value) as Record<KeyDigest, Bill>;
    return new Map(Object.entries<Bill>(bills) as [KeyDigest, Bill][]);
}

/** Replaces the bills of a page by a reference to it, unless the record no longer holds all of them. */
export function applySeal(record: LedgerRecord, page: SealedPage): void {
    const keys = [...page.bills.keys()];
    if (!keys.every((key) => record.bills[key] !== undefined)) {
        return;
    }
    for (const key of keys) {
        delete record.bills[key];
    }
    const bills = [...page.bills.values()];
    const newest = Math.max(...bills.map((bill) => bill.at));
    const reference: BillPage = { id: page.id, newest, count: bills.length };
    record.pages.push(reference);
}

/** Returns the bill of a key in a record or its pages. */
export function findBill(record: LedgerRecord, pages: PageCache, key: KeyDigest): Bill | undefined {
    const recent = record.bills[key];
    if (recent !== undefined) {
        return recent;
    }
    for (const page of record.pages) {
        const bill = pages.get(page.id)?.get(key);
        if (bill !== undefined) {
            return bill;
        }
    }
    return undefined;
}
