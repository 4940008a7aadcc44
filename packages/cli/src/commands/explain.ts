import { err, ok } from "neverthrow";
import { parseArgs } from "node:util";
import { createOperatorClient, resolveRouters, sharedHelp, sharedOptions } from "../options.js";
import type { Command } from "./command.js";

/** Shows the decisions that routers took on a request. */
export const explainCommand: Command = {
    name: "explain",
    summary: "show the decisions on a request",
    help: `gooseberrybend explain KEY

Shows each decision on the request with this idempotency key, the router that took it and the
figures it was based on. Routers keep only their latest decisions, in memory.
Exit codes: 0 shown, 1 no router has a decision for the key, 4 the service does not answer.

${sharedHelp}`,
    async run(parameters) {
        const { values, positionals } = parseArgs({ args: parameters, allowPositionals: true, options: sharedOptions });
        const key = positionals[0];
        if (key === undefined) {
            return err({ kind: "usage", message: "Give the idempotency key of a request: explain KEY." });
        }
        const routers = await resolveRouters(values);
        if (routers.isErr()) {
            return err(routers.error);
        }
        const traces = await createOperatorClient(values).explain(routers.value, key);
        if (traces.length === 0) {
            return err({
                kind: "not-found",
                message: `No router has decisions for the key ${key}. They may have expired, or the router has ended.`,
            });
        }
        const lines = traces.map((trace) => {
            const figures = Object.entries(trace.figures).map(([name, value]) => `${name}=${value}`).join(" ");
            return `${
                new Date(trace.at).toISOString()
            }  ${trace.router}  ${trace.account}  ${trace.decision}  ${figures}`;
        });
        return ok({ text: lines.join("\n"), json: traces });
    },
};
