import { collectFiles, OperatorClient, publish } from "@gooseberrybend/cli";
import {
    applyTopUp,
    type BudgetId,
    emptyRecord,
    formatRecord,
    type Incarnation,
    type KeyDigest,
    type OperationId,
} from "@gooseberrybend/core";
import { EtcdStore } from "@gooseberrybend/router";
import { createHash } from "node:crypto";
import { mkdirSync, writeFileSync } from "node:fs";
import { cpus } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { request } from "undici";
import { ProcessManager } from "../demo/processes.js";
import type { KeyValueCounts } from "../key-value/key-value-server.js";

/** Mean cost of one idle router in a fleet of the given size, and the time in s until a publication is in force. */
type FleetFigures = {
    readonly routers: number;
    readonly corePercent: number;
    readonly residentMegabytes: number;
    readonly peerKilobytesPerSecond: number;
    readonly keyValueCallsPerSecondEach: number;
    readonly secondsToForce: number;
};

const KEY_VALUE_PORT = 25_101;
const FIRST_ROUTER_PORT = 25_201;
const SETTLE_DELAY_MS = 6_000;
const MEASUREMENT_MS = 10_000;
const STATUS_POLL_INTERVAL_MS = 50;

const { values } = parseArgs({
    options: { routers: { type: "string", default: "2,4,7,20,40" }, json: { type: "boolean", default: false } },
});
const fleets: FleetFigures[] = [];
for (const routers of values.routers.split(",").map(Number)) {
    fleets.push(await measureFleet(routers));
}
const figures = { machine: `${cpus().length} cores, Node.js ${process.version}`, fleets, ledger: measureLedgerBytes() };
process.stdout.write(values.json ? `${JSON.stringify(figures)}\n` : `${JSON.stringify(figures, undefined, 4)}\n`);
process.exit();

async function measureFleet(count: number): Promise<FleetFigures> {
    const processes = new ProcessManager();
    try {
        const keyValue = processes.start("key-value", KEY_VALUE_PORT, "../key-value/main.js", [
            "--port",
            String(KEY_VALUE_PORT),
        ]);
        await processes.waitUntilReady(keyValue, "/counts");
        const addresses = Array.from(
            { length: count },
            (unused, index) => `http://127.0.0.1:${FIRST_ROUTER_PORT + index}`,
        );
        for (let index = 0; index < count; index++) {
            const router = processes.startRouter(
                `router-${index}`,
                FIRST_ROUTER_PORT + index,
                routerSettings(addresses, index),
            );
            await processes.waitUntilReady(router, "/health");
        }
        await new Promise((resolve) => setTimeout(resolve, SETTLE_DELAY_MS));
        return await measureIdleCost(processes, addresses);
    }
    finally {
        await processes.killAll();
    }
}

function routerSettings(addresses: readonly string[], index: number): object {
    return {
        listen: { port: FIRST_ROUTER_PORT + index },
        domain: `r${index % 3}/d${index % 9}`,
        platform: { keyValue: `http://127.0.0.1:${KEY_VALUE_PORT}` },
        peers: addresses.filter((unused, other) => other !== index),
        log: { level: "error", format: "json" },
    };
}

