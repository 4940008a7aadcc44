import type { Result } from "neverthrow";
import type { CommandFailure } from "../failure.js";

/** Text that a command prints, for people and for scripts. */
export type CommandOutput = { readonly text: string; readonly json: unknown; };

/** One verb of the command line. */
export type Command = {
    readonly name: string;
    readonly summary: string;
    readonly help: string;
    readonly run: (parameters: string[]) => Promise<Result<CommandOutput, CommandFailure>>;
};

/** Lays out rows under headings. */
export function formatTable(headings: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
    const lines = [headings, ...rows].map((row) => row.map(String));
    const widths = headings.map((unused, column) => Math.max(...lines.map((line) => line[column]!.length)));
    return lines.map((line) => line.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()).join(
        "\n",
    );
}
