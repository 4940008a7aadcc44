import type { AccountId } from "@gooseberrybend/core";
import {
    applyLoan,
    lendersOf,
    lendPrepaid,
    type LoanId,
    type LoanRequest,
    missingTokens,
    type PrepaidHolder,
    type PrepaidRow,
    tokensToBorrow,
} from "@gooseberrybend/core/dispatch";
import { z } from "zod";
import type { GatewayLogs } from "./log-sink.js";
import { PausedPeers, type PeerCalls } from "./peer-calls.js";

/** JSON-RPC method by which a router requests a loan of tokens from another one. */
export const LEND_METHOD = "lend";

/** Timeout in ms of a loan request; a slower lender would not help the waiting caller. */
const LOAN_TIMEOUT_MS = 150;
/** Time in ms for which a lender that did not respond is not called again. */
const LENDER_PAUSE_MS = 1_000;
/** Maximum lenders called for one request. */
const MAX_LENDERS = 3;

const requestSchema = z.object({
    id: z.string(),
    borrower: z.string(),
    account: z.string(),
    tokens: z.number().int().nonnegative(),
});
const loanSchema = z.object({ tokens: z.number().int().nonnegative() });

/** Loan request whose response has not been applied; the loan may have been made. */
type OpenLoan = {
    readonly row: PrepaidRow;
    readonly request: LoanRequest;
    /** Whether a call with it is under way. */
    isSent: boolean;
};

/** What loans need of this router. */
export type LoanHost = {
    readonly holder: PrepaidHolder;
    readonly rows: ReadonlyMap<AccountId, PrepaidRow>;
    /** Returns the peer address of a router, or undefined when it is unknown. */
    readonly addressOf: (router: string) => string | undefined;
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Makes tokens usable that this router holds, but may use only after another checkpoint. */
    readonly makeUsable: (row: PrepaidRow, tokens: number) => Promise<void>;
};

/** Lends tokens to other routers and borrows from them, without using the store. */
export class TokenLoans {
    private readonly grantedLoans = new Map<LoanId, number>();
    /** Loan requests by lender and id. Each is removed by the response that is applied, so that no other one is. */
    private readonly openLoans = new Map<string, Map<LoanId, OpenLoan>>();
    private readonly borrowing = new Map<PrepaidRow, Promise<void>>();
    private readonly pausedLenders = new PausedPeers(LENDER_PAUSE_MS);
    private loanCount = 0;

    constructor(
        private readonly host: LoanHost,
        private readonly peers: PeerCalls,
        private readonly logs: GatewayLogs,
    ) {}

    /** Handles a loan request of another router. */
    async lend(parameters: unknown): Promise<{ readonly tokens: number; }> {
        const request = requestSchema.parse(parameters) as LoanRequest;
        const row = this.host.rows.get(request.account as AccountId);
        if (row !== undefined && !this.grantedLoans.has(request.id)) {
            await this.host.makeUsable(row, missingTokens(request));
        }
        const tokens = row === undefined ? 0 : lendPrepaid(row, this.grantedLoans, request, this.host.now());
        this.logs.prepaid.info("Tokens lent to another router.", { ...request, lent: tokens });
        return { tokens };
    }

    /** Borrows the tokens that a request is short of. Concurrent requests of one account wait for the same loans. */
    async borrow(row: PrepaidRow, tokens: number): Promise<void> {
        for (let running = this.borrowing.get(row); running !== undefined; running = this.borrowing.get(row)) {
            await running;
        }
        if (tokensToBorrow(row, tokens, this.host.now()) === 0) {
            return;
        }
        const request = this.requestFromLenders(row, tokens).finally(() => this.borrowing.delete(row));
        this.borrowing.set(row, request);
        await request;
    }

    private async requestFromLenders(row: PrepaidRow, tokens: number): Promise<void> {
        for (const lender of lendersOf(row, this.host.holder).slice(0, MAX_LENDERS)) {
            const address = this.host.addressOf(lender);
            const isPaused = this.pausedLenders.has(lender, this.host.now());
            if (address === undefined || isPaused || !await this.retryUnanswered(lender, address)) {
                continue;
            }
            const wanted = tokensToBorrow(row, tokens, this.host.now());
            if (wanted === 0) {
                return;
            }
            const loan = { row, request: this.requestFor(row, wanted), isSent: false };
            this.openLoansOf(lender).set(loan.request.id, loan);
            await this.requestLoan(lender, address, loan);
        }
    }

    private requestFor(row: PrepaidRow, tokens: number): LoanRequest {
        const borrower = this.host.holder.incarnation;
        return { id: `${borrower}/${++this.loanCount}`, borrower, account: row.account, tokens };
    }

    private openLoansOf(lender: string): Map<LoanId, OpenLoan> {
        const existing = this.openLoans.get(lender);
        if (existing !== undefined) {
            return existing;
        }
        const loans = new Map<LoanId, OpenLoan>();
        this.openLoans.set(lender, loans);
        return loans;
    }

    // A loan is not lost with its response: a lender answers a repeated request by the loan with the same id.
    private async retryUnanswered(lender: string, address: string): Promise<boolean> {
        const loans = this.openLoansOf(lender);
        for (const loan of [...loans.values()]) {
            const isUnanswered = loans.has(loan.request.id) && !loan.isSent;
            if (isUnanswered && !await this.requestLoan(lender, address, loan)) {
                return false;
            }
        }
        return true;
    }

    // Returns false when no valid response came.
    private async requestLoan(lender: string, address: string, loan: OpenLoan): Promise<boolean> {
        loan.isSent = true;
        const answer = await this.peers.call(address, LEND_METHOD, loan.request, LOAN_TIMEOUT_MS);
        loan.isSent = false;
        const parsed = loanSchema.safeParse(answer.unwrapOr(undefined));
        if (!parsed.success) {
            const detail = answer.isErr() ? answer.error.detail : parsed.error.message;
            this.pausedLenders.add(lender, this.host.now());
            this.logs.prepaid.warn("Loan request failed; lender paused.", { lender, ...loan.request, detail });
            return false;
        }
        if (this.openLoansOf(lender).delete(loan.request.id)) {
            applyLoan(loan.row, parsed.data.tokens);
            this.logs.prepaid.info("Tokens borrowed from another router.", {
                lender,
                ...loan.request,
                lent: parsed.data.tokens,
            });
        }
        return true;
    }
}
