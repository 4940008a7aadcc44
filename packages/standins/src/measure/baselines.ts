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
import { RouterStrategy } from "@gooseberrybend/core/mocks";

type BaselineRun = {
    readonly arrival: Arrival;
    readonly worstCaseTokens: number;
    dispatch: number;
    attempts: number;
    chunks: number;
};

type ReplyHandler = (result: KeyValueResult) => void;

const SERVICE_CALL_TOKENS = 5;
const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 300;

/** Common part of the baselines: sequential attempts at random endpoints, and bills written by compare-and-swap. */
abstract class BaselineStrategy extends RouterStrategy {
    override readonly world = undefined;
    protected effects: Effect[] = [];
    protected readonly runs = new Map<number, BaselineRun>();
    private readonly replyHandlers = new Map<KeyValueCallId, ReplyHandler>();
    private readonly timers: { at: number; action: () => void; }[] = [];
    private readonly random: Random;
    private readonly unwrittenBills = new Map<string, { arrival: Arrival; tokens: number; }[]>();
    private nextRun = 1;
    private nextCall = 1;

    constructor(
        protected readonly options: WorldOptions,
        protected readonly routerCount: number,
        private readonly endpoints: {
            readonly engines: number;
            readonly services: number;
        },
    ) {
        super();
        this.random = createRandom(options.seed);
    }

    /** Decides whether a request may run, and passes the decision to the callback. */
    protected abstract admit(arrival: Arrival, worstCaseTokens: number, decide: (admitted: boolean) => void): void;
    /** Records the tokens that a finished request used, which may be fewer than its worst case. */
    protected abstract recordUse(arrival: Arrival, worstCaseTokens: number, tokens: number): void;

    override nextTickAt(): number {
        return Math.min(Infinity, ...this.timers.map((timer) => timer.at));
    }

