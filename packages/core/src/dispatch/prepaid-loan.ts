import type { Incarnation } from "../types/ids.js";
import type { PrepaidHolder } from "./prepaid-record.js";
import { type PrepaidRow, spendableTokens } from "./prepaid.js";

/** Identifies one loan; repeated requests with the same id lend only once. */
export type LoanId = string;

/** Request of a router short of tokens to another router. */
export type LoanRequest = {
    readonly id: LoanId;
    readonly borrower: Incarnation;
    readonly account: string;
    readonly tokens: number;
};

/** Share of a lender's spendable tokens that one loan takes, unless the waiting request needs more. */
const LENT_SHARE = 0.5;
/** Size of a loan relative to the shortage, since the next requests need tokens too. */
const LOAN_FACTOR = 2;
/** Maximum number of loans remembered in case their responses were lost; the oldest are evicted first. */
const MAX_REMEMBERED_LOANS = 1_000;

/** Returns the tokens to borrow so that a request can be served; 0 if none are needed. */
export function tokensToBorrow(row: PrepaidRow, tokens: number, now: number): number {
    return Math.max(0, tokens - spendableTokens(row, now)) * LOAN_FACTOR;
}

/** Returns the tokens that the borrower is short of; it asks for more, since the next requests need tokens too. */
export function missingTokens({ tokens }: LoanRequest): number {
    return Math.ceil(tokens / LOAN_FACTOR);
}

/** Returns the other routers that hold tokens of an account according to its record, the largest holder first. */
export function lendersOf(row: PrepaidRow, holder: PrepaidHolder): string[] {
    return Object.entries(row.record.holdings)
        .map(([name, holding]) => ({ name, held: holding.granted - holding.used }))
        .filter(({ name, held }) => name !== holder.name && held > 0)
        .sort((one, other) => other.held - one.held)
        .map(({ name }) => name);
}

/**
 * Lends tokens, which count as used at the lender from now on. The borrower subtracts them from its used
 * tokens, so the sum over all routers stays correct even if the store is unreachable.
 */
export function lendPrepaid(
    row: PrepaidRow,
    loans: Map<LoanId, number>,
    request: LoanRequest,
    now: number,
): number {
    const existing = loans.get(request.id);
    if (existing !== undefined) {
        return existing;
    }
    const spendable = Math.max(0, spendableTokens(row, now));
    // A waiting request at the borrower has precedence over possible future requests here.
    const missing = missingTokens(request);
    const minLoan = missing <= spendable ? missing : 0;
    const lent = Math.min(request.tokens, Math.max(minLoan, Math.floor(spendable * LENT_SHARE)));
    row.used += lent;
    loans.set(request.id, lent);
    if (loans.size > MAX_REMEMBERED_LOANS) {
        loans.delete(loans.keys().next().value!);
    }
    return lent;
}

/** Applies a loan from another router. */
export function applyLoan(row: PrepaidRow, tokens: number): void {
    row.used -= tokens;
}
