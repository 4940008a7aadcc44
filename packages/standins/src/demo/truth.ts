import {
    type AccountId,
    type Bill,
    digestKey,
    type KeyDigest,
    type LedgerRecord,
    type RequestKey,
} from "@gooseberrybend/core";
import type { CallRecord } from "../load/load.js";
import type { EngineCounts } from "../model-engine/engine.js";
import type { ServiceCounts } from "../plain-service/service.js";

/** What the stand-ins saw and the ledger says in the end. */
export type Evidence = {
    readonly records: readonly CallRecord[];
    readonly engines: readonly EngineCounts[];
    readonly services: readonly ServiceCounts[];
    readonly ledger: ReadonlyMap<string, LedgerRecord>;
    /** Bills by account, those of pages included. */
    readonly bills: ReadonlyMap<string, ReadonlyMap<KeyDigest, Bill>>;
    readonly liveRouters: ReadonlySet<string>;
    readonly cutByDrain: number;
    readonly callCosts: Readonly<Record<"lookup" | "action", Readonly<Record<string, number>>>>;
};

/** The verdict: the first figures count requests, the safety figures must be 0. */
export type Verdict = {
    readonly requests: number;
    readonly answeredWhole: number;
    readonly refused: number;
    readonly overspentTokens: number;
    readonly billsMissing: number;
    readonly billsDoubled: number;
    readonly nonIdempotentDoubles: number;
    readonly dishonestRefusals: number;
    readonly brokenAnswers: number;
    readonly cutByDrain: number;
    readonly leavingEndpointStarts: number;
    readonly strandedTokens: number;
};

/** Names of the figures that must be 0. */
export const safetyFigures = [
    "overspentTokens",
    "billsMissing",
    "billsDoubled",
    "nonIdempotentDoubles",
    "dishonestRefusals",
    "brokenAnswers",
    "cutByDrain",
    "leavingEndpointStarts",
] as const;

/** Judges a run by the stand-ins' own counts. */
export function judge(evidence: Evidence): Verdict {
    const { records } = evidence;
    const whole = records.filter((record) => record.result === "whole");
    const refused = records.filter((record) => record.result === "refused");
    return {
        requests: records.length,
        answeredWhole: whole.length,
        refused: refused.length,
        overspentTokens: overspent(evidence, whole),
        billsMissing: whole.filter((record) => billOf(evidence, record) === undefined).length,
        billsDoubled: doubledBills(evidence, whole),
        nonIdempotentDoubles:
            records.filter((record) => record.kind === "action" && runsOf(evidence, record.key) > 1).length,
        dishonestRefusals: refused.filter((record) => isDishonest(evidence, record)).length,
        brokenAnswers: records.filter((record) => record.result === "broken").length,
        cutByDrain: evidence.cutByDrain,
        leavingEndpointStarts: evidence.engines.reduce((sum, engine) => sum + engine.startedAfterLeaving, 0),
        strandedTokens: stranded(evidence),
    };
}

function billOf(evidence: Evidence, record: CallRecord): number | undefined {
    const digest = digestKey(record.account as AccountId, record.key as RequestKey);
    return evidence.bills.get(record.account)?.get(digest)?.tokens;
}

function runsOf(evidence: Evidence, key: string): number {
    return evidence.services.reduce((sum, service) => sum + (service.runs[key] ?? 0), 0);
}

function startsOf(evidence: Evidence, key: string): number {
    return evidence.engines.reduce((sum, engine) => sum + engine.keys.filter((other) => other === key).length, 0);
}

// The true cost of an answer is what one of its finished runs used, whatever was billed for it.
function trueCost(evidence: Evidence, record: CallRecord): readonly number[] {
    if (record.kind !== "model") {
        return [evidence.callCosts[record.kind][record.account]!];
    }
    return evidence.engines.flatMap((engine) => engine.finished[record.key] ?? []).map((run) =>
        run.prompt + run.output
    );
}

function overspent(evidence: Evidence, whole: readonly CallRecord[]): number {
    let sum = 0;
    for (const [account, record] of evidence.ledger) {
        const used = whole.filter((entry) => entry.account === account)
            .reduce((total, entry) => total + Math.min(...trueCost(evidence, entry)), 0);
        const totals = Object.values(record.budgets);
        const granted = totals.reduce((total, budget) => total + budget.granted, 0);
        const billed = totals.reduce((total, budget) => total + budget.billed, 0);
        sum += Math.max(0, used - granted, billed - granted);
    }
    return sum;
}

function doubledBills(evidence: Evidence, whole: readonly CallRecord[]): number {
    const wrong = whole.filter((record) => {
        const billed = billOf(evidence, record);
        return billed !== undefined && !trueCost(evidence, record).includes(billed);
    }).length;
    let unexplained = 0;
    for (const [account, record] of evidence.ledger) {
        const billed = Object.values(record.budgets).reduce((sum, budget) => sum + budget.billed, 0);
        const bills = [...evidence.bills.get(account)!.values()].reduce((sum, bill) => sum + bill.tokens, 0);
        unexplained += billed === bills ? 0 : 1;
    }
    return wrong + unexplained;
}

function isDishonest(evidence: Evidence, record: CallRecord): boolean {
    const ran = runsOf(evidence, record.key) + startsOf(evidence, record.key) > 0;
    return record.failure?.outcome === "not-run" && ran;
}

function stranded(evidence: Evidence): number {
    let sum = 0;
    for (const record of evidence.ledger.values()) {
        sum += Object.values(record.stranded).reduce((total, tokens) => total + tokens, 0);
        for (const [router, holder] of Object.entries(record.holders)) {
            if (!evidence.liveRouters.has(router)) {
                const holdings = Object.values(holder.budgets);
                sum += holdings.reduce((total, holding) => total + holding.allowance, 0);
            }
        }
    }
    return sum;
}
