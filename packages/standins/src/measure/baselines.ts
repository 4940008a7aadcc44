import {
    applySeal,
    type Arrival,
    createRandom,
    digestKey,
    type Effect,
    type EndpointId,
    formatRecord,
    type KeyValueCallId,
    type KeyValueResult,
    ledgerKey,
    type LedgerRecord,
    type Message,
    pageKey,
    pageToSeal,
    parseRecord,
    type Random,
    randomElement,
    type Refusal,
    type TokenUsage,
    type WorldOptions,
} from "@gooseberrybend/core";
import { RouterBrain } from "@gooseberrybend/core/mocks";

type BaselineRun = {
    readonly arrival: Arrival;
    readonly worst: number;
    dispatch: number;
    attempts: number;
    chunks: number;
};

type Pending = (result: KeyValueResult) => void;

const SERVICE_CALL_TOKENS = 5;
const MOST_ATTEMPTS = 3;
const RETRY_MS = 300;

/** What the baselines share: one try after the other at random endpoints, and bills by compare-and-swap. */
abstract class SimpleBrain extends RouterBrain {
    override readonly world = undefined;
    protected effects: Effect[] = [];
    protected readonly runs = new Map<number, BaselineRun>();
    private readonly pending = new Map<KeyValueCallId, Pending>();
    private readonly timers: { at: number; action: () => void; }[] = [];
    private readonly random: Random;
    private readonly bills = new Map<string, { arrival: Arrival; tokens: number; }[]>();
    private nextRun = 1;
    private nextCall = 1;

    constructor(
        protected readonly options: WorldOptions,
        protected readonly routers: number,
        private readonly endpoints: {
            readonly engines: number;
            readonly services: number;
        },
    ) {
        super();
        this.random = createRandom(options.seed);
    }

    /** Decides whether a request may run, and calls back. */
    protected abstract admit(arrival: Arrival, worst: number, decide: (admitted: boolean) => void): void;
    /** Notes that an admitted request used less than its worst case. */
    protected abstract noteUse(arrival: Arrival, worst: number, tokens: number): void;

    override nextTickAt(): number {
        return Math.min(Infinity, ...this.timers.map((timer) => timer.at));
    }

    override addresses(): string[] {
        return Array.from({ length: this.routers }, (unused, index) => `http://10.0.0.${index + 1}:7000`);
    }

    override tick(now: number, inbox: readonly Message[]): Effect[] {
        for (const message of inbox) {
            this.handle(message, now);
        }
        for (const timer of this.timers.filter((entry) => entry.at <= now)) {
            this.timers.splice(this.timers.indexOf(timer), 1);
            timer.action();
        }
        const effects = this.effects;
        this.effects = [];
        return effects;
    }

    private handle(message: Message, now: number): void {
        switch (message.kind) {
            case "request-arrived":
                return this.arrive(message.arrival);
            case "key-value-reply": {
                const action = this.pending.get(message.call);
                this.pending.delete(message.call);
                return action?.(message.result);
            }
            case "endpoint-chunk":
                return this.withRun(message, (run) => {
                    run.chunks++;
                    this.effects.push({
                        kind: "caller-chunk",
                        call: run.arrival.call,
                        chunk: message.chunk,
                        resume: undefined,
                    });
                });
            case "endpoint-end":
                return this.withRun(message, (run) => {
                    this.runs.delete(message.run);
                    this.effects.push({ kind: "caller-end", call: run.arrival.call, end: message.end });
                    const isModel = run.arrival.target.kind === "model";
                    const tokens = isModel ? usedTokens(message.end.usage) : SERVICE_CALL_TOKENS;
                    this.noteUse(run.arrival, run.worst, tokens);
                    this.bill(run.arrival, tokens, now);
                });
            case "endpoint-failed":
                return this.withRun(message, (run) => this.fail(message.run, run));
            default:
                return;
        }
    }

    private withRun(message: { run: number; dispatch: number; }, action: (run: BaselineRun) => void): void {
        const run = this.runs.get(message.run);
        if (run !== undefined && run.dispatch === message.dispatch) {
            action(run);
        }
    }

    private arrive(arrival: Arrival): void {
        const target = arrival.target;
        const worst = target.kind === "model" ? target.promptTokens + target.maxTokens : SERVICE_CALL_TOKENS;
        this.admit(arrival, worst, (admitted) => {
            if (!admitted) {
                return this.refuse(arrival, "budget-exhausted");
            }
            const id = this.nextRun++;
            const run = { arrival, worst, dispatch: 0, attempts: 0, chunks: 0 };
            this.runs.set(id, run);
            this.dispatch(id, run);
        });
    }

    private dispatch(id: number, run: BaselineRun): void {
        run.dispatch++;
        run.attempts++;
        const isModel = run.arrival.target.kind === "model";
        const count = isModel ? this.endpoints.engines : this.endpoints.services;
        const names = Array.from({ length: count }, (unused, index) => `${isModel ? "engine" : "service"}-${index}`);
        this.effects.push({
            kind: "dispatch",
            run: id,
            dispatch: run.dispatch,
            call: run.arrival.call,
            endpoint: randomElement(this.random, names) as EndpointId,
            stream: `${this.options.self.incarnation}.${id}.${run.dispatch}`,
            resumeAt: undefined,
            freshConnection: false,
            deadline: run.arrival.deadline,
        });
    }

