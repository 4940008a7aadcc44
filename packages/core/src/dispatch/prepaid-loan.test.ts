import { describe, expect, it } from "vitest";
import { type AccountId, brand, type Incarnation } from "../types/ids.js";
import { lendersOf, lendPrepaid, loanWanted, takeLoan } from "./prepaid-loan.js";
import type { PrepaidHolding, PrepaidRecord } from "./prepaid-record.js";
import {
    createPrepaidRow,
    notePrepaidRecord,
    type PrepaidHolder,
    type PrepaidRow,
    reservePrepaid,
    spendableTokens,
} from "./prepaid.js";

const account = brand<AccountId>("press-floor");
const CALM_MS = 60_000;

function holderOf(name: string): PrepaidHolder {
    return { name, incarnation: brand<Incarnation>(`start-of-${name}`), startedAt: 0 };
}

function holdingOf(name: string, granted: number): PrepaidHolding {
    const mark = { sequence: 1, committed: 0, at: 0 };
    return { incarnation: holderOf(name).incarnation, granted, used: 0, lacking: 0, rate: 0, mark };
}

// A router cut off from the store, as it last read the record.
function rowOf(name: string, record: PrepaidRecord): PrepaidRow {
    const row = createPrepaidRow(account, 10_000, 0);
    notePrepaidRecord(row, 1, record, holderOf(name));
    return row;
}

describe("loans between routers", () => {
    const record: PrepaidRecord = {
        closed: 0,
        holdings: { "router-1": holdingOf("router-1", 8_000), "router-2": holdingOf("router-2", 500) },
    };
    const request = { id: "loan-1", borrower: holderOf("router-2").incarnation, account, tokens: 3_000 };

    describe("in an outage of the store that finds the tokens at the wrong router", () => {
        it("serve a large request without more being spent in all", () => {
            const lender = rowOf("router-1", record);
            const borrower = rowOf("router-2", record);
            expect(reservePrepaid(borrower, 2_000, CALM_MS)).toBe("short");
            expect(loanWanted(borrower, 2_000, CALM_MS)).toBe(3_000);
            takeLoan(borrower, lendPrepaid(lender, new Map(), request, CALM_MS));
            expect(reservePrepaid(borrower, 2_000, CALM_MS)).toBe("reserved");
            expect(spendableTokens(lender, CALM_MS) + spendableTokens(borrower, CALM_MS)).toBe(8_500 - 2_000);
        });

        it("are asked of the router that holds most", () => {
            expect(lendersOf(rowOf("router-3", record), holderOf("router-3"))).toEqual(["router-1", "router-2"]);
            expect(lendersOf(rowOf("router-1", record), holderOf("router-1"))).toEqual(["router-2"]);
        });
    });

    describe("a lender", () => {
        it("keeps half of what it can spend", () => {
            const lender = rowOf("router-1", record);
            expect(lendPrepaid(lender, new Map(), { ...request, tokens: 50_000 }, CALM_MS)).toBe(4_000);
        });

        it("gives more than half where the request that waits needs it", () => {
            const lender = rowOf("router-1", record);
            expect(lendPrepaid(lender, new Map(), { ...request, tokens: 12_000 }, CALM_MS)).toBe(6_000);
        });

        it("makes a loan once that is asked for twice", () => {
            const lender = rowOf("router-1", record);
            const loans = new Map();
            lendPrepaid(lender, loans, request, CALM_MS);
            expect(lendPrepaid(lender, loans, request, CALM_MS)).toBe(3_000);
            expect(spendableTokens(lender, CALM_MS)).toBe(5_000);
        });

        it("lends nothing that it may not spend itself", () => {
            const lender = rowOf("router-1", { closed: 0, holdings: { "router-2": holdingOf("router-2", 500) } });
            expect(lendPrepaid(lender, new Map(), request, CALM_MS)).toBe(0);
        });
    });
});
