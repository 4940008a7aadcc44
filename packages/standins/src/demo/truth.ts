import {
    type AccountId,
    type Bill,
    digestKey,
    holderIncarnation,
    type Incarnation,
    type KeyDigest,
    type LedgerRecord,
    type RequestKey,
} from "@gooseberrybend/core";
import type { CallRecord } from "../load/load.js";
import type { EngineCounts } from "../model-engine/engine.js";
import type { ServiceCounts } from "../plain-service/service.js";

/** Crashes of engines that convicting one request takes. */
export const ALLOWED_CRASHES = 2;

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
    readonly crashes: number;
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
    /** Whole answers whose bill is not what a finished run of theirs used. */
    readonly billsWrong: number;
    readonly nonIdempotentDoubles: number;
    readonly dishonestRefusals: number;
    readonly brokenAnswers: number;
    readonly cutByDrain: number;
    readonly leavingEndpointStarts: number;
    /** Engines that one request crashed beyond the two that it takes to convict it. */
    readonly crashesBeyondTwo: number;
    readonly strandedTokens: number;
};

/** Names of the figures that must be 0. */
export const safetyFigures = [
    "overspentTokens",
    "billsMissing",
    "billsDoubled",
    "billsWrong",
    "nonIdempotentDoubles",
    "dishonestRefusals",
    "brokenAnswers",
    "cutByDrain",
    "leavingEndpointStarts",
    "crashesBeyondTwo",
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
        billsDoubled: accountsWithDoubledBills(evidence).length,
        billsWrong: whole.filter((record) => isBilledWrong(evidence, record)).length,
        nonIdempotentDoubles: records.filter((record) => ranTwice(evidence, record)).length,
        dishonestRefusals: refused.filter((record) => isDishonest(evidence, record)).length,
        brokenAnswers: records.filter((record) => record.result === "broken").length,
        cutByDrain: evidence.cutByDrain,
        leavingEndpointStarts: evidence.engines.reduce((sum, engine) => sum + engine.startedAfterLeaving, 0),
        crashesBeyondTwo: Math.max(0, evidence.crashes - ALLOWED_CRASHES),
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

function isBilledWrong(evidence: Evidence, record: CallRecord): boolean {
    const billed = billOf(evidence, record);
    return billed !== undefined && !trueCost(evidence, record).includes(billed);
}

// More billed in total than the bills add up to means that some key was billed twice.
function accountsWithDoubledBills(evidence: Evidence): string[] {
    const accounts = [...evidence.ledger.keys()];
    return accounts.filter((account) => billedTotal(evidence, account) !== sumOfBills(evidence, account));
}

function billedTotal(evidence: Evidence, account: string): number {
    const totals = Object.values(evidence.ledger.get(account)!.budgets);
    return totals.reduce((sum, budget) => sum + budget.billed, 0);
}

function sumOfBills(evidence: Evidence, account: string): number {
    return [...evidence.bills.get(account)!.values()].reduce((sum, bill) => sum + bill.tokens, 0);
}

function ranTwice(evidence: Evidence, record: CallRecord): boolean {
    return record.kind === "action" && runsOf(evidence, record.key) > 1;
}

/** Names each request and account behind the safety figures, one sentence each. */
export function describeViolations(evidence: Evidence): string[] {
    const sentences = accountsWithDoubledBills(evidence).map((account) =>
        `Doubled: ${account} was billed ${billedTotal(evidence, account)}, its bills are ${
            sumOfBills(evidence, account)
        }.`
    );
    for (const record of evidence.records) {
        const name = `${record.kind} ${record.key} of ${record.account}, ${record.attempts} attempts`;
        const billed = billOf(evidence, record);
        if (record.result === "whole" && billed === undefined) {
            sentences.push(`Not billed: ${name}.`);
        }
        if (record.result === "whole" && isBilledWrong(evidence, record)) {
            sentences.push(`Billed wrong: ${name}: ${billed}, used ${trueCost(evidence, record).join(" or ")}.`);
        }
        if (ranTwice(evidence, record)) {
            sentences.push(`Ran twice: ${name}.`);
        }
        if (isDishonest(evidence, record)) {
            sentences.push(`Ran, but was refused as not run: ${name}.`);
        }
        if (record.result === "broken") {
            sentences.push(`Broken: ${name}.`);
        }
    }
    return sentences;
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
            if (!evidence.liveRouters.has(holderIncarnation(router as Incarnation))) {
                const holdings = Object.values(holder.budgets);
                sum += holdings.reduce((total, holding) => total + holding.allowance, 0);
            }
        }
    }
    return sum;
}
