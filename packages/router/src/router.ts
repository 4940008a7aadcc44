import {
    type Arrival,
    brand,
    CONFIGURATION_HEAD_KEY,
    createWorld,
    digestBody,
    type Effect,
    type EndpointDeclaration,
    type FailureDomain,
    type Incarnation,
    type KeyValueResult,
    type Outcome,
    type Policy,
    type RefusalReason,
    type World,
} from "@gooseberrybend/core";
import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import { CallTable, type OpenCall } from "./callers/call-table.js";
import type { RequestHeaders } from "./callers/request-headers.js";
import type { CallerResponse } from "./callers/responses.js";
import { readResumeToken, signResumeToken } from "./callers/resume-token.js";
import type { EndpointRequest } from "./endpoints/endpoint-client.js";
import { EndpointPool } from "./endpoints/endpoint-pool.js";
import { Host } from "./host/host.js";
import { createLogs, type Logs } from "./observability/log.js";
import { countEffect, countMessage, createMetrics, type Metrics, observeWorld } from "./observability/metrics.js";
import { addTrace, createTraceBuffer, type TraceBuffer } from "./observability/trace-buffer.js";
import { PeerLinks } from "./peers/peer-links.js";
import { EtcdStore } from "./platform/etcd-store.js";
import { HttpInstanceList, type InstanceList, StaticInstanceList } from "./platform/instance-list.js";
import type { KeyValueStore, WatchHandle } from "./platform/key-value-store.js";
import { Leases } from "./platform/leases.js";
import type { Settings } from "./settings.js";

const INSTANCE_POLL_INTERVAL_MS = 2_000;
const REGISTRATION_LEASE_S = 60;
const REGISTRATION_INTERVAL_MS = 20_000;
const KEEP_ALIVE_INTERVAL_MS = 2_000;

type KeyValueEffect = Extract<Effect, { kind: `key-value-${string}`; }>;

/** A validated request, ready for admission. */
export type AcceptedRequest = {
    readonly headers: RequestHeaders;
    readonly target: Arrival["target"];
    readonly body: string;
    readonly endpointRequest: EndpointRequest;
    readonly response: CallerResponse;
};

/** One router: the state and decision logic of the core, with the connections and timers that execute its effects. */
export class Router {
    readonly world: World;
    readonly host: Host;
    readonly calls = new CallTable();
    readonly metrics: Metrics = createMetrics();
    readonly traceBuffer: TraceBuffer = createTraceBuffer();
    readonly logs: Logs;
    readonly store: KeyValueStore;
    private readonly leases: Leases;
    readonly links: PeerLinks;
    readonly incarnation: Incarnation;
    private readonly endpoints: EndpointPool;
    private readonly instances: InstanceList;
    private readonly resumeSecret: string;
    private readonly timers: NodeJS.Timeout[] = [];
    private registrationLease: string | undefined;
    private watch: WatchHandle | undefined;
    private onDrained: () => void = () => undefined;

    constructor(readonly settings: Settings, port: number) {
        this.incarnation = brand<Incarnation>(randomBytes(9).toString("base64url"));
        this.logs = createLogs(settings.log);
        this.store = new EtcdStore(settings.platform.keyValue, settings.timeouts.keyValueMs);
        this.leases = new Leases(this.store);
        this.instances = instanceListOf(settings);
        this.resumeSecret = settings.keys?.resume ?? "loopback";
        const authority = settings.tls?.authority;
        const certificate = authority === undefined ? undefined : readFileSync(authority, "utf8");
        this.links = new PeerLinks(this.incarnation, settings.keys?.peer, certificate);
        const scheme = settings.tls === undefined ? "http" : "https";
        this.world = createWorld({
            self: {
                incarnation: this.incarnation,
                address: `${scheme}://${settings.listen.address}:${port}`,
                domain: brand<FailureDomain>(settings.domain),
            },
            seed: randomBytes(4).readInt32LE(),
            now: Date.now(),
            policy: definedPolicy(settings.policy),
        });
        this.host = new Host(
            this.world,
            (effect) => this.execute(effect),
            (message) => countMessage(this.metrics, message),
        );
        this.endpoints = new EndpointPool(settings.timeouts.connectMs, (message) => this.host.deliver(message));
        observeWorld(this.metrics, this.world);
    }

