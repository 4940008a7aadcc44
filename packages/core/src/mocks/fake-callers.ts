import { digestBody, digestKey } from "../support/digest.js";
import { type Random, randomBelow, randomElement } from "../support/random.js";
import type { AccountId, BudgetId, CallId, KeyDigest, RequestKey } from "../types/ids.js";
import type { Arrival, Effect, ResumePoint, Target } from "../types/messages.js";
import type { Refusal } from "../types/outcomes.js";
import type { FakeClock } from "./fake-clock.js";
import type { FakeRouter } from "./fake-routers.js";

/** Parameters of a request, and how its caller behaves. */
export type RequestPlan = {
    readonly account: AccountId;
    readonly budget: BudgetId;
    readonly target: Target;
    readonly idempotent: boolean;
    readonly outputTokens: number;
    readonly chunks: number;
    readonly poison: boolean;
    /** Number of attempts after which the caller no longer retries. */
    readonly mostAttempts: number;
    readonly timeoutMs: number;
    /** Ms after which the caller hedges: it sends another attempt without waiting for the first. */
    readonly hedgeAfterMs: number | undefined;
};

/** What the caller observed of a request, and how it ended. */
export type RequestRecord = {
    readonly plan: RequestPlan;
    readonly key: RequestKey;
    readonly keyDigest: KeyDigest;
    readonly sentAt: number;
    attempts: number;
    result: "open" | "whole" | "refused" | "lost";
    /** True when a completed answer had missing, extra or misplaced chunks. */
    answerCorrupted: boolean;
    refusals: { refusal: Refusal; attempt: number; at: number; hadCapacity: boolean; }[];
    /** Highest attempt refused as not run; dispatching it or an earlier one later makes that refusal false. */
    highestNotRunAttempt: number;
    /** Number of consecutive attempts, from the first, that were refused as not run. */
    notRunThrough: number;
    /** True when a request reported as not run had run, or that attempt or an earlier one was dispatched later. */
    falselyNotRun: boolean;
    /** Incarnations that had the bill when the answer ended. */
    routersWithBill: readonly string[];
    /** True when the key-value service was failing for the answering router at that time. */
    ledgerUnavailable: boolean;
    endedAt: number | undefined;
};

type OpenCall = {
    readonly record: RequestRecord;
    readonly router: FakeRouter;
    readonly attempt: number;
    receivedChunks: string[];
    nextOffset: number;
    resume: ResumePoint | undefined;
    resumeOffset: number;
};

const RETRY_DELAY_MS = 30;
const INACTIVITY_TIMEOUT_MS = 8_000;

/** Callers that retry with the same key, resume streams, and record every response. */
export class FakeCallers {
    readonly records: RequestRecord[] = [];
    readonly recordsByKey = new Map<string, RequestRecord>();
    private readonly openCalls = new Map<CallId, OpenCall>();
    private nextCall = 1;
    private nextKey = 1;
    private forcedRouter: FakeRouter | undefined;
    /** Attempts whose address, not yet expired, belonged to a router that had already completed its drain. */
    attemptsToDrainedRouters = 0;
    private readonly addressCache = new Map<
        AccountId,
        { readonly addresses: readonly string[]; readonly expiresAt: number; }
    >();

    constructor(
        private readonly clock: FakeClock,
        private readonly random: Random,
        private readonly routers: () => readonly FakeRouter[],
        private readonly wasStarted: (key: string) => boolean,
        private readonly hasCapacity: (kind: "model" | "service") => boolean,
        /** Time in ms for which callers cache addresses; undefined to query them before each attempt. */
        private readonly addressLifetimeMs: number | undefined,
    ) {}

    /** Sends a request whose first attempt goes to the given router. */
    sendTo(router: FakeRouter, plan: RequestPlan): RequestRecord {
        this.forcedRouter = router;
        const record = this.send(plan);
        this.forcedRouter = undefined;
        return record;
    }

