import type { Holder, TopUp } from "@gooseberrybend/core";
import { err, ok } from "neverthrow";
import { parseArgs } from "node:util";
import { budgetFigures, readBills, readLedger, releaseHolder } from "../operations/budgets.js";
import { openStore, sharedHelp, sharedOptions } from "../options.js";
import { type Command, formatTable } from "./command.js";

/** Shows the budgets of an account. */
export const budgetCommand: Command = {
    name: "budget",
    summary: "show the budgets of an account",
    help: `gooseberrybend budget ACCOUNT [--history]

Shows the granted, billed, held and free tokens of each budget and the routers that hold them.
  --history   also show every top-up and the latest bills
Exit codes: 0 shown, 1 no such account, 4 the service does not answer.

${sharedHelp}`,
    async run(parameters) {
        const options = { ...sharedOptions, history: { type: "boolean", default: false } } as const;
        const { values, positionals } = parseArgs({ args: parameters, allowPositionals: true, options });
        const account = positionals[0];
        if (account === undefined) {
            return err({ kind: "usage", message: "Give an account: budget ACCOUNT." });
        }
        const store = openStore(values);
        if (store.isErr()) {
            return err(store.error);
        }
        const ledger = await readLedger(store.value);
        if (ledger.isErr()) {
            return err(ledger.error);
        }
        const record = ledger.value.get(account);
        if (record === undefined) {
            return err({
                kind: "not-found",
                message: `${account} has no ledger record. Publish it or top it up first.`,
            });
        }
        const figures = budgetFigures(account, record);
        const sections = [
            formatTable(
                ["BUDGET", "GRANTED", "BILLED", "HELD", "STRANDED", "FREE"],
                figures.map((row) => [row.budget, row.granted, row.billed, row.held, row.stranded, row.free]),
            ),
            formatTable(["HOLDER", "BUDGET", "ALLOWANCE", "WRITTEN"], holderRows(record.holders)),
        ];
        if (values.history) {
            sections.push(formatTable(["TOP-UP", "BUDGET", "TOKENS", "AT"], topUpRows(record.topUps)));
            const bills = await readBills(store.value, account, record);
            if (bills.isErr()) {
                return err(bills.error);
            }
            const billRows = [...bills.value].map((
                [key, bill],
            ) => [key, bill.tokens, new Date(bill.at).toISOString()]);
            sections.push(formatTable(["BILL", "TOKENS", "AT"], billRows));
        }
        return ok({ text: sections.join("\n\n"), json: { figures, record } });
    },
};

function holderRows(holders: Readonly<Record<string, Holder>>): (string | number)[][] {
    return Object.entries(holders).flatMap(([id, holder]) =>
        Object.entries(holder.budgets).map(([budget, holding]) => [
            id,
            budget,
            holding.allowance,
            new Date(holder.at).toISOString(),
        ])
    );
}

function topUpRows(topUps: Readonly<Record<string, TopUp>>): (string | number)[][] {
    return Object.entries(topUps).map((
        [id, entry],
    ) => [id, entry.budget, entry.tokens, new Date(entry.at).toISOString()]);
}

/** Returns the tokens held by an ended router to their account. */
export const releaseCommand: Command = {
    name: "release",
    summary: "return the tokens held by a router that has ended",
    help: `gooseberrybend release ACCOUNT INCARNATION --process-ended

Returns to ACCOUNT the tokens that the router INCARNATION holds (see: budget ACCOUNT). Confirm with
--process-ended that its process has ended: a router that is only disconnected or paused would spend
the tokens a second time.
Exit codes: 0 returned, 2 not confirmed, 4 the service does not answer.

${sharedHelp}`,
    async run(parameters) {
        const options = { ...sharedOptions, "process-ended": { type: "boolean", default: false } } as const;
        const { values, positionals } = parseArgs({ args: parameters, allowPositionals: true, options });
        const [account, incarnation] = positionals;
        if (account === undefined || incarnation === undefined) {
            return err({
                kind: "usage",
                message: "Give an account and a router's incarnation: release ACCOUNT INCARNATION.",
            });
        }
        if (!values["process-ended"]) {
            return err({
                kind: "usage",
                message: "Make sure that the router's process has ended, then confirm it with --process-ended.",
            });
        }
        const store = openStore(values);
        if (store.isErr()) {
            return err(store.error);
        }
        const released = await releaseHolder(store.value, account, incarnation);
        return released.map((report) => ({ text: `${report.tokens} tokens returned to ${account}.`, json: report }));
    },
};
