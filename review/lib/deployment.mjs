// Starts a small deployment on loopback: the store stand-in here, and routers as separate processes.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

export const root = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const HOST = "front.example";
export const trouble = process.env.TROUBLE !== "0";
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Bounds as the sheet of the small site states them. */
export const bounds = {
    drainMs: 2000,
    configMs: 2000,
    graceS: 8,
    retryBudgetRatio: 0.2,
    budgetSlack: 52,
    budgetWindowS: 10,
    reuseWindowS: 9.3,
    ttl_max_s: 5,
};

export async function freePort() {
    const server = createServer();
    await new Promise((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address();
    await new Promise((done) => server.close(done));
    return port;
}

/** The record of one run, in record.txt of the case. */
export class Record {
    constructor(directory) {
        this.file = join(directory, "record.txt");
        this.startedAt = performance.now();
        writeFileSync(this.file, `trouble: ${trouble ? "yes" : "no"}\n`);
    }

    line(text) {
        const at = ((performance.now() - this.startedAt) / 1000).toFixed(3);
        appendFileSync(this.file, `${at.padStart(8)} s  ${text}\n`);
    }
}

// Fills in deploy/settings.jsonc as the platform does; only the placeholders that this template has.
function fillTemplate(text, fields) {
    const valueOf = (path) => path.split(".").reduce((value, name) => value?.[name], fields);
    return text
        .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (unused, path, inner) => (valueOf(path) === undefined ? "" : inner))
        .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (unused, path, json) => {
            const value = valueOf(path);
            return json === undefined ? String(value ?? "") : JSON.stringify(value);
        });
}

export class Deployment {
    store = new Store();
    routers = [];
    closers = [];

    constructor(record) {
        this.record = record;
        this.directory = mkdtempSync(join(tmpdir(), "review-"));
        const stop = () => {
            this.stop();
            process.exit(2);
        };
        process.on("SIGTERM", stop);
        process.on("SIGINT", stop);
        process.on("uncaughtException", (error) => {
            record.line(`could not run: ${error.stack}`);
            stop();
        });
    }

    async start() {
        this.storePort = await freePort();
        await this.store.listen(this.storePort);
    }

    async settingsFile(name, zone) {
        const [front, ready, directory, internal] = [await freePort(), await freePort(), await freePort(), await freePort()];
        const fields = {
            node: name,
            ip: "127.0.0.1",
            zone,
            internalPorts: [internal, internal + 15],
            listen: {
                front: `127.0.0.1:${front}`,
                ready: `127.0.0.1:${ready}`,
                directory: `127.0.0.1:${directory}`,
            },
            platform: { address: `127.0.0.1:${this.storePort}`, ttlMinMs: 1000 },
            limits: { cpuShare: 0.675, cores: 1, linkMbps: 1000 },
            heartbeatMs: 1200,
            bounds,
        };
        const file = join(this.directory, `${name}.jsonc`);
        writeFileSync(file, fillTemplate(readFileSync(join(root, "deploy/settings.jsonc"), "utf8"), fields));
        return { file, front, ready };
    }

    /** Starts a router with the command of the deploy file. */
    async startRouter(name, zone, { waitUntilReady = true, onLine } = {}) {
        const { file, front, ready } = await this.settingsFile(name, zone);
        const router = { name, front, ready, ended: undefined };
        router.start = () => {
            router.ended = undefined;
            const child = spawn("node", ["--max-old-space-size=110", "target/router.cjs"], {
                cwd: root,
                env: { PATH: process.env.PATH, HOME: process.env.HOME, GOOSEBERRYBEND_SETTINGS: file },
                stdio: ["ignore", "pipe", "pipe"],
            });
            router.child = child;
            let rest = "";
            router.lines = [];
            child.stdout.on("data", (chunk) => {
                const lines = (rest + chunk).split("\n");
                rest = lines.pop();
                lines.forEach((line) => {
                    router.lines.push(line);
                    onLine?.(line);
                });
            });
            child.stderr.on("data", (chunk) => {
                const errors = String(chunk).split("\n").filter((line) => /error/i.test(line) && !/0x/.test(line));
                errors.forEach((line) => this.record.line(`${name} stderr: ${line.trim()}`));
            });
            router.exit = new Promise((done) => {
                child.on("exit", (code, signal) => {
                    router.ended = { code, signal, at: performance.now() };
                    done(router.ended);
                });
            });
        };
        router.kill = (signal) => process.kill(router.child.pid, signal);
        router.start();
        this.routers.push(router);
        if (waitUntilReady) {
            await this.waitUntilReady(router);
        }
        return router;
    }

    async waitUntilReady(router) {
        for (let tries = 0; tries < 400; tries++) {
            const answer = await fetch(`http://127.0.0.1:${router.ready}/-/readyz`).catch(() => undefined);
            if (answer?.status === 200) {
                return;
            }
            await sleep(25);
        }
        throw new Error(`${router.name} is not ready`);
    }

    stop() {
        for (const router of this.routers) {
            if (router.ended === undefined) {
                router.child.kill("SIGCONT");
                router.child.kill("SIGKILL");
            }
        }
        this.closers.forEach((close) => close());
        this.store.stop();
        rmSync(this.directory, { recursive: true, force: true });
    }
}

/** Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(directory, play) {
    const record = new Record(directory);
    const deployment = new Deployment(record);
    setTimeout(() => {
        record.line("could not run: time over");
        deployment.stop();
        process.exit(2);
    }, 115_000).unref();
    let status = 2;
    try {
        await deployment.start();
        const broken = await play(deployment, record);
        status = broken ? 1 : 0;
        record.line(broken ? "result: the rule was broken" : "result: the rule held");
    }
    catch (error) {
        record.line(`could not run: ${error.stack}`);
        console.error(error);
    }
    deployment.stop();
    process.exit(status);
}
