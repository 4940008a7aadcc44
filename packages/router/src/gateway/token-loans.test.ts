import { type AccountId, brand, type Incarnation } from "@gooseberrybend/core";
import {
    applyPrepaidRecord,
    createPrepaidRow,
    lendPrepaid,
    type LoanId,
    type LoanRequest,
    type PrepaidHolding,
    type PrepaidRow,
    recordPrepaidDemand,
} from "@gooseberrybend/core/dispatch";
import fc from "fast-check";
import { err, ok, type Result } from "neverthrow";
import { describe, expect, it } from "vitest";
import { createGatewayLogs } from "./log-sink.js";
import type { PeerCalls, PeerFailure } from "./peer-calls.js";
import { TokenLoans } from "./token-loans.js";

const TOTAL = 10_000;
const AFTER_RAMP_MS = 60_000;

/** How a call to the lender ends: answered, lost on the way to it, or lost on the way back. */
type CallEnd = "answered" | "request-lost" | "response-lost";
type OpenCall = { readonly request: LoanRequest; readonly end: (how: CallEnd) => void; };

const holderOf = (name: string) => ({ name, incarnation: brand<Incarnation>(`start-of-${name}`), startedAt: 0 });
const holdingOf = (name: string, granted: number): PrepaidHolding => ({
    incarnation: holderOf(name).incarnation,
    granted,
    used: 0,
    lacking: 0,
    rate: 0,
    mark: { sequence: 1, committed: 0, at: 0 },
});

// Two routers and their calls, whose ends are chosen one by one.
class Borrowing {
    readonly calls: OpenCall[] = [];
    readonly accounts = ["press-floor", "planning", "nitriding", "die-shop"].map(brand<AccountId>);
    readonly rows: ReadonlyMap<AccountId, PrepaidRow>;
    readonly lenderRows: ReadonlyMap<string, PrepaidRow>;
    readonly loans: TokenLoans;
    now = AFTER_RAMP_MS;
    private readonly granted = new Map<LoanId, number>();

    constructor() {
        const record = {
            closed: 0,
            holdings: { lender: holdingOf("lender", TOTAL), borrower: holdingOf("borrower", 0) },
        };
        const rowOf = (account: AccountId, name: string): PrepaidRow => {
            const row = createPrepaidRow(account, TOTAL, 0);
            applyPrepaidRecord(row, 1, record, holderOf(name));
            return row;
        };
        this.rows = new Map(this.accounts.map((account) => [account, rowOf(account, "borrower")]));
        this.lenderRows = new Map(this.accounts.map((account) => [account, rowOf(account, "lender")]));
        const peers = {
            call: (unusedAddress: string, unusedMethod: string, parameters: object) =>
                this.call(parameters as LoanRequest),
        };
        this.loans = new TokenLoans(
            {
                holder: holderOf("borrower"),
                rows: this.rows,
                addressOf: () => "lender:1",
                now: () => this.now,
                makeUsable: async () => undefined,
            },
            peers as unknown as PeerCalls,
            createGatewayLogs({ level: "error" }),
        );
    }

    private call(request: LoanRequest): Promise<Result<unknown, PeerFailure>> {
        return new Promise((resolve) => {
            const end = (how: CallEnd): void => {
                const tokens = how === "request-lost"
                    ? 0
                    : lendPrepaid(this.lenderRows.get(request.account)!, this.granted, request, this.now);
                resolve(how === "answered" ? ok({ tokens }) : err({ kind: "no-answer", detail: how }));
            };
            this.calls.push({ request, end });
        });
    }

    borrow(account: number, tokens: number): void {
        const row = this.rows.get(this.accounts[account]!)!;
        recordPrepaidDemand(row, tokens, this.now);
        void this.loans.borrow(row, tokens);
    }

    endCall(index: number, how: CallEnd): void {
        const [call] = this.calls.splice(index % Math.max(1, this.calls.length), 1);
        call?.end(how);
    }

    /** Tokens that the borrower has of the lender's, and those that the lender has given away. */
    figures(account: number): { borrowed: number; lent: number; } {
        const id = this.accounts[account]!;
        return { borrowed: -this.rows.get(id)!.used, lent: this.lenderRows.get(id)!.used };
    }
}

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

// The borrower never has more of the lender's tokens than the lender has given away.
function expectAppliedOnce(world: Borrowing): void {
    for (const index of world.accounts.keys()) {
        const { borrowed, lent } = world.figures(index);
        expect(borrowed).toBeLessThanOrEqual(lent);
    }
}

describe("loans of tokens", () => {
    // Guards against review/2: a loan that was requested again by two waiting requests was applied twice.
    describe("whose responses are lost", () => {
        it("are applied once when a repeated request fails while another one is answered", async () => {
            const world = new Borrowing();
            const borrow = async (...accounts: number[]): Promise<void> => {
                world.now += 1_001;
                accounts.forEach((account) => world.borrow(account, 2_000));
                await settle();
            };
            await borrow(0, 1, 2, 3);
            while (world.calls.length > 0) {
                world.endCall(0, "response-lost");
            }
            await settle();
            await borrow(0, 1);
            world.endCall(1, "response-lost");
            await settle();
            for (let round = 0; round < 6; round++) {
                while (world.calls.length > 0) {
                    world.endCall(0, "answered");
                    await settle();
                }
                await borrow(0, 1, 2, 3);
            }
            expectAppliedOnce(world);
        });

        it("are never applied twice, in any order of requests, answers and failures", async () => {
            const step = fc.oneof(
                fc.record({
                    kind: fc.constant("borrow" as const),
                    account: fc.nat(3),
                    tokens: fc.integer({ min: 1, max: 2_000 }),
                }),
                fc.record({
                    kind: fc.constant("end" as const),
                    index: fc.nat(3),
                    how: fc.constantFrom<CallEnd>("answered", "request-lost", "response-lost"),
                }),
                fc.record({ kind: fc.constant("pass" as const), ms: fc.constantFrom(10, 1_001) }),
            );
            await fc.assert(
                fc.asyncProperty(fc.array(step, { maxLength: 60, size: "max" }), async (steps) => {
                    const world = new Borrowing();
                    world.accounts.forEach((unusedAccount, index) => world.borrow(index, 2_000));
                    while (world.calls.length > 0) {
                        world.endCall(0, "response-lost");
                    }
                    for (const each of steps) {
                        if (each.kind === "borrow") {
                            world.borrow(each.account, each.tokens);
                        }
                        else if (each.kind === "end") {
                            world.endCall(each.index, each.how);
                        }
                        else {
                            world.now += each.ms;
                        }
                        await settle();
                        expectAppliedOnce(world);
                    }
                }),
                { numRuns: 1_500 },
            );
        });
    });

    describe("for several requests of one account", () => {
        it("are requested by one of them at a time", async () => {
            const world = new Borrowing();
            for (let request = 0; request < 4; request++) {
                world.borrow(0, 1_000 * (request + 1));
            }
            await settle();
            for (let round = 0; round < 4; round++) {
                expect(world.calls.length).toBeLessThanOrEqual(1);
                world.endCall(0, "answered");
                await settle();
            }
        });
    });
});