async function measureIdleCost(processes: ProcessManager, addresses: readonly string[]): Promise<FleetFigures> {
    const operatorClient = new OperatorClient(undefined);
    const before = (await operatorClient.status(addresses)).flatMap((status) => status.report ?? []);
    const callsBefore = await countKeyValueCalls();
    await new Promise((resolve) => setTimeout(resolve, MEASUREMENT_MS));
    const after = (await operatorClient.status(addresses)).flatMap((status) => status.report ?? []);
    const callsAfter = await countKeyValueCalls();
    const secondsToForce = await measurePublicationSeconds(processes, operatorClient, addresses);
    await operatorClient.close();
    const mean = (valueAt: (index: number) => number): number =>
        after.reduce((sum, unused, index) => sum + valueAt(index), 0) / after.length;
    const round = (value: number): number => Math.round(value * 100) / 100;
    return {
        routers: addresses.length,
        corePercent: round(
            mean((index) => (after[index]!.processorMs - before[index]!.processorMs) / MEASUREMENT_MS * 100),
        ),
        residentMegabytes: round(mean((index) => after[index]!.memoryBytes / 1e6)),
        peerKilobytesPerSecond: round(
            mean((index) => (after[index]!.peerBytes - before[index]!.peerBytes) / MEASUREMENT_MS),
        ),
        keyValueCallsPerSecondEach: round((callsAfter - callsBefore) / addresses.length / (MEASUREMENT_MS / 1000)),
        secondsToForce: round(secondsToForce),
    };
}

async function countKeyValueCalls(): Promise<number> {
    const response = await request(`http://127.0.0.1:${KEY_VALUE_PORT}/counts`);
    const counts = await response.body.json() as KeyValueCounts;
    return counts.reads + counts.writes;
}

async function measurePublicationSeconds(
    processes: ProcessManager,
    operatorClient: OperatorClient,
    addresses: readonly string[],
): Promise<number> {
    const folder = join(processes.folder, "capacity");
    mkdirSync(folder);
    const digest = createHash("sha256").update("capacity").digest("hex");
    const declaration = {
        accounts: [{ id: "a", credentialDigests: [digest] }],
        budgets: [{ account: "a", id: "main" }],
    };
    writeFileSync(join(folder, "gooseberrybend.jsonc"), JSON.stringify(declaration));
    const store = new EtcdStore(`http://127.0.0.1:${KEY_VALUE_PORT}`, 1_000);
    const files = collectFiles([folder])._unsafeUnwrap();
    const startedAt = Date.now();
    const report = await publish(store, { files, by: "capacity", base: undefined, dryRun: false, now: Date.now() });
    const { version } = report._unsafeUnwrap();
    for (;;) {
        const statuses = await operatorClient.status(addresses);
        if (statuses.every((status) => (status.report?.configurationVersion ?? 0) >= version)) {
            return (Date.now() - startedAt) / 1000;
        }
        await new Promise((resolve) => setTimeout(resolve, STATUS_POLL_INTERVAL_MS));
    }
}

// Size in bytes of an empty and a typical ledger record, and what each budget, holding and bill adds.
function measureLedgerBytes(): object {
    const empty = recordBytes(0, 0, 0);
    return {
        empty,
        perBudget: (recordBytes(43, 0, 0) - empty) / 43,
        perHolderAndBudget: (recordBytes(43, 2, 0) - recordBytes(43, 0, 0)) / 86,
        perBill: (recordBytes(1, 0, 128) - recordBytes(1, 0, 0)) / 128,
        typicalAccount: recordBytes(43, 2, 64),
    };
}

function recordBytes(budgets: number, holders: number, bills: number): number {
    const record = emptyRecord();
    for (let index = 0; index < budgets; index++) {
        applyTopUp(record, `initial/budget-${index}`, {
            budget: `budget-${index}` as BudgetId,
            tokens: 1_000_000,
            at: Date.now(),
        });
    }
    for (let index = 0; index < holders; index++) {
        const holdings = Object.keys(record.budgets).map((budget) => [budget, { allowance: 123_456 }]);
        record.holders[`incarnation-${index}` as Incarnation] = {
            operation: `incarnation-${index}.12345` as OperationId,
            at: Date.now(),
            witnesses: ["incarnation-8", "incarnation-9"] as Incarnation[],
            epoch: 12_345,
            budgets: Object.fromEntries(holdings),
        };
    }
    for (let index = 0; index < bills; index++) {
        record.bills[index.toString().padStart(16, "0") as KeyDigest] = { tokens: 1_234, at: Date.now() };
    }
    return formatRecord(record).length;
}
