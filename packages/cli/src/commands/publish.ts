import { err, ok, type Result } from "neverthrow";
import { userInfo } from "node:os";
import { parseArgs } from "node:util";
import type { CommandFailure } from "../failure.js";
import { collectFiles } from "../operations/collect.js";
import { publish, type PublishReport } from "../operations/publish.js";
import {
    createOperatorClient,
    openStore,
    resolveRouters,
    sharedHelp,
    sharedOptions,
    type SharedValues,
} from "../options.js";
import type { Command, CommandOutput } from "./command.js";

const VERSION_WAIT_TIMEOUT_MS = 14_000;
const POLL_INTERVAL_MS = 200;

/** Publishes declarations. */
export const publishCommand: Command = {
    name: "publish",
    summary: "put declarations in force",
    help: `gooseberrybend publish DIR... [--dry-run] [--wait] [--base VERSION] [--by NAME]

Collects gooseberrybend.jsonc and *.gooseberrybend.jsonc below each DIR, checks the whole
configuration that results and puts it in force as the next version. Files that another operator
changed since --base (default: the version in force) conflict; other files are merged.
  --dry-run        check and show what would change
  --wait           wait until every router has the version in force
Exit codes: 0 published, 2 faults in the files, 3 conflict, 4 the service or a router did not answer in time.

${sharedHelp}`,
    async run(parameters) {
        const options = {
            ...sharedOptions,
            "dry-run": { type: "boolean", default: false },
            "wait": { type: "boolean", default: false },
            "base": { type: "string" },
            "by": { type: "string" },
        } as const;
        const { values, positionals } = parseArgs({ args: parameters, allowPositionals: true, options });
        if (positionals.length === 0) {
            return err({ kind: "usage", message: "Nothing to publish. Give one or more folders." });
        }
        const base = values.base === undefined ? undefined : Number(values.base);
        if (base !== undefined && !Number.isInteger(base)) {
            return err({ kind: "usage", message: "--base: must be a version number." });
        }
        const files = collectFiles(positionals);
        const store = openStore(values);
        if (files.isErr()) {
            return err(files.error);
        }
        if (store.isErr()) {
            return err(store.error);
        }
        const by = values.by ?? userInfo().username;
        const request = { files: files.value, by, base, dryRun: values["dry-run"], now: Date.now() };
        const report = await publish(store.value, request);
        if (report.isErr()) {
            return err(report.error);
        }
        const waited = values.wait && !values["dry-run"] ? await waitForVersion(values, report.value.version) : ok();
        return waited.map(() => formatReport(report.value, values["dry-run"]));
    },
};

async function waitForVersion(values: SharedValues, version: number): Promise<Result<void, CommandFailure>> {
    const client = createOperatorClient(values);
    const deadline = Date.now() + VERSION_WAIT_TIMEOUT_MS;
    let outdatedRouters: string[] = [];
    while (Date.now() < deadline) {
        const routers = await resolveRouters(values);
        if (routers.isErr()) {
            return err(routers.error);
        }
        const statuses = await client.status(routers.value);
        outdatedRouters = statuses.filter((status) => (status.report?.configurationVersion ?? 0) < version).map((
            status,
        ) => status.address);
        if (outdatedRouters.length === 0) {
            return ok();
        }
        await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    const message = `Version ${version} is accepted, but not yet in force at: ${outdatedRouters.join(", ")}.`;
    return err({ kind: "timeout", message });
}

function formatReport(report: PublishReport, dryRun: boolean): CommandOutput {
    const lines = [
        dryRun ? `Version ${report.version} would be put in force.` : `Version ${report.version} is in force.`,
        ...report.added.map((path) => `  added    ${path}`),
        ...report.changed.map((path) => `  changed  ${path}`),
        ...report.removed.map((path) => `  removed  ${path}`),
        ...report.granted.map((budget) => `  granted  ${budget}`),
    ];
    return { text: lines.join("\n"), json: report };
}
