import {
    type AccountId,
    brand,
    createRandom,
    type Incarnation,
    type Random,
    randomBelow,
    randomElement,
    randomFraction,
} from "@gooseberrybend/core";
import { err, ok, type Result } from "neverthrow";
import { createGatewayLogs, LogSink } from "../log-sink.js";
import type { MetadataStore, StoreResult, StoreTransaction } from "../metadata-store.js";
import type { PeerCalls, PeerFailure } from "../peer-calls.js";
import { PrepaidAccounts } from "../prepaid-accounts.js";
import { PREPAID_PREFIX } from "../prepaid-formats.js";
import { sleep } from "../sleep.js";
import { CHECKPOINT_PREFIX } from "../spending-checkpoints.js";
import { TRANSFER_METHOD } from "../token-transfers.js";
import { FakeMetadataStore } from "./fake-metadata-store.js";
import { TokenLedger, type TokenStanding } from "./token-ledger.js";

/** Time in ms that a call to the store or to another router takes. */
const CALL_MS = 4;
/** Time in ms after which a call to a store that is down counts as unanswered. */
const STORE_TIMEOUT_MS = 700;
/** Time in ms from the start of a process until it has read the store. */
const START_MS = 500;
/** Maximum time in ms until a router notices that the store is back. */
const MAX_NOTICE_MS = 400;
/** Time in ms that a request waits for tokens. */
const TOKEN_WAIT_MS = 200;
/** Range in ms of the time that a request runs. */
const RUN_MS = [200, 1_200] as const;
/** Time in ms after which a process that shuts down exits, whatever became of the return of its tokens. */
const STOP_TIMEOUT_MS = 1_800;
/** Time in ms before its end in which a process that shuts down gets no more requests. */
const MAX_RUN_MS = 1_500;
/** Spreads the routers that accounts' callers stay with. */
const FAVOURITE_STEP = 7;
/** Share of a request's worst case that it uses. */
const USED_SHARE = 0.95;
/** Share of an account's total up to which requests are owed an answer. */
const OWED_SHARE = 0.97;

/** Parameters of a fleet. */
export type FakeSpendingFleetOptions = {
    readonly routers: number;
    readonly accounts: number;
    /** Tokens of each account. */
    readonly total: number;
    /** Average time in ms between two requests of the whole fleet. */
    readonly requestIntervalMs: number;
    /** Ranges of the tokens that a request may use, of kinds of requests that are equally frequent. */
    readonly requestTokens: readonly (readonly [number, number])[];
    readonly seed: number;
    /** Range in ms of the time from the start of a process until it has read the store. */
    readonly startMs?: readonly [number, number];
    /** Share of an account's requests that its callers send to one router. */
    readonly stickyShare?: number;
    /** Time in ms for which a request that is refused as short is sent again after the retry time. */
    readonly patienceMs?: number;
};

type SpendingRouter = {
    readonly name: string;
    process: RouterProcess | undefined;
};

/** A process of a router; once it has ended, nothing that it sent arrives any more. */
type RouterProcess = {
    readonly incarnation: Incarnation;
    readonly startedAt: number;
    readonly accounts: PrepaidAccounts;
    readonly running: Set<RunningRequest>;
    isReady: boolean;
    hasEnded: boolean;
    /** Whether callers no longer reach it, as it is shutting down. */
    isLeaving: boolean;
};

type RunningRequest = { readonly account: AccountId; readonly tokens: number; };

/** Requests since a time that were owed tokens, and how many of them got them. */
export type SpendingFigures = { readonly owed: number; readonly served: number; };

/** What became of an owed request: served, no router, or its refusal and where the tokens were then. */
export type RequestOutcome = "served" | "served later" | "no-router" | `${"exhausted" | "short"}, ${string}`;

/** Routers that spend the prepaid tokens of accounts, while they lose power and the store is down. Virtual time. */
export class FakeSpendingFleet {
    readonly store = new FakeMetadataStore();
    /** Tokens used by requests that ended, and all tokens of those that ended with their router, for each account. */
    readonly used = new Map<AccountId, number>();
    private readonly routers: SpendingRouter[] = [];
    private readonly accountIds: readonly AccountId[];
    private readonly random: Random;
    /** Calls to the store by what was written and the result. */
    readonly storeCalls = new Map<string, number>();
    readonly ledger: TokenLedger;
    /** Factor on the time of calls to the store. */
    storeSlowdown = 1;
    private readonly logs;
    private requests: { readonly at: number; readonly isServed: boolean; readonly outcome: RequestOutcome; }[] = [];
    private starts = 0;

