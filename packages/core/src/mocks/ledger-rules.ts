import { type Holder, type Holding, ledgerKey, type LedgerRecord, parseRecord } from "../ledger/record.js";
import type { AccountId, BudgetId, KeyDigest } from "../types/ids.js";
import type { FakeFleet } from "./fake-fleet.js";
import type { FakeRouter } from "./fake-routers.js";
import { MAIN_BUDGET } from "./fleet-checker.js";

/** Returns a message for each token accounting rule that a stored ledger record violates; ignores other keys. */
export function ledgerViolations(fleet: FakeFleet, key: string, value: string): string[] {
    if (!key.startsWith(ledgerKey(""))) {
        return [];
    }
    const record = parseRecord(value);
    return [...allowanceViolations(key, record), ...overcommitments(fleet, key, record)];
}

function allowanceViolations(key: string, record: LedgerRecord): string[] {
    const violations: string[] = [];
    for (const [budget, totals] of Object.entries(record.budgets)) {
        const holdings = Object.values<Holder>(record.holders).map((holder) => holder.budgets[budget as BudgetId]);
        const held = holdings.reduce((sum, holding) => sum + allowanceOf(holding), 0);
        const charged = totals.billed + held + (record.stranded[budget as BudgetId] ?? 0);
        if (charged > totals.granted) {
            violations.push(`${key}: ${charged} charged of ${totals.granted} granted`);
        }
        if (holdings.some((holding) => allowanceOf(holding) < 0)) {
            violations.push(`${key}: an allowance is below 0`);
        }
    }
    return violations;
}

// Tokens billed, awaiting settlement or reserved on any live router must not exceed those granted.
function overcommitments(fleet: FakeFleet, key: string, record: LedgerRecord): string[] {
    const account = key.slice(ledgerKey("").length) as AccountId;
    const countedKeys = new Set(fleet.bills(account).keys());
    const totals = record.budgets[MAIN_BUDGET] ?? { granted: 0, billed: 0 };
    let committed = totals.billed;
    for (const router of fleet.routers) {
        const row = router.state === "dead" ? undefined : router.strategy.world?.accounts.get(account);
        for (const settlement of row?.settlements ?? []) {
            committed += countedKeys.has(settlement.key) ? 0 : settlement.tokens;
            countedKeys.add(settlement.key);
        }
        committed += reservedTokens(router, account, countedKeys);
    }
    return committed > totals.granted ? [`${key}: ${committed} committed of ${totals.granted} granted`] : [];
}

// A key that two routers run is billed once, so its reservation counts once. A reservation that is not
// witnessed yet cannot be used and does not count.
function reservedTokens(router: FakeRouter, account: AccountId, countedKeys: Set<KeyDigest>): number {
    let reserved = 0;
    const world = router.strategy.world;
    for (const run of router.state === "dead" || world === undefined ? [] : world.runs.values()) {
        const usable = run.arrival.account === account && world!.openUses.get(run.keyDigest)?.allowed === true;
        if (usable && run.reserved > 0 && !countedKeys.has(run.keyDigest)) {
            countedKeys.add(run.keyDigest);
            reserved += run.reserved;
        }
    }
    return reserved;
}

function allowanceOf(holding: Holding | undefined): number {
    return holding?.allowance ?? 0;
}
