import type { Bill, Holder, Holding } from "../ledger/record.js";
import { holderIncarnation } from "../systems/budgets.js";
import type { BudgetId, Incarnation, KeyDigest } from "../types/ids.js";
import type { RequestRecord } from "./fake-callers.js";
import type { FakeFleet } from "./fake-fleet.js";

/** The budget of each account of a fake fleet. */
export const MAIN = "main" as BudgetId;
/** Tokens that a call of a fake service costs. */
export const SERVICE_CALL_TOKENS = 5;

/** Figures of a run; the safety figures must be 0. */
export type FleetVerdict = {
    readonly requests: number;
    readonly answeredWhole: number;
    readonly overspentTokens: number;
    readonly billsMissing: number;
    readonly billsDoubled: number;
    /** Whole answers whose bill is not what a finished run of theirs used. */
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

/** Judges a fake fleet by what its fakes saw, not by what its routers say. */
export class FleetJudge {
    private readonly bills = new Map<string, Map<KeyDigest, Bill>>();

    constructor(private readonly fleet: FakeFleet) {}

    /** Judges the run so far by the fakes' own truth. */
    verdict(): FleetVerdict {
        const records = this.fleet.callers.records;
        const whole = records.filter((record) => record.result === "whole");
        const accounts = Object.keys(this.fleet.options.budgets);
        return {
            requests: records.length,
            answeredWhole: whole.length,
            overspentTokens: accounts.reduce((sum, account) => sum + this.overspent(account, whole), 0),
            billsMissing: whole.filter((record) => !this.isBilled(record) && !this.isLostWithKeepers(record)).length,
            billsDoubled: accounts.filter((account) => this.hasDoubledBills(account)).length,
            billsWrong: whole.filter((record) => this.isBilledWrong(record)).length,
            nonIdempotentDoubles:
                records.filter((record) => !record.plan.idempotent && this.startsOf(record) > 1).length,
            dishonestRefusals: records.filter((record) => record.dishonest).length,
            brokenAnswers: records.filter((record) => record.broken).length,
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

    private isBilledWrong(record: RequestRecord): boolean {
        const bill = this.billsOf(record.plan.account).get(record.keyDigest);
        return bill !== undefined && bill.tokens !== costOf(record);
    }

    // The case allowed: all three routers that had the bill died before one could write it, or both of two while
    // the ledger was away.
    private isLostWithKeepers(record: RequestRecord): boolean {
        const live = new Set(
            this.fleet.routers.filter((router) => router.state !== "dead").map((router) =>
                router.incarnation as string
            ),
        );
        const enough = record.keepers.length >= (record.ledgerAway ? 2 : 3);
        return enough && record.keepers.every((keeper) => !live.has(keeper));
    }

    private overspent(account: string, whole: readonly RequestRecord[]): number {
        const used = whole.filter((record) => record.plan.account === account).reduce(
            (sum, record) => sum + costOf(record),
            0,
        );
        const totals = this.fleet.record(account).budgets[MAIN] ?? { granted: 0, billed: 0 };
        return Math.max(0, used - totals.granted, totals.billed - totals.granted);
    }

    private hasDoubledBills(account: string): boolean {
        const bills = [...this.billsOf(account).values()].reduce((sum, bill) => sum + bill.tokens, 0);
        return (this.fleet.record(account).budgets[MAIN]?.billed ?? 0) !== bills;
    }

    // A refusal is false when the budget truly had the tokens at the time.
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
        return last.hadRoom && this.hadTokens(record, last.at);
    }

    private hadTokens(record: RequestRecord, at: number): boolean {
        const account = record.plan.account;
        const spent = this.fleet.callers.records
            .filter((other) => other.plan.account === account && other.sentAt <= at)
            .filter((other) => other.result === "whole" && other !== record)
            .reduce((sum, other) => sum + (other.endedAt! <= at ? costOf(other) : worstOf(other)), 0);
        const granted = this.fleet.grantedBy(account, at);
        return granted - spent >= worstOf(record);
    }

    private stranded(account: string): number {
        const record = this.fleet.record(account);
        let sum = Object.values(record.stranded).reduce<number>((total, tokens) => total + (tokens as number), 0);
        const live = new Set(
            this.fleet.routers.filter((router) => router.state !== "dead").map((router) =>
                router.incarnation as string
            ),
        );
        for (const [name, holder] of Object.entries<Holder>(record.holders)) {
            if (!live.has(holderIncarnation(name as Incarnation))) {
                sum += Object.values<Holding>(holder.budgets).reduce((total, holding) => total + tokensOf(holding), 0);
            }
        }
        return sum;
    }

    private billsOf(account: string): Map<KeyDigest, Bill> {
        const known = this.bills.get(account) ?? this.fleet.bills(account);
        this.bills.set(account, known);
        return known;
    }
}

function tokensOf(holding: Holding | undefined): number {
    return holding?.allowance ?? 0;
}

function costOf(record: RequestRecord): number {
    const { target, outputTokens } = record.plan;
    return target.kind === "model" ? Math.ceil(target.promptTokens / 2) + outputTokens : SERVICE_CALL_TOKENS;
}

function worstOf(record: RequestRecord): number {
    const { target } = record.plan;
    return target.kind === "model" ? target.promptTokens + target.maxTokens : SERVICE_CALL_TOKENS;
}
