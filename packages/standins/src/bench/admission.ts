import {
    adoptSnapshot,
    type Arrival,
    brand,
    type CallId,
    createWorld,
    type Effect,
    type FailureDomain,
    type Incarnation,
    type Message,
    tick,
    type World,
} from "@gooseberrybend/core";

/** Duration of one admission decision in microseconds. */
export type AdmissionFigures = { readonly budgets: number; readonly median: number; readonly p99: number; };

const ACCOUNTS = 650;
const ENDPOINTS = 24;
const MEASURED_DECISIONS = 20_000;
const WARM_UP_DECISIONS = 4_000;

/** Times `tick` from the arrival of a request to its dispatch, with the given number of budgets in the state tables. */
export function measureAdmission(budgets: number): AdmissionFigures {
    const world = createWorld({
        self: {
            incarnation: brand<Incarnation>("self"),
            address: "http://10.0.0.1:7000",
            domain: brand<FailureDomain>("r/a"),
        },
        seed: 1,
        now: 0,
    });
    const perAccount = Math.ceil(budgets / ACCOUNTS);
    adoptSnapshot(world, { version: 1, files: { all: declaration(perAccount) } });
    failKeyValueReads(world, tick(world, 1, []));
    fillTables(world, perAccount);
    const times: number[] = [];
    for (let index = 0; index < WARM_UP_DECISIONS + MEASURED_DECISIONS; index++) {
        const message: Message = { kind: "request-arrived", arrival: arrivalOf(index, perAccount) };
        const startedAt = process.hrtime.bigint();
        const effects = tick(world, 1_000, [message]);
        const elapsed = Number(process.hrtime.bigint() - startedAt) / 1_000;
        completeDispatches(world, effects);
        if (index >= WARM_UP_DECISIONS) {
            times.push(elapsed);
        }
    }
    times.sort((first, second) => first - second);
    return { budgets, median: times[MEASURED_DECISIONS / 2]!, p99: times[Math.floor(MEASURED_DECISIONS * 0.99)]! };
}

function declaration(perAccount: number): string {
    const accounts = Array.from({ length: ACCOUNTS }, (unused, index) => `account-${index}`);
    return JSON.stringify({
        accounts: accounts.map((id, index) => ({ id, credentialDigests: [index.toString(16).padStart(64, "0")] })),
        budgets: accounts.flatMap((account) =>
            Array.from({ length: perAccount }, (unused, index) => ({ account, id: `budget-${index}` }))
        ),
        endpoints: Array.from({ length: ENDPOINTS }, (unused, index) => ({
            id: `endpoint-${index}`,
            kind: "model",
            address: "http://10.0.1.1:8000",
            domain: "r/a",
            serves: ["m"],
            slots: 10_000,
        })),
    });
}

function arrivalOf(index: number, perAccount: number): Arrival {
    return {
        call: `call-${index}` as CallId,
        account: `account-${index % ACCOUNTS}` as Arrival["account"],
        budget: `budget-${index % perAccount}` as Arrival["budget"],
        key: `key-${index}` as Arrival["key"],
        keyMinted: true,
        attempt: 1,
        notRunThrough: 0,
        deadline: 60_000,
        target: { kind: "model", model: "m", promptTokens: 100, maxTokens: 100, prefix: `prefix-${index % 50}` },
        bodyDigest: `body-${index}` as Arrival["bodyDigest"],
        resume: undefined,
    };
}

// Creates a row with spendable tokens for every budget, as in a router that has been in use.
function fillTables(world: World, perAccount: number): void {
    for (let index = 0; index < ACCOUNTS; index++) {
        for (let budget = 0; budget < perAccount; budget++) {
            const arrival = {
                ...arrivalOf(index, 1),
                call: `fill-${index}-${budget}` as CallId,
                key: `fill-${index}-${budget}` as Arrival["key"],
            };
            const budgetArrival = { ...arrival, budget: `budget-${budget}` as Arrival["budget"] };
            tick(world, 2, [{ kind: "request-arrived", arrival: budgetArrival }]);
        }
        const account = [...world.accounts.values()][index]!;
        account.committedAt = 2;
        for (const row of account.budgets.values()) {
            row.held = 1e9;
        }
    }
    for (const run of [...world.runs.values()]) {
        tick(world, 2, [{ kind: "caller-gone", call: run.arrival.call }]);
    }
    for (const id of world.configuration.endpoints.keys()) {
        tick(world, 999, [{
            kind: "load-report",
            endpoint: id,
            report: { running: 0, queued: 0, slots: 10_000, leaving: false },
        }]);
    }
}

function failKeyValueReads(world: World, effects: readonly Effect[]): void {
    for (const effect of effects) {
        if (effect.kind === "key-value-get") {
            tick(world, 1, [{ kind: "key-value-reply", call: effect.call, result: { kind: "unavailable" } }]);
        }
    }
}

function completeDispatches(world: World, effects: readonly Effect[]): void {
    for (const effect of effects) {
        if (effect.kind === "dispatch") {
            const { run, dispatch } = effect;
            const end = { chunks: 0, status: 200, usage: { promptTokens: 10, outputTokens: 10 }, contentType: "" };
            tick(world, 1_000, [{ kind: "endpoint-end", run, dispatch, end }]);
        }
    }
}
