import { type FileFault, formatFault, type PublicationConflict } from "@gooseberrybend/core";

/** Exit codes of the command line. */
export const exitCodes = { ok: 0, failed: 1, usage: 2, conflict: 3, unavailable: 4 } as const;

/** Why a command failed. */
export type CommandFailure =
    | { readonly kind: "usage"; readonly message: string; }
    | { readonly kind: "faults"; readonly faults: readonly FileFault[]; }
    | { readonly kind: "conflict"; readonly conflicts: readonly PublicationConflict[]; }
    | { readonly kind: "unavailable"; readonly message: string; }
    | { readonly kind: "not-found"; readonly message: string; }
    | { readonly kind: "timeout"; readonly message: string; };

/** Returns the exit code of a failure. */
export function exitCodeOf(failure: CommandFailure): number {
    switch (failure.kind) {
        case "usage":
        case "faults":
            return exitCodes.usage;
        case "conflict":
            return exitCodes.conflict;
        case "unavailable":
        case "timeout":
            return exitCodes.unavailable;
        case "not-found":
            return exitCodes.failed;
    }
}

/** Formats a failure for people: what is wrong, where, and what to do. */
export function formatFailure(failure: CommandFailure): string {
    switch (failure.kind) {
        case "faults":
            return failure.faults.map(formatFault).join("\n");
        case "conflict":
            return failure.conflicts.map(formatConflict).join("\n");
        default:
            return failure.message;
    }
}

function formatConflict(conflict: PublicationConflict): string {
    const at = new Date(conflict.at).toISOString();
    return `${conflict.path}: changed by ${conflict.by} at ${at} in version ${conflict.version}.`
        + " Take that change into your file and publish again.";
}
