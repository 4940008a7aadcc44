import type { FleetOptions } from "@gooseberrybend/core/mocks";
import { parseArgs } from "node:util";
import { CheckThenBillStrategy, StaticSplitStrategy } from "./baselines.js";
import { runScenario, type Scenario, type ScenarioFigures, scenarios } from "./scenarios.js";

type SafetyFigure =
    | "overspentTokens"
    | "billsMissing"
    | "billsDoubled"
    | "billsWrong"
    | "nonIdempotentDoubles"
    | "dishonestRefusals"
    | "brokenAnswers";
type LoadFigure = "falseRefusals" | "requests" | "strandedTokens" | "crashes" | "strandedLimit";

/** Result of one scenario under one policy. */
type MeasurementRow = Pick<ScenarioFigures, SafetyFigure | LoadFigure> & {
    readonly scenario: string;
    readonly policy: string;
    readonly keyValueCallsPerSecond: number;
    readonly keyValueWritesPerSecond: number;
    readonly peerMessagesPerSecond: number;
};

const { values } = parseArgs({
    options: {
        json: { type: "boolean", default: false },
        seed: { type: "string", default: "1" },
        scenario: { type: "string" },
        policy: { type: "string" },
    },
});

const policies: Readonly<Record<string, (scenario: Scenario) => FleetOptions["createStrategy"]>> = {
    "fleet": () => undefined,
    "check-then-bill": ({ options }) => (world, routers) => new CheckThenBillStrategy(world, routers, options),
    "static-split": ({ options }) => (world, routers) => new StaticSplitStrategy(world, routers, options),
};

const rows: MeasurementRow[] = [];
for (const scenario of scenarios.filter((entry) => values.scenario === undefined || entry.name === values.scenario)) {
    for (const [policy, strategyFactoryFor] of Object.entries(policies)) {
        if (values.policy === undefined || values.policy === policy) {
            rows.push(
                toRow(scenario.name, policy, runScenario(scenario, Number(values.seed), strategyFactoryFor(scenario))),
            );
        }
    }
}
process.stdout.write(values.json ? `${JSON.stringify(rows)}\n` : formatTable(rows));

function toRow(scenario: string, policy: string, figures: ScenarioFigures): MeasurementRow {
    const perSecond = (count: number): number => Math.round(count / figures.seconds * 10) / 10;
    return {
        scenario,
        policy,
        overspentTokens: figures.overspentTokens,
        billsMissing: figures.billsMissing,
        billsDoubled: figures.billsDoubled,
        billsWrong: figures.billsWrong,
        nonIdempotentDoubles: figures.nonIdempotentDoubles,
        dishonestRefusals: figures.dishonestRefusals,
        brokenAnswers: figures.brokenAnswers,
        falseRefusals: figures.falseRefusals,
        requests: figures.requests,
        strandedTokens: figures.strandedTokens,
        keyValueCallsPerSecond: perSecond(figures.keyValueCalls),
        keyValueWritesPerSecond: perSecond(figures.keyValueWrites),
        peerMessagesPerSecond: perSecond(figures.peerMessages),
        crashes: figures.crashes,
        strandedLimit: figures.strandedLimit,
    };
}

function formatTable(entries: readonly MeasurementRow[]): string {
    const headings = [
        "scenario",
        "policy",
        "over",
        "miss",
        "dbl",
        "wrong",
        "twice",
        "lie",
        "broken",
        "false",
        "of",
        "strand",
        "limit",
        "kv/s",
        "wr/s",
        "peer/s",
        "crash",
    ];
    const lines = entries.map((row) =>
        [
            row.scenario,
            row.policy,
            row.overspentTokens,
            row.billsMissing,
            row.billsDoubled,
            row.billsWrong,
            row.nonIdempotentDoubles,
            row.dishonestRefusals,
            row.brokenAnswers,
            row.falseRefusals,
            row.requests,
            row.strandedTokens,
            row.strandedLimit,
            row.keyValueCallsPerSecond,
            row.keyValueWritesPerSecond,
            row.peerMessagesPerSecond,
            row.crashes,
        ].map(String)
    );
    const all = [headings, ...lines];
    const widths = headings.map((unused, column) => Math.max(...all.map((line) => line[column]!.length)));
    return all.map((line) => line.map((cell, column) => cell.padEnd(widths[column]!)).join(" ").trimEnd()).join("\n")
        + "\n";
}
