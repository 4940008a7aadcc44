import { err, ok } from "neverthrow";
import { parseArgs } from "node:util";
import { createOperatorClient, sharedHelp, sharedOptions } from "../options.js";
import type { Command } from "./command.js";

/** Drains a router. */
export const drainCommand: Command = {
    name: "drain",
    summary: "have a router finish its requests and exit",
    help: `gooseberrybend drain ROUTER

Makes the router at the address ROUTER drain: it is no longer listed in address responses, finishes
every request, settles and exits. Exit codes: 0 draining, 4 the router does not answer.

${sharedHelp}`,
    async run(parameters) {
        const { values, positionals } = parseArgs({ args: parameters, allowPositionals: true, options: sharedOptions });
        const router = positionals[0];
        if (router === undefined) {
            return err({ kind: "usage", message: "Give the address of a router: drain http://IP-NUMBER:PORT." });
        }
        if (!await createOperatorClient(values).drain(router)) {
            return err({
                kind: "unavailable",
                message: `${router} does not answer. Check the address and the operator key.`,
            });
        }
        return ok({ text: `${router} is draining.`, json: { router, draining: true } });
    },
};
