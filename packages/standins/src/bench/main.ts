import { collectFiles, publish, RouterCalls } from "@gooseberrybend/cli";
import { EtcdStore } from "@gooseberrybend/router";
import { build, type Histogram } from "hdr-histogram-js";
import { createHash } from "node:crypto";
import { mkdirSync, writeFileSync } from "node:fs";
import { cpus } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { Agent, request } from "undici";
import { Processes } from "../demo/processes.js";
import { measureAdmission } from "./admission.js";

const PORTS = { keyValue: 22_101, engines: [22_201, 22_202, 22_203], router: 22_001 };
const CREDENTIAL = "bench-credential";
const LATENCY_CALLS = 400;
const THROUGHPUT_SECONDS = 10;
const REQUESTS_PER_SECOND = 300;
const TOKENS_PER_REQUEST = 165;
const PROMPTS = ["hello", "hallo", "salut", "ahoj!", "czesc", "sveik"];

const { values } = parseArgs({ options: { json: { type: "boolean", default: false } } });
const processes = new Processes();
const agent = new Agent({ connections: 2_000 });
let next = 0;
process.exitCode = await run();
process.exit();

async function run(): Promise<number> {
    try {
        const admission = [2_800, 28_000].map(measureAdmission);
        await start();
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
        await processes.endAll();
    }
}

async function start(): Promise<void> {
    const keyValue = processes.start("key-value", PORTS.keyValue, "../key-value/main.js", [
        "--port",
        String(PORTS.keyValue),
    ]);
    const engines = PORTS.engines.map((port) =>
        processes.start("engine", port, "../model-engine/main.js", engineOptions(port))
    );
    await processes.ready(keyValue, "/counts");
    await Promise.all(engines.map((engine) => processes.ready(engine, "/load")));
    const router = processes.startRouter("router", PORTS.router, {
        listen: { port: PORTS.router },
        domain: "r/a",
        platform: { keyValue: `http://127.0.0.1:${PORTS.keyValue}` },
        log: { level: "error", format: "json" },
    });
    await processes.ready(router, "/health");
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
            messages: [{ role: "user", content: PROMPTS[next++ % PROMPTS.length] }],
            max_tokens: tokens,
            stream: true,
        }),
    });
    let chunks = 0;
    for await (const piece of response.body) {
        const found = String(piece).split("\ndata: {").length - 1;
        if (chunks === 0 && found > 0) {
            firstToken.recordValue(Number(process.hrtime.bigint() - startedAt) / 1_000);
        }
        chunks += found;
    }
    return chunks;
}

async function measureThroughput(): Promise<object> {
    const calls = new RouterCalls(undefined);
    const address = `http://127.0.0.1:${PORTS.router}`;
    const firstToken = build({ highestTrackableValue: 100_000_000 });
    const before = (await calls.status([address]))[0]!.report!;
    const startedAt = Date.now();
    const running: Promise<number | undefined>[] = [];
    const total = REQUESTS_PER_SECOND * THROUGHPUT_SECONDS;
    for (let index = 0; index < total; index++) {
        const due = startedAt + index * 1_000 / REQUESTS_PER_SECOND;
        if (due > Date.now()) {
            await new Promise((resolve) => setTimeout(resolve, due - Date.now()));
        }
        running.push(callOnce(PORTS.router, TOKENS_PER_REQUEST, firstToken).catch(() => undefined));
    }
    const peak = (await calls.status([address]))[0]!.report!;
    const answers = (await Promise.all(running)).filter((chunks) => chunks !== undefined);
    const chunks = answers.reduce((sum, count) => sum + count, 0);
    const seconds = (Date.now() - startedAt) / 1000;
    await calls.close();
    return {
        requestsPerSecond: Math.round(answers.length / seconds),
        lostCalls: total - answers.length,
        chunksPerSecond: Math.round(chunks / seconds),
        firstTokenMs: {
            median: firstToken.getValueAtPercentile(50) / 1000,
            p95: firstToken.getValueAtPercentile(95) / 1000,
        },
        routerCores: (peak.processorMs - before.processorMs) / (THROUGHPUT_SECONDS * 1000),
        routerMegabytes: Math.round(peak.memoryBytes / 1e6),
    };
}

function machine(): string {
    return `${cpus().length} cores, Node.js ${process.version}`;
}
