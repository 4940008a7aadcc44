import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    brand,
    type BudgetId,
    type Incarnation,
    type KeyDigest,
    type OperationId,
    type TransferId,
} from "../types/ids.js";
import { type PageCache, pageToSeal } from "./pages.js";
import { HOLDER_RETIREMENT_MS, MAX_REQUEST_LIFETIME_MS, reconcile, type Reconciliation } from "./reconcile.js";
import {
    applyTopUp,
    emptyRecord,
    formatRecord,
    freeTokens,
    heldTokens,
    type LedgerRecord,
    parseRecord,
} from "./record.js";

const main = brand<BudgetId>("main");
const first = brand<Incarnation>("first");
const second = brand<Incarnation>("second");

function recordWith(tokens: number): LedgerRecord {
    const record = emptyRecord();
    applyTopUp(record, "initial", { budget: main, tokens, at: 0 });
    return record;
}

function change(fields: Partial<Reconciliation>): Reconciliation {
    return {
        operation: brand<OperationId>("operation"),
        holder: first,
        now: 1_000,
        witnesses: [second],
        epoch: 1,
        settlements: [],
        transfers: [],
        seenTransfers: [],
        witnessed: [],
        recoveries: [],
        seal: undefined,
        pages: new Map(),
        allowanceRequests: [],
        expectsEntry: false,
        ...fields,
    };
}

function allowanceRequest(needed: number, slack = 0, committed = 0) {
    return { budget: main, committed, needed, slack };
}

function bill(key: string, tokens: number) {
    return { key: brand<KeyDigest>(key), budget: main, tokens };
}

function totalTokens(record: LedgerRecord): number {
    return record.budgets[main]!.billed + heldTokens(record, main) + freeTokens(record, main);
}

