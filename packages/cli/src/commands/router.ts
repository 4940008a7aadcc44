import { readSettings, startRouter } from "@gooseberrybend/router";
import { err, ok } from "neverthrow";
import { parseArgs } from "node:util";
import type { Command } from "./command.js";

const FORCED_EXIT_CODE = 1;

/** Runs a router until a signal stops it. */
export const routerCommand: Command = {
    name: "router",
    summary: "run a router",
    help: `gooseberrybend router --settings FILE

Runs a router. SIGTERM or SIGINT drains it: it finishes all requests, settles and exits with 0.
A second signal logs the number of open requests; a third one aborts them and exits with 1.
Exit codes: 0 drained, 1 requests aborted or failed to start, 2 faults in the settings.`,
    async run(parameters) {
        const { values } = parseArgs({ args: parameters, options: { settings: { type: "string" } } });
        if (values.settings === undefined) {
            return err({ kind: "usage", message: "No settings file given. Add --settings FILE." });
        }
        const settings = readSettings(values.settings);
        if (settings.isErr()) {
            return err({ kind: "faults", faults: settings.error });
        }
        const running = await startRouter(settings.value);
        await waitForSignal();
        let signals = 1;
        const onSignal = (): void => {
            signals++;
            const calls = running.router.calls.size;
            running.router.logs.host.warn("Still draining open requests. A third signal aborts them.", { calls });
            if (signals > 2) {
                process.exit(FORCED_EXIT_CODE);
            }
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
        await running.router.drain();
        await running.close();
        return ok({ text: "Drained.", json: { drained: true } });
    },
};

function waitForSignal(): Promise<void> {
    return new Promise((resolve) => {
        const onSignal = (): void => {
            process.removeListener("SIGTERM", onSignal);
            process.removeListener("SIGINT", onSignal);
            resolve();
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
    });
}
