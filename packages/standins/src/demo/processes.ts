import { type ChildProcess, fork } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";

/** A stand-in or router that runs as a separate process. */
export type RunningProcess = {
    readonly name: string;
    readonly port: number;
    process: ChildProcess;
    readonly start: () => ChildProcess;
    /** Messages from the process; an engine sends its counts before it crashes. */
    readonly messages: unknown[];
    exitCode: number | undefined;
};

const START_TIMEOUT_MS = 15_000;
const START_POLL_INTERVAL_MS = 50;

/** Starts processes and kills only those that it started. */
export class ProcessManager {
    readonly folder = mkdtempSync(join(tmpdir(), "gooseberrybend-"));
    private readonly started: RunningProcess[] = [];

    /** Starts a compiled script, given by its path relative to this module. */
    start(name: string, port: number, script: string, parameters: readonly string[]): RunningProcess {
        const path = fileURLToPath(new URL(script, import.meta.url));
        const start = (): ChildProcess => {
            const child = fork(path, [...parameters], { silent: true });
            child.stdout?.resume();
            child.stderr?.on("data", (text: Buffer) => process.stderr.write(`[${name}] ${text.toString()}`));
            child.on("message", (message) => running.messages.push(message));
            child.on("exit", (code) => {
                running.exitCode = code ?? undefined;
            });
            return child;
        };
        const running: RunningProcess = {
            name,
            port,
            process: undefined as never,
            start,
            messages: [],
            exitCode: undefined,
        };
        running.process = start();
        this.started.push(running);
        return running;
    }

    /** Starts a router with the given settings. */
    startRouter(name: string, port: number, settings: object): RunningProcess {
        const file = join(this.folder, `${name}.jsonc`);
        writeFileSync(file, JSON.stringify(settings, undefined, 4));
        return this.start(name, port, "../../../cli/dist/main.js", ["router", "--settings", file]);
    }

    /** Waits until a process answers HTTP requests on a path. Throws ProcessNotReady after a time-out. */
    async waitUntilReady(running: RunningProcess, path: string): Promise<void> {
        const deadline = Date.now() + START_TIMEOUT_MS;
        while (Date.now() < deadline) {
            try {
                const response = await request(`http://127.0.0.1:${running.port}${path}`);
                await response.body.dump();
                return;
            }
            catch {
                await new Promise((resolve) => setTimeout(resolve, START_POLL_INTERVAL_MS));
            }
        }
        throw new ProcessNotReady(running.name);
    }

    /** Kills all processes that are still running, suspended ones included, and deletes the folder. */
    async killAll(): Promise<void> {
        for (const running of this.started) {
            running.process.kill("SIGCONT");
            running.process.kill("SIGKILL");
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** A process did not answer in time after its start. */
export class ProcessNotReady extends Error {
    constructor(readonly processName: string) {
        super(`${processName} did not answer within ${START_TIMEOUT_MS} ms of its start.`);
    }
}
