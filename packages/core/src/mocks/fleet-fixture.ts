import { expect } from "vitest";
import { FakeFleet, type FleetOptions } from "./fake-fleet.js";

/** Starts a fleet of three routers and one account, and runs it for 3 s of virtual time. */
export function startFleet(budget = 100_000, policy = {}, options: Partial<FleetOptions> = {}): FakeFleet {
    const fleet = new FakeFleet({
        seed: 3,
        routers: 3,
        engines: 3,
        services: 2,
        slots: 16,
        budgets: { a: budget },
        policy,
        ...options,
    });
    fleet.run(3_000);
    return fleet;
}

/** Expects that no safety invariant was violated. */
export function expectNoViolations(fleet: FakeFleet): void {
    expect(fleet.violations).toEqual([]);
    expect(fleet.verdict()).toMatchObject({
        overspentTokens: 0,
        billsMissing: 0,
        billsDoubled: 0,
        billsWrong: 0,
        nonIdempotentDoubles: 0,
        dishonestRefusals: 0,
        brokenAnswers: 0,
        startsAfterLeaving: 0,
    });
}

/** Returns the distinct refusals that callers received, each as reason and outcome, sorted. */
export function refusalOutcomes(fleet: FakeFleet): string[] {
    const refused = fleet.callers.records.flatMap((record) => record.refusals.map(({ refusal }) => refusal));
    return [...new Set(refused.map((refusal) => `${refusal.reason} ${refusal.outcome}`))].sort();
}
