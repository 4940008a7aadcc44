import { FakeFleet, type FakeRouter, type FleetOptions, type FleetVerdict } from "@gooseberrybend/core/mocks";

/** A fault scenario, with the load that runs during it. */
export type Scenario = {
    readonly name: string;
    readonly options: Omit<FleetOptions, "seed" | "createStrategy">;
    /** Duration of the load in ms. */
    readonly loadMs: number;
    /** Requests per second. */
    readonly rate: number;
    /** Whether the load includes calls that are not idempotent. In a key-value outage these are refused by design. */
    readonly actions: boolean;
    readonly schedule: (fleet: FakeFleet) => void;
};

/** Figures of one scenario under one policy. */
export type ScenarioFigures = FleetVerdict & {
    readonly seconds: number;
    /** Upper limit in tokens: requests open at routers when they were killed, times the worst case of a request. */
    readonly strandedLimit: number;
};

const WARM_UP_MS = 3_000;
const SETTLE_MS = 90_000;
const REQUESTS_PER_ACTION = 7;
const REQUESTS_PER_LOOKUP = 3;
const MODEL_WORST_CASE_TOKENS = 80;
const OUTAGE_MS = 300_000;

const baseOptions = {
    routers: 3,
    engines: 3,
    services: 2,
    slots: 24,
    budgets: { large: 2_000_000, middle: 600_000, small: 120_000 },
};

/** All scenarios, in the order in which they are measured. */
export const scenarios: readonly Scenario[] = [
    defineScenario("steady", 60_000, () => undefined),
    defineScenario("steady-7-routers", 60_000, () => undefined, {
        options: { ...baseOptions, routers: 7, engines: 8, services: 4 },
    }),
    defineScenario("partition-with-top-ups", 330_000, (fleet) => {
        const address = fleet.routers[0]!.address;
        fleet.at(5_000, () => void fleet.partitioned.add(address));
        for (let index = 1; index <= 5; index++) {
            fleet.at(index * 50_000, () => fleet.topUp("small", `top-up-${index}`, 20_000));
        }
        fleet.at(5_000 + OUTAGE_MS, () => void fleet.partitioned.delete(address));
    }),
    defineScenario("router-deaths", 60_000, (fleet) => {
        for (const at of [10_000, 25_000, 40_000]) {
            fleet.at(at, () => killBusiestRouter(fleet));
        }
    }),
    defineScenario("key-value-outage", OUTAGE_MS + 60_000, (fleet) => {
        fleet.at(30_000, () => void (fleet.keyValue.faults.down = true));
        fleet.at(30_000 + OUTAGE_MS, () => void (fleet.keyValue.faults.down = false));
    }, { actions: false }),
    defineScenario("key-value-slow", 60_000, (fleet) => {
        fleet.at(10_000, () => void (fleet.keyValue.faults.slowMs = 800));
        fleet.at(50_000, () => void (fleet.keyValue.faults.slowMs = 0));
    }),
    defineScenario("lost-replies", 60_000, (fleet) => {
        fleet.keyValue.faults.lostReplies = 0.2;
        fleet.keyValue.faults.lateWrites = 0.05;
        fleet.at(55_000, () => void Object.assign(fleet.keyValue.faults, { lostReplies: 0, lateWrites: 0 }));
    }),
    defineScenario("paused-holder", 60_000, (fleet) => {
        const router = fleet.routers[1]!;
        fleet.at(10_000, () => router.pause());
        fleet.at(40_000, () => router.resume());
    }),
    defineScenario("operator-races", 30_000, (fleet) => {
        for (let index = 0; index < 40; index++) {
            fleet.at(index * 500, () => {
                fleet.topUp("small", `top-up-${index % 20}`, 500);
                const declaration =
                    `{ "operations": [{ "service": "x", "id": "o", "method": "GET", "path": "/${index}" }] }`;
                fleet.publish(`file-${index % 2}`, declaration.replace('"x"', `"x${index % 2}"`));
            });
        }
    }),
    defineScenario("poison", 40_000, (fleet) => {
        fleet.at(10_000, () => void fleet.send({ account: "middle", poison: true, mostAttempts: 6 }));
        fleet.at(20_000, () => void fleet.send({ account: "middle", poison: true, mostAttempts: 6 }));
    }),
    defineScenario("silent-connections", 40_000, (fleet) => {
        for (const at of [8_000, 16_000, 24_000]) {
            fleet.at(at, () => [...fleet.endpoints.values()][at / 8_000 - 1]!.stallConnections());
        }
    }),
    defineScenario("endpoint-leaving", 40_000, (fleet) => {
        fleet.at(10_000, () => [...fleet.endpoints.values()][0]!.leave());
        fleet.at(15_000, () => [...fleet.endpoints.values()][3]!.leave());
    }),
    defineScenario("drain", 40_000, (fleet) => {
        const router = fleet.routers[2]!;
        fleet.at(10_000, () => router.deliver({ kind: "drain" }));
    }),
    defineScenario("outage-and-death", 90_000, (fleet) => {
        fleet.at(20_000, () => void (fleet.keyValue.faults.down = true));
        fleet.at(35_000, () => killBusiestRouter(fleet));
        fleet.at(60_000, () => void (fleet.keyValue.faults.down = false));
    }, { actions: false }),
    defineScenario("budget-end", 60_000, () => undefined, {
        options: { ...baseOptions, budgets: { large: 12_000, middle: 4_500, small: 3_000 } },
    }),
    defineScenario("overload", 30_000, () => undefined, { rate: 200, options: { ...baseOptions, slots: 6 } }),
];

