import type { Incarnation } from "../types/ids.js";
import { type PrepaidHolder, type PrepaidRow, spendableTokens } from "./prepaid.js";

/** Names one loan; a loan that is asked for again under its id is made once. */
export type LoanId = string;

/** What a router that lacks tokens asks of another one. */
export type LoanRequest = {
    readonly id: LoanId;
    readonly borrower: Incarnation;
    readonly account: string;
    readonly tokens: number;
};

/** Part of what a router can spend that one loan takes, unless the waiting request needs more. */
const LENT_SHARE = 0.5;
/** Size of a loan relative to what is missing; the next requests need tokens too. */
const LOAN_FACTOR = 2;
/** Loans remembered in case that their answers were lost; beyond, the oldest go. */
const REMEMBERED_LOANS = 1_000;

/** Returns the tokens to ask others for, so that a request can be served. */
export function loanWanted(row: PrepaidRow, tokens: number, now: number): number {
    return Math.max(0, tokens - spendableTokens(row, now)) * LOAN_FACTOR;
}

/** Returns the routers that hold tokens of an account by its record, the one that holds most first. */
export function lendersOf(row: PrepaidRow, holder: PrepaidHolder): string[] {
    return Object.entries(row.record.holdings)
        .map(([name, holding]) => ({ name, held: holding.granted - holding.used }))
        .filter(({ name, held }) => name !== holder.name && held > 0)
        .sort((one, other) => other.held - one.held)
        .map(({ name }) => name);
}

/**
 * Lends tokens, which count as used here from now on. They count as given back at the borrower, so the
 * sum of what all routers used stays right, whether or not the store can be reached.
 */
export function lendPrepaid(
    row: PrepaidRow,
    loans: Map<LoanId, number>,
    request: LoanRequest,
    now: number,
): number {
    const known = loans.get(request.id);
    if (known !== undefined) {
        return known;
    }
    const spendable = Math.max(0, spendableTokens(row, now));
    // A request that waits at the borrower and can be served goes before those that may come here.
    const missing = Math.ceil(request.tokens / LOAN_FACTOR);
    const least = missing <= spendable ? missing : 0;
    const lent = Math.min(request.tokens, Math.max(least, Math.floor(spendable * LENT_SHARE)));
    row.used += lent;
    loans.set(request.id, lent);
    if (loans.size > REMEMBERED_LOANS) {
        loans.delete(loans.keys().next().value!);
    }
    return lent;
}

/** Takes in a loan of another router. */
export function takeLoan(row: PrepaidRow, tokens: number): void {
    row.used -= tokens;
}
