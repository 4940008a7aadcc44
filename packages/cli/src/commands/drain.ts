import { err, ok } from "neverthrow";
import { parseArgs } from "node:util";
import { callsOf, sharedHelp, sharedOptions } from "../options.js";
import type { Command } from "./command.js";

/** Drains a router. */
export const drainCommand: Command = {
    name: "drain",
    summary: "have a router finish its requests and exit",
    help: `gooseberrybend drain ROUTER

Tells the router at the address ROUTER to drain. It leaves the address answers, finishes every
request, settles and exits. Exit codes: 0 told, 4 the router does not answer.

${sharedHelp}`,
    async run(parameters) {
        const { values, positionals } = parseArgs({ args: parameters, allowPositionals: true, options: sharedOptions });
        const router = positionals[0];
        if (router === undefined) {
            return err({ kind: "usage", message: "Give the address of a router: drain http://IP-NUMBER:PORT." });
        }
        if (!await callsOf(values).drain(router)) {
            return err({
                kind: "unavailable",
                message: `${router} does not answer. Check the address and the operators' key.`,
            });
        }
        return ok({ text: `${router} drains.`, json: { router, draining: true } });
    },
};
