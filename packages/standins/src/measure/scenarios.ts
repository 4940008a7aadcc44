import { FakeFleet, type FakeRouter, type FleetOptions, type FleetVerdict } from "@gooseberrybend/core/mocks";

/** A situation from the brief, with the load that runs through it. */
export type Scenario = {
    readonly name: string;
    readonly options: Omit<FleetOptions, "seed" | "createBrain">;
    /** Time of load in ms. */
    readonly loadMs: number;
    /** Requests per second. */
    readonly rate: number;
    /** Whether calls that may not be repeated are part of the load. In an outage they are refused by rule. */
    readonly actions: boolean;
    readonly schedule: (fleet: FakeFleet) => void;
};

/** Figures of one scenario under one policy. */
export type ScenarioFigures = FleetVerdict & {
    readonly seconds: number;
    /** Streams that were open at routers when they died, times a request's worst case. */
    readonly strandedLimit: number;
};

const WARM_UP_MS = 3_000;
const SETTLE_MS = 90_000;
const ACTION_EVERY = 7;
const LOOKUP_EVERY = 3;
const MODEL_WORST_TOKENS = 80;
const OUTAGE_MS = 300_000;

const base = {
    routers: 3,
    engines: 3,
    services: 2,
    slots: 24,
    budgets: { large: 2_000_000, middle: 600_000, small: 120_000 },
};

/** All scenarios, in the order of the brief's list of what fails. */
export const scenarios: readonly Scenario[] = [
    scenario("steady", 60_000, () => undefined),
    scenario("steady-7-routers", 60_000, () => undefined, {
        options: { ...base, routers: 7, engines: 8, services: 4 },
    }),
    scenario("partition-with-top-ups", 330_000, (fleet) => {
        const address = fleet.routers[0]!.address;
        fleet.at(5_000, () => void fleet.isolated.add(address));
        for (let index = 1; index <= 5; index++) {
            fleet.at(index * 50_000, () => fleet.topUp("small", `top-up-${index}`, 20_000));
        }
        fleet.at(5_000 + OUTAGE_MS, () => void fleet.isolated.delete(address));
    }),
    scenario("router-deaths", 60_000, (fleet) => {
        for (const at of [10_000, 25_000, 40_000]) {
            fleet.at(at, () => killBusiest(fleet));
        }
    }),
    scenario("key-value-outage", OUTAGE_MS + 60_000, (fleet) => {
        fleet.at(30_000, () => void (fleet.keyValue.faults.down = true));
        fleet.at(30_000 + OUTAGE_MS, () => void (fleet.keyValue.faults.down = false));
    }, { actions: false }),
    scenario("key-value-slow", 60_000, (fleet) => {
        fleet.at(10_000, () => void (fleet.keyValue.faults.slowMs = 800));
        fleet.at(50_000, () => void (fleet.keyValue.faults.slowMs = 0));
    }),
    scenario("lost-replies", 60_000, (fleet) => {
        fleet.keyValue.faults.lostReplies = 0.2;
        fleet.keyValue.faults.lateWrites = 0.05;
        fleet.at(55_000, () => void Object.assign(fleet.keyValue.faults, { lostReplies: 0, lateWrites: 0 }));
    }),
    scenario("paused-holder", 60_000, (fleet) => {
        const router = fleet.routers[1]!;
        fleet.at(10_000, () => router.pause());
        fleet.at(40_000, () => router.resume());
    }),
    scenario("operator-races", 30_000, (fleet) => {
        for (let index = 0; index < 40; index++) {
            fleet.at(index * 500, () => {
                fleet.topUp("small", `top-up-${index % 20}`, 500);
                const path = `{ "operations": [{ "service": "x", "id": "o", "method": "GET", "path": "/${index}" }] }`;
                fleet.publish(`file-${index % 2}`, path.replace('"x"', `"x${index % 2}"`));
            });
        }
    }),
    scenario("poison", 40_000, (fleet) => {
        fleet.at(10_000, () => void fleet.send({ account: "middle", poison: true, mostAttempts: 6 }));
        fleet.at(20_000, () => void fleet.send({ account: "middle", poison: true, mostAttempts: 6 }));
    }),
    scenario("silent-connections", 40_000, (fleet) => {
        for (const at of [8_000, 16_000, 24_000]) {
            fleet.at(at, () => [...fleet.endpoints.values()][at / 8_000 - 1]!.silence());
        }
    }),
    scenario("endpoint-leaving", 40_000, (fleet) => {
        fleet.at(10_000, () => [...fleet.endpoints.values()][0]!.leave());
        fleet.at(15_000, () => [...fleet.endpoints.values()][3]!.leave());
    }),
    scenario("drain", 40_000, (fleet) => {
        const router = fleet.routers[2]!;
        fleet.at(10_000, () => router.deliver({ kind: "drain" }));
    }),
    scenario("outage-and-death", 90_000, (fleet) => {
        fleet.at(20_000, () => void (fleet.keyValue.faults.down = true));
        fleet.at(35_000, () => killBusiest(fleet));
        fleet.at(60_000, () => void (fleet.keyValue.faults.down = false));
    }, { actions: false }),
    scenario("budget-end", 60_000, () => undefined, {
        options: { ...base, budgets: { large: 12_000, middle: 4_500, small: 3_000 } },
    }),
    scenario("overload", 30_000, () => undefined, { rate: 200, options: { ...base, slots: 6 } }),
];

