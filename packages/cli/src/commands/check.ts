import { readSettings } from "@gooseberrybend/router";
import { readGatewaySettings } from "@gooseberrybend/router/gateway";
import { err, ok } from "neverthrow";
import { statSync } from "node:fs";
import { parseArgs } from "node:util";
import { collectFiles } from "../operations/collect.js";
import type { Command } from "./command.js";

/** Checks settings files and folders of declarations. */
export const checkCommand: Command = {
    name: "check",
    summary: "check settings files or folders of declarations",
    help: `gooseberrybend check [--gateway] PATH...

Checks each PATH: a file is read as a router's settings, a folder for its declaration files.
With --gateway, a file is read as the settings of a router that serves a deployment's callers.
Prints each fault as FILE:LINE:COLUMN: MESSAGE. Exit codes: 0 no faults, 2 faults found.`,
    async run(parameters) {
        const options = { gateway: { type: "boolean" } } as const;
        const { positionals, values } = parseArgs({ args: parameters, allowPositionals: true, options });
        const read = values.gateway === true ? readGatewaySettings : readSettings;
        if (positionals.length === 0) {
            return err({
                kind: "usage",
                message: "Nothing to check. Give a settings file or a folder of declarations.",
            });
        }
        for (const path of positionals) {
            const isFolder = statSync(path, { throwIfNoEntry: false })?.isDirectory() ?? false;
            const checked = isFolder
                ? collectFiles([path])
                : read(path).map(() => undefined).mapErr((faults) => ({ kind: "faults", faults }) as const);
            if (checked.isErr()) {
                return err(checked.error);
            }
        }
        return ok({ text: `${positionals.length} checked, no faults.`, json: { checked: positionals.length } });
    },
};
