import { collectFiles, OperatorClient, publish, readBills, readLedger, topUp } from "@gooseberrybend/cli";
import { GooseberrybendClient } from "@gooseberrybend/client";
import {
    type Bill,
    type BudgetId,
    type Holder,
    holderIncarnation,
    type Incarnation,
    type KeyDigest,
    type LedgerRecord,
} from "@gooseberrybend/core";
import { EtcdStore } from "@gooseberrybend/router";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { request } from "undici";
import { type LoadAccount, LoadGenerator } from "../load/load-generator.js";
import type { EngineCounts } from "../model-engine/engine.js";
import type { ServiceCounts } from "../plain-service/service.js";
import { TcpProxy } from "../tcp-proxy/tcp-proxy.js";
import { ProcessManager, type RunningProcess } from "./processes.js";
import {
    ALLOWED_CRASHES,
    checkRun,
    describeViolations,
    type RunObservations,
    type RunVerdict,
    safetyFigures,
} from "./verdict.js";

const KEY_VALUE_PORT = 21_101;
const ROUTER_PORTS = [21_001, 21_002, 21_003, 21_004];
const ENGINE_PORTS = [21_211, 21_212, 21_213];
const ENGINE_PROXY_PORTS = [21_201, 21_202, 21_203];
const SERVICE_PORTS = [21_301, 21_302];
const DOMAINS = ["pl-south/a", "pl-south/b", "pl-south/c", "pl-south/d"];
const OUTAGE_TOP_UP_TOKENS = 50_000;
const SETTLE_TIMEOUT_MS = 12_000;
const POISON_REQUEST_KEY = "a-request-that-crashes-engines";

const accounts: readonly LoadAccount[] = [
    createLoadAccount("press-floor", "die-assistant", "library", "/profiles/P100", "/dies/D7/withdrawal", 10),
    createLoadAccount("die-shop", "die-assistant", "library", "/profiles/P200", "/dies/D8/nitriding", 6),
    createLoadAccount("planning", "die-assistant", "library", "/profiles/P300", "/dies/D9/withdrawal", 3),
    createLoadAccount("examiners", "assessor", "booking", "/candidates/C1", "/certificates", 8),
    createLoadAccount("candidates", "assessor", "booking", "/candidates/C2", "/slots/S1", 5),
];

const callCosts = {
    lookup: { "press-floor": 2, "die-shop": 2, "planning": 2, "examiners": 2, "candidates": 2 },
    action: { "press-floor": 5, "die-shop": 5, "planning": 5, "examiners": 8, "candidates": 5 },
};

const { values } = parseArgs({
    options: {
        json: { type: "boolean", default: false },
        seed: { type: "string", default: "1" },
        short: { type: "boolean", default: false },
    },
});
const startedAt = Date.now();
let crashes = 0;
const processes = new ProcessManager();
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => void processes.killAll().finally(() => process.exit(1)));
}
process.exitCode = await runDemo();
process.exit();

async function runDemo(): Promise<number> {
    try {
        const verdict = await runScenario();
        printVerdict(verdict);
        return safetyFigures.some((name) => verdict[name] > 0) ? 1 : 0;
    }
    finally {
        await processes.killAll();
    }
}