function scenario(
    name: string,
    loadMs: number,
    schedule: Scenario["schedule"],
    changes: Partial<Pick<Scenario, "rate" | "options" | "actions">> = {},
): Scenario {
    return { name, options: base, loadMs, rate: 20, actions: true, schedule, ...changes };
}

const strandedLimits = new WeakMap<FakeFleet, number>();

function killBusiest(fleet: FakeFleet): void {
    const live = fleet.routers.filter((router) => router.state === "running");
    const busiest = live.sort((first, second) => fleet.callers.openAt(second) - fleet.callers.openAt(first))[0];
    if (busiest !== undefined) {
        killWithLimit(fleet, busiest);
    }
}

function killWithLimit(fleet: FakeFleet, router: FakeRouter): void {
    const limit = fleet.callers.openAt(router) * MODEL_WORST_TOKENS;
    strandedLimits.set(fleet, (strandedLimits.get(fleet) ?? 0) + limit);
    fleet.kill(router);
    fleet.at(2_000, () => void fleet.replace(router));
}

/** Runs a scenario on the virtual clock. */
export function runScenario(entry: Scenario, seed: number, createBrain: FleetOptions["createBrain"]): ScenarioFigures {
    const fleet = new FakeFleet({ ...entry.options, seed, ...(createBrain === undefined ? {} : { createBrain }) });
    fleet.run(WARM_UP_MS);
    const calls = fleet.keyValue.reads + fleet.keyValue.writes;
    const { writes } = fleet.keyValue;
    const messages = fleet.peerMessages;
    entry.schedule(fleet);
    addLoad(fleet, entry);
    fleet.run(entry.loadMs);
    const loadCalls = fleet.keyValue.reads + fleet.keyValue.writes - calls;
    const loadWrites = fleet.keyValue.writes - writes;
    const loadMessages = fleet.peerMessages - messages;
    fleet.run(SETTLE_MS);
    return {
        ...fleet.verdict(),
        keyValueCalls: loadCalls,
        keyValueWrites: loadWrites,
        peerMessages: loadMessages,
        seconds: entry.loadMs / 1000,
        strandedLimit: strandedLimits.get(fleet) ?? 0,
    };
}

function addLoad(fleet: FakeFleet, entry: Scenario): void {
    const accounts = ["large", "large", "middle", "small"];
    const count = entry.rate * entry.loadMs / 1000;
    for (let index = 0; index < count; index++) {
        const account = accounts[index % accounts.length]!;
        fleet.at(index * 1000 / entry.rate, () => sendOne(fleet, entry, account, index));
    }
}

function sendOne(fleet: FakeFleet, entry: Scenario, account: string, index: number): void {
    if (index % ACTION_EVERY === 0 && entry.actions) {
        fleet.sendAction(account);
        return;
    }
    if (index % LOOKUP_EVERY === 0) {
        const target = { kind: "service", service: "s", operation: "look" } as const;
        fleet.send({ account, target, idempotent: true, chunks: 1, outputTokens: 0 });
        return;
    }
    fleet.send({ account, outputTokens: 10 + index % 50 });
}
