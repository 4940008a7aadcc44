import { collectFiles, publish, RouterCalls } from "@gooseberrybend/cli";
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
import { Processes } from "../demo/processes.js";
import type { KeyValueCounts } from "../key-value/key-value-server.js";

/** Control cost of one idle router process, with a number of them running. */
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
const SETTLE_MS = 6_000;
const MEASURE_MS = 10_000;
const STATUS_STEP_MS = 50;

const { values } = parseArgs({
    options: { routers: { type: "string", default: "2,4,7,20,40" }, json: { type: "boolean", default: false } },
});
const fleets: FleetFigures[] = [];
for (const routers of values.routers.split(",").map(Number)) {
    fleets.push(await measureFleet(routers));
}
const figures = { machine: `${cpus().length} cores, Node.js ${process.version}`, fleets, ledger: ledgerBytes() };
process.stdout.write(values.json ? `${JSON.stringify(figures)}\n` : `${JSON.stringify(figures, undefined, 4)}\n`);
process.exit();

async function measureFleet(count: number): Promise<FleetFigures> {
    const processes = new Processes();
    try {
        const keyValue = processes.start("key-value", KEY_VALUE_PORT, "../key-value/main.js", [
            "--port",
            String(KEY_VALUE_PORT),
        ]);
        await processes.ready(keyValue, "/counts");
        const addresses = Array.from(
            { length: count },
            (unused, index) => `http://127.0.0.1:${FIRST_ROUTER_PORT + index}`,
        );
        for (let index = 0; index < count; index++) {
            const router = processes.startRouter(
                `router-${index}`,
                FIRST_ROUTER_PORT + index,
                settingsOf(addresses, index),
            );
            await processes.ready(router, "/health");
        }
        await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
        return await measure(processes, addresses);
    }
    finally {
        await processes.endAll();
    }
}

function settingsOf(addresses: readonly string[], index: number): object {
    return {
        listen: { port: FIRST_ROUTER_PORT + index },
        domain: `r${index % 3}/d${index % 9}`,
        platform: { keyValue: `http://127.0.0.1:${KEY_VALUE_PORT}` },
        peers: addresses.filter((unused, other) => other !== index),
        log: { level: "error", format: "json" },
    };
}

async function measure(processes: Processes, addresses: readonly string[]): Promise<FleetFigures> {
    const calls = new RouterCalls(undefined);
    const before = (await calls.status(addresses)).flatMap((status) => status.report ?? []);
    const callsBefore = await keyValueCalls();
    await new Promise((resolve) => setTimeout(resolve, MEASURE_MS));
    const after = (await calls.status(addresses)).flatMap((status) => status.report ?? []);
    const callsAfter = await keyValueCalls();
    const secondsToForce = await timePublication(processes, calls, addresses);
    await calls.close();
    const mean = (read: (index: number) => number): number =>
        after.reduce((sum, unused, index) => sum + read(index), 0) / after.length;
    const round = (value: number): number => Math.round(value * 100) / 100;
    return {
        routers: addresses.length,
        corePercent: round(
            mean((index) => (after[index]!.processorMs - before[index]!.processorMs) / MEASURE_MS * 100),
        ),
        residentMegabytes: round(mean((index) => after[index]!.memoryBytes / 1e6)),
        peerKilobytesPerSecond: round(
            mean((index) => (after[index]!.peerBytes - before[index]!.peerBytes) / MEASURE_MS),
        ),
        keyValueCallsPerSecondEach: round((callsAfter - callsBefore) / addresses.length / (MEASURE_MS / 1000)),
        secondsToForce: round(secondsToForce),
    };
}

async function keyValueCalls(): Promise<number> {
    const response = await request(`http://127.0.0.1:${KEY_VALUE_PORT}/counts`);
    const counts = await response.body.json() as KeyValueCounts;
    return counts.reads + counts.writes;
}

async function timePublication(
    processes: Processes,
    calls: RouterCalls,
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
        const statuses = await calls.status(addresses);
        if (statuses.every((status) => (status.report?.configurationVersion ?? 0) >= version)) {
            return (Date.now() - startedAt) / 1000;
        }
        await new Promise((resolve) => setTimeout(resolve, STATUS_STEP_MS));
    }
}

// Bytes of a record, by what it holds.
function ledgerBytes(): object {
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
        const held = Object.keys(record.budgets).map((budget) => [budget, { allowance: 123_456 }]);
        record.holders[`incarnation-${index}` as Incarnation] = {
            operation: `incarnation-${index}.12345` as OperationId,
            at: Date.now(),
            witnesses: ["incarnation-8", "incarnation-9"] as Incarnation[],
            epoch: 12_345,
            budgets: Object.fromEntries(held),
        };
    }
    for (let index = 0; index < bills; index++) {
        record.bills[index.toString().padStart(16, "0") as KeyDigest] = { tokens: 1_234, at: Date.now() };
    }
    return formatRecord(record).length;
}
