import { CONFIGURATION_HEAD_KEY, mergePublication, parseHead, partKey } from "../configuration/publication.js";
import { pageKey, parsePage } from "../ledger/pages.js";
import { applyTopUp, type Bill, formatRecord, ledgerKey, type LedgerRecord, parseRecord } from "../ledger/record.js";
import type { Policy } from "../policy.js";
import { digestText } from "../support/digest.js";
import { createRandom, type Random, randomBelow } from "../support/random.js";
import type { AccountId, EndpointId, FailureDomain, Incarnation, KeyDigest } from "../types/ids.js";
import type { Effect, Message, PeerMessage } from "../types/messages.js";
import type { WorldOptions } from "../world.js";
import { CoreBrain, type RouterBrain } from "./brain.js";
import { FakeCallers, type RequestPlan, type RequestRecord } from "./fake-callers.js";
import { FakeClock } from "./fake-clock.js";
import { type EndpointTruth, FakeEndpoint, type FakeListener, type FakeWork } from "./fake-endpoints.js";
import { FakeKeyValue } from "./fake-key-value.js";
import { FakeRouter } from "./fake-routers.js";
import { FleetJudge, type FleetVerdict, MAIN, SERVICE_CALL_TOKENS } from "./fleet-judge.js";
import { brokenLedgerRules } from "./ledger-rules.js";

/** What a fake fleet consists of. */
export type FleetOptions = {
    readonly seed: number;
    readonly routers: number;
    readonly engines: number;
    readonly services: number;
    readonly slots: number;
    /** Granted tokens by account; each has the budget main. */
    readonly budgets: Readonly<Record<string, number>>;
    readonly policy?: Partial<Policy>;
    readonly createBrain?: (options: WorldOptions, routers: number) => RouterBrain;
    /** Time in ms for which callers keep addresses; undefined to ask before each request. */
    readonly addressLifetimeMs?: number;
    /** Ms by which the routers' clocks are apart at most. */
    readonly skewMs?: number;
    /** Ms per step of an engine; an answer takes a few steps. */
    readonly stepMs?: number;
};

const DOMAINS = ["r1/a", "r1/b", "r1/c", "r1/d"];
const PEER_DELAY_MS = 3;
const ENGINE_STEP_MS = 20;
const SERVICE_STEP_MS = 8;

/** Routers, callers, endpoints and platform on a virtual clock, with faults on command and their own truth. */
export class FakeFleet {
    readonly clock = new FakeClock();
    readonly random: Random;
    readonly keyValue: FakeKeyValue;
    readonly callers: FakeCallers;
    readonly endpoints = new Map<EndpointId, FakeEndpoint>();
    readonly truth: EndpointTruth = {
        starts: new Map(),
        finished: new Map(),
        crashes: 0,
        calls: 0,
        startsAfterLeaving: 0,
    };
    readonly routers: FakeRouter[] = [];
    /** Addresses that cannot exchange messages with the others or the key-value service. */
    readonly isolated = new Set<string>();
    /** Addresses that cannot exchange messages with the others. */
    readonly withoutPeers = new Set<string>();
    /** Tells which messages between routers get lost. */
    losesPeerMessage: (message: PeerMessage) => boolean = () => false;
    /** Addresses that cannot reach the key-value service. */
    readonly withoutKeyValue = new Set<string>();
    /** Broken rules, as they were seen. */
    readonly violations: string[] = [];
    /** Configuration versions adopted by each incarnation, in order. */
    readonly adopted = new Map<Incarnation, number[]>();
    drainedCuts = 0;
    peerMessages = 0;
    probes = 0;
    private nextIncarnation = 1;
    private nextPublication = 1;

    constructor(readonly options: FleetOptions) {
        this.random = createRandom(options.seed);
        this.keyValue = new FakeKeyValue(
            this.clock,
            this.random,
            (key, value) => this.violations.push(...brokenLedgerRules(this, key, value)),
        );
        this.callers = new FakeCallers(
            this.clock,
            this.random,
            () => this.routers,
            (key) => this.truth.starts.has(key),
            (kind) => this.hasRoom(kind),
            options.addressLifetimeMs,
        );
        this.addEndpoints();
        this.publish("base", this.declaration());
        for (const [account, tokens] of Object.entries(options.budgets)) {
            this.topUp(account, "initial", tokens);
        }
        for (let index = 0; index < options.routers; index++) {
            this.startRouter(`http://10.0.0.${index + 1}:7000`);
        }
    }

