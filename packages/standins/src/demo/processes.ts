import { type ChildProcess, fork } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";

/** A stand-in or router that runs as a process of its own. */
export type RunningProcess = {
    readonly name: string;
    readonly port: number;
    process: ChildProcess;
    readonly start: () => ChildProcess;
    /** What the process sent before it crashed. */
    readonly messages: unknown[];
    exitCode: number | undefined;
};

const START_LIMIT_MS = 15_000;
const START_STEP_MS = 50;

/** Starts and ends processes; it ends only those that it started. */
export class Processes {
    readonly folder = mkdtempSync(join(tmpdir(), "gooseberrybend-"));
    private readonly all: RunningProcess[] = [];

    /** Starts a compiled script of this package or of the command line. */
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
        this.all.push(running);
        return running;
    }

    /** Starts a router with settings of its own. */
    startRouter(name: string, port: number, settings: object): RunningProcess {
        const file = join(this.folder, `${name}.jsonc`);
        writeFileSync(file, JSON.stringify(settings, undefined, 4));
        return this.start(name, port, "../../../cli/dist/main.js", ["router", "--settings", file]);
    }

    /** Waits until a process answers. */
    async ready(running: RunningProcess, path: string): Promise<void> {
        const until = Date.now() + START_LIMIT_MS;
        while (Date.now() < until) {
            try {
                const response = await request(`http://127.0.0.1:${running.port}${path}`);
                await response.body.dump();
                return;
            }
            catch {
                await new Promise((resolve) => setTimeout(resolve, START_STEP_MS));
            }
        }
        throw new ProcessNotReady(running.name);
    }

    /** Ends all processes that still run. */
    async endAll(): Promise<void> {
        for (const running of this.all) {
            running.process.kill("SIGCONT");
            running.process.kill("SIGKILL");
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** A process did not answer in time after its start. */
export class ProcessNotReady extends Error {
    constructor(readonly processName: string) {
        super(`${processName} did not answer within ${START_LIMIT_MS} ms of its start.`);
    }
}