    /** Starts the periodic tasks and the watch for configuration changes. */
    start(): void {
        this.host.start();
        this.repeat(INSTANCE_POLL_INTERVAL_MS, () => this.readInstances());
        this.repeat(REGISTRATION_INTERVAL_MS, () => this.register());
        this.watch = this.store.watch(
            CONFIGURATION_HEAD_KEY,
            () => this.host.deliver({ kind: "configuration-changed" }),
        );
        this.repeat(KEEP_ALIVE_INTERVAL_MS, async () => this.calls.keepAlive(Date.now()));
        this.logs.host.info("Router started; listening for requests.", {
            incarnation: this.incarnation,
            address: this.world.self.address,
        });
    }

    /** Starts the drain; resolves when it is complete. */
    drain(): Promise<void> {
        this.logs.host.info("Drain started; waiting for open requests and ledger writes.", {
            runs: this.world.runs.size,
        });
        this.host.deliver({ kind: "drain" });
        return new Promise((resolve) => {
            this.onDrained = resolve;
        });
    }

    /** Stops all periodic tasks and closes the connections to endpoints. */
    async stop(): Promise<void> {
        this.timers.forEach((timer) => clearInterval(timer));
        this.watch?.stop();
        this.host.stop();
        await this.endpoints.close();
    }

    /** Delivers a validated request to the core. Returns a function to call when the caller's connection closes. */
    accept(request: AcceptedRequest): () => void {
        const { headers } = request;
        const now = Date.now();
        const call: OpenCall = {
            account: headers.account,
            response: request.response,
            request: request.endpointRequest,
            arrivedAt: now,
            signResumeToken: (point) => signResumeToken(this.resumeSecret, headers.account, headers.key, point),
            firstChunkAt: undefined,
        };
        const id = this.calls.add(call);
        const token = headers.resumeToken;
        const resume = token === undefined
            ? undefined
            : readResumeToken(this.resumeSecret, token, headers.account, headers.key, headers.offset);
        if (headers.offset > 0 && resume === undefined) {
            call.response.restart();
        }
        const arrival: Arrival = {
            call: id,
            account: headers.account,
            budget: headers.budget,
            key: headers.key,
            keyMinted: headers.keyMinted,
            attempt: headers.attempt,
            notRunThrough: headers.notRunThrough,
            deadline: now + (headers.timeoutMs ?? this.settings.timeouts.requestMs),
            target: request.target,
            bodyDigest: digestBody(headers.account, request.body),
            resume,
        };
        this.host.deliver({ kind: "request-arrived", arrival });
        return () => {
            if (this.calls.close(id)) {
                this.host.deliver({ kind: "caller-gone", call: id });
            }
        };
    }

    /** Counts, logs and traces a request that was rejected before admission. */
    recordRejection(
        reason: RefusalReason,
        outcome: Outcome,
        detail: string,
        headers: RequestHeaders | undefined,
    ): void {
        this.metrics.refusals.inc({ reason, outcome });
        const request = headers === undefined ? {} : { account: headers.account, key: headers.key };
        this.logs.admission.info("Request rejected before admission.", { ...request, reason, outcome });
        if (headers !== undefined) {
            const { account, key } = headers;
            const figures = { reason, outcome, detail };
            addTrace(this.traceBuffer, { at: Date.now(), account, key, decision: "turned away", figures });
        }
    }

    private execute(effect: Effect): void {
        countEffect(this.metrics, effect);
        switch (effect.kind) {
            case "caller-chunk":
                return this.sendChunk(effect);
            case "caller-restart":
                return this.calls.get(effect.call)?.response.restart();
            case "caller-end":
                this.calls.get(effect.call)?.response.end(effect.end);
                this.calls.close(effect.call);
                return;
            case "caller-refused":
                this.logs.admission.info("Request refused.", {
                    account: this.calls.get(effect.call)?.account,
                    key: this.calls.get(effect.call)?.request.key,
                    reason: effect.refusal.reason,
                    outcome: effect.refusal.outcome,
                });
                this.calls.get(effect.call)?.response.refuse(effect.refusal);
                this.calls.close(effect.call);
                return;
            case "dispatch":
                return this.dispatch(effect);
            case "cancel": {
                const declaration = this.declarationOf(effect.endpoint);
                return this.endpoints.cancel(effect.endpoint, declaration, effect.run, effect.stream, effect.stop);
            }
            case "probe": {
                const declaration = this.declarationOf(effect.endpoint);
                if (declaration !== undefined) {
                    void this.endpoints.probe(effect.endpoint, declaration);
                }
                return;
            }
            case "key-value-get":
            case "key-value-version":
            case "key-value-swap":
                void this.callStore(effect);
                return;
            case "peer-send":
                return this.links.send(effect.address, { to: effect.to, message: effect.message });
            case "configuration-adopted":
                this.logs.configuration.info("Configuration applied.", { version: effect.version });
                return;
            case "body-released":
                return this.calls.releaseRequest(effect.call);
            case "retried":
                this.logs.endpoints.info("Attempt at endpoint failed; retrying the request.", {
                    reason: effect.reason,
                    endpoint: effect.endpoint,
                });
                return;
            case "trace":
                return addTrace(this.traceBuffer, effect.trace);
            case "drained":
                this.logs.host.info("Drain complete; no requests or ledger writes pending.");
                return this.onDrained();
        }
    }