    /** Lets virtual time pass. */
    run(time: number): void {
        this.clock.runUntil(this.clock.now + time);
    }

    /** Does something after some ms. */
    at(delay: number, action: () => void): void {
        this.clock.after(delay, action);
    }

    /** Starts a router at an address. */
    startRouter(address: string): FakeRouter {
        const incarnation = `router-${this.nextIncarnation++}` as Incarnation;
        const domain = DOMAINS[this.routers.length % DOMAINS.length] as FailureDomain;
        const skewMs = this.options.skewMs === undefined ? 0 : randomBelow(this.random, this.options.skewMs);
        const options: WorldOptions = {
            self: { incarnation, address, domain },
            seed: this.options.seed * 1_000 + this.nextIncarnation,
            now: this.clock.now + skewMs,
            ...(this.options.policy === undefined ? {} : { policy: this.options.policy }),
        };
        const brain = this.options.createBrain?.(options, this.options.routers) ?? new CoreBrain(options);
        const router = new FakeRouter(
            incarnation,
            address,
            domain,
            brain,
            this.clock,
            (from, effect) => this.carryOut(from, effect),
            skewMs,
        );
        this.routers.push(router);
        router.deliver({ kind: "instances", peers: this.instances() });
        return router;
    }

    /** Ends a router process at once. */
    kill(router: FakeRouter): void {
        router.state = "dead";
        this.callers.loseAll(router);
    }

    /** Puts a new router at the address of one that died. */
    replace(router: FakeRouter): FakeRouter {
        this.routers.splice(this.routers.indexOf(router), 1);
        this.dead.push(router);
        return this.startRouter(router.address);
    }

    private readonly dead: FakeRouter[] = [];
    private readonly grants = new Map<string, { id: string; tokens: number; at: number; }[]>();
    private readonly pages = new Map<string, ReadonlyMap<KeyDigest, Bill>>();

    /** Sends a request of the usual kinds. */
    send(plan: Omit<Partial<RequestPlan>, "account"> & { account: string; }): RequestRecord {
        const outputTokens = plan.outputTokens ?? 40;
        return this.callers.send({
            budget: MAIN,
            target: { kind: "model", model: "m", promptTokens: 20, maxTokens: 60, prefix: plan.account },
            idempotent: true,
            outputTokens,
            chunks: 4,
            poison: false,
            mostAttempts: 4,
            timeoutMs: 20_000,
            impatientAfterMs: undefined,
            ...plan,
            account: plan.account as AccountId,
        });
    }

    /** Sends a service call that may not be repeated. */
    sendAction(account: string, plan: Partial<RequestPlan> = {}): RequestRecord {
        const target = { kind: "service", service: "s", operation: "act" } as const;
        return this.send({ target, idempotent: false, chunks: 1, outputTokens: 0, ...plan, account });
    }

    /** Adds tokens to an account's budget, once per id. */
    topUp(account: string, id: string, tokens: number): void {
        const grants = this.grants.get(account) ?? [];
        if (!grants.some((grant) => grant.id === id)) {
            grants.push({ id, tokens, at: this.clock.now });
        }
        this.grants.set(account, grants);
        this.keyValue.change(ledgerKey(account), (value) => {
            const record = parseRecord(value);
            applyTopUp(record, id, { budget: MAIN, tokens, at: this.clock.now });
            return formatRecord(record);
        });
    }

    /** Publishes one declaration file. */
    publish(path: string, text: string): void {
        this.keyValue.change(partKey(digestText(text)), () => text);
        this.keyValue.change(CONFIGURATION_HEAD_KEY, (value) => {
            const head = parseHead(value);
            const id = `publication-${this.nextPublication++}`;
            const publication = {
                id,
                by: "operator",
                at: this.clock.now,
                base: head.version,
                changes: { [path]: text },
            };
            return JSON.stringify(mergePublication(head, publication)._unsafeUnwrap());
        });
    }

    /** Returns the ledger record of an account. */
    record(account: string): LedgerRecord {
        return parseRecord(this.keyValue.values.get(ledgerKey(account))?.value);
    }

