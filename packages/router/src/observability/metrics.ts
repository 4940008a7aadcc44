import { type Effect, type Message, refusalReasons, retryReasons, type World } from "@gooseberrybend/core";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const FIRST_CHUNK_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.2, 2.5, 5, 10];

/** Metrics of one router. Label values are reasons, results and declared ids only, so their number is bounded. */
export type Metrics = ReturnType<typeof createMetrics>;

/** Creates the metrics and their registry. */
export function createMetrics() {
    const registry = new Registry();
    const registers = [registry];
    const refusals = new Counter({
        name: "gooseberrybend_refusals_total",
        help: "Refused requests by reason and outcome.",
        labelNames: ["reason", "outcome"],
        registers,
    });
    const retries = new Counter({
        name: "gooseberrybend_retries_total",
        help: "Retries at endpoints by reason.",
        labelNames: ["reason"],
        registers,
    });
    const keyValueCalls = new Counter({
        name: "gooseberrybend_key_value_calls_total",
        help: "Calls to the key-value service by operation and result.",
        labelNames: ["operation", "result"],
        registers,
    });
    const answers = new Counter({ name: "gooseberrybend_answers_total", help: "Requests answered whole.", registers });
    const arrivals = new Counter({ name: "gooseberrybend_arrivals_total", help: "Requests that came in.", registers });
    const chunks = new Counter({ name: "gooseberrybend_chunks_total", help: "Chunks passed to callers.", registers });
    const peerMessages = new Counter({
        name: "gooseberrybend_peer_messages_total",
        help: "Messages to peers by kind.",
        labelNames: ["kind"],
        registers,
    });
    const firstChunk = new Histogram({
        name: "gooseberrybend_first_chunk_seconds",
        help: "Time from arrival to the first chunk.",
        buckets: FIRST_CHUNK_BUCKETS,
        registers,
    });
    for (const reason of refusalReasons) {
        refusals.inc({ reason, outcome: "not-run" }, 0);
    }
    for (const reason of retryReasons) {
        retries.inc({ reason }, 0);
    }
    return { registry, refusals, retries, keyValueCalls, answers, arrivals, chunks, peerMessages, firstChunk };
}

/** Updates the counters for an effect. */
export function countEffect(metrics: Metrics, effect: Effect): void {
    switch (effect.kind) {
        case "caller-refused":
            metrics.refusals.inc({ reason: effect.refusal.reason, outcome: effect.refusal.outcome });
            return;
        case "retried":
            metrics.retries.inc({ reason: effect.reason });
            return;
        case "caller-end":
            metrics.answers.inc();
            return;
        case "caller-chunk":
            metrics.chunks.inc();
            return;
        case "peer-send":
            metrics.peerMessages.inc({ kind: effect.message.kind });
            return;
        default:
            return;
    }
}

/** Updates the counters for a message. */
export function countMessage(metrics: Metrics, message: Message): void {
    if (message.kind === "request-arrived") {
        metrics.arrivals.inc();
    }
}

/** Adds gauges that read the state of the world at each collection. */
export function observeWorld(metrics: Metrics, world: World): void {
    const registers = [metrics.registry];
    const gauge = (name: string, help: string, read: () => number): void => {
        new Gauge({
            name: `gooseberrybend_${name}`,
            help,
            registers,
            collect() {
                this.set(read());
            },
        });
    };
    gauge("runs", "Requests in the tables.", () => world.runs.size);
    gauge("peers", "Other routers known.", () => world.peers.size);
    gauge("configuration_version", "Version in force.", () => world.configuration.version);
    gauge("allowance_tokens", "Tokens held for spending.", () => sumBudgets(world, (row) => row.held));
    gauge("reserved_tokens", "Worst case of running requests.", () => sumBudgets(world, (row) => row.reserved));
    gauge(
        "unsettled_tokens",
        "Used tokens that the ledger does not have yet.",
        () => sumBudgets(world, (row) => row.unsettled),
    );
    gauge(
        "key_value_failing",
        "1 while the key-value service does not answer.",
        () => world.keyValueFailingSince === undefined ? 0 : 1,
    );
    gauge("ledger_lag_seconds", "Age of the oldest bill that the ledger does not have.", () => {
        const oldest = Math.min(...[...world.openBills.values()].map(({ bill }) => bill.at));
        return Number.isFinite(oldest) ? (Date.now() - oldest) / 1000 : 0;
    });
    gauge("endpoints_ejected", "Endpoints that get no work for a while.", () => {
        return [...world.endpoints.values()].filter((row) => row.ejectedUntil > Date.now()).length;
    });
    gauge("endpoints_leaving", "Endpoints that are leaving.", () => world.leavingEndpoints.size);
}

type BudgetTokens = {
    readonly held: number;
    readonly reserved: number;
    readonly unsettled: number;
};

function sumBudgets(world: World, tokensOf: (row: BudgetTokens) => number): number {
    let sum = 0;
    for (const account of world.accounts.values()) {
        for (const row of account.budgets.values()) {
            sum += tokensOf(row);
        }
    }
    return sum;
}