async function runScenario(): Promise<RunVerdict> {
    const keyValue = processes.start("key-value", KEY_VALUE_PORT, "../key-value/main.js", [
        "--port",
        String(KEY_VALUE_PORT),
        "--seed",
        values.seed,
    ]);
    const engines = ENGINE_PORTS.map((port, index) =>
        processes.start(`runner-${index + 1}`, port, "../model-engine/main.js", [
            "--port",
            String(port),
            "--slots",
            "24",
        ])
    );
    const services = SERVICE_PORTS.map((port, index) =>
        processes.start(`records-${index + 1}`, port, "../plain-service/main.js", ["--port", String(port)])
    );
    const engineProxies = ENGINE_PORTS.map((port) => new TcpProxy(port));
    await Promise.all(engineProxies.map((proxy, index) => proxy.listen(ENGINE_PROXY_PORTS[index]!)));
    await processes.waitUntilReady(keyValue, "/counts");
    const routers = ROUTER_PORTS.map((port, index) =>
        processes.startRouter(`router-${index + 1}`, port, routerSettings(index))
    );
    await Promise.all([...engines, ...services].map((running) => processes.waitUntilReady(running, "/load")));
    await Promise.all(routers.map((running) => processes.waitUntilReady(running, "/health")));
    printProgress("Stand-ins and 4 routers are running.");
    const store = new EtcdStore(`http://127.0.0.1:${KEY_VALUE_PORT}`, 1_000);
    await publishExamples(store);
    await waitForConfigurationAfter(routers, 1);
    let drainingRouter: string | undefined;
    const cutRequestKeys: string[] = [];
    const load = new LoadGenerator({
        routers: ROUTER_PORTS.map((port) => `http://127.0.0.1:${port}`),
        accounts,
        maxTokens: 64,
        meanPauseMs: 60,
        modelShare: 0.6,
        actionShare: 0.15,
        timeoutMs: 20_000,
        seed: Number(values.seed) * 1_000,
        onLost(router, key) {
            if (router === drainingRouter) {
                cutRequestKeys.push(key);
                printProgress("A request was cut at the draining router.");
            }
        },
    });
    load.start();
    printProgress("Load has started.");
    const pendingActions: Promise<unknown>[] = [];
    const timeline: [number, string, () => void | Promise<void>][] = [
        [3, "Router 1 is killed with streams open.", () => void routers[0]!.process.kill("SIGKILL")],
        [5, "Router 2 is suspended for longer than its lease.", () => void routers[1]!.process.kill("SIGSTOP")],
        [7, "The key-value service becomes unavailable; a top-up starts.", () => {
            pendingActions.push(setFaults(keyValue, { down: true }));
            pendingActions.push(topUpDuringOutage(store));
        }],
        [10, "The link to runner 2 is cut.", () => engineProxies[1]!.setState("cut")],
        [12, "The link to runner 2 is restored.", () => engineProxies[1]!.setState("open")],
        [14, "The key-value service is available again, and loses some replies.", () => {
            pendingActions.push(setFaults(keyValue, { down: false, lostReplies: 0.1 }));
        }],
        [16, "Open connections to runner 1 stop delivering data.", () => engineProxies[0]!.setState("silent")],
        [18, "Router 2 resumes.", () => void routers[1]!.process.kill("SIGCONT")],
        [19, "Router 1 is replaced.", () => {
            routers[0]!.process = routers[0]!.start();
        }],
        [
            20,
            "Runner 3 announces that it leaves.",
            () => void pendingActions.push(setFaults(engines[2]!, { leaving: true })),
        ],
        [22, "Router 3 drains with streams open.", () => {
            drainingRouter = `http://127.0.0.1:${ROUTER_PORTS[2]}`;
            routers[2]!.process.kill("SIGTERM");
        }],
        [24, "A request that crashes engines is sent.", () => {
            pendingActions.push(sendPoisonRequest());
            engines.forEach(replaceOnCrash);
        }],
    ];
    const scenarioStartedAt = Date.now();
    for (const [at, text, action] of timeline) {
        await waitUntil(scenarioStartedAt + at * 1_000);
        printProgress(text);
        await action();
    }
    await waitUntil(scenarioStartedAt + (values.short ? 27_000 : 31_000));
    await load.stop();
    await Promise.all(pendingActions);
    await setFaults(keyValue, { lostReplies: 0 });
    printProgress("Load has ended; waiting for the routers to settle.");
    const liveRouters = await waitUntilSettled(
        store,
        load.records.filter((record) => record.result === "whole").length,
    );
    const ledger = (await readLedger(store))._unsafeUnwrap();
    const bills = await readAllBills(store, ledger);
    const observations: RunObservations = {
        records: load.records,
        engines: await collectCounts<EngineCounts>(engines),
        services: await collectCounts<ServiceCounts>(services),
        ledger,
        bills,
        liveRouters,
        cutByDrain: cutRequestKeys.length + countUnfinishedDrains(routers[2]!),
        crashes,
        callCosts,
    };
    engineProxies.forEach((proxy) => proxy.close());
    printLoadSummary(load);
    printStrandedHoldings(ledger, liveRouters);
    describeViolations(observations).forEach(printProgress);
    await printTraces(crashes > ALLOWED_CRASHES ? [POISON_REQUEST_KEY, ...cutRequestKeys] : cutRequestKeys);
    return checkRun(observations);
}