    private fail(id: number, run: BaselineRun): void {
        if (run.chunks === 0 && run.attempts < MOST_ATTEMPTS) {
            return this.dispatch(id, run);
        }
        this.runs.delete(id);
        this.refuse(run.arrival, "endpoint-failed");
    }

    private refuse(arrival: Arrival, reason: Refusal["reason"]): void {
        const refusal = { reason, outcome: "not-run", retryAfterMs: RETRY_MS, detail: "" } as const;
        this.effects.push({ kind: "caller-refused", call: arrival.call, refusal });
    }

    // Bills are written in batches; one whose write was not answered is written again.
    private bill(arrival: Arrival, tokens: number, now: number): void {
        const waiting = this.bills.get(arrival.account) ?? [];
        this.bills.set(arrival.account, waiting);
        waiting.push({ arrival, tokens });
        if (waiting.length === 1) {
            this.writeBills(arrival.account, now);
        }
    }

    private writeBills(account: string, now: number): void {
        const waiting = this.bills.get(account)!;
        const retry = (): void =>
            void this.timers.push({ at: now + RETRY_MS, action: () => this.writeBills(account, now + RETRY_MS) });
        this.read(account, (record, version) => {
            if (record === undefined) {
                return retry();
            }
            const batch = [...waiting];
            for (const { arrival, tokens } of batch) {
                (record.budgets[arrival.budget] ??= { granted: 0, billed: 0 }).billed += tokens;
                record.bills[digestKey(arrival.account, arrival.key)] = { tokens, at: now };
            }
            this.sealBills(account, record);
            const call = this.register((result) => {
                if (result.kind !== "applied") {
                    return retry();
                }
                waiting.splice(0, batch.length);
                if (waiting.length > 0) {
                    this.writeBills(account, now);
                }
            });
            const key = ledgerKey(account);
            this.effects.push({
                kind: "key-value-swap",
                call,
                key,
                expected: version,
                value: formatRecord(record),
                lifetimeMs: undefined,
            });
        });
    }

    // The baselines keep old bills as the fleet does, so that they are compared by their decisions.
    private sealBills(account: string, record: LedgerRecord): void {
        for (let page = pageToSeal(record); page !== undefined; page = pageToSeal(record)) {
            applySeal(record, page);
            const call = this.register(() => undefined);
            const key = pageKey(account, page.id);
            this.effects.push({
                kind: "key-value-swap",
                call,
                key,
                expected: 0,
                value: page.text,
                lifetimeMs: undefined,
            });
        }
    }

    protected read(account: string, use: (record: LedgerRecord | undefined, version: number) => void): void {
        const call = this.register((result) => {
            const current = result.kind === "value" ? result.current : undefined;
            use(current === undefined ? undefined : parseRecord(current.value), current?.version ?? 0);
        });
        this.effects.push({ kind: "key-value-get", call, key: ledgerKey(account) });
    }

    private register(action: Pending): KeyValueCallId {
        const call = this.nextCall++ as KeyValueCallId;
        this.pending.set(call, action);
        return call;
    }
}

/** Reads the balance before each request and bills afterwards; without an answer it goes by the last balance. */
export class CheckThenBillBrain extends SimpleBrain {
    private readonly balances = new Map<string, number>();

    protected override admit(arrival: Arrival, worst: number, decide: (admitted: boolean) => void): void {
        this.read(arrival.account, (record) => {
            const totals = record?.budgets[arrival.budget];
            if (totals !== undefined) {
                this.balances.set(arrival.account, totals.granted - totals.billed);
            }
            decide((this.balances.get(arrival.account) ?? 0) >= worst);
        });
    }

    protected override noteUse(): void {
        // The balance is read anew before each request.
    }
}

/** Gives each router an even part of each budget for good. */
export class StaticSplitBrain extends SimpleBrain {
    private readonly granted = new Map<string, number>();
    private readonly used = new Map<string, number>();

    protected override admit(arrival: Arrival, worst: number, decide: (admitted: boolean) => void): void {
        const check = (): void => {
            const part = (this.granted.get(arrival.account) ?? 0) / this.routers;
            const fits = (this.used.get(arrival.account) ?? 0) + worst <= part;
            if (fits) {
                this.addUse(arrival.account, worst);
            }
            decide(fits);
        };
        if (this.granted.has(arrival.account)) {
            return check();
        }
        this.read(arrival.account, (record) => {
            if (record !== undefined) {
                this.granted.set(arrival.account, record.budgets[arrival.budget]?.granted ?? 0);
            }
            check();
        });
    }

    protected override noteUse(arrival: Arrival, worst: number, tokens: number): void {
        this.addUse(arrival.account, tokens - worst);
    }

    private addUse(account: string, tokens: number): void {
        this.used.set(account, (this.used.get(account) ?? 0) + tokens);
    }
}

function usedTokens(usage: TokenUsage | undefined): number {
    return usage === undefined ? 0 : usage.promptTokens + usage.outputTokens;
}