    /** Sends a request. */
    send(plan: RequestPlan): RequestRecord {
        const key = `key-${this.nextKey++}` as RequestKey;
        const record: RequestRecord = {
            plan,
            key,
            keyDigest: digestKey(plan.account, key),
            sentAt: this.clock.now,
            attempts: 0,
            result: "open",
            answerCorrupted: false,
            refusals: [],
            highestNotRunAttempt: 0,
            notRunThrough: 0,
            falselyNotRun: false,
            routersWithBill: [],
            ledgerUnavailable: false,
            endedAt: undefined,
        };
        this.records.push(record);
        this.recordsByKey.set(key, record);
        this.attempt(record, [], undefined);
        if (plan.hedgeAfterMs !== undefined) {
            this.clock.after(plan.hedgeAfterMs, () => {
                if (record.result === "open") {
                    this.attempt(record, [], undefined);
                }
            });
        }
        return record;
    }

    /** Returns the request record and attempt number of an open or closed call. */
    recordOf(call: CallId): { record: RequestRecord; attempt: number; } | undefined {
        const open = this.openCalls.get(call) ?? this.closedCalls.get(call);
        return open === undefined ? undefined : { record: open.record, attempt: open.attempt };
    }

    private readonly closedCalls = new Map<CallId, OpenCall>();

    private attempt(record: RequestRecord, receivedChunks: string[], resume: ResumePoint | undefined): void {
        const router = this.chooseRouter(record);
        if (router === undefined) {
            this.clock.after(RETRY_DELAY_MS * 10, () => this.retry(record, receivedChunks, resume));
            return;
        }
        record.attempts++;
        const call = `call-${this.nextCall++}` as CallId;
        const resumeOffset = resume === undefined ? 0 : receivedChunks.length;
        const retainedChunks = resume === undefined ? [] : receivedChunks;
        const open: OpenCall = {
            record,
            router,
            attempt: record.attempts,
            receivedChunks: retainedChunks,
            nextOffset: resumeOffset,
            resume,
            resumeOffset,
        };
        this.openCalls.set(call, open);
        const arrival: Arrival = {
            call,
            account: record.plan.account,
            budget: record.plan.budget,
            key: record.key,
            keyMinted: false,
            attempt: record.attempts,
            notRunThrough: record.notRunThrough,
            deadline: record.sentAt + record.plan.timeoutMs + router.skewMs,
            target: record.plan.target,
            bodyDigest: digestBody(record.plan.account, record.plan.poison ? "poison" : record.key),
            resume: resume === undefined ? undefined : { ...resume, offset: resumeOffset },
        };
        router.deliver({ kind: "request-arrived", arrival });
        this.watchForInactivity(call, resumeOffset);
    }

    // Disconnects when no chunk arrives for a while, as callers do when a connection stalls.
    private watchForInactivity(call: CallId, lastOffset: number): void {
        this.clock.after(INACTIVITY_TIMEOUT_MS, () => {
            const open = this.openCalls.get(call);
            if (open === undefined) {
                return;
            }
            if (open.nextOffset > lastOffset) {
                this.watchForInactivity(call, open.nextOffset);
                return;
            }
            open.router.deliver({ kind: "caller-gone", call });
            this.dropConnection(call);
        });
    }

    private chooseRouter(record: RequestRecord): FakeRouter | undefined {
        if (this.forcedRouter !== undefined) {
            return this.forcedRouter;
        }
        const reachable = this.routers().filter((router) => router.isReachable());
        const queriedRouter = randomElement(this.random, reachable.filter((router) => router.state === "running"));
        const addresses = this.addressesOf(record.plan.account, queriedRouter);
        const candidates = addresses.map((address) => reachable.find((router) => router.address === address));
        const index = Math.min(record.attempts, candidates.length - 1);
        const targetHasDrained = this.routers().some((router) =>
            router.address === addresses[index] && router.hasDrained
        );
        this.attemptsToDrainedRouters += targetHasDrained ? 1 : 0;
        return candidates[index] ?? queriedRouter;
    }

    private addressesOf(account: AccountId, queriedRouter: FakeRouter | undefined): readonly string[] {
        const cached = this.addressCache.get(account);
        if (cached !== undefined && this.clock.now < cached.expiresAt) {
            return cached.addresses;
        }
        const addresses = queriedRouter?.strategy.addresses(account, queriedRouter.now) ?? [];
        if (this.addressLifetimeMs !== undefined) {
            this.addressCache.set(account, { addresses, expiresAt: this.clock.now + this.addressLifetimeMs });
        }
        return addresses;
    }

