#!/usr/bin/env node
import { budgetCommand, releaseCommand } from "./commands/budget.js";
import { checkCommand } from "./commands/check.js";
import type { Command } from "./commands/command.js";
import { drainCommand } from "./commands/drain.js";
import { explainCommand } from "./commands/explain.js";
import { publishCommand } from "./commands/publish.js";
import { routerCommand } from "./commands/router.js";
import { statusCommand } from "./commands/status.js";
import { topUpCommand } from "./commands/top-up.js";
import { exitCodeOf, exitCodes, formatFailure } from "./failure.js";

const commands: readonly Command[] = [
    routerCommand,
    checkCommand,
    publishCommand,
    topUpCommand,
    statusCommand,
    explainCommand,
    drainCommand,
    budgetCommand,
    releaseCommand,
];

process.exitCode = await main(process.argv.slice(2));
if (process.argv[2] !== "router") {
    process.exit();
}

async function main(parameters: string[]): Promise<number> {
    const [name, ...rest] = parameters;
    const command = commands.find((candidate) => candidate.name === name);
    if (command === undefined) {
        const helpRequested = name === undefined || name === "--help" || name === "-h" || name === "help";
        (helpRequested ? process.stdout : process.stderr).write(
            helpRequested ? overview() : `Unknown command: ${name}. Run: gooseberrybend --help\n`,
        );
        return helpRequested ? exitCodes.ok : exitCodes.usage;
    }
    if (rest.includes("--help") || rest.includes("-h")) {
        process.stdout.write(`${command.help}\n`);
        return exitCodes.ok;
    }
    return runCommand(command, rest);
}

async function runCommand(command: Command, parameters: string[]): Promise<number> {
    try {
        const result = await command.run(parameters);
        if (result.isErr()) {
            process.stderr.write(`${formatFailure(result.error)}\n`);
            return exitCodeOf(result.error);
        }
        const json = parameters.includes("--json");
        process.stdout.write(json ? `${JSON.stringify(result.value.json)}\n` : `${result.value.text}\n`);
        return exitCodes.ok;
    }
    catch (error) {
        const { code, message } = error as { code?: string; message: string; };
        process.stderr.write(`${message}\n`);
        return code?.startsWith("ERR_PARSE_ARGS") === true ? exitCodes.usage : exitCodes.failed;
    }
}

function overview(): string {
    const summaries = commands.map((command) => `  ${command.name.padEnd(9)} ${command.summary}`).join("\n");
    return `gooseberrybend COMMAND ...\n\n${summaries}\n\nFor help on a command: gooseberrybend COMMAND --help\n`;
}
