import { digestBody, digestKey } from "../support/digest.js";
import { type Random, randomBelow, randomElement } from "../support/random.js";
import type { AccountId, BudgetId, CallId, KeyDigest, RequestKey } from "../types/ids.js";
import type { Arrival, Effect, ResumePoint, Target } from "../types/messages.js";
import type { Refusal } from "../types/outcomes.js";
import type { FakeClock } from "./fake-clock.js";
import type { FakeRouter } from "./fake-routers.js";

/** A request that a caller makes. */
export type RequestPlan = {
    readonly account: AccountId;
    readonly budget: BudgetId;
    readonly target: Target;
    readonly idempotent: boolean;
    readonly outputTokens: number;
    readonly chunks: number;
    readonly poison: boolean;
    /** Attempts that the caller makes. */
    readonly mostAttempts: number;
    readonly timeoutMs: number;
    /** Ms after which the caller also sends an attempt elsewhere, without waiting for the first. */
    readonly impatientAfterMs: number | undefined;
};

/** A request as it went. */
export type RequestRecord = {
    readonly plan: RequestPlan;
    readonly key: RequestKey;
    readonly keyDigest: KeyDigest;
    readonly sentAt: number;
    attempts: number;
    result: "open" | "whole" | "refused" | "lost";
    broken: boolean;
    refusals: { refusal: Refusal; attempt: number; at: number; hadRoom: boolean; }[];
    /** Attempts whose end, as not run, binds the fleet. */
    notRunUpTo: number;
    /** Attempts that were all refused as not run, from the first on. */
    notRunThrough: number;
    dishonest: boolean;
    /** Routers that had the bill when the answer ended. */
    keepers: readonly string[];
    /** True when the key-value service did not answer then. */
    ledgerAway: boolean;
    endedAt: number | undefined;
};

type OpenCall = {
    readonly record: RequestRecord;
    readonly router: FakeRouter;
    readonly attempt: number;
    pieces: string[];
    next: number;
    resume: ResumePoint | undefined;
    resumedAt: number;
};

const RETRY_PAUSE_MS = 30;
const SILENCE_MS = 8_000;

/** Callers that retry by key, continue streams, and keep what they were told. */
export class FakeCallers {
    readonly records: RequestRecord[] = [];
    readonly byKey = new Map<string, RequestRecord>();
    private readonly open = new Map<CallId, OpenCall>();
    private nextCall = 1;
    private nextKey = 1;
    private preferred: FakeRouter | undefined;
    /** Requests whose named router had ended its drain before the address expired. */
    lateAddresses = 0;
    private readonly named = new Map<AccountId, { readonly addresses: readonly string[]; readonly until: number; }>();

    constructor(
        private readonly clock: FakeClock,
        private readonly random: Random,
        private readonly routers: () => readonly FakeRouter[],
        private readonly wasStarted: (key: string) => boolean,
        private readonly hasRoom: (kind: "model" | "service") => boolean,
        /** Time in ms for which callers keep addresses; undefined to ask before each request. */
        private readonly addressLifetimeMs: number | undefined,
    ) {}