function defineScenario(
    name: string,
    loadMs: number,
    schedule: Scenario["schedule"],
    changes: Partial<Pick<Scenario, "rate" | "options" | "actions">> = {},
): Scenario {
    return { name, options: baseOptions, loadMs, rate: 20, actions: true, schedule, ...changes };
}

const strandedTokenLimits = new WeakMap<FakeFleet, number>();

function killBusiestRouter(fleet: FakeFleet): void {
    const live = fleet.routers.filter((router) => router.state === "running");
    const busiest =
        live.sort((first, second) => fleet.callers.countOpenCalls(second) - fleet.callers.countOpenCalls(first))[0];
    if (busiest !== undefined) {
        killAndReplace(fleet, busiest);
    }
}

function killAndReplace(fleet: FakeFleet, router: FakeRouter): void {
    const limit = fleet.callers.countOpenCalls(router) * MODEL_WORST_CASE_TOKENS;
    strandedTokenLimits.set(fleet, (strandedTokenLimits.get(fleet) ?? 0) + limit);
    fleet.kill(router);
    fleet.at(2_000, () => void fleet.replace(router));
}

/** Runs a scenario on the virtual clock. */
export function runScenario(
    scenario: Scenario,
    seed: number,
    createStrategy: FleetOptions["createStrategy"],
): ScenarioFigures {
    const fleet = new FakeFleet({
        ...scenario.options,
        seed,
        ...(createStrategy === undefined ? {} : { createStrategy }),
    });
    fleet.run(WARM_UP_MS);
    const callsBefore = fleet.keyValue.reads + fleet.keyValue.writes;
    const { writes: writesBefore } = fleet.keyValue;
    const messagesBefore = fleet.peerMessages;
    scenario.schedule(fleet);
    addLoad(fleet, scenario);
    fleet.run(scenario.loadMs);
    const loadCalls = fleet.keyValue.reads + fleet.keyValue.writes - callsBefore;
    const loadWrites = fleet.keyValue.writes - writesBefore;
    const loadMessages = fleet.peerMessages - messagesBefore;
    fleet.run(SETTLE_MS);
    return {
        ...fleet.verdict(),
        keyValueCalls: loadCalls,
        keyValueWrites: loadWrites,
        peerMessages: loadMessages,
        seconds: scenario.loadMs / 1000,
        strandedLimit: strandedTokenLimits.get(fleet) ?? 0,
    };
}

function addLoad(fleet: FakeFleet, scenario: Scenario): void {
    const accounts = ["large", "large", "middle", "small"];
    const count = scenario.rate * scenario.loadMs / 1000;
    for (let index = 0; index < count; index++) {
        const account = accounts[index % accounts.length]!;
        fleet.at(index * 1000 / scenario.rate, () => sendRequest(fleet, scenario, account, index));
    }
}

function sendRequest(fleet: FakeFleet, scenario: Scenario, account: string, index: number): void {
    if (index % REQUESTS_PER_ACTION === 0 && scenario.actions) {
        fleet.sendAction(account);
        return;
    }
    if (index % REQUESTS_PER_LOOKUP === 0) {
        const target = { kind: "service", service: "s", operation: "look" } as const;
        fleet.send({ account, target, idempotent: true, chunks: 1, outputTokens: 0 });
        return;
    }
    fleet.send({ account, outputTokens: 10 + index % 50 });
}