function createLoadAccount(
    account: string,
    model: string,
    service: string,
    lookupPath: string,
    actionPath: string,
    callers: number,
): LoadAccount {
    return { account, credential: `${account}-demo-credential`, model, service, lookupPath, actionPath, callers };
}

function routerSettings(index: number): object {
    const port = ROUTER_PORTS[index]!;
    return {
        listen: { address: "127.0.0.1", port },
        domain: DOMAINS[index],
        platform: { keyValue: `http://127.0.0.1:${KEY_VALUE_PORT}` },
        peers: ROUTER_PORTS.filter((other) => other !== port).map((other) => `http://127.0.0.1:${other}`),
        timeouts: { keyValueMs: 500, connectMs: 500 },
        log: { level: "warn", format: "json" },
        policy: { addressLifetimeMs: 2_000, progressTimeoutMs: 3_000 },
    };
}

async function publishExamples(store: EtcdStore): Promise<void> {
    const folder = (name: string): string => fileURLToPath(new URL(`../../../../examples/${name}`, import.meta.url));
    for (const name of ["wyciskarnia-kodu", "meistars"]) {
        const files = collectFiles([folder(name)])._unsafeUnwrap();
        const published = await publish(store, { files, by: "demo", base: undefined, dryRun: false, now: Date.now() });
        printProgress(`Published ${name}: version ${published._unsafeUnwrap().version}.`);
    }
}

async function waitForConfigurationAfter(routers: readonly RunningProcess[], version: number): Promise<void> {
    const operatorClient = new OperatorClient(undefined);
    const addresses = routers.map((router) => `http://127.0.0.1:${router.port}`);
    for (let tries = 0; tries < 100; tries++) {
        const statuses = await operatorClient.status(addresses);
        if (statuses.every((status) => (status.report?.configurationVersion ?? 0) > version)) {
            printProgress("The configuration is in force at all routers.");
            break;
        }
        await new Promise((resolve) => setTimeout(resolve, 100));
    }
    await operatorClient.close();
}

async function printTraces(keys: readonly string[]): Promise<void> {
    const operatorClient = new OperatorClient(undefined);
    for (const key of keys) {
        for (const trace of await operatorClient.explain(ROUTER_PORTS.map((port) => `http://127.0.0.1:${port}`), key)) {
            const seconds = ((trace.at - startedAt) / 1000).toFixed(2);
            printProgress(
                `${key} at ${seconds} s, ${trace.router}: ${trace.decision} ${JSON.stringify(trace.figures)}`,
            );
        }
    }
    await operatorClient.close();
}

function countUnfinishedDrains(router: RunningProcess): number {
    if (router.exitCode === 0) {
        return 0;
    }
    printProgress(
        `${router.name} did not complete its drain: ${
            router.exitCode === undefined ? "no exit code" : router.exitCode
        }.`,
    );
    return 1;
}

async function setFaults(running: RunningProcess, faults: object): Promise<void> {
    const response = await request(`http://127.0.0.1:${running.port}/faults`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(faults),
    });
    await response.body.dump();
}

async function topUpDuringOutage(store: EtcdStore): Promise<void> {
    const change = { budget: "main" as BudgetId, tokens: OUTAGE_TOP_UP_TOKENS, at: Date.now() };
    for (let tries = 0; tries < 20; tries++) {
        const result = await topUp(store, "planning", "outage-top-up", change);
        if (result.isOk()) {
            printProgress(`Topped up planning by ${OUTAGE_TOP_UP_TOKENS} tokens.`);
            return;
        }
    }
}

async function sendPoisonRequest(): Promise<void> {
    const client = new GooseberrybendClient({
        routers: [`http://127.0.0.1:${ROUTER_PORTS[3]}`],
        credential: "die-shop-demo-credential",
        timeoutMs: 12_000,
    });
    const messages = [{ role: "user", content: "crash the engine" }];
    const result = await client.complete({ model: "die-assistant", messages, maxTokens: 16, key: POISON_REQUEST_KEY });
    printProgress(
        result.isErr()
            ? `The crashing request was refused: ${result.error.reason}, ${result.error.outcome}.`
            : "The crashing request was answered.",
    );
    await client.close();
}

