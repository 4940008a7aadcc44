import type { Policy } from "../policy.js";
import type { EndpointId } from "../types/ids.js";
import { FakeFleet } from "./fake-fleet.js";
import type { FakeRouter } from "./fake-routers.js";
import type { FleetVerdict } from "./fleet-checker.js";

/** Load or a fault in a fleet. Times and durations in ms; indices of routers, endpoints and accounts wrap around. */
export type FleetEvent =
    | {
        readonly kind: "burst";
        readonly at: number;
        readonly account: number;
        readonly count: number;
        readonly impatient: boolean;
    }
    | {
        readonly kind: "actions";
        readonly at: number;
        readonly account: number;
        readonly count: number;
        readonly impatient: boolean;
    }
    | { readonly kind: "kill"; readonly at: number; readonly router: number; readonly backAfter: number; }
    | { readonly kind: "pause"; readonly at: number; readonly router: number; readonly time: number; }
    | { readonly kind: "isolate"; readonly at: number; readonly router: number; readonly time: number; }
    | { readonly kind: "without-key-value"; readonly at: number; readonly router: number; readonly time: number; }
    | { readonly kind: "key-value-down"; readonly at: number; readonly time: number; }
    | { readonly kind: "key-value-slow"; readonly at: number; readonly time: number; readonly slowMs: number; }
    | { readonly kind: "lost-replies"; readonly at: number; readonly time: number; readonly share: number; }
    | { readonly kind: "late-writes"; readonly at: number; readonly time: number; readonly share: number; }
    | { readonly kind: "top-up"; readonly at: number; readonly account: number; readonly tokens: number; }
    | { readonly kind: "crash"; readonly at: number; readonly endpoint: number; }
    | { readonly kind: "silence"; readonly at: number; readonly endpoint: number; }
    | { readonly kind: "leave"; readonly at: number; readonly endpoint: number; }
    | { readonly kind: "poison"; readonly at: number; readonly account: number; }
    | { readonly kind: "drain"; readonly at: number; readonly router: number; }
    | { readonly kind: "publish"; readonly at: number; };

/** A reproducible simulation: seed, events and settings of a fleet. */
export type Schedule = {
    readonly seed: number;
    readonly events: readonly FleetEvent[];
    /** Overrides of the default policy, such as those of a larger fleet. */
    readonly policy?: Partial<Policy>;
    /** Exclusive upper bound in ms of the routers' random clock skew. */
    readonly skewMs?: number;
};

/** Violated invariants and figures of a schedule's run. */
export type ScheduleResult = {
    readonly violations: readonly string[];
    readonly verdict: FleetVerdict;
    readonly fleet: FakeFleet;
};

const ACCOUNTS = ["large", "small"];
const WARM_UP_MS = 2_500;
const EVENT_PHASE_MS = 15_000;
const SETTLE_MS = 60_000;

/** Runs a schedule, clears all faults, lets the fleet settle, and lists every violated invariant. */
export function runSchedule(schedule: Schedule): ScheduleResult {
    const fleet = new FakeFleet({
        seed: schedule.seed,
        routers: 3,
        engines: 3,
        services: 2,
        slots: 8,
        budgets: { large: 20_000, small: 1_200 },
        policy: { addressLifetimeMs: 2_000, ...schedule.policy },
        ...(schedule.skewMs === undefined ? {} : { skewMs: schedule.skewMs }),
    });
    fleet.run(WARM_UP_MS);
    for (const event of schedule.events) {
        fleet.at(event.at, () => applyEvent(fleet, event));
    }
    fleet.run(EVENT_PHASE_MS);
    clearFaults(fleet);
    fleet.run(SETTLE_MS);
    const verdict = fleet.verdict();
    return { violations: violationsOf(fleet, verdict), verdict, fleet };
}