    /** Sends a request to a router of the test's choice first. */
    sendTo(router: FakeRouter, plan: RequestPlan): RequestRecord {
        this.preferred = router;
        const record = this.send(plan);
        this.preferred = undefined;
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
            broken: false,
            refusals: [],
            notRunUpTo: 0,
            notRunThrough: 0,
            dishonest: false,
            keepers: [],
            ledgerAway: false,
            endedAt: undefined,
        };
        this.records.push(record);
        this.byKey.set(key, record);
        this.attempt(record, [], undefined);
        if (plan.impatientAfterMs !== undefined) {
            this.clock.after(plan.impatientAfterMs, () => {
                if (record.result === "open") {
                    this.attempt(record, [], undefined);
                }
            });
        }
        return record;
    }

    /** Returns the record behind a call. */
    recordOf(call: CallId): { record: RequestRecord; attempt: number; } | undefined {
        const open = this.open.get(call) ?? this.closed.get(call);
        return open === undefined ? undefined : { record: open.record, attempt: open.attempt };
    }

    private readonly closed = new Map<CallId, OpenCall>();

    private attempt(record: RequestRecord, pieces: string[], resume: ResumePoint | undefined): void {
        const router = this.chooseRouter(record);
        if (router === undefined) {
            this.clock.after(RETRY_PAUSE_MS * 10, () => this.again(record, pieces, resume));
            return;
        }
        record.attempts++;
        const call = `call-${this.nextCall++}` as CallId;
        const resumedAt = resume === undefined ? 0 : pieces.length;
        const kept = resume === undefined ? [] : pieces;
        const open: OpenCall = {
            record,
            router,
            attempt: record.attempts,
            pieces: kept,
            next: resumedAt,
            resume,
            resumedAt,
        };
        this.open.set(call, open);
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
            resume: resume === undefined ? undefined : { ...resume, offset: resumedAt },
        };
        router.deliver({ kind: "request-arrived", arrival });
        this.watch(call, resumedAt);
    }

    // A caller that hears nothing for long leaves, as one whose connection went silent.
    private watch(call: CallId, heard: number): void {
        this.clock.after(SILENCE_MS, () => {
            const open = this.open.get(call);
            if (open === undefined) {
                return;
            }
            if (open.next > heard) {
                this.watch(call, open.next);
                return;
            }
            open.router.deliver({ kind: "caller-gone", call });
            this.lose(call);
        });
    }

    private chooseRouter(record: RequestRecord): FakeRouter | undefined {
        if (this.preferred !== undefined) {
            return this.preferred;
        }
        const live = this.routers().filter((router) => router.isReachable());
        const asked = randomElement(this.random, live.filter((router) => router.state === "running"));
        const addresses = this.addressesOf(record.plan.account, asked);
        const named = addresses.map((address) => live.find((router) => router.address === address));
        const index = Math.min(record.attempts, named.length - 1);
        const isLate = this.routers().some((router) => router.address === addresses[index] && router.hasDrained);
        this.lateAddresses += isLate ? 1 : 0;
        return named[index] ?? asked;
    }

    private addressesOf(account: AccountId, asked: FakeRouter | undefined): readonly string[] {
        const known = this.named.get(account);
        if (known !== undefined && this.clock.now < known.until) {
            return known.addresses;
        }
        const addresses = asked?.brain.addresses(account, asked.now) ?? [];
        if (this.addressLifetimeMs !== undefined) {
            this.named.set(account, { addresses, until: this.clock.now + this.addressLifetimeMs });
        }
        return addresses;
    }

    /** Takes in what a router sends to a caller. */
    receive(effect: Extract<Effect, { call: CallId; kind: `caller-${string}`; }>): void {
        const open = this.open.get(effect.call);
        if (open === undefined) {
            return;
        }
        switch (effect.kind) {
            case "caller-chunk":
                open.resume = effect.resume ?? open.resume;
                if (effect.chunk.offset === open.next) {
                    open.pieces.push(effect.chunk.data);
                    open.next++;
                }
                return;
            case "caller-restart":
                open.pieces = [];
                open.next = 0;
                open.resume = undefined;
                return;
            case "caller-end":
                return this.finish(effect.call, open, effect.end.chunks);
            case "caller-refused":
                return this.refuse(effect.call, open, effect.refusal);
        }
    }

    private finish(call: CallId, open: OpenCall, chunks: number): void {
        this.close(call);
        const { record } = open;
        const stream = open.pieces[0]?.split(":")[0];
        const contiguous = open.pieces.every((piece, index) => piece === `${stream}:${index}`);
        if (open.pieces.length !== chunks || !contiguous || chunks !== record.plan.chunks) {
            record.broken = true;
        }
        record.result = "whole";
        record.endedAt ??= this.clock.now;
        const world = open.router.brain.world;
        record.keepers = [open.router.incarnation, ...world?.openBills.get(record.keyDigest)?.keptBy ?? []];
        record.ledgerAway = world?.keyValueFailingSince !== undefined;
    }

    private refuse(call: CallId, open: OpenCall, refusal: Refusal): void {
        this.close(call);
        const { record } = open;
        const hadRoom = this.hasRoom(record.plan.target.kind);
        record.refusals.push({ refusal, attempt: open.attempt, at: this.clock.now, hadRoom });
        if (refusal.outcome === "not-run") {
            record.notRunUpTo = Math.max(record.notRunUpTo, open.attempt);
            record.notRunThrough += open.attempt === record.notRunThrough + 1 ? 1 : 0;
            record.dishonest ||= open.attempt === record.attempts && this.wasStarted(record.key);
        }
        const unsafe = !record.plan.idempotent && refusal.outcome !== "not-run" && randomBelow(this.random, 2) === 0;
        if (record.result !== "open") {
            return;
        }
        if (record.attempts >= record.plan.mostAttempts || isFinal(refusal) || unsafe) {
            record.result = "refused";
            record.endedAt = this.clock.now;
            return;
        }
        const pause = Math.max(RETRY_PAUSE_MS * 2 ** record.attempts, Math.min(refusal.retryAfterMs, 1_000));
        this.clock.after(pause, () => this.again(record, open.pieces, open.resume));
    }

    private again(record: RequestRecord, pieces: string[], resume: ResumePoint | undefined): void {
        if (record.result !== "open") {
            return;
        }
        if (this.clock.now - record.sentAt > record.plan.timeoutMs) {
            record.result = "lost";
            record.endedAt = this.clock.now;
            return;
        }
        this.attempt(record, pieces, resume);
    }

    /** Ends a connection without a word, as when its router dies. */
    lose(call: CallId): void {
        const open = this.open.get(call);
        if (open === undefined) {
            return;
        }
        this.close(call);
        const { record } = open;
        if (record.attempts >= record.plan.mostAttempts) {
            record.result = record.result === "open" ? "lost" : record.result;
            return;
        }
        this.clock.after(RETRY_PAUSE_MS, () => this.again(record, open.pieces, open.resume));
    }

    /** Ends all connections to a router. */
    loseAll(router: FakeRouter): void {
        for (const [call, open] of [...this.open]) {
            if (open.router === router) {
                this.lose(call);
            }
        }
    }

    /** Returns the number of open connections to a router. */
    openAt(router: FakeRouter): number {
        return [...this.open.values()].filter((open) => open.router === router).length;
    }

    private close(call: CallId): void {
        const open = this.open.get(call);
        if (open !== undefined) {
            this.closed.set(call, open);
        }
        this.open.delete(call);
    }
}

function isFinal(refusal: Refusal): boolean {
    return ["budget-exhausted", "claimed-elsewhere", "poison-request", "key-reused"].includes(refusal.reason);
}
