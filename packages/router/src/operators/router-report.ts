import type { Trace } from "@gooseberrybend/core";
import type { Router } from "../router.js";

/** One budget's tokens at one router. */
export type BudgetReport = {
    readonly account: string;
    readonly budget: string;
    readonly held: number;
    readonly reserved: number;
    readonly unsettled: number;
};

/** State of one endpoint from a router's point of view. */
export type EndpointReport = {
    readonly endpoint: string;
    readonly state: "usable" | "ejected" | "leaving";
    readonly running: number;
    readonly reported: number | undefined;
};

/** Status that a router reports to operators. */
export type RouterReport = {
    readonly incarnation: string;
    readonly address: string;
    readonly domain: string;
    readonly configurationVersion: number;
    readonly draining: boolean;
    readonly runs: number;
    readonly calls: number;
    readonly keyValueFailing: boolean;
    readonly peers: readonly {
        readonly incarnation: string;
        readonly address: string;
        readonly version: number;
        readonly silentMs: number;
    }[];
    readonly budgets: readonly BudgetReport[];
    readonly endpoints: readonly EndpointReport[];
    readonly memoryBytes: number;
    readonly processorMs: number;
    readonly peerBytes: number;
};

/** A decision trace as reported to operators. */
export type TraceReport = Trace;

/** Creates the status report of a router. */
export function reportOf(router: Router, now: number): RouterReport {
    const { world } = router;
    const usage = process.cpuUsage();
    return {
        incarnation: router.incarnation,
        address: world.self.address,
        domain: world.self.domain,
        configurationVersion: world.configuration.version,
        draining: world.drainingSince !== undefined,
        runs: [...world.runs.values()].filter((run) => run.state !== "done").length,
        calls: router.calls.size,
        keyValueFailing: world.keyValueFailingSince !== undefined,
        peers: [...world.peers].map(([incarnation, row]) => ({
            incarnation,
            address: row.heartbeat.address,
            version: row.heartbeat.configurationVersion,
            silentMs: now - row.heartbeatReceivedAt,
        })),
        budgets: [...world.accounts.values()].flatMap((account) =>
            [...account.budgets.values()].map((row) => ({
                account: account.id,
                budget: row.id,
                held: row.held,
                reserved: row.reserved,
                unsettled: row.unsettled,
            }))
        ),
        endpoints: [...world.endpoints.values()].map((row) => ({
            endpoint: row.id,
            state: row.leaving ? "leaving" : now < row.ejectedUntil ? "ejected" : "usable",
            running: row.ownRuns.size,
            reported: row.report?.running,
        })),
        memoryBytes: process.memoryUsage.rss(),
        processorMs: (usage.user + usage.system) / 1000,
        peerBytes: router.links.sentBytes,
    };
}
