import { CONFIGURATION_HEAD_KEY, mergePublication, parseHead, partKey } from "../configuration/publication.js";
import { pageKey, parsePage } from "../ledger/pages.js";
import { applyTopUp, type Bill, formatRecord, ledgerKey, type LedgerRecord, parseRecord } from "../ledger/record.js";
import type { Policy } from "../policy.js";
import { digestText } from "../support/digest.js";
import { createRandom, type Random, randomBelow } from "../support/random.js";
import type { AccountId, EndpointId, FailureDomain, Incarnation, KeyDigest } from "../types/ids.js";
import type { Effect, Message, PeerMessage } from "../types/messages.js";
import type { WorldOptions } from "../world.js";
import { FakeCallers, type RequestPlan, type RequestRecord } from "./fake-callers.js";
import { FakeClock } from "./fake-clock.js";
import { type AnswerListener, type EndpointTruth, FakeEndpoint, type FakeEndpointRequest } from "./fake-endpoints.js";
import { FakeKeyValue } from "./fake-key-value.js";
import { FakeRouter } from "./fake-routers.js";
import { FleetChecker, type FleetVerdict, MAIN_BUDGET, SERVICE_CALL_TOKENS } from "./fleet-checker.js";
import { ledgerViolations } from "./ledger-rules.js";
import { CoreStrategy, type RouterStrategy } from "./router-strategy.js";

/** Seed, size and settings of a fake fleet. */
export type FleetOptions = {
    readonly seed: number;
    readonly routers: number;
    readonly engines: number;
    readonly services: number;
    readonly slots: number;
    /** Granted tokens by account; each account has one budget, `main`. */
    readonly budgets: Readonly<Record<string, number>>;
    readonly policy?: Partial<Policy>;
    readonly createStrategy?: (options: WorldOptions, routers: number) => RouterStrategy;
    /** Time in ms for which callers cache addresses; undefined to query them before each attempt. */
    readonly addressLifetimeMs?: number;
    /** Exclusive upper bound in ms of the routers' random clock skew. */
    readonly skewMs?: number;
    /** Minimum ms per step of an engine, which emits one chunk per step. */
    readonly stepMs?: number;
};

const DOMAINS = ["r1/a", "r1/b", "r1/c", "r1/d"];
const PEER_DELAY_MS = 3;
const ENGINE_STEP_MS = 20;
const SERVICE_STEP_MS = 8;

