// Starts the routers by the command of the deploy file, stand-ins of runners, and the store; ends what it started.
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

export const HOST = "ficu95.example";
export const HEARTBEAT_MS = 1_200;
const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = join(HERE, "..", "..");
const START_MS = 15_000;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const takenPorts = new Set();
/** Below the ports that connections get by themselves; scripts that run side by side begin at different ones. */
const FIRST_PORT = 15_000;
const PORTS = 15_000;
let nextPort = process.pid * 64;

async function canListen(port) {
    const server = createServer();
    const outcome = await new Promise((resolve) => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => resolve(true));
    });
    await new Promise((resolve) => server.close(resolve));
    return outcome;
}

export async function freePort() {
    for (;;) {
        const port = FIRST_PORT + nextPort++ % PORTS;
        if (!takenPorts.has(port) && await canListen(port)) {
            takenPorts.add(port);
            return port;
        }
    }
}

/** Signals that the case can't run. */
export class CannotRun extends Error {}

export class Fleet {
    lines = [];
    routers = [];
    runners = [];
    #children = new Set();
    #folder = mkdtempSync(join(tmpdir(), "review-"));
    #timers = [];
    #startedAt = performance.now();

    constructor(era) {
        this.store = new Store(era);
    }

    /** Adds a line to the record. */
    record(text) {
        this.lines.push(`${((performance.now() - this.#startedAt) / 1_000).toFixed(3)} ${text}`);
    }

    async start(configuration) {
        this.storeAddress = await this.store.start();
        this.store.put("op/config", configuration);
    }