describe("reconcile", () => {
    describe("top-ups", () => {
        it("counts an id once", () => {
            const record = recordWith(100);
            expect(applyTopUp(record, "initial", { budget: main, tokens: 100, at: 5 })).toBe(false);
            expect(record.budgets[main]!.granted).toBe(100);
        });
    });

    describe("allowances", () => {
        it("grants what is needed and leaves half of the rest to others", () => {
            const record = recordWith(1_000);
            const result = reconcile(record, change({ allowanceRequests: [allowanceRequest(100, 5_000)] }));
            expect(result.holdings.get(main)!.allowance).toBe(100 + 450);
            expect(freeTokens(record, main)).toBe(450);
        });

        it("never grants more than is free", () => {
            const record = recordWith(50);
            expect(
                reconcile(record, change({ allowanceRequests: [allowanceRequest(100)] })).holdings.get(main)!.allowance,
            ).toBe(50);
            expect(
                reconcile(record, change({ holder: second, allowanceRequests: [allowanceRequest(1)] })).holdings.get(
                    main,
                )!.allowance,
            ).toBe(
                0,
            );
        });

        it("conserves the tokens of a budget under any writes", () => {
            const write = fc.record({
                holder: fc.constantFrom(first, second),
                key: fc.integer({ min: 1, max: 6 }),
                tokens: fc.integer({ min: 0, max: 40 }),
                needed: fc.integer({ min: 0, max: 300 }),
                slack: fc.integer({ min: 0, max: 300 }),
                transfer: fc.option(fc.integer({ min: 1, max: 30 }), { nil: undefined }),
            });
            fc.assert(
                fc.property(fc.array(write, { maxLength: 30 }), (writes) => {
                    const record = recordWith(500);
                    writes.forEach((entry, index) => {
                        const allowance = record.holders[entry.holder]?.budgets[main]?.allowance ?? 0;
                        const other = entry.holder === first ? second : first;
                        const settlements = entry.tokens <= allowance ? [bill(`key-${entry.key}`, entry.tokens)] : [];
                        const lent = Math.min(entry.transfer ?? 0, Math.max(0, allowance - entry.tokens));
                        const transfer = {
                            id: brand<TransferId>(`t${index}`),
                            budget: main,
                            from: entry.holder,
                            to: other,
                            tokens: lent,
                        };
                        reconcile(
                            record,
                            change({
                                holder: entry.holder,
                                settlements,
                                transfers: entry.transfer === undefined ? [] : [transfer],
                                allowanceRequests: [allowanceRequest(entry.needed, entry.slack)],
                            }),
                        );
                        expect(totalTokens(record)).toBe(500);
                        expect(freeTokens(record, main)).toBeGreaterThanOrEqual(0);
                    });
                }),
                { seed: 7, numRuns: 300 },
            );
        });
    });

    describe("bills", () => {
        it("bills a key once, whichever holder writes it", () => {
            const record = recordWith(1_000);
            reconcile(record, change({ allowanceRequests: [allowanceRequest(100)] }));
            reconcile(record, change({ holder: second, allowanceRequests: [allowanceRequest(100)] }));
            reconcile(record, change({ settlements: [bill("key", 30)], allowanceRequests: [allowanceRequest(0)] }));
            const result = reconcile(
                record,
                change({ holder: second, settlements: [bill("key", 40)], allowanceRequests: [allowanceRequest(0)] }),
            );
            expect(result.duplicates).toEqual(["key"]);
            expect(record.budgets[main]!.billed).toBe(30);
        });

        it("finds a key that was moved into a page", () => {
            const record = recordWith(100_000);
            reconcile(record, change({ allowanceRequests: [allowanceRequest(50_000)] }));
            const settlements = Array.from({ length: 130 }, (unused, index) => bill(`key-${index}`, 10));
            reconcile(record, change({ settlements }));
            const seal = pageToSeal(record)!;
            const pages: PageCache = new Map([[seal.id, seal.bills]]);
            reconcile(record, change({ seal, pages }));
            expect(Object.keys(record.bills)).toHaveLength(2);
            const result = reconcile(record, change({ holder: second, settlements: [bill("key-5", 10)], pages }));
            expect(result.duplicates).toEqual(["key-5"]);
        });

        it("moves bills into a page only while the record still holds all of them", () => {
            const record = recordWith(100_000);
            reconcile(record, change({ allowanceRequests: [allowanceRequest(50_000)] }));
            reconcile(
                record,
                change({ settlements: Array.from({ length: 130 }, (unused, index) => bill(`key-${index}`, 10)) }),
            );
            const seal = pageToSeal(record)!;
            const pages: PageCache = new Map([[seal.id, seal.bills]]);
            reconcile(record, change({ seal, pages }));
            reconcile(record, change({ seal, pages }));
            expect(record.pages).toHaveLength(1);
        });

        it("keeps a bill while some holder has not written since", () => {
            const record = recordWith(1_000);
            reconcile(record, change({ now: 0, allowanceRequests: [allowanceRequest(100)] }));
            reconcile(record, change({ holder: second, now: 0, allowanceRequests: [allowanceRequest(100)] }));
            reconcile(
                record,
                change({ now: 1_000, settlements: [bill("key", 30)], allowanceRequests: [allowanceRequest(50)] }),
            );
            const late = MAX_REQUEST_LIFETIME_MS * 3;
            reconcile(record, change({ now: late, allowanceRequests: [allowanceRequest(50)] }));
            const result = reconcile(
                record,
                change({ holder: second, now: late + 1, settlements: [bill("key", 30)] }),
            );
            expect(result.duplicates).toEqual(["key"]);
        });
    });

    describe("transfers", () => {
        it("moves tokens once, whichever end writes first", () => {
            const record = recordWith(1_000);
            reconcile(record, change({ allowanceRequests: [allowanceRequest(100)] }));
            const transfer = { id: brand<TransferId>("t"), budget: main, from: first, to: second, tokens: 40 };
            reconcile(record, change({ holder: second, transfers: [transfer] }));
            reconcile(record, change({ transfers: [transfer] }));
            expect(record.holders[first]!.budgets[main]!.allowance).toBe(60);
            expect(record.holders[second]!.budgets[main]!.allowance).toBe(40);
        });
    });

    describe("lost holders", () => {
        const openUse = { key: "open", budget: main, tokens: 80 };

        it("returns a closed allowance except for its open uses", () => {
            const record = recordWith(1_000);
            reconcile(record, change({ allowanceRequests: [allowanceRequest(300)] }));
            const recovery = { holder: first, epoch: 1, uses: [openUse], settlements: [bill("done", 50)] };
            reconcile(record, change({ holder: second, recoveries: [recovery] }));
            expect(record.holders[first]!.budgets[main]!.allowance).toBe(80);
            expect(record.budgets[main]!.billed).toBe(50);
            expect(freeTokens(record, main)).toBe(1_000 - 50 - 80);
        });

        it("returns an open use once its key is billed by another router", () => {
            const record = recordWith(1_000);
            reconcile(record, change({ allowanceRequests: [allowanceRequest(300)] }));
            const recovery = { holder: first, epoch: 1, uses: [openUse], settlements: [] };
            reconcile(
                record,
                change({ holder: second, recoveries: [recovery], allowanceRequests: [allowanceRequest(80)] }),
            );
            reconcile(
                record,
                change({ holder: second, settlements: [bill("open", 60)], allowanceRequests: [allowanceRequest(0)] }),
            );
            expect(record.holders[first]).toBeUndefined();
            expect(freeTokens(record, main)).toBe(940);
        });

        it("returns no tokens of a holder that wrote after its allowance was closed", () => {
            const record = recordWith(1_000);
            reconcile(record, change({ epoch: 1, allowanceRequests: [allowanceRequest(300)] }));
            reconcile(record, change({ epoch: 2, allowanceRequests: [allowanceRequest(300)] }));
            reconcile(
                record,
                change({
                    holder: second,
                    recoveries: [{ holder: first, epoch: 1, uses: [], settlements: [] }],
                }),
            );
            expect(record.holders[first]!.budgets[main]!.allowance).toBe(300);
        });

        it("fences a holder whose entry was removed", () => {
            const record = recordWith(1_000);
            expect(reconcile(record, change({ expectsEntry: true })).fenced).toBe(true);
        });

        it("keeps the tokens of a retired holder charged", () => {
            const record = recordWith(1_000);
            reconcile(record, change({ now: 0, allowanceRequests: [allowanceRequest(300)] }));
            reconcile(record, change({ holder: second, now: HOLDER_RETIREMENT_MS + 1 }));
            expect(record.stranded[main]).toBe(300);
            expect(freeTokens(record, main)).toBe(700);
        });
    });

    describe("storage", () => {
        it("parses a formatted record to an equal one", () => {
            const record = recordWith(1_000);
            reconcile(record, change({ allowanceRequests: [allowanceRequest(300)] }));
            expect(parseRecord(formatRecord(record))).toEqual(record);
        });
    });
});
