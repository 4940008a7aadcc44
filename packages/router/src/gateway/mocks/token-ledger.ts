import type { AccountId, Incarnation } from "@gooseberrybend/core";
import type { PrepaidRecord, PrepaidRow } from "@gooseberrybend/core/dispatch";
import { PREPAID_PREFIX } from "../prepaid-formats.js";
import type { FakeMetadataStore } from "./fake-metadata-store.js";

/** Where the tokens of accounts are. */
export type TokenStanding = {
    readonly used: number;
    /** Counted as used for ended processes, though they were not. */
    readonly lost: number;
    /** Of ended processes whose router is back, but has not counted their use yet. */
    readonly unreclaimed: number;
    /** Of ended processes whose router is not back. */
    readonly away: number;
    /** Allowances of running processes. */
    readonly held: number;
    readonly free: number;
};

type LiveProcess = {
    readonly name: string;
    readonly incarnation: Incarnation;
    readonly accounts: { readonly rows: ReadonlyMap<AccountId, PrepaidRow>; };
    readonly isReady: boolean;
};

const CLOSED_MESSAGE = "Tokens of the earlier process of this router counted as used.";

/** Compares what records count as used with what processes used. */
export class TokenLedger {
    /** Tokens counted as used though they were not, by what bounded the use of the ended process. */
    readonly lostByBasis = new Map<string, number>();
    /** Tokens that ended processes used, by incarnation and account. */
    private readonly ended = new Map<string, number>();

    constructor(private readonly store: FakeMetadataStore, private readonly total: number) {}

    /** Adds up standings. */
    static sumOf(standings: readonly TokenStanding[]): TokenStanding {
        const sum = (key: keyof TokenStanding): number => standings.reduce((all, each) => all + each[key], 0);
        return {
            used: sum("used"),
            lost: sum("lost"),
            unreclaimed: sum("unreclaimed"),
            away: sum("away"),
            held: sum("held"),
            free: sum("free"),
        };
    }

    /** Records what a process that ends has used, loans included. */
    recordEnd(incarnation: Incarnation, rows: Iterable<PrepaidRow>): void {
        for (const row of rows) {
            this.ended.set(`${incarnation}/${row.account}`, row.used + row.reserved);
        }
    }

    /** Reads a log line. */
    readLine(line: string): void {
        if (!line.includes(CLOSED_MESSAGE)) {
            return;
        }
        const closed = JSON.parse(line) as { incarnation: string; account: string; counted: number; basis: string; };
        const lost = closed.counted - (this.ended.get(`${closed.incarnation}/${closed.account}`) ?? 0);
        this.lostByBasis.set(closed.basis, (this.lostByBasis.get(closed.basis) ?? 0) + lost);
    }

    /** Returns where the tokens of an account are. */
    standingOf(account: AccountId, used: number, live: readonly LiveProcess[]): TokenStanding {
        const item = this.store.items.get(PREPAID_PREFIX + account);
        const { closed, holdings } = item === undefined
            ? { closed: 0, holdings: {} }
            : JSON.parse(item.value.toString()) as PrepaidRecord;
        let [unreclaimed, away, held, granted] = [0, 0, 0, 0];
        for (const [name, holding] of Object.entries(holdings)) {
            granted += holding.granted;
            const process = live.find((each) => each.name === name);
            const row = process?.incarnation === holding.incarnation ? process.accounts.rows.get(account) : undefined;
            if (row !== undefined) {
                held += holding.granted - row.used - row.reserved;
                continue;
            }
            const unused = holding.granted - (this.ended.get(`${holding.incarnation}/${account}`) ?? 0);
            if (process?.isReady === true) {
                unreclaimed += unused;
            }
            else {
                away += unused;
            }
        }
        const free = this.total - closed - granted;
        return { used, lost: this.total - used - unreclaimed - away - held - free, unreclaimed, away, held, free };
    }
}
