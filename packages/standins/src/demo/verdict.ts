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
import type { CallRecord } from "../load/load-generator.js";
import type { EngineCounts } from "../model-engine/engine.js";
import type { ServiceCounts } from "../plain-service/service.js";

/** Engine crashes that it takes to confirm one poison request. */
export const ALLOWED_CRASHES = 2;

/** What callers and stand-ins recorded during a run, and the ledger at its end. */
export type RunObservations = {
    readonly records: readonly CallRecord[];
    readonly engines: readonly EngineCounts[];
    readonly services: readonly ServiceCounts[];
    readonly ledger: ReadonlyMap<string, LedgerRecord>;
    /** Bills by account, including those on ledger pages. */
    readonly bills: ReadonlyMap<string, ReadonlyMap<KeyDigest, Bill>>;
    readonly liveRouters: ReadonlySet<string>;
    readonly cutByDrain: number;
    readonly crashes: number;
    readonly callCosts: Readonly<Record<"lookup" | "action", Readonly<Record<string, number>>>>;
};

/** Figures of a run: counts of requests, the safety figures, which must be 0, and the stranded tokens. */
export type RunVerdict = {
    readonly requests: number;
    readonly answeredWhole: number;
    readonly refused: number;
    readonly overspentTokens: number;
    readonly billsMissing: number;
    readonly billsDoubled: number;
    /** Whole answers whose bill matches the usage of none of their finished runs. */
    readonly billsWrong: number;
    readonly nonIdempotentDoubles: number;
    readonly dishonestRefusals: number;
    readonly brokenAnswers: number;
    readonly cutByDrain: number;
    readonly leavingEndpointStarts: number;
    /** Engine crashes beyond the two that it takes to confirm a poison request. */
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

/** Compares the ledger and the callers' results with the counts of the stand-ins. */
export function checkRun(observations: RunObservations): RunVerdict {
    const { records } = observations;
    const wholeAnswers = records.filter((record) => record.result === "whole");
    const refused = records.filter((record) => record.result === "refused");
    return {
        requests: records.length,
        answeredWhole: wholeAnswers.length,
        refused: refused.length,
        overspentTokens: sumOverspentTokens(observations, wholeAnswers),
        billsMissing: wholeAnswers.filter((record) => billedTokens(observations, record) === undefined).length,
        billsDoubled: accountsWithDoubledBills(observations).length,
        billsWrong: wholeAnswers.filter((record) => isBilledWrong(observations, record)).length,
        nonIdempotentDoubles: records.filter((record) => ranTwice(observations, record)).length,
        dishonestRefusals: refused.filter((record) => isDishonestRefusal(observations, record)).length,
        brokenAnswers: records.filter((record) => record.result === "broken").length,
        cutByDrain: observations.cutByDrain,
        leavingEndpointStarts: observations.engines.reduce((sum, engine) => sum + engine.startedAfterLeaving, 0),
        crashesBeyondTwo: Math.max(0, observations.crashes - ALLOWED_CRASHES),
        strandedTokens: sumStrandedTokens(observations),
    };
}

function billedTokens(observations: RunObservations, record: CallRecord): number | undefined {
    const digest = digestKey(record.account as AccountId, record.key as RequestKey);
    return observations.bills.get(record.account)?.get(digest)?.tokens;
}

function countServiceRuns(observations: RunObservations, key: string): number {
    return observations.services.reduce((sum, service) => sum + (service.runs[key] ?? 0), 0);
}

function countEngineStarts(observations: RunObservations, key: string): number {
    return observations.engines.reduce((sum, engine) => sum + engine.keys.filter((other) => other === key).length, 0);
}

// A correct bill equals the usage that the engines counted for one of the finished runs; a call may run more than once.
function possibleCosts(observations: RunObservations, record: CallRecord): readonly number[] {
    if (record.kind !== "model") {
        return [observations.callCosts[record.kind][record.account]!];
    }
    return observations.engines.flatMap((engine) => engine.finished[record.key] ?? []).map((run) =>
        run.prompt + run.output
    );
}

function sumOverspentTokens(observations: RunObservations, wholeAnswers: readonly CallRecord[]): number {
    let sum = 0;
    for (const [account, record] of observations.ledger) {
        const used = wholeAnswers.filter((entry) => entry.account === account)
            .reduce((total, entry) => total + Math.min(...possibleCosts(observations, entry)), 0);
        const totals = Object.values(record.budgets);
        const granted = totals.reduce((total, budget) => total + budget.granted, 0);
        const billed = totals.reduce((total, budget) => total + budget.billed, 0);
        sum += Math.max(0, used - granted, billed - granted);
    }
    return sum;
}

function isBilledWrong(observations: RunObservations, record: CallRecord): boolean {
    const billed = billedTokens(observations, record);
    return billed !== undefined && !possibleCosts(observations, record).includes(billed);
}

// A billed total that differs from the sum of the bills means that some key was billed twice.
function accountsWithDoubledBills(observations: RunObservations): string[] {
    const accounts = [...observations.ledger.keys()];
    return accounts.filter((account) => billedTotal(observations, account) !== sumOfBills(observations, account));
}

function billedTotal(observations: RunObservations, account: string): number {
    const totals = Object.values(observations.ledger.get(account)!.budgets);
    return totals.reduce((sum, budget) => sum + budget.billed, 0);
}

function sumOfBills(observations: RunObservations, account: string): number {
    return [...observations.bills.get(account)!.values()].reduce((sum, bill) => sum + bill.tokens, 0);
}

function ranTwice(observations: RunObservations, record: CallRecord): boolean {
    return record.kind === "action" && countServiceRuns(observations, record.key) > 1;
}

/** Describes each request and account that violates a safety figure, in one sentence each. */
export function describeViolations(observations: RunObservations): string[] {
    const sentences = accountsWithDoubledBills(observations).map((account) =>
        `Bill totals differ: ${account} was billed ${billedTotal(observations, account)}, its bills add up to ${
            sumOfBills(observations, account)
        }.`
    );
    for (const record of observations.records) {
        const name = `${record.kind} ${record.key} of ${record.account}, ${record.attempts} attempts`;
        const billed = billedTokens(observations, record);
        if (record.result === "whole" && billed === undefined) {
            sentences.push(`Not billed: ${name}.`);
        }
        if (record.result === "whole" && isBilledWrong(observations, record)) {
            sentences.push(
                `Billed a wrong amount: ${name}: ${billed}, used ${possibleCosts(observations, record).join(" or ")}.`,
            );
        }
        if (ranTwice(observations, record)) {
            sentences.push(`Ran more than once: ${name}.`);
        }
        if (isDishonestRefusal(observations, record)) {
            sentences.push(`Ran, but was refused as not run: ${name}.`);
        }
        if (record.result === "broken") {
            sentences.push(`Broken answer: ${name}.`);
        }
    }
    return sentences;
}

function isDishonestRefusal(observations: RunObservations, record: CallRecord): boolean {
    const ran = countServiceRuns(observations, record.key) + countEngineStarts(observations, record.key) > 0;
    return record.failure?.outcome === "not-run" && ran;
}

function sumStrandedTokens(observations: RunObservations): number {
    let sum = 0;
    for (const record of observations.ledger.values()) {
        sum += Object.values(record.stranded).reduce((total, tokens) => total + tokens, 0);
        for (const [router, holder] of Object.entries(record.holders)) {
            if (!observations.liveRouters.has(holderIncarnation(router as Incarnation))) {
                const holdings = Object.values(holder.budgets);
                sum += holdings.reduce((total, holding) => total + holding.allowance, 0);
            }
        }
    }
    return sum;
}
