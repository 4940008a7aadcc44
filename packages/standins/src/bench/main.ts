import { collectFiles, OperatorClient, publish } from "@gooseberrybend/cli";
import { EtcdStore } from "@gooseberrybend/router";
import { build, type Histogram } from "hdr-histogram-js";
import { createHash } from "node:crypto";
import { mkdirSync, writeFileSync } from "node:fs";
import { cpus } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { Agent, request } from "undici";
import { ProcessManager } from "../demo/processes.js";
import { measureAdmission } from "./admission.js";

const PORTS = { keyValue: 22_101, engines: [22_201, 22_202, 22_203], router: 22_001 };
const CREDENTIAL = "bench-credential";
const LATENCY_CALLS = 400;
const THROUGHPUT_SECONDS = 10;
const REQUESTS_PER_SECOND = 300;
const TOKENS_PER_REQUEST = 165;
const PROMPTS = ["hello", "hallo", "salut", "ahoj!", "czesc", "sveik"];

const { values } = parseArgs({ options: { json: { type: "boolean", default: false } } });
const processes = new ProcessManager();
const agent = new Agent({ connections: 2_000 });
let nextPrompt = 0;
process.exitCode = await runBenchmark();
process.exit();

async function runBenchmark(): Promise<number> {
    try {
        const admission = [2_800, 28_000].map(measureAdmission);
        await startProcesses();
        const direct = await measureLatency(PORTS.engines[0]!);
        const routed = await measureLatency(PORTS.router);
        const throughput = await measureThroughput();
        const figures = {
            machine: machine(),
            admissionMicroseconds: admission,
            firstTokenMs: { direct, routed },
            throughput,
        };
        process.stdout.write(
            values.json ? `${JSON.stringify(figures)}\n` : `${JSON.stringify(figures, undefined, 4)}\n`,
        );
        return 0;
    }
    finally {
        await processes.killAll();
    }
}

async function startProcesses(): Promise<void> {
    const keyValue = processes.start("key-value", PORTS.keyValue, "../key-value/main.js", [
        "--port",
        String(PORTS.keyValue),
    ]);
    const engines = PORTS.engines.map((port) =>
        processes.start("engine", port, "../model-engine/main.js", engineOptions(port))
    );
    await processes.waitUntilReady(keyValue, "/counts");
    await Promise.all(engines.map((engine) => processes.waitUntilReady(engine, "/load")));
    const router = processes.startRouter("router", PORTS.router, {
        listen: { port: PORTS.router },
        domain: "r/a",
        platform: { keyValue: `http://127.0.0.1:${PORTS.keyValue}` },
        log: { level: "error", format: "json" },
    });
    await processes.waitUntilReady(router, "/health");
    await publishDeclaration();
}

function engineOptions(port: number): string[] {
    return ["--port", String(port), "--slots", "250", "--first-token-ms", "10", "--token-ms", "10"];
}

async function publishDeclaration(): Promise<void> {
    const folder = join(processes.folder, "bench");
    mkdirSync(folder);
    const digest = createHash("sha256").update(CREDENTIAL).digest("hex");
    const declaration = {
        accounts: [{ id: "bench", credentialDigests: [digest] }],
        budgets: [{ account: "bench", id: "main", initialTokens: 1e11 }],
        endpoints: PORTS.engines.map((port) => ({
            id: `engine-${port}`,
            kind: "model",
            address: `http://127.0.0.1:${port}`,
            domain: "r/a",
            serves: ["m"],
            slots: 250,
        })),
    };
    writeFileSync(join(folder, "gooseberrybend.jsonc"), JSON.stringify(declaration));
    const store = new EtcdStore(`http://127.0.0.1:${PORTS.keyValue}`, 1_000);
    const files = collectFiles([folder])._unsafeUnwrap();
    await publish(store, { files, by: "bench", base: undefined, dryRun: false, now: Date.now() });
    await new Promise((resolve) => setTimeout(resolve, 3_000));
}

async function measureLatency(port: number): Promise<{ median: number; p95: number; }> {
    const histogram = build({ highestTrackableValue: 10_000_000 });
    for (let index = 0; index < LATENCY_CALLS; index++) {
        await callOnce(port, 4, histogram);
    }
    return { median: histogram.getValueAtPercentile(50) / 1000, p95: histogram.getValueAtPercentile(95) / 1000 };
}

async function callOnce(port: number, tokens: number, firstToken: Histogram): Promise<number> {
    const startedAt = process.hrtime.bigint();
    const response = await request(`http://127.0.0.1:${port}/v1/chat/completions`, {
        method: "POST",
        dispatcher: agent,
        headers: { "authorization": `Bearer ${CREDENTIAL}`, "content-type": "application/json" },
        body: JSON.stringify({
            model: "m",
            messages: [{ role: "user", content: PROMPTS[nextPrompt++ % PROMPTS.length] }],
            max_tokens: tokens,
            stream: true,
        }),
    });
    let chunks = 0;
    for await (const data of response.body) {
        const chunksInData = String(data).split("\ndata: {").length - 1;
        if (chunks === 0 && chunksInData > 0) {
            firstToken.recordValue(Number(process.hrtime.bigint() - startedAt) / 1_000);
        }
        chunks += chunksInData;
    }
    return chunks;
}

async function measureThroughput(): Promise<object> {
    const operatorClient = new OperatorClient(undefined);
    const address = `http://127.0.0.1:${PORTS.router}`;
    const firstToken = build({ highestTrackableValue: 100_000_000 });
    const before = (await operatorClient.status([address]))[0]!.report!;
    const startedAt = Date.now();
    const running: Promise<number | undefined>[] = [];
    const total = REQUESTS_PER_SECOND * THROUGHPUT_SECONDS;
    for (let index = 0; index < total; index++) {
        const dueAt = startedAt + index * 1_000 / REQUESTS_PER_SECOND;
        if (dueAt > Date.now()) {
            await new Promise((resolve) => setTimeout(resolve, dueAt - Date.now()));
        }
        running.push(callOnce(PORTS.router, TOKENS_PER_REQUEST, firstToken).catch(() => undefined));
    }
    const after = (await operatorClient.status([address]))[0]!.report!;
    const chunkCounts = (await Promise.all(running)).filter((chunks) => chunks !== undefined);
    const chunks = chunkCounts.reduce((sum, count) => sum + count, 0);
    const seconds = (Date.now() - startedAt) / 1000;
    await operatorClient.close();
    return {
        requestsPerSecond: Math.round(chunkCounts.length / seconds),
        lostCalls: total - chunkCounts.length,
        chunksPerSecond: Math.round(chunks / seconds),
        firstTokenMs: {
            median: firstToken.getValueAtPercentile(50) / 1000,
            p95: firstToken.getValueAtPercentile(95) / 1000,
        },
        routerCores: (after.processorMs - before.processorMs) / (THROUGHPUT_SECONDS * 1000),
        routerMegabytes: Math.round(after.memoryBytes / 1e6),
    };
}

function machine(): string {
    return `${cpus().length} cores, Node.js ${process.version}`;
}
