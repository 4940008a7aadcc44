import { type Holder, type Holding, ledgerKey, type LedgerRecord, parseRecord } from "../ledger/record.js";
import type { AccountId, BudgetId, KeyDigest } from "../types/ids.js";
import type { FakeFleet } from "./fake-fleet.js";
import type { FakeRouter } from "./fake-routers.js";
import { MAIN } from "./fleet-judge.js";

/** Returns the rules of money that a stored value breaks, in words; only ledger records are looked at. */
export function brokenLedgerRules(fleet: FakeFleet, key: string, value: string): string[] {
    if (!key.startsWith(ledgerKey(""))) {
        return [];
    }
    const record = parseRecord(value);
    return [...chargedTooMuch(key, record), ...promisedTooMuch(fleet, key, record)];
}

function chargedTooMuch(key: string, record: LedgerRecord): string[] {
    const broken: string[] = [];
    for (const [budget, totals] of Object.entries(record.budgets)) {
        const holdings = Object.values<Holder>(record.holders).map((holder) => holder.budgets[budget as BudgetId]);
        const held = holdings.reduce((sum, holding) => sum + tokensOf(holding), 0);
        const charged = totals.billed + held + (record.stranded[budget as BudgetId] ?? 0);
        if (charged > totals.granted) {
            broken.push(`${key}: ${charged} charged of ${totals.granted} granted`);
        }
        if (holdings.some((holding) => tokensOf(holding) < 0)) {
            broken.push(`${key}: a holding is below 0`);
        }
    }
    return broken;
}

// Billed, to be billed and reserved anywhere must fit in what was granted.
function promisedTooMuch(fleet: FakeFleet, key: string, record: LedgerRecord): string[] {
    const account = key.slice(ledgerKey("").length) as AccountId;
    const seen = new Set(fleet.bills(account).keys());
    const totals = record.budgets[MAIN] ?? { granted: 0, billed: 0 };
    let promised = totals.billed;
    for (const router of fleet.routers) {
        const row = router.state === "dead" ? undefined : router.brain.world?.accounts.get(account);
        for (const settlement of row?.settlements ?? []) {
            promised += seen.has(settlement.key) ? 0 : settlement.tokens;
            seen.add(settlement.key);
        }
        promised += reservedTokens(router, account, seen);
    }
    return promised > totals.granted ? [`${key}: ${promised} promised of ${totals.granted} granted`] : [];
}

// A key that two routers run is billed once, so its reservation counts once. A reservation that is not
// witnessed yet cannot be used.
function reservedTokens(router: FakeRouter, account: AccountId, seen: Set<KeyDigest>): number {
    let reserved = 0;
    const world = router.brain.world;
    for (const run of router.state === "dead" || world === undefined ? [] : world.runs.values()) {
        const usable = run.arrival.account === account && world!.openUses.get(run.keyDigest)?.allowed === true;
        if (usable && run.reserved > 0 && !seen.has(run.keyDigest)) {
            seen.add(run.keyDigest);
            reserved += run.reserved;
        }
    }
    return reserved;
}

function tokensOf(holding: Holding | undefined): number {
    return holding?.allowance ?? 0;
}
