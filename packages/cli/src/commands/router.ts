import { readSettings, startRouter } from "@gooseberrybend/router";
import { err, ok } from "neverthrow";
import { parseArgs } from "node:util";
import type { Command } from "./command.js";

const CUT_EXIT_CODE = 1;

/** Runs a router until it is told to stop. */
export const routerCommand: Command = {
    name: "router",
    summary: "run a router",
    help: `gooseberrybend router --settings FILE

Runs a router. SIGTERM or SIGINT drains it: it finishes all requests, settles and exits with 0.
A second signal tells how many requests it would cut; a third one cuts them and exits with 1.
Exit codes: 0 drained, 1 cut or failed to start, 2 wrong settings.`,
    async run(parameters) {
        const { values } = parseArgs({ args: parameters, options: { settings: { type: "string" } } });
        if (values.settings === undefined) {
            return err({ kind: "usage", message: "No settings are named. Give --settings FILE." });
        }
        const settings = readSettings(values.settings);
        if (settings.isErr()) {
            return err({ kind: "faults", faults: settings.error });
        }
        const running = await startRouter(settings.value);
        await signalled();
        let signals = 1;
        const onSignal = (): void => {
            signals++;
            const calls = running.router.calls.size;
            running.router.logs.host.warn("Still draining. One more signal cuts the open requests.", { calls });
            if (signals > 2) {
                process.exit(CUT_EXIT_CODE);
            }
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
        await running.router.drain();
        await running.close();
        return ok({ text: "Drained.", json: { drained: true } });
    },
};

function signalled(): Promise<void> {
    return new Promise((resolve) => {
        const once = (): void => {
            process.removeListener("SIGTERM", once);
            process.removeListener("SIGINT", once);
            resolve();
        };
        process.on("SIGTERM", once);
        process.on("SIGINT", once);
    });
}