    /** Returns all bills of an account, those of its pages included. */
    bills(account: string): Map<KeyDigest, Bill> {
        const record = this.record(account);
        const pages = record.pages.flatMap((page) => [...this.page(account, page.id)]);
        return new Map([...pages, ...Object.entries<Bill>(record.bills) as [KeyDigest, Bill][]]);
    }

    private hasRoom(kind: "model" | "service"): boolean {
        const prefix = kind === "model" ? "engine" : "service";
        return [...this.endpoints].some(([id, endpoint]) => id.startsWith(prefix) && endpoint.hasRoom());
    }

    private page(account: string, id: string): ReadonlyMap<KeyDigest, Bill> {
        const known = this.pages.get(id);
        const stored = this.keyValue.values.get(pageKey(account, id))?.value;
        const page = known ?? parsePage(stored);
        if (stored !== undefined) {
            this.pages.set(id, page);
        }
        return page;
    }

    private instances(): { address: string; leaving: boolean; }[] {
        return Array.from({ length: this.options.routers }, (unused, index) => ({
            address: `http://10.0.0.${index + 1}:7000`,
            leaving: false,
        }));
    }

    private addEndpoints(): void {
        const { engines, services, slots } = this.options;
        const stepMs = this.options.stepMs ?? ENGINE_STEP_MS;
        for (let index = 0; index < engines; index++) {
            const id = `engine-${index}` as EndpointId;
            this.endpoints.set(id, new FakeEndpoint(id, "model", slots, stepMs, this.clock, this.random, this.truth));
        }
        for (let index = 0; index < services; index++) {
            const id = `service-${index}` as EndpointId;
            this.endpoints.set(
                id,
                new FakeEndpoint(id, "service", slots, SERVICE_STEP_MS, this.clock, this.random, this.truth),
            );
        }
    }

    private declaration(): string {
        const accounts = Object.keys(this.options.budgets);
        return JSON.stringify({
            accounts: accounts.map((id) => ({
                id,
                credentialDigests: [Buffer.from(digestText(id), "base64url").toString("hex")],
            })),
            budgets: accounts.map((account) => ({ account, id: MAIN })),
            endpoints: [...this.endpoints.keys()].map((id, index) => ({
                id,
                kind: id.startsWith("engine") ? "model" : "service",
                address: `http://10.0.1.${index + 1}:8000`,
                domain: DOMAINS[index % DOMAINS.length],
                serves: [id.startsWith("engine") ? "m" : "s"],
                slots: this.options.slots,
            })),
            operations: [
                {
                    service: "s",
                    id: "act",
                    method: "POST",
                    path: "/act",
                    idempotent: false,
                    tokens: SERVICE_CALL_TOKENS,
                },
                {
                    service: "s",
                    id: "look",
                    method: "GET",
                    path: "/look",
                    idempotent: true,
                    tokens: SERVICE_CALL_TOKENS,
                },
            ],
        });
    }

    private carryOut(router: FakeRouter, effect: Effect): void {
        switch (effect.kind) {
            case "caller-chunk":
            case "caller-restart":
            case "caller-end":
            case "caller-refused":
                return this.callers.receive(effect);
            case "dispatch":
                return this.dispatch(router, effect);
            case "cancel":
                return this.cancel(router, effect);
            case "probe":
                return this.probe(router, effect.endpoint);
            case "key-value-get":
                return this.callKeyValue(router, effect.call, (reply) => this.keyValue.get(effect.key, reply));
            case "key-value-version":
                return this.callKeyValue(router, effect.call, (reply) => this.keyValue.versionOf(effect.key, reply));
            case "key-value-swap":
                return this.callKeyValue(router, effect.call, (reply) => {
                    this.keyValue.swap(effect.key, effect.expected, effect.value, reply);
                });
            case "peer-send":
                return this.sendPeer(router, effect);
            case "configuration-adopted":
                this.adopted.set(router.incarnation, [...this.adopted.get(router.incarnation) ?? [], effect.version]);
                return;
            case "drained":
                this.drainedCuts += this.callers.openAt(router);
                router.state = "dead";
                router.hasDrained = true;
                return;
            case "body-released":
            case "retried":
            case "trace":
                return;
        }
    }

