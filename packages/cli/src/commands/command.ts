import type { Result } from "neverthrow";
import type { CommandFailure } from "../failure.js";

/** Output of a command: text for people, JSON for scripts. */
export type CommandOutput = { readonly text: string; readonly json: unknown; };

/** A subcommand of the command line. */
export type Command = {
    readonly name: string;
    readonly summary: string;
    readonly help: string;
    readonly run: (parameters: string[]) => Promise<Result<CommandOutput, CommandFailure>>;
};

/** Formats rows as a table of padded columns under headings. */
export function formatTable(headings: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
    const lines = [headings, ...rows].map((row) => row.map(String));
    const widths = headings.map((unused, column) => Math.max(...lines.map((line) => line[column]!.length)));
    return lines.map((line) => line.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()).join(
        "\n",
    );
}