// Stands in for the platform, which replaces a crashed engine, and its replacement if that crashes too.
function replaceOnCrash(engine: RunningProcess): void {
    engine.process.on("exit", () => {
        crashes++;
        printProgress(`${engine.name} crashed and is replaced.`);
        engine.process = engine.start();
        replaceOnCrash(engine);
    });
}

async function waitUntilSettled(store: EtcdStore, answerCount: number): Promise<Set<string>> {
    const deadline = Date.now() + SETTLE_TIMEOUT_MS;
    const operatorClient = new OperatorClient(undefined);
    const liveRouters = new Set<string>();
    while (Date.now() < deadline) {
        const statuses = await operatorClient.status(ROUTER_PORTS.map((port) => `http://127.0.0.1:${port}`));
        const reports = statuses.flatMap((status) => status.report ?? []);
        reports.forEach((entry) => liveRouters.add(entry.incarnation));
        const unsettled = reports.flatMap((entry) => entry.budgets).reduce(
            (sum, row) => sum + row.unsettled + row.reserved,
            0,
        );
        const ledger = (await readLedger(store)).unwrapOr(new Map());
        const counts = [...(await readAllBills(store, ledger)).values()].map((entries) => entries.size);
        const bills = counts.reduce((sum, count) => sum + count, 0);
        if (unsettled === 0 && bills >= answerCount) {
            break;
        }
        await new Promise((resolve) => setTimeout(resolve, 300));
    }
    await operatorClient.close();
    return liveRouters;
}

async function readAllBills(
    store: EtcdStore,
    ledger: ReadonlyMap<string, LedgerRecord>,
): Promise<Map<string, ReadonlyMap<KeyDigest, Bill>>> {
    const bills = new Map<string, ReadonlyMap<KeyDigest, Bill>>();
    for (const [account, record] of ledger) {
        bills.set(account, (await readBills(store, account, record))._unsafeUnwrap());
    }
    return bills;
}

async function collectCounts<Counts>(running: readonly RunningProcess[]): Promise<Counts[]> {
    const counts: Counts[] = [];
    for (const entry of running) {
        counts.push(...entry.messages as Counts[]);
        await processes.waitUntilReady(entry, "/counts");
        const response = await request(`http://127.0.0.1:${entry.port}/counts`);
        counts.push(await response.body.json() as Counts);
    }
    return counts;
}

async function waitUntil(time: number): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, time - Date.now())));
}

function printLoadSummary(load: LoadGenerator): void {
    const reasons = new Map<string, number>();
    for (const record of load.records) {
        if (record.failure !== undefined) {
            const name = `${record.kind} ${record.failure.reason ?? record.failure.kind} ${record.failure.outcome}`;
            reasons.set(name, (reasons.get(name) ?? 0) + 1);
        }
    }
    for (const [name, count] of reasons) {
        printProgress(`Refused: ${name}: ${count}`);
    }
    printProgress(
        `First chunk, ms: median ${load.firstChunk.getValueAtPercentile(50)}, 95%: ${
            load.firstChunk.getValueAtPercentile(95)
        }`,
    );
}

function printStrandedHoldings(ledger: ReadonlyMap<string, LedgerRecord>, liveRouters: ReadonlySet<string>): void {
    for (const [account, record] of ledger) {
        for (const [router, holder] of Object.entries<Holder>(record.holders)) {
            if (!liveRouters.has(holderIncarnation(router as Incarnation)) && Object.keys(holder.budgets).length > 0) {
                const witnesses = holder.witnesses.map((witness) => liveRouters.has(witness) ? "live" : "gone").join(
                    ", ",
                );
                printProgress(
                    `Stranded tokens: ${account}: ${JSON.stringify(holder.budgets)}, witnesses: ${witnesses}`,
                );
            }
        }
    }
}

function printVerdict(verdict: RunVerdict): void {
    if (values.json) {
        process.stdout.write(`${JSON.stringify(verdict)}\n`);
        return;
    }
    for (const [name, value] of Object.entries(verdict)) {
        process.stdout.write(`${name.padEnd(24)}${value}\n`);
    }
}

function printProgress(text: string): void {
    const seconds = ((Date.now() - startedAt) / 1000).toFixed(1).padStart(5);
    process.stdout.write(`${seconds} s  ${text}\n`);
}