    /** Starts a router by the command of the deploy file, with settings as its template gives them. */
    async startRouter(name, zone) {
        const ports = [];
        for (let index = 0; index < 4; index++) {
            ports.push(await freePort());
        }
        const [front, ready, directory, internal] = ports;
        const at = (port) => `127.0.0.1:${port}`;
        const file = join(this.#folder, `${name}.jsonc`);
        writeFileSync(file, JSON.stringify({
            name,
            domain: zone,
            region: "pl-south",
            zones: { "pl-south-a": "pl-south", "pl-south-b": "pl-south", "pl-south-c": "pl-south" },
            listen: {
                callers: at(front),
                ready: at(ready),
                addresses: at(directory),
                metrics: at(internal),
                peers: at(internal),
            },
            store: { shortestLeaseMs: 1_000, address: this.storeAddress },
            instance: { coreSpeed: 1, memoryMb: 200, maxDescriptors: 4_100, linkMbps: 1_000, coreShare: 0.675 },
            callers: { minCapacityShare: 0.25 },
            endpoints: { renewalMs: HEARTBEAT_MS },
            bounds: {
                drainMs: 2_000,
                configurationMs: 2_000,
                shutdownMs: 8_000,
                retryRatio: 0.2,
                retrySlack: 52,
                retryWindowMs: 10_000,
                promptCacheMs: 9_300,
                addressLifetimeMs: 5_000,
            },
        }));
        const child = this.#spawn(["--max-old-space-size=110", "target/router.cjs"], {
            GOOSEBERRYBEND_SETTINGS: file,
        });
        const router = { name, front, ready, child };
        child.stdout.on("data", () => undefined);
        child.stderr.on("data", (bytes) => this.record(`router ${name} stderr ${bytes}`));
        child.once("exit", (code, signal) => this.record(`router ${name} ended, code ${code}, signal ${signal}`));
        this.routers.push(router);
        this.record(`router ${name} started`);
        return router;
    }

    async waitReady(router) {
        const endsAt = performance.now() + START_MS;
        while (performance.now() < endsAt) {
            const response = await fetch(`http://127.0.0.1:${router.ready}/-/readyz`).catch(() => undefined);
            if (response?.status === 200) {
                this.record(`router ${router.name} is ready`);
                return;
            }
            await sleep(50);
        }
        throw new CannotRun(`router ${router.name} did not become ready`);
    }

    /** Starts a runner in a process of its own, which registers itself and renews that. */
    async startRunner(id, service, zone, slots = 64) {
        const port = await freePort();
        const child = this.#spawn([join(HERE, "runner.mjs"), id, String(port)], {});
        const runner = { id, service, zone, slots, port, child, state: "ready", seq: 1, born: Date.now(), runs: 0 };
        let text = "";
        const listening = new Promise((resolve) => {
            child.stdout.on("data", (bytes) => {
                text += bytes;
                const lines = text.split("\n");
                text = lines.pop();
                lines.forEach((line) => {
                    this.record(`runner ${line}`);
                    runner.runs += line.includes('"runs"') ? 1 : 0;
                    resolve();
                });
            });
        });
        child.stderr.on("data", (bytes) => this.record(`runner ${id} stderr ${bytes}`));
        await Promise.race([listening, sleep(START_MS)]);
        this.runners.push(runner);
        this.register(runner);
        this.#timers.push(setInterval(() => {
            if (child.exitCode === null && child.signalCode === null && this.store.state === "well" && !runner.gone) {
                this.register(runner);
            }
        }, HEARTBEAT_MS));
        return runner;
    }

    register(runner) {
        const { id, service, zone, slots, port, state, born } = runner;
        this.store.put(`servers/${id}`, {
            service,
            address: `127.0.0.1:${port}`,
            zone,
            version: "v1",
            slots,
            state,
            coldRemainingMs: 0,
            seq: runner.seq++,
            born,
        });
    }

    #spawn(parameters, variables) {
        const child = spawn(process.execPath, parameters, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, ...variables },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.#children.add(child);
        child.once("exit", () => this.#children.delete(child));
        return child;
    }

    kill(child, signal = "SIGKILL") {
        child.kill(signal);
    }

    async stop() {
        this.#timers.forEach((timer) => clearInterval(timer));
        const ends = [...this.#children].map((child) => new Promise((resolve) => child.once("exit", resolve)));
        this.#children.forEach((child) => child.kill("SIGKILL"));
        await Promise.race([Promise.all(ends), sleep(5_000)]);
        this.store.stop();
        rmSync(this.#folder, { recursive: true, force: true });
    }
}

/** Sends a request on a new connection and reads to the end of its answer. */
export function call(port, { method = "POST", path, headers = {}, body = "", onBody = () => undefined }) {
    return new Promise((resolve) => {
        const socket = connect(port, "127.0.0.1");
        const all = { Host: HOST, ...headers, ...(method === "GET" ? {} : { "Content-Length": body.length }) };
        const head = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        let received = "";
        let end = "closed";
        const parsed = () => {
            const headEnd = received.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                return undefined;
            }
            const fields = received.slice(0, headEnd);
            const field = (name) => new RegExp(`^${name}: *(.*)$`, "im").exec(fields)?.[1].trim();
            return { status: Number(fields.split(" ")[1]), field, raw: received.slice(headEnd + 4) };
        };
        const finish = () => {
            socket.destroy();
            const answer = parsed();
            resolve(answer === undefined ? { status: undefined, end, whole: false } : { ...answer, end, ...bodyOf(answer, end) });
        };
        socket.on("connect", () => socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`));
        socket.on("data", (bytes) => {
            received += bytes.toString("latin1");
            const answer = parsed();
            if (answer !== undefined) {
                const read = bodyOf(answer, undefined);
                onBody(read.body);
                if (read.whole) {
                    finish();
                }
            }
        });
        socket.on("error", (error) => {
            end = error.code;
        });
        socket.on("close", finish);
    });
}

/** Reads a body as HTTP/1.1 frames it. Without a length and chunks, only a close of its connection ends it. */
function bodyOf({ field, raw }, end) {
    const length = field("content-length");
    if (/chunked/i.test(field("transfer-encoding") ?? "")) {
        let body = "";
        let rest = raw;
        for (;;) {
            const lineEnd = rest.indexOf("\r\n");
            const size = lineEnd < 0 ? NaN : Number.parseInt(rest.slice(0, lineEnd), 16);
            if (size === 0) {
                return { framing: "chunks", body, whole: rest.slice(lineEnd).startsWith("\r\n\r\n") };
            }
            if (Number.isNaN(size) || rest.length < lineEnd + 2 + size + 2) {
                return { framing: "chunks", body, whole: false };
            }
            body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
            rest = rest.slice(lineEnd + 2 + size + 2);
        }
    }
    if (length !== undefined) {
        return { framing: "length", body: raw.slice(0, Number(length)), whole: raw.length >= Number(length) };
    }
    return { framing: "close", body: raw, whole: end === "closed" };
}

/** Returns a configuration in the form of PROTOCOL.md. */
export function configurationOf({ routes, tenants }) {
    return {
        version: 7,
        routes: routes.map((route) => ({
            name: `r-${route.prefix.split("/")[1]}`,
            host: HOST,
            timeoutMs: 12_000,
            targetLatencyMs: 300,
            priority: 0,
            maxAttempts: 2,
            public: false,
            sticky: route.kind === "streaming",
            resumable: false,
            ...(route.kind === "streaming" ? { gapAimMs: 200 } : {}),
            ...route,
        })),
        services: [
            {
                name: "huvo11a",
                healthPath: "/healthz",
                maxConnections: 360,
                protocol: "h1",
                tls: false,
                engine: { slots: 64, kvCapacityTokens: 518_475, stride: 5, models: [{ name: "m" }] },
            },
            { name: "wuno96b", healthPath: "/healthz", maxConnections: 96, protocol: "h1", tls: false },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants,
    };
}

/** Runs a case, writes its record, and exits with the code that its result stands for. */
export async function runCase(folder, era, play) {
    const fleet = new Fleet(era);
    const trouble = process.env.TROUBLE !== "0";
    let code = 2;
    try {
        const broken = await play(fleet, trouble);
        broken.forEach((line) => fleet.record(`BROKEN ${line}`));
        code = broken.length > 0 ? 1 : 0;
    }
    catch (error) {
        fleet.record(`could not run: ${error.stack}`);
    }
    await fleet.stop();
    fleet.record(`exit ${code}`);
    writeFileSync(join(folder, "record.txt"), `${fleet.lines.join("\n")}\n`);
    process.stdout.write(`${fleet.lines.filter((line) => / (BROKEN|could|exit)/.test(line)).join("\n")}\n`);
    process.exit(code);
}
