import type { Bill, Holder, Holding } from "../ledger/record.js";
import { holderIncarnation } from "../systems/budgets.js";
import type { BudgetId, Incarnation, KeyDigest } from "../types/ids.js";
import type { RequestRecord } from "./fake-callers.js";
import type { FakeFleet } from "./fake-fleet.js";

/** The budget of each account of a fake fleet. */
export const MAIN_BUDGET = "main" as BudgetId;
/** Tokens charged for a call of a fake service. */
export const SERVICE_CALL_TOKENS = 5;

/** Figures of a run. Those that count violated invariants must be 0. */
export type FleetVerdict = {
    readonly requests: number;
    readonly answeredWhole: number;
    readonly overspentTokens: number;
    readonly billsMissing: number;
    readonly billsDoubled: number;
    /** Completed answers whose bill differs from the tokens used. */
    readonly billsWrong: number;
    readonly nonIdempotentDoubles: number;
    readonly dishonestRefusals: number;
    readonly brokenAnswers: number;
    readonly falseRefusals: number;
    readonly strandedTokens: number;
    readonly keyValueCalls: number;
    readonly keyValueWrites: number;
    readonly peerMessages: number;
    readonly crashes: number;
    readonly startsAfterLeaving: number;
};

/** Checks a fake fleet against what its fakes recorded, not against what its routers report. */
export class FleetChecker {
    private readonly billsByAccount = new Map<string, Map<KeyDigest, Bill>>();

    constructor(private readonly fleet: FakeFleet) {}

    /** Computes the figures of the run so far. */
    verdict(): FleetVerdict {
        const records = this.fleet.callers.records;
        const completed = records.filter((record) => record.result === "whole");
        const accounts = Object.keys(this.fleet.options.budgets);
        return {
            requests: records.length,
            answeredWhole: completed.length,
            overspentTokens: accounts.reduce((sum, account) => sum + this.overspent(account, completed), 0),
            billsMissing:
                completed.filter((record) => !this.isBilled(record) && !this.isLostWithRouters(record)).length,
            billsDoubled: accounts.filter((account) => this.hasDoubledBills(account)).length,
            billsWrong: completed.filter((record) => this.hasWrongBill(record)).length,
            nonIdempotentDoubles:
                records.filter((record) => !record.plan.idempotent && this.startsOf(record) > 1).length,
            dishonestRefusals: records.filter((record) => record.falselyNotRun).length,
            brokenAnswers: records.filter((record) => record.answerCorrupted).length,
            falseRefusals: records.filter((record) => this.isFalselyRefused(record)).length,
            strandedTokens: accounts.reduce((sum, account) => sum + this.stranded(account), 0),
            keyValueCalls: this.fleet.keyValue.reads + this.fleet.keyValue.writes,
            keyValueWrites: this.fleet.keyValue.writes,
            peerMessages: this.fleet.peerMessages,
            crashes: this.fleet.truth.crashes,
            startsAfterLeaving: this.fleet.truth.startsAfterLeaving,
        };
    }

    private startsOf(record: RequestRecord): number {
        return this.fleet.truth.starts.get(record.key) ?? 0;
    }

    private isBilled(record: RequestRecord): boolean {
        return this.billsOf(record.plan.account).has(record.keyDigest);
    }

    private hasWrongBill(record: RequestRecord): boolean {
        const bill = this.billsOf(record.plan.account).get(record.keyDigest);
        return bill !== undefined && bill.tokens !== usedTokens(record);
    }

    // A bill may be missing only when all routers that had it died before one could write it: at least three of
    // them, or two when the ledger was unavailable.
    private isLostWithRouters(record: RequestRecord): boolean {
        const liveIncarnations = new Set(
            this.fleet.routers.filter((router) => router.state !== "dead").map((router) =>
                router.incarnation as string
            ),
        );
        const hadEnoughCopies = record.routersWithBill.length >= (record.ledgerUnavailable ? 2 : 3);
        return hadEnoughCopies && record.routersWithBill.every((incarnation) => !liveIncarnations.has(incarnation));
    }

    private overspent(account: string, completed: readonly RequestRecord[]): number {
        const used = completed.filter((record) => record.plan.account === account).reduce(
            (sum, record) => sum + usedTokens(record),
            0,
        );
        const totals = this.fleet.record(account).budgets[MAIN_BUDGET] ?? { granted: 0, billed: 0 };
        return Math.max(0, used - totals.granted, totals.billed - totals.granted);
    }

    private hasDoubledBills(account: string): boolean {
        const billedTokens = [...this.billsOf(account).values()].reduce((sum, bill) => sum + bill.tokens, 0);
        return (this.fleet.record(account).budgets[MAIN_BUDGET]?.billed ?? 0) !== billedTokens;
    }

    // A refusal is false when an endpoint had capacity and the budget had enough tokens at that time. A request
    // that timed out counts, too.
    private isFalselyRefused(record: RequestRecord): boolean {
        const last = record.refusals[record.refusals.length - 1];
        if (record.result === "lost") {
            return record.endedAt !== undefined && !record.plan.poison;
        }
        if (record.result !== "refused" || last === undefined || record.plan.poison) {
            return false;
        }
        if (last.refusal.reason === "claimed-elsewhere" || this.startsOf(record) > 0 && !record.plan.idempotent) {
            return false;
        }
        return last.hadCapacity && this.hadTokens(record, last.at);
    }

    private hadTokens(record: RequestRecord, at: number): boolean {
        const account = record.plan.account;
        const spent = this.fleet.callers.records
            .filter((other) => other.plan.account === account && other.sentAt <= at)
            .filter((other) => other.result === "whole" && other !== record)
            .reduce((sum, other) => sum + (other.endedAt! <= at ? usedTokens(other) : worstCaseTokens(other)), 0);
        const granted = this.fleet.grantedBy(account, at);
        return granted - spent >= worstCaseTokens(record);
    }

    private stranded(account: string): number {
        const record = this.fleet.record(account);
        let sum = Object.values(record.stranded).reduce<number>((total, tokens) => total + (tokens as number), 0);
        const liveIncarnations = new Set(
            this.fleet.routers.filter((router) => router.state !== "dead").map((router) =>
                router.incarnation as string
            ),
        );
        for (const [name, holder] of Object.entries<Holder>(record.holders)) {
            if (!liveIncarnations.has(holderIncarnation(name as Incarnation))) {
                sum += Object.values<Holding>(holder.budgets).reduce(
                    (total, holding) => total + allowanceOf(holding),
                    0,
                );
            }
        }
        return sum;
    }

    private billsOf(account: string): Map<KeyDigest, Bill> {
        const cached = this.billsByAccount.get(account) ?? this.fleet.bills(account);
        this.billsByAccount.set(account, cached);
        return cached;
    }
}

function allowanceOf(holding: Holding | undefined): number {
    return holding?.allowance ?? 0;
}

function usedTokens(record: RequestRecord): number {
    const { target, outputTokens } = record.plan;
    return target.kind === "model" ? Math.ceil(target.promptTokens / 2) + outputTokens : SERVICE_CALL_TOKENS;
}

function worstCaseTokens(record: RequestRecord): number {
    const { target } = record.plan;
    return target.kind === "model" ? target.promptTokens + target.maxTokens : SERVICE_CALL_TOKENS;
}