    private dispatch(router: FakeRouter, effect: Extract<Effect, { kind: "dispatch"; }>): void {
        const { run, dispatch } = effect;
        const found = this.callers.recordOf(effect.call);
        if (found === undefined) {
            this.violations.push("a body was needed after its release");
            return;
        }
        this.noteDispatch(found.record, found.attempt, effect.resumeAt);
        const call = { dispatch, open: true };
        router.calls.set(run, call);
        const send = (message: Message): void => {
            if (call.open) {
                router.deliver(message);
            }
        };
        const listener: FakeListener = {
            chunk: (chunk) => send({ kind: "endpoint-chunk", run, dispatch, chunk }),
            alive: () => send({ kind: "endpoint-alive", run, dispatch }),
            end: (end) => send({ kind: "endpoint-end", run, dispatch, end }),
            failed: (failure, written) => send({ kind: "endpoint-failed", run, dispatch, failure, written }),
            isOpen: () => call.open && router.state !== "dead",
        };
        const { plan, key } = found.record;
        const work: FakeWork = {
            key,
            stream: effect.stream,
            promptTokens: plan.target.kind === "model" ? Math.ceil(plan.target.promptTokens / 2) : 0,
            outputTokens: plan.outputTokens,
            chunks: plan.chunks,
            poison: plan.poison,
        };
        this.endpoints.get(effect.endpoint)!.send(work, effect.resumeAt, listener);
    }

    // A request that was refused as not run must not run for that attempt or an earlier one.
    private noteDispatch(record: RequestRecord, attempt: number, resumeAt: number | undefined): void {
        if (resumeAt === undefined && attempt <= record.notRunUpTo) {
            record.dishonest = true;
        }
    }

    private cancel(router: FakeRouter, effect: Extract<Effect, { kind: "cancel"; }>): void {
        const call = router.calls.get(effect.run);
        if (call !== undefined) {
            call.open = false;
        }
        if (effect.stop) {
            this.endpoints.get(effect.endpoint)?.cancel(effect.stream);
        }
    }

    private probe(router: FakeRouter, endpoint: EndpointId): void {
        this.probes++;
        this.clock.after(PEER_DELAY_MS, () => {
            const report = this.endpoints.get(endpoint)?.load();
            router.deliver({ kind: "load-report", endpoint, report });
        });
    }

    private callKeyValue(
        router: FakeRouter,
        call: Extract<Effect, { kind: "key-value-get"; }>["call"],
        send: (reply: (result: Extract<Message, { kind: "key-value-reply"; }>["result"]) => void) => void,
    ): void {
        const cut = (): boolean => this.isolated.has(router.address) || this.withoutKeyValue.has(router.address);
        if (cut()) {
            this.clock.after(
                100,
                () => router.deliver({ kind: "key-value-reply", call, result: { kind: "unavailable" } }),
            );
            return;
        }
        send((result) => {
            const told = cut() ? { kind: "unknown" } as const : result;
            router.deliver({ kind: "key-value-reply", call, result: told });
        });
    }

    private sendPeer(router: FakeRouter, effect: Extract<Effect, { kind: "peer-send"; }>): void {
        this.peerMessages++;
        if (this.losesPeerMessage(effect.message)) {
            return;
        }
        this.clock.after(1 + randomBelow(this.random, PEER_DELAY_MS), () => {
            const target = this.routers.find((other) => other.address === effect.address && other.state !== "dead");
            const cut = [this.isolated, this.withoutPeers].some((group) =>
                group.has(router.address) !== group.has(effect.address)
            );
            if (target !== undefined && !cut && router.state !== "dead") {
                // Messages are data: what is delivered shares nothing with the sender.
                const message = structuredClone(effect.message);
                target.deliver({ kind: "peer-message", from: router.incarnation, to: effect.to, message });
            }
        });
    }

    /** Judges the run so far by the fakes' own truth. */
    verdict(): FleetVerdict {
        return new FleetJudge(this).verdict();
    }

    /** Returns the tokens granted to an account by a time. */
    grantedBy(account: string, at: number): number {
        const granted = this.grants.get(account) ?? [];
        return granted.filter((grant) => grant.at <= at).reduce((sum, grant) => sum + grant.tokens, 0);
    }
}
