import type { BudgetId } from "@gooseberrybend/core";
import { err } from "neverthrow";
import { parseArgs } from "node:util";
import { topUp } from "../operations/top-up.js";
import { openStore, sharedHelp, sharedOptions } from "../options.js";
import type { Command } from "./command.js";

/** Adds tokens to a budget. */
export const topUpCommand: Command = {
    name: "top-up",
    summary: "add tokens to a budget",
    help: `gooseberrybend top-up ACCOUNT TOKENS --id ID [--budget BUDGET]

Adds TOKENS to a budget (default: main). An ID is applied at most once per account: if you do not
know whether a top-up was applied, run the command again with the same ID.
Exit codes: 0 applied now or before, 2 wrong arguments, 4 the service does not answer.

${sharedHelp}`,
    async run(parameters) {
        const options = {
            ...sharedOptions,
            id: { type: "string" },
            budget: { type: "string", default: "main" },
        } as const;
        const { values, positionals } = parseArgs({ args: parameters, allowPositionals: true, options });
        const [account, amount] = positionals;
        const tokens = Number(amount);
        if (account === undefined || !Number.isSafeInteger(tokens) || tokens <= 0 || positionals.length !== 2) {
            return err({
                kind: "usage",
                message: "Give an account and a whole number of tokens above 0: top-up ACCOUNT TOKENS --id ID.",
            });
        }
        if (values.id === undefined) {
            return err({ kind: "usage", message: "Give --id ID, so that a repeated top-up is applied only once." });
        }
        const store = openStore(values);
        if (store.isErr()) {
            return err(store.error);
        }
        const change = { budget: values.budget as BudgetId, tokens, at: Date.now() };
        const report = await topUp(store.value, account, values.id, change);
        return report.map((value) => ({
            text: `${
                value.applied
                    ? "Applied"
                    : "Applied before"
            }: ${account}/${values.budget} has ${value.granted} granted, `
                + `${value.billed} billed, ${value.free} free.`,
            json: value,
        }));
    },
};
