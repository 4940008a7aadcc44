import { err, ok } from "neverthrow";
import { parseArgs } from "node:util";
import { budgetFigures, readLedger } from "../operations/budgets.js";
import type { RouterStatus } from "../operations/routers.js";
import { createOperatorClient, openStore, resolveRouters, sharedHelp, sharedOptions } from "../options.js";
import { type Command, formatTable } from "./command.js";

/** Shows routers, budgets and endpoints. */
export const statusCommand: Command = {
    name: "status",
    summary: "show routers, budgets and endpoints",
    help: `gooseberrybend status

Shows the routers with the configuration version that each has in force, the budgets
(granted = billed + held + free) and the state of the endpoints as reported by each router.
Exit codes: 0 shown, 4 the service does not answer.

${sharedHelp}`,
    async run(parameters) {
        const { values } = parseArgs({ args: parameters, options: sharedOptions });
        const routers = await resolveRouters(values);
        const store = openStore(values);
        if (routers.isErr()) {
            return err(routers.error);
        }
        if (store.isErr()) {
            return err(store.error);
        }
        const statuses = await createOperatorClient(values).status(routers.value);
        const ledger = await readLedger(store.value);
        const budgets = ledger.isOk()
            ? [...ledger.value].flatMap(([account, record]) => budgetFigures(account, record))
            : [];
        const text = [
            formatTable(["ROUTER", "DOMAIN", "VERSION", "STATE", "RUNS", "PEERS"], statuses.map(routerRow)),
            "",
            formatTable(
                ["BUDGET", "GRANTED", "BILLED", "HELD", "STRANDED", "FREE"],
                budgets.map((
                    row,
                ) => [`${row.account}/${row.budget}`, row.granted, row.billed, row.held, row.stranded, row.free]),
            ),
            "",
            formatTable(["ENDPOINT", "ROUTER", "STATE", "RUNNING", "REPORTED"], statuses.flatMap(endpointRows)),
        ].join("\n");
        return ok({ text, json: { routers: statuses, budgets } });
    },
};

function routerRow(status: RouterStatus): (string | number)[] {
    const report = status.report;
    if (report === undefined) {
        return [status.address, "-", "-", "no answer", "-", "-"];
    }
    const state = report.draining ? "draining" : report.keyValueFailing ? "ledger away" : "serving";
    return [status.address, report.domain, report.configurationVersion, state, report.runs, report.peers.length];
}

function endpointRows(status: RouterStatus): (string | number)[][] {
    const endpoints = status.report?.endpoints ?? [];
    return endpoints.map((row) => [row.endpoint, status.address, row.state, row.running, row.reported ?? "-"]);
}