    constructor(private readonly options: FakeSpendingFleetOptions) {
        this.random = createRandom(options.seed);
        const ledger = new TokenLedger(this.store, options.total);
        this.ledger = ledger;
        this.logs = createGatewayLogs(
            { level: "info" },
            new class extends LogSink {
                override add(unusedKey: string, line: string): void {
                    ledger.readLine(line);
                }
            }(),
        );
        this.accountIds = Array.from({ length: options.accounts }, (unused, index) => brand(`account-${index + 1}`));
        for (let index = 0; index < options.routers; index++) {
            const router: SpendingRouter = { name: `router-${index + 1}`, process: undefined };
            this.routers.push(router);
            this.start(router);
        }
        this.sendRequests();
    }

    /** The store goes down. */
    stopStore(): void {
        this.store.behavior = "unavailable";
    }

    /** The store is back, as routers notice by their next reads. */
    restoreStore(): void {
        this.store.behavior = "well";
        for (const { process } of this.routers) {
            setTimeout(() => {
                if (process?.isReady === true && !process.hasEnded) {
                    process.accounts.resume();
                }
            }, randomBelow(this.random, MAX_NOTICE_MS));
        }
    }

    /** Some routers, or all, lose power for a time in ms, and start again. */
    losePower(share: number, durationMs: number): void {
        for (const router of this.routers.slice(0, Math.round(share * this.routers.length))) {
            this.end(router);
            setTimeout(() => this.start(router), durationMs);
        }
    }

    /** Restarts the routers in turn, `stepMs` apart: each serves on for `termMs`, and is away for `downMs`. */
    restartOneByOne(stepMs: number, termMs: number, downMs: number): void {
        this.routers.forEach((router, index) => {
            setTimeout(() => void this.restartInOrder(router, termMs, downMs), index * stepMs);
        });
    }

    private async restartInOrder(router: SpendingRouter, termMs: number, downMs: number): Promise<void> {
        const { process } = router;
        if (process === undefined || !process.isReady) {
            return;
        }
        await sleep(termMs - MAX_RUN_MS);
        process.isLeaving = true;
        await sleep(MAX_RUN_MS);
        await Promise.race([process.accounts.close(), sleep(STOP_TIMEOUT_MS)]);
        if (!process.hasEnded) {
            this.end(router);
            setTimeout(() => this.start(router), downMs);
        }
    }