    override addresses(): string[] {
        return Array.from({ length: this.routerCount }, (unused, index) => `http://10.0.0.${index + 1}:7000`);
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
                const handler = this.replyHandlers.get(message.call);
                this.replyHandlers.delete(message.call);
                return handler?.(message.result);
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
                    this.recordUse(run.arrival, run.worstCaseTokens, tokens);
                    this.bill(run.arrival, tokens, now);
                });
            case "endpoint-failed":
                return this.withRun(message, (run) => this.handleFailure(message.run, run));
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
        const worstCaseTokens = target.kind === "model" ? target.promptTokens + target.maxTokens : SERVICE_CALL_TOKENS;
        this.admit(arrival, worstCaseTokens, (admitted) => {
            if (!admitted) {
                return this.refuse(arrival, "budget-exhausted");
            }
            const id = this.nextRun++;
            const run = { arrival, worstCaseTokens, dispatch: 0, attempts: 0, chunks: 0 };
            this.runs.set(id, run);
            this.dispatch(id, run);
        });
    }

    private dispatch(id: number, run: BaselineRun): void {
        run.dispatch++;
        run.attempts++;
        const isModel = run.arrival.target.kind === "model";
        const count = isModel ? this.endpoints.engines : this.endpoints.services;
        const endpointIds = Array.from(
            { length: count },
            (unused, index) => `${isModel ? "engine" : "service"}-${index}`,
        );
        this.effects.push({
            kind: "dispatch",
            run: id,
            dispatch: run.dispatch,
            call: run.arrival.call,
            endpoint: randomElement(this.random, endpointIds) as EndpointId,
            stream: `${this.options.self.incarnation}.${id}.${run.dispatch}`,
            resumeAt: undefined,
            freshConnection: false,
            deadline: run.arrival.deadline,
        });
    }

    private handleFailure(id: number, run: BaselineRun): void {
        if (run.chunks === 0 && run.attempts < MAX_ATTEMPTS) {
            return this.dispatch(id, run);
        }
        this.runs.delete(id);
        this.refuse(run.arrival, "endpoint-failed");
    }

    private refuse(arrival: Arrival, reason: Refusal["reason"]): void {
        const refusal = { reason, outcome: "not-run", retryAfterMs: RETRY_DELAY_MS, detail: "" } as const;
        this.effects.push({ kind: "caller-refused", call: arrival.call, refusal });
    }

    // Bills are written in batches; a batch whose write was not confirmed is written again.
    private bill(arrival: Arrival, tokens: number, now: number): void {
        const unwritten = this.unwrittenBills.get(arrival.account) ?? [];
        this.unwrittenBills.set(arrival.account, unwritten);
        unwritten.push({ arrival, tokens });
        if (unwritten.length === 1) {
            this.writeBills(arrival.account, now);
        }
    }

    private writeBills(account: string, now: number): void {
        const unwritten = this.unwrittenBills.get(account)!;
        const retry = (): void =>
            void this.timers.push({
                at: now + RETRY_DELAY_MS,
                action: () => this.writeBills(account, now + RETRY_DELAY_MS),
            });
        this.read(account, (record, version) => {
            if (record === undefined) {
                return retry();
            }
            const batch = [...unwritten];
            for (const { arrival, tokens } of batch) {
                (record.budgets[arrival.budget] ??= { granted: 0, billed: 0 }).billed += tokens;
                record.bills[digestKey(arrival.account, arrival.key)] = { tokens, at: now };
            }
            this.sealBills(account, record);
            const call = this.registerCall((result) => {
                if (result.kind !== "applied") {
                    return retry();
                }
                unwritten.splice(0, batch.length);
                if (unwritten.length > 0) {
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

    // Old bills move to pages as in the fleet, so that the policies differ only in their decisions.
    private sealBills(account: string, record: LedgerRecord): void {
        for (let page = pageToSeal(record); page !== undefined; page = pageToSeal(record)) {
            applySeal(record, page);
            const call = this.registerCall(() => undefined);
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

    protected read(account: string, handleRecord: (record: LedgerRecord | undefined, version: number) => void): void {
        const call = this.registerCall((result) => {
            const current = result.kind === "value" ? result.current : undefined;
            handleRecord(current === undefined ? undefined : parseRecord(current.value), current?.version ?? 0);
        });
        this.effects.push({ kind: "key-value-get", call, key: ledgerKey(account) });
    }

    private registerCall(handler: ReplyHandler): KeyValueCallId {
        const call = this.nextCall++ as KeyValueCallId;
        this.replyHandlers.set(call, handler);
        return call;
    }
}

/** Reads the balance before each request and bills afterwards; if the read fails, it uses the last balance read. */
export class CheckThenBillStrategy extends BaselineStrategy {
    private readonly balances = new Map<string, number>();

    protected override admit(arrival: Arrival, worstCaseTokens: number, decide: (admitted: boolean) => void): void {
        this.read(arrival.account, (record) => {
            const totals = record?.budgets[arrival.budget];
            if (totals !== undefined) {
                this.balances.set(arrival.account, totals.granted - totals.billed);
            }
            decide((this.balances.get(arrival.account) ?? 0) >= worstCaseTokens);
        });
    }

    protected override recordUse(): void {
        // Nothing to record: the balance is read again before each request.
    }
}

/** Gives each router a fixed, equal share of each budget. */
export class StaticSplitStrategy extends BaselineStrategy {
    private readonly granted = new Map<string, number>();
    private readonly used = new Map<string, number>();

    protected override admit(arrival: Arrival, worstCaseTokens: number, decide: (admitted: boolean) => void): void {
        const check = (): void => {
            const share = (this.granted.get(arrival.account) ?? 0) / this.routerCount;
            const fits = (this.used.get(arrival.account) ?? 0) + worstCaseTokens <= share;
            if (fits) {
                this.addUse(arrival.account, worstCaseTokens);
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

    protected override recordUse(arrival: Arrival, worstCaseTokens: number, tokens: number): void {
        this.addUse(arrival.account, tokens - worstCaseTokens);
    }

    private addUse(account: string, tokens: number): void {
        this.used.set(account, (this.used.get(account) ?? 0) + tokens);
    }
}

function usedTokens(usage: TokenUsage | undefined): number {
    return usage === undefined ? 0 : usage.promptTokens + usage.outputTokens;
}