function applyEvent(fleet: FakeFleet, event: FleetEvent): void {
    switch (event.kind) {
        case "burst":
            return burst(fleet, event, false);
        case "actions":
            return burst(fleet, event, true);
        case "kill":
            return kill(fleet, routerOf(fleet, event.router), event.backAfter);
        case "pause": {
            const router = routerOf(fleet, event.router);
            router.pause();
            return fleet.at(event.time, () => router.resume());
        }
        case "isolate":
            return partitionFor(fleet, event.time, routerOf(fleet, event.router).address, fleet.partitioned);
        case "without-key-value":
            return partitionFor(
                fleet,
                event.time,
                routerOf(fleet, event.router).address,
                fleet.partitionedFromKeyValue,
            );
        case "key-value-down":
            fleet.keyValue.faults.down = true;
            return fleet.at(event.time, () => void (fleet.keyValue.faults.down = false));
        case "key-value-slow":
            fleet.keyValue.faults.slowMs = event.slowMs;
            return fleet.at(event.time, () => void (fleet.keyValue.faults.slowMs = 0));
        case "lost-replies":
            fleet.keyValue.faults.lostReplies = event.share;
            return fleet.at(event.time, () => void (fleet.keyValue.faults.lostReplies = 0));
        case "late-writes":
            fleet.keyValue.faults.lateWrites = event.share;
            return fleet.at(event.time, () => void (fleet.keyValue.faults.lateWrites = 0));
        case "top-up":
            return fleet.topUp(accountOf(event.account), `top-up-${event.at}`, event.tokens);
        case "crash":
            return endpointOf(fleet, event.endpoint).crash(1_500);
        case "silence":
            return endpointOf(fleet, event.endpoint).stallConnections();
        case "leave":
            return endpointOf(fleet, event.endpoint % 2).leave();
        case "poison":
            return void fleet.send({ account: accountOf(event.account), poison: true });
        case "drain":
            return drain(fleet, routerOf(fleet, event.router));
        case "publish":
            return fleet.publish(
                "extra",
                `{ "operations": [{ "service": "x", "id": "o", "method": "GET", "path": "/${event.at}" }] }`,
            );
    }
}

function burst(
    fleet: FakeFleet,
    event: { readonly account: number; readonly count: number; readonly impatient: boolean; },
    actions: boolean,
): void {
    const account = accountOf(event.account);
    for (let index = 0; index < event.count; index++) {
        const hedgeAfterMs = event.impatient ? 10 * (index + 1) : undefined;
        if (actions) {
            fleet.sendAction(account, { hedgeAfterMs });
        }
        else {
            fleet.send({ account, hedgeAfterMs, outputTokens: 20 + index % 40 });
        }
    }
}

function kill(fleet: FakeFleet, router: FakeRouter, backAfter: number): void {
    if (router.state === "dead") {
        return;
    }
    fleet.kill(router);
    fleet.at(backAfter, () => void fleet.replace(router));
}

function drain(fleet: FakeFleet, router: FakeRouter): void {
    const others = fleet.routers.filter((other) => other !== router && other.state === "running");
    if (others.length > 0) {
        router.deliver({ kind: "drain" });
    }
}

function partitionFor(fleet: FakeFleet, durationMs: number, address: string, partitioned: Set<string>): void {
    partitioned.add(address);
    fleet.at(durationMs, () => void partitioned.delete(address));
}

function clearFaults(fleet: FakeFleet): void {
    Object.assign(fleet.keyValue.faults, { down: false, slowMs: 0, lostReplies: 0, lateWrites: 0 });
    fleet.partitioned.clear();
    fleet.partitionedFromKeyValue.clear();
    fleet.routers.forEach((router) => router.resume());
}

function violationsOf(fleet: FakeFleet, verdict: FleetVerdict): string[] {
    const violations = [...new Set(fleet.violations)];
    const safetyFigures = [
        "overspentTokens",
        "billsMissing",
        "billsDoubled",
        "billsWrong",
        "nonIdempotentDoubles",
        "dishonestRefusals",
        "brokenAnswers",
    ] as const;
    for (const name of [...safetyFigures, "startsAfterLeaving"] as const) {
        if (verdict[name] > 0) {
            violations.push(`${name}: ${verdict[name]}`);
        }
    }
    const open = fleet.callers.records.filter((record) => record.result === "open").length;
    if (open > 0) {
        violations.push(`requests without an answer: ${open}`);
    }
    if (fleet.callsCutByDrain > 0) {
        violations.push(`requests cut by a drain: ${fleet.callsCutByDrain}`);
    }
    for (const versions of fleet.adoptedVersions.values()) {
        if (versions.some((version, index) => index > 0 && version <= versions[index - 1]!)) {
            violations.push("a configuration version went down");
        }
    }
    return [...violations, ...staleRouters(fleet)];
}

function staleRouters(fleet: FakeFleet): string[] {
    const newest = Math.max(...[...fleet.adoptedVersions.values()].map((versions) => Math.max(...versions)));
    const stale = fleet.routers.filter((router) =>
        router.state === "running" && router.strategy.world?.configuration.version !== newest
    );
    return stale.map((router) => `${router.incarnation} does not have the newest configuration`);
}

function accountOf(index: number): string {
    return ACCOUNTS[index % ACCOUNTS.length]!;
}

function routerOf(fleet: FakeFleet, index: number): FakeRouter {
    return fleet.routers[index % fleet.routers.length]!;
}

function endpointOf(fleet: FakeFleet, index: number): NonNullable<ReturnType<FakeFleet["endpoints"]["get"]>> {
    const ids = [...fleet.endpoints.keys()];
    return fleet.endpoints.get(ids[index % ids.length] as EndpointId)!;
}