/** Simulated routers, callers, endpoints and key-value service on a virtual clock, with fault injection. */
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
    /** Addresses of routers partitioned from the key-value service and from the routers outside this set. */
    readonly partitioned = new Set<string>();
    /** Addresses of routers partitioned only from the routers outside this set. */
    readonly partitionedFromPeers = new Set<string>();
    /** Returns true for messages between routers that are to be dropped. */
    losesPeerMessage: (message: PeerMessage) => boolean = () => false;
    /** Addresses of routers partitioned only from the key-value service. */
    readonly partitionedFromKeyValue = new Set<string>();
    /** Violated invariants, in the order detected. */
    readonly violations: string[] = [];
    /** Configuration versions adopted by each incarnation, in order. */
    readonly adoptedVersions = new Map<Incarnation, number[]>();
    /** Calls still open when their router completed its drain. */
    callsCutByDrain = 0;
    peerMessages = 0;
    probes = 0;
    private nextIncarnation = 1;
    private nextPublication = 1;

    constructor(readonly options: FleetOptions) {
        this.random = createRandom(options.seed);
        this.keyValue = new FakeKeyValue(
            this.clock,
            this.random,
            (key, value) => this.violations.push(...ledgerViolations(this, key, value)),
        );
        this.callers = new FakeCallers(
            this.clock,
            this.random,
            () => this.routers,
            (key) => this.truth.starts.has(key),
            (kind) => this.hasCapacity(kind),
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

    /** Advances virtual time. */
    run(durationMs: number): void {
        this.clock.runUntil(this.clock.now + durationMs);
    }

    /** Schedules an action after a delay in virtual time. */
    at(delayMs: number, action: () => void): void {
        this.clock.after(delayMs, action);
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
        const strategy = this.options.createStrategy?.(options, this.options.routers) ?? new CoreStrategy(options);
        const router = new FakeRouter(
            incarnation,
            address,
            domain,
            strategy,
            this.clock,
            (from, effect) => this.applyEffect(from, effect),
            skewMs,
        );
        this.routers.push(router);
        router.deliver({ kind: "instances", peers: this.instances() });
        return router;
    }

    /** Kills a router process and closes its callers' connections. */
    kill(router: FakeRouter): void {
        router.state = "dead";
        this.callers.dropConnectionsTo(router);
    }

    /** Starts a new router at the address of a dead one. */
    replace(router: FakeRouter): FakeRouter {
        this.routers.splice(this.routers.indexOf(router), 1);
        this.replacedRouters.push(router);
        return this.startRouter(router.address);
    }

    private readonly replacedRouters: FakeRouter[] = [];
    private readonly grants = new Map<string, { id: string; tokens: number; at: number; }[]>();
    private readonly pageCache = new Map<string, ReadonlyMap<KeyDigest, Bill>>();

    /** Sends a request with defaults for what the plan leaves out: an idempotent model request. */
    send(plan: Omit<Partial<RequestPlan>, "account"> & { account: string; }): RequestRecord {
        const outputTokens = plan.outputTokens ?? 40;
        return this.callers.send({
            budget: MAIN_BUDGET,
            target: { kind: "model", model: "m", promptTokens: 20, maxTokens: 60, prefix: plan.account },
            idempotent: true,
            outputTokens,
            chunks: 4,
            poison: false,
            mostAttempts: 4,
            timeoutMs: 20_000,
            hedgeAfterMs: undefined,
            ...plan,
            account: plan.account as AccountId,
        });
    }

    /** Sends a non-idempotent service call. */
    sendAction(account: string, plan: Partial<RequestPlan> = {}): RequestRecord {
        const target = { kind: "service", service: "s", operation: "act" } as const;
        return this.send({ target, idempotent: false, chunks: 1, outputTokens: 0, ...plan, account });
    }

    /** Adds tokens to an account's budget; a repeated id has no further effect. */
    topUp(account: string, id: string, tokens: number): void {
        const grants = this.grants.get(account) ?? [];
        if (!grants.some((grant) => grant.id === id)) {
            grants.push({ id, tokens, at: this.clock.now });
        }
        this.grants.set(account, grants);
        this.keyValue.change(ledgerKey(account), (value) => {
            const record = parseRecord(value);
            applyTopUp(record, id, { budget: MAIN_BUDGET, tokens, at: this.clock.now });
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

    /** Returns all bills of an account, including those moved to ledger pages. */
    bills(account: string): Map<KeyDigest, Bill> {
        const record = this.record(account);
        const pagedBills = record.pages.flatMap((page) => [...this.page(account, page.id)]);
        return new Map([...pagedBills, ...Object.entries<Bill>(record.bills) as [KeyDigest, Bill][]]);
    }

    private hasCapacity(kind: "model" | "service"): boolean {
        const prefix = kind === "model" ? "engine" : "service";
        return [...this.endpoints].some(([id, endpoint]) => id.startsWith(prefix) && endpoint.hasCapacity());
    }

    private page(account: string, id: string): ReadonlyMap<KeyDigest, Bill> {
        const cached = this.pageCache.get(id);
        const stored = this.keyValue.values.get(pageKey(account, id))?.value;
        const page = cached ?? parsePage(stored);
        if (stored !== undefined) {
            this.pageCache.set(id, page);
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
            budgets: accounts.map((account) => ({ account, id: MAIN_BUDGET })),
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

    private applyEffect(router: FakeRouter, effect: Effect): void {
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
                this.adoptedVersions.set(router.incarnation, [
                    ...this.adoptedVersions.get(router.incarnation) ?? [],
                    effect.version,
                ]);
                return;
            case "drained":
                this.callsCutByDrain += this.callers.countOpenCalls(router);
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
            this.violations.push("a request body was needed after its release");
            return;
        }
        this.recordDispatch(found.record, found.attempt, effect.resumeAt);
        const call = { dispatch, open: true };
        router.calls.set(run, call);
        const send = (message: Message): void => {
            if (call.open) {
                router.deliver(message);
            }
        };
        const listener: AnswerListener = {
            chunk: (chunk) => send({ kind: "endpoint-chunk", run, dispatch, chunk }),
            alive: () => send({ kind: "endpoint-alive", run, dispatch }),
            end: (end) => send({ kind: "endpoint-end", run, dispatch, end }),
            failed: (failure, written) => send({ kind: "endpoint-failed", run, dispatch, failure, written }),
            isOpen: () => call.open && router.state !== "dead",
        };
        const { plan, key } = found.record;
        const request: FakeEndpointRequest = {
            key,
            stream: effect.stream,
            promptTokens: plan.target.kind === "model" ? Math.ceil(plan.target.promptTokens / 2) : 0,
            outputTokens: plan.outputTokens,
            chunks: plan.chunks,
            poison: plan.poison,
        };
        this.endpoints.get(effect.endpoint)!.send(request, effect.resumeAt, listener);
    }

    // An attempt refused as not run, and all attempts before it, must not be dispatched afterwards.
    private recordDispatch(record: RequestRecord, attempt: number, resumeAt: number | undefined): void {
        if (resumeAt === undefined && attempt <= record.highestNotRunAttempt) {
            record.falselyNotRun = true;
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
        const isPartitioned = (): boolean =>
            this.partitioned.has(router.address) || this.partitionedFromKeyValue.has(router.address);
        if (isPartitioned()) {
            this.clock.after(
                100,
                () => router.deliver({ kind: "key-value-reply", call, result: { kind: "unavailable" } }),
            );
            return;
        }
        send((result) => {
            const delivered = isPartitioned() ? { kind: "unknown" } as const : result;
            router.deliver({ kind: "key-value-reply", call, result: delivered });
        });
    }

    private sendPeer(router: FakeRouter, effect: Extract<Effect, { kind: "peer-send"; }>): void {
        this.peerMessages++;
        if (this.losesPeerMessage(effect.message)) {
            return;
        }
        this.clock.after(1 + randomBelow(this.random, PEER_DELAY_MS), () => {
            const target = this.routers.find((other) => other.address === effect.address && other.state !== "dead");
            const isPartitioned = [this.partitioned, this.partitionedFromPeers].some((group) =>
                group.has(router.address) !== group.has(effect.address)
            );
            if (target !== undefined && !isPartitioned && router.state !== "dead") {
                // Copied, so that the receiver shares no objects with the sender.
                const message = structuredClone(effect.message);
                target.deliver({ kind: "peer-message", from: router.incarnation, to: effect.to, message });
            }
        });
    }

    /** Checks the run so far against what callers, endpoints and the ledger recorded. */
    verdict(): FleetVerdict {
        return new FleetChecker(this).verdict();
    }

    /** Returns the tokens granted to an account up to a time in ms. */
    grantedBy(account: string, at: number): number {
        const granted = this.grants.get(account) ?? [];
        return granted.filter((grant) => grant.at <= at).reduce((sum, grant) => sum + grant.tokens, 0);
    }
}
