import type { PrepaidRow } from "@gooseberrybend/core/dispatch";

/** Returns the tokens of requests, added up by row. */
export function tokensByRow(
    requests: Iterable<{ readonly row: PrepaidRow; readonly tokens: number; }>,
): ReadonlyMap<PrepaidRow, number> {
    const byRow = new Map<PrepaidRow, number>();
    for (const { row, tokens } of requests) {
        byRow.set(row, (byRow.get(row) ?? 0) + tokens);
    }
    return byRow;
}