    /** Returns the number of owed requests between two times in ms by what became of them. */
    outcomesBetween(from: number, to = Infinity): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const { outcome } of this.requests.filter(({ at }) => at >= from && at < to)) {
            counts[outcome] = (counts[outcome] ?? 0) + 1;
        }
        return counts;
    }

    /** Returns where the tokens of all accounts are. */
    standing(): TokenStanding {
        const live = this.routers.flatMap(({ name, process }) => process === undefined ? [] : [{ ...process, name }]);
        const standings = this.accountIds.map((account) =>
            this.ledger.standingOf(account, this.usedTokens(account), live)
        );
        return TokenLedger.sumOf(standings);
    }

    /** Returns the figures of requests since a time in ms. */
    figuresSince(at: number): SpendingFigures {
        const owed = this.requests.filter((request) => request.at >= at);
        return { owed: owed.length, served: owed.filter(({ isServed }) => isServed).length };
    }

    /** Tokens that requests of an account have used or may still use. */
    usedTokens(account: AccountId): number {
        const running = this.routers.flatMap(({ process }) => [...process?.running ?? []]);
        const reserved = running.filter((request) => request.account === account);
        return (this.used.get(account) ?? 0) + reserved.reduce((sum, { tokens }) => sum + tokens, 0);
    }

    /** The largest share of its total that any account has used. */
    get mostUsedShare(): number {
        return Math.max(...this.accountIds.map((account) => this.usedTokens(account) / this.options.total));
    }

    private end(router: SpendingRouter): void {
        const { process } = router;
        router.process = undefined;
        if (process !== undefined) {
            process.hasEnded = true;
            this.ledger.recordEnd(process.incarnation, process.accounts.rows.values());
            process.accounts.stop();
            process.running.forEach(({ account, tokens }) => this.addUsed(account, tokens));
        }
    }

    private addUsed(account: AccountId, tokens: number): void {
        this.used.set(account, (this.used.get(account) ?? 0) + tokens);
    }

    private start(router: SpendingRouter): void {
        const startedAt = Date.now();
        const incarnation = brand<Incarnation>(`start-${++this.starts}`);
        const process: RouterProcess = {
            incarnation,
            startedAt,
            accounts: new PrepaidAccounts(
                { transact: (transaction) => this.transact(process, transaction) } as MetadataStore,
                { name: router.name, incarnation, startedAt },
                this.logs,
                () => ({ monotonic: Date.now() - startedAt, wall: Date.now() }),
                this.peersOf(() => process),
                (name) => name,
                () => this.routers.length,
                () => randomFraction(this.random),
                () => 0,
            ),
            running: new Set(),
            isReady: false,
            hasEnded: false,
            isLeaving: false,
        };
        router.process = process;
        process.accounts.setTotals(new Map(this.accountIds.map((account) => [account, this.options.total])));
        void this.read(process);
    }

    private async read(process: RouterProcess): Promise<void> {
        const [min, max] = this.options.startMs ?? [START_MS, START_MS];
        await sleep(min === max ? min : min + randomBelow(this.random, max - min));
        while (this.store.behavior !== "well") {
            await sleep(STORE_TIMEOUT_MS);
        }
        if (process.hasEnded) {
            return;
        }
        const items = [...this.store.items.values()];
        const withPrefix = (prefix: string) => items.filter(({ key }) => key.startsWith(prefix));
        withPrefix(CHECKPOINT_PREFIX).forEach((item) => process.accounts.applyCheckpoints(item));
        process.accounts.replaceRecords(withPrefix(PREPAID_PREFIX), Math.max(0, ...items.map((item) => item.revision)));
        process.accounts.start();
        process.isReady = true;
    }

    private async transact(process: RouterProcess, transaction: StoreTransaction): Promise<StoreResult<number>> {
        // What was sent before the process ended may still be applied.
        await sleep(CALL_MS / 2 * this.storeSlowdown);
        if (process.hasEnded && this.storeSlowdown === 1) {
            return new Promise(() => undefined);
        }
        const isDown = this.store.behavior !== "well";
        const result = await this.store.transact(transaction);
        const kind = [...transaction.conditions.keys()].some((key) => key.startsWith(PREPAID_PREFIX))
            ? "record"
            : "checkpoint";
        const counted = `${kind} ${result.kind}`;
        this.storeCalls.set(counted, (this.storeCalls.get(counted) ?? 0) + 1);
        await sleep(isDown ? STORE_TIMEOUT_MS : CALL_MS / 2 * this.storeSlowdown);
        return process.hasEnded ? new Promise(() => undefined) : result;
    }

    private peersOf(own: () => RouterProcess): PeerCalls {
        const call = async (
            name: string,
            method: string,
            parameters: object,
            timeoutMs: number,
        ): Promise<Result<unknown, PeerFailure>> => {
            await sleep(CALL_MS / 2);
            const process = this.routers.find((router) => router.name === name)?.process;
            const canReceive = process !== undefined
                && (process.isReady || (method === TRANSFER_METHOD && Date.now() - process.startedAt >= START_MS));
            if (own().hasEnded || process === undefined || !canReceive) {
                await sleep(timeoutMs);
                return err({ kind: "no-answer", detail: "timeout" });
            }
            const answer = await (method === TRANSFER_METHOD
                ? receiveOrReject(process.accounts, parameters)
                : process.accounts.lend(parameters));
            await sleep(CALL_MS / 2);
            return answer === undefined ? err({ kind: "no-answer", detail: "rejected" }) : ok(answer);
        };
        return { call } as unknown as PeerCalls;
    }

    private sendRequests(): void {
        setTimeout(() => {
            void this.sendRequest();
            this.sendRequests();
        }, 2 * this.options.requestIntervalMs * randomFraction(this.random));
    }

    private async sendRequest(): Promise<void> {
        const ready = this.routers.flatMap(({ process }) => process?.isReady && !process.isLeaving ? [process] : []);
        const accountIndex = randomBelow(this.random, this.accountIds.length);
        const account = this.accountIds[accountIndex]!;
        const [min, max] = randomElement(this.random, this.options.requestTokens)!;
        const tokens = min + randomBelow(this.random, max - min);
        const isOwed = this.usedTokens(account) + tokens <= OWED_SHARE * this.options.total;
        const other = ready[randomBelow(this.random, ready.length)];
        const process = this.stickyProcess(accountIndex, ready) ?? other;
        const at = Date.now();
        const reservation = await process?.accounts.reserve(account, tokens, TOKEN_WAIT_MS);
        const isServed = process !== undefined && reservation === "reserved";
        const outcome = this.outcomeOf(reservation, process, account, tokens);
        const mayRetry = isOwed && reservation === "short" && this.options.patienceMs !== undefined;
        if (mayRetry && await this.retry(process!, account, tokens, at)) {
            this.requests.push({ at, isServed: true, outcome: "served later" });
        }
        else if (isOwed) {
            this.requests.push({ at, isServed, outcome });
        }
        if (isServed) {
            await this.serve(process, { account, tokens });
        }
    }

    private async retry(process: RouterProcess, account: AccountId, tokens: number, sentAt: number): Promise<boolean> {
        const { patienceMs = 0 } = this.options;
        for (;;) {
            await sleep(process.accounts.retryAfterMs(account, tokens, Date.now() - process.startedAt));
            if (process.hasEnded || Date.now() > sentAt + patienceMs) {
                return false;
            }
            if (await process.accounts.reserve(account, tokens, TOKEN_WAIT_MS) === "reserved") {
                void this.serve(process, { account, tokens });
                return true;
            }
        }
    }

    private stickyProcess(accountIndex: number, ready: readonly RouterProcess[]): RouterProcess | undefined {
        const { stickyShare } = this.options;
        const isSticky = stickyShare !== undefined && randomFraction(this.random) < stickyShare;
        const favourite = this.routers[accountIndex * FAVOURITE_STEP % this.routers.length]!.process;
        return isSticky && favourite !== undefined && ready.includes(favourite) ? favourite : undefined;
    }

    private outcomeOf(
        reservation: string | undefined,
        process: RouterProcess | undefined,
        account: AccountId,
        tokens: number,
    ): RequestOutcome {
        if (reservation === undefined || process === undefined) {
            return "no-router";
        }
        if (reservation === "reserved") {
            return "served";
        }
        const live = this.routers.flatMap(({ name, process: each }) => each === undefined ? [] : [{ ...each, name }]);
        const standing = this.ledger.standingOf(account, this.usedTokens(account), live);
        const own = process.accounts.rows.get(account)!;
        const ownHeld = own.granted - own.used - own.reserved;
        const where = ownHeld >= tokens
            ? "held here, not usable yet"
            : standing.free >= tokens
            ? "free"
            : standing.free + standing.held >= tokens
            ? "held by other routers"
            : standing.unreclaimed + standing.away + standing.free + standing.held >= tokens
            ? "not reclaimed"
            : "counted as used";
        return `${reservation as "exhausted" | "short"}, ${where}`;
    }

    private async serve(process: RouterProcess, request: RunningRequest): Promise<void> {
        process.running.add(request);
        await sleep(RUN_MS[0] + randomBelow(this.random, RUN_MS[1] - RUN_MS[0]));
        if (!process.hasEnded) {
            process.running.delete(request);
            const used = Math.ceil(USED_SHARE * request.tokens);
            this.addUsed(request.account, used);
            process.accounts.settle(request.account, request.tokens, used);
        }
    }
}

// A router that shuts down takes no tokens.
function receiveOrReject(accounts: PrepaidAccounts, parameters: object): object | undefined {
    try {
        return accounts.receiveTransfer(parameters);
    }
    catch {
        return undefined;
    }
}