    /** Handles an effect that a router sends to a caller. */
    receive(effect: Extract<Effect, { call: CallId; kind: `caller-${string}`; }>): void {
        const open = this.openCalls.get(effect.call);
        if (open === undefined) {
            return;
        }
        switch (effect.kind) {
            case "caller-chunk":
                open.resume = effect.resume ?? open.resume;
                if (effect.chunk.offset === open.nextOffset) {
                    open.receivedChunks.push(effect.chunk.data);
                    open.nextOffset++;
                }
                return;
            case "caller-restart":
                open.receivedChunks = [];
                open.nextOffset = 0;
                open.resume = undefined;
                return;
            case "caller-end":
                return this.handleEnd(effect.call, open, effect.end.chunks);
            case "caller-refused":
                return this.handleRefusal(effect.call, open, effect.refusal);
        }
    }

    private handleEnd(call: CallId, open: OpenCall, chunks: number): void {
        this.close(call);
        const { record } = open;
        const stream = open.receivedChunks[0]?.split(":")[0];
        const isContiguous = open.receivedChunks.every((chunk, index) => chunk === `${stream}:${index}`);
        if (open.receivedChunks.length !== chunks || !isContiguous || chunks !== record.plan.chunks) {
            record.answerCorrupted = true;
        }
        record.result = "whole";
        record.endedAt ??= this.clock.now;
        const world = open.router.strategy.world;
        record.routersWithBill = [open.router.incarnation, ...world?.openBills.get(record.keyDigest)?.keptBy ?? []];
        record.ledgerUnavailable = world?.keyValueFailingSince !== undefined;
    }

    private handleRefusal(call: CallId, open: OpenCall, refusal: Refusal): void {
        this.close(call);
        const { record } = open;
        const hadCapacity = this.hasCapacity(record.plan.target.kind);
        record.refusals.push({ refusal, attempt: open.attempt, at: this.clock.now, hadCapacity });
        if (refusal.outcome === "not-run") {
            record.highestNotRunAttempt = Math.max(record.highestNotRunAttempt, open.attempt);
            record.notRunThrough += open.attempt === record.notRunThrough + 1 ? 1 : 0;
            record.falselyNotRun ||= open.attempt === record.attempts && this.wasStarted(record.key);
        }
        const avoidsRepeat = !record.plan.idempotent && refusal.outcome !== "not-run"
            && randomBelow(this.random, 2) === 0;
        if (record.result !== "open") {
            return;
        }
        if (record.attempts >= record.plan.mostAttempts || isFinal(refusal) || avoidsRepeat) {
            record.result = "refused";
            record.endedAt = this.clock.now;
            return;
        }
        const delayMs = Math.max(RETRY_DELAY_MS * 2 ** record.attempts, Math.min(refusal.retryAfterMs, 1_000));
        this.clock.after(delayMs, () => this.retry(record, open.receivedChunks, open.resume));
    }

    private retry(record: RequestRecord, receivedChunks: string[], resume: ResumePoint | undefined): void {
        if (record.result !== "open") {
            return;
        }
        if (this.clock.now - record.sentAt > record.plan.timeoutMs) {
            record.result = "lost";
            record.endedAt = this.clock.now;
            return;
        }
        this.attempt(record, receivedChunks, resume);
    }

    /** Closes a connection without a response, as when its router dies. */
    dropConnection(call: CallId): void {
        const open = this.openCalls.get(call);
        if (open === undefined) {
            return;
        }
        this.close(call);
        const { record } = open;
        if (record.attempts >= record.plan.mostAttempts) {
            record.result = record.result === "open" ? "lost" : record.result;
            return;
        }
        this.clock.after(RETRY_DELAY_MS, () => this.retry(record, open.receivedChunks, open.resume));
    }

    /** Closes all connections to a router without a response. */
    dropConnectionsTo(router: FakeRouter): void {
        for (const [call, open] of [...this.openCalls]) {
            if (open.router === router) {
                this.dropConnection(call);
            }
        }
    }

    /** Returns the number of open connections to a router. */
    countOpenCalls(router: FakeRouter): number {
        return [...this.openCalls.values()].filter((open) => open.router === router).length;
    }

    private close(call: CallId): void {
        const open = this.openCalls.get(call);
        if (open !== undefined) {
            this.closedCalls.set(call, open);
        }
        this.openCalls.delete(call);
    }
}

function isFinal(refusal: Refusal): boolean {
    return ["budget-exhausted", "claimed-elsewhere", "poison-request", "key-reused"].includes(refusal.reason);
}