    private sendChunk(effect: Extract<Effect, { kind: "caller-chunk"; }>): void {
        const call = this.calls.get(effect.call);
        if (call === undefined) {
            return;
        }
        if (call.firstChunkAt === undefined) {
            call.firstChunkAt = Date.now();
            this.metrics.firstChunk.observe((call.firstChunkAt - call.arrivedAt) / 1000);
        }
        call.response.chunk(
            effect.chunk,
            effect.resume === undefined ? undefined : call.signResumeToken(effect.resume),
        );
    }

    private dispatch(effect: Extract<Effect, { kind: "dispatch"; }>): void {
        const declaration = this.declarationOf(effect.endpoint);
        const request = this.calls.endpointRequestOf(effect.call);
        const { run, dispatch } = effect;
        if (declaration === undefined || request === undefined) {
            const message = {
                kind: "endpoint-failed",
                run,
                dispatch,
                failure: "connection-refused",
                written: false,
            } as const;
            this.host.deliver(message);
            return;
        }
        const call = {
            run,
            dispatch,
            stream: effect.stream,
            resumeAt: effect.resumeAt,
            deadline: effect.deadline,
            request,
        };
        this.endpoints.send(effect.endpoint, declaration, call, effect.freshConnection);
    }

    private async callStore(effect: KeyValueEffect): Promise<void> {
        const result = await this.resultOf(effect);
        this.metrics.keyValueCalls.inc({ operation: effect.kind.slice("key-value-".length), result: result.kind });
        this.host.deliver({ kind: "key-value-reply", call: effect.call, result });
    }

    private resultOf(effect: KeyValueEffect): Promise<KeyValueResult> {
        switch (effect.kind) {
            case "key-value-get":
                return this.store.get(effect.key);
            case "key-value-version":
                return this.store.versionOf(effect.key);
            case "key-value-swap":
                return this.swap(effect);
        }
    }

    private async swap(effect: Extract<Effect, { kind: "key-value-swap"; }>): Promise<KeyValueResult> {
        if (effect.lifetimeMs === undefined) {
            return this.store.compareAndSwap(effect.key, effect.expected, effect.value);
        }
        const leaseId = await this.leases.leaseFor(effect.lifetimeMs, Date.now());
        if (leaseId === undefined) {
            return { kind: "unavailable" };
        }
        const result = await this.store.compareAndSwap(effect.key, effect.expected, effect.value, leaseId);
        if (result.kind === "unknown") {
            this.leases.discard(effect.lifetimeMs);
        }
        return result;
    }

    private declarationOf(endpoint: Extract<Effect, { kind: "probe"; }>["endpoint"]): EndpointDeclaration | undefined {
        return this.world.configuration.endpoints.get(endpoint);
    }

    private repeat(intervalMs: number, task: () => Promise<void>): void {
        void task();
        this.timers.push(setInterval(() => void task(), intervalMs));
    }

    private async readInstances(): Promise<void> {
        const peers = await this.instances.read();
        if (peers !== undefined) {
            this.host.deliver({ kind: "instances", peers });
        }
    }

    // The registration is only for operators; no decision depends on it.
    private async register(): Promise<void> {
        if (this.registrationLease !== undefined && await this.store.keepAlive(this.registrationLease)) {
            return;
        }
        this.registrationLease = await this.store.grantLease(REGISTRATION_LEASE_S);
        if (this.registrationLease === undefined) {
            return;
        }
        const key = `routers/${this.incarnation}`;
        const current = await this.store.get(key);
        const version = current.kind === "value" ? current.current.version : 0;
        const value = JSON.stringify({ address: this.world.self.address, domain: this.world.self.domain });
        await this.store.compareAndSwap(key, version, value, this.registrationLease);
    }
}

function instanceListOf(settings: Settings): InstanceList {
    const { instances } = settings.platform;
    if (instances === undefined) {
        return new StaticInstanceList(settings.peers);
    }
    return new HttpInstanceList(instances, settings.peers, settings.timeouts.keyValueMs);
}

function definedPolicy(policy: Settings["policy"]): Partial<Policy> {
    return Object.fromEntries(Object.entries(policy).filter(([, value]) => value !== undefined));
}
