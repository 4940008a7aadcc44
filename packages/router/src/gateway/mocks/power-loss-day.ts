import { vi } from "vitest";
import { FakeSpendingFleet } from "./fake-spending-fleet.js";
import type { TokenStanding } from "./token-ledger.js";

/** Time in ms at which a day's power loss begins, its duration, and the time of the traffic that follows. */
const LOSS_AT_MS = 40_000;
const POWER_OFF_MS = 1_200;
const AFTERWARDS_MS = 15_000;
/** Tokens of accounts relative to the demand of the whole day, if a plan states none. */
const SUPPLY = 1.3;
/** Kinds of requests: reviews, chats and tags, with their range of tokens. */
const REQUEST_TOKENS = [[10_000, 15_000], [500, 2_500], [200, 800]] as const;
const MEAN_TOKENS = (12_500 + 1_500 + 500) / 3;
const ACCOUNTS = 8;
/** Time in ms between two requests at one router. */
const ROUTER_INTERVAL_MS = 150;

/** Time in ms for which callers send a refused request again. */
const PATIENCE_MS = 4_000;

/** What happens before the loss of power. */
export type DayPlan = {
    readonly routers: number;
    readonly seed: number;
    /** Power losses of most routers earlier on the day. */
    readonly hasCrashSeries?: boolean;
    /** Start and end in ms of an outage of the store. */
    readonly outage?: readonly [number, number];
    /** Whether all routers are restarted in turn, by SIGTERM, in place of the loss of power. */
    readonly restart?: "well" | "slow" | "cut";
    /** Tokens of accounts relative to the demand of the whole day. */
    readonly supply?: number;
};

/** Figures of a day. */
export type DayFigures = {
    readonly left: number;
    readonly before: TokenStanding;
    readonly after: TokenStanding;
    readonly lost: number;
    readonly lostByBasis: Readonly<Record<string, number>>;
    readonly outcomes: Readonly<Record<string, number>>;
    readonly outageOutcomes: Readonly<Record<string, number>>;
    readonly servedShare: number;
    readonly writesPerRouterSecond: number;
    readonly writes: Readonly<Record<string, number>>;
    readonly mostUsedShare: number;
};

/** Formats figures as a line; shares are in 100 of the tokens that were left. */
export function describeDay(figures: DayFigures): string {
    const { left, lost, after, servedShare, writesPerRouterSecond, outcomes, outageOutcomes, writes } = figures;
    const shareOf = (tokens: number): string => (100 * tokens / left).toFixed(1);
    const bases = Object.entries(figures.lostByBasis).map(([basis, tokens]) => `${basis} ${shareOf(tokens)}`);
    return [
        `lost ${shareOf(lost)} (${bases.join(", ")})`,
        `lost earlier ${shareOf(figures.before.lost)}`,
        `unreclaimed ${shareOf(after.unreclaimed)}, away ${shareOf(after.away)}`,
        `held ${shareOf(after.held)}, free ${shareOf(after.free)}`,
        `served ${servedShare.toFixed(3)} of ${JSON.stringify(outcomes)}`,
        `outage ${JSON.stringify(outageOutcomes)}`,
        `writes per router and second ${writesPerRouterSecond.toFixed(2)} ${JSON.stringify(writes)}`,
    ].join("; ");
}

const passUntil = (at: number): Promise<unknown> => vi.advanceTimersByTimeAsync(at - Date.now());

/** Plays a day on fake timers, which must start at 0. */
export async function playDay(plan: DayPlan): Promise<DayFigures> {
    const intervalMs = ROUTER_INTERVAL_MS / plan.routers;
    const endsAt = LOSS_AT_MS + POWER_OFF_MS + AFTERWARDS_MS;
    const total = Math.round((plan.supply ?? SUPPLY) * endsAt / intervalMs * MEAN_TOKENS / ACCOUNTS);
    const fleet = new FakeSpendingFleet({
        routers: plan.routers,
        accounts: ACCOUNTS,
        total,
        requestIntervalMs: intervalMs,
        requestTokens: REQUEST_TOKENS,
        seed: plan.seed,
        startMs: [500, 3_000],
        stickyShare: 0.5,
        patienceMs: PATIENCE_MS,
    });
    if (plan.hasCrashSeries === true) {
        for (const at of [8_000, 14_000, 20_000]) {
            setTimeout(() => fleet.losePower(0.85, POWER_OFF_MS), at);
        }
    }
    let outageOutcomes: Readonly<Record<string, number>> = {};
    if (plan.outage !== undefined) {
        const [from, to] = plan.outage;
        setTimeout(() => fleet.stopStore(), from);
        setTimeout(() => {
            fleet.restoreStore();
            // Requests that are sent again have ended by then.
            setTimeout(() => outageOutcomes = fleet.outcomesBetween(from, to), PATIENCE_MS);
        }, to);
    }
    await passUntil(LOSS_AT_MS);
    const before = fleet.standing();
    const lostBefore = before.lost;
    const bases = new Map(fleet.ledger.lostByBasis);
    if (plan.restart === undefined) {
        fleet.losePower(1, POWER_OFF_MS);
        await passUntil(endsAt);
    }
    else {
        fleet.storeSlowdown = plan.restart === "slow" ? 60 : 1;
        if (plan.restart === "cut") {
            fleet.stopStore();
        }
        // The last router is back before the figures are read.
        fleet.restartOneByOne(AFTERWARDS_MS / plan.routers, 6_000, 500);
        await passUntil(endsAt + 6_000);
        fleet.storeSlowdown = 1;
        if (plan.restart === "cut") {
            fleet.restoreStore();
        }
        await passUntil(endsAt + 16_000);
    }
    const after = fleet.standing();
    const outcomes = fleet.outcomesBetween(plan.restart === undefined ? LOSS_AT_MS + POWER_OFF_MS : LOSS_AT_MS);
    const asked = Object.values(outcomes).reduce((sum, count) => sum + count, 0) - (outcomes["no-router"] ?? 0);
    const writes = Object.fromEntries(fleet.storeCalls);
    const lostByBasis = Object.fromEntries(
        [...fleet.ledger.lostByBasis].map(([basis, lost]) => [basis, lost - (bases.get(basis) ?? 0)]),
    );
    return {
        left: before.free + before.held + before.away + before.unreclaimed,
        before,
        after,
        lost: after.lost - lostBefore,
        lostByBasis,
        outcomes,
        outageOutcomes,
        servedShare: ((outcomes["served"] ?? 0) + (outcomes["served later"] ?? 0)) / asked,
        writesPerRouterSecond: Object.values(writes).reduce((sum, count) => sum + count, 0) / plan.routers
            / (Date.now() / 1_000),
        writes,
        mostUsedShare: fleet.mostUsedShare,
    };
}
