import { brand, type FailureDomain, type Incarnation } from "@gooseberrybend/core";
import {
    addressesForCaller,
    changeSources,
    type ConnectionLimits,
    connectionLimitsOf,
    createEndpointTable,
    createRoutingTable,
    type Drain,
    eraOf,
    findConfigurationFault,
    fleetShareOf,
    type InstanceCapacity,
    memoryLimitsOf,
    ownerOf,
    type RoutingTable,
    updateSharers,
} from "@gooseberrybend/core/dispatch";
import { type JSONRPCRequest, type JSONRPCResponse, JSONRPCServer } from "json-rpc-2.0";
import { randomBytes } from "node:crypto";
import { performance } from "node:perf_hooks";
import { CountedStore } from "./counted-store.js";
import { CRASH_METHOD, CrashNotifier, readCrashMessage } from "./crash-notifier.js";
import { CrashReports, SUSPECT_PREFIX } from "./crash-reports.js";
import type { Dialect } from "./dialect.js";
import { EndpointConnections } from "./endpoint-connections.js";
import { EndpointRegistrations, shortestExpiryMs } from "./endpoint-registrations.js";
import { FLEET_PREFIX, FleetRegistry, SHORTEST_ROUTER_EXPIRY_MS } from "./fleet-registry.js";
import type { GatewayContext } from "./gateway-context.js";
import { createGatewayMetrics, type GatewayMetrics } from "./gateway-metrics.js";
import type { GatewaySettings } from "./gateway-settings.js";
import { Ingress } from "./ingress.js";
import { LARGE_VALUE_METHOD, LargeValues } from "./large-values.js";
import { LIMIT_PREFIX, LimitReports } from "./limit-reports.js";
import { LOAD_SAMPLE_INTERVAL_MS, LoadMonitor } from "./load-monitor.js";
import { createGatewayLogs, type GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreChange, StoredItem } from "./metadata-store.js";
import { PeerCalls } from "./peer-calls.js";
import { CHANGE_FEED_METHOD, ChangeHistory, PeerChangeFeed } from "./peer-change-feed.js";
import { PoisonRequestTracker, type SuspectEvent } from "./poison-request-tracker.js";
import { PREPAID_PREFIX, PrepaidAccounts } from "./prepaid-accounts.js";
import { RequestMemory } from "./request-memory.js";
import { SHARED_PREFIX } from "./shared-prefix.js";
import { CHECKPOINT_PREFIX } from "./spending-checkpoints.js";
import { StoreFollower } from "./store-follower.js";
import { LEND_METHOD } from "./token-loans.js";

/** Lifetime in ms of an address response; short, so that routers can leave soon. */
export const ADDRESS_LIFETIME_MS = 2_000;

/** Interval in ms of removing expired crash reports, which count for minutes, and limits of removed endpoints. */
const REPORT_SWEEP_INTERVAL_MS = 60_000;
/** Interval in ms of the log line that sums up the calls to the store. */
const STORE_SUMMARY_INTERVAL_MS = 10_000;

/** A router that serves the callers of a deployment. */
export class Gateway {
    readonly metrics: GatewayMetrics = createGatewayMetrics();
    readonly logs: GatewayLogs;
    readonly context: GatewayContext;
    readonly ingress: Ingress;
    readonly connectionLimits: ConnectionLimits;
    readonly load: LoadMonitor;
    readonly clock = (): number => performance.now();
    table: RoutingTable | undefined;
    /** Set once the router drains. */
    drain: Drain | undefined;
    private readonly endpoints = createEndpointTable();
    private readonly connections = new EndpointConnections();
    private readonly peers = new PeerCalls();
    private readonly peerServer: JSONRPCServer;
    private readonly registry: FleetRegistry;
    private readonly registrations: EndpointRegistrations;
    private readonly prepaid: PrepaidAccounts;
    private readonly follower: StoreFollower;
    private readonly crashReports: CrashReports;
    private readonly suspects: PoisonRequestTracker;
    private readonly limitReports: LimitReports;
    private readonly storeCalls = new Map<string, number>();
    /** Era of the store at the last read of all its items. */
    private storeEra: number | undefined;
    private readonly timers: NodeJS.Timeout[] = [];

    constructor(
        public settings: GatewaySettings,
        readonly dialect: Dialect,
        platformStore: MetadataStore,
        /** Wall-clock time in ms at which the process started. */
        startedAt: number = performance.timeOrigin,
    ) {
        const store = new CountedStore(platformStore, (operation, result) => this.countStoreCall(operation, result));
        this.logs = createGatewayLogs(settings.log);
        this.load = new LoadMonitor(this.logs);
        const incarnation = brand<Incarnation>(randomBytes(9).toString("base64url"));
        const domain = brand<FailureDomain>(settings.domain);
        const self = {
            name: settings.name,
            incarnation,
            address: settings.listen.callers,
            peerAddress: settings.listen.peers,
            domain,
            capacity: capacityOf(settings),
            strained: false,
        };
        this.registry = new FleetRegistry(store, self, settings.store.shortestLeaseMs, this.logs, this.clock);
        const countSuspectEvent = (event: SuspectEvent): void => this.metrics.suspects.inc({ event });
        const reportClock = { monotonic: this.clock, wall: () => Date.now() };
        const crashNotifier = new CrashNotifier(this.peers, () => this.registry.otherPeerAddresses, this.logs);
        this.crashReports = new CrashReports(
            store,
            incarnation,
            this.logs,
            countSuspectEvent,
            reportClock,
            (crash, keep) => void crashNotifier.notifyPeers(crash, keep),
        );
        this.suspects = new PoisonRequestTracker(
            this.crashReports,
            this.logs,
            countSuspectEvent,
            this.clock,
            (part) => ownerOf(part, this.registry.serving) === settings.name,
            Math.random,
        );
        this.registrations = new EndpointRegistrations(dialect, this.endpoints, this.logs, {
            onRestarted: (previous, entry) => {
                this.connections.release(previous.entry);
                this.suspects.recordReplacedRegistration(previous.entry, entry);
            },
            onRemoved: (row) => {
                this.connections.release(row.entry);
                this.suspects.recordRemovedRegistration(row);
            },
            onCount: (count) => this.metrics.endpoints.set(count),
        });
        this.limitReports = new LimitReports(
            store,
            this.endpoints.limits,
            this.logs,
            (event) => this.metrics.limits.inc({ event }),
            Math.random,
            this.clock,
        );
        const holder = { name: settings.name, incarnation, startedAt };
        this.prepaid = new PrepaidAccounts(
            store,
            holder,
            this.logs,
            () => ({ monotonic: this.clock(), wall: Date.now() }),
            this.peers,
            (router) => this.registry.peerAddressOf(router),
            () => this.registry.serving.length,
            Math.random,
            () => this.follower.allChangesAgeMs(this.clock()),
        );
        const sources = (): string[] => changeSources(this.registry.storeWatchers, self);
        const changeFeed = new PeerChangeFeed(this.peers, sources, this.clock);
        // Token records and spending checkpoints are left out: they make up most changes, and a write conflict
        // returns the newest record.
        const feedPrefixes = [dialect.endpointPrefix, SHARED_PREFIX, dialect.configurationKey];
        const changeHistory = new ChangeHistory(feedPrefixes, this.clock);
        this.peerServer = new JSONRPCServer({
            errorListener: (detail) => this.logs.fleet.warn("JSON-RPC call of another router failed.", { detail }),
        });
        this.peerServer.addMethod(LEND_METHOD, (parameters) => this.prepaid.lend(parameters));
        this.peerServer.addMethod(CRASH_METHOD, (parameters) => {
            const { crash, keep } = readCrashMessage(parameters);
            this.suspects.applyPeerReport(crash, keep && this.registry.isStoreWatcher);
            return {};
        });
        this.peerServer.addMethod(CHANGE_FEED_METHOD, (parameters) => changeHistory.respond(parameters));
        this.peerServer.addMethod(LARGE_VALUE_METHOD, (parameters) => changeHistory.respondLargeValue(parameters));
        this.follower = new StoreFollower(
            store,
            {
                onReplaced: (items, revision, now) => this.replaceAll(items, revision, now),
                onChanged: (change, now) => this.applyChange(change, now),
                onAvailable: () => this.prepaid.resume(),
            },
            this.logs,
            this.clock,
            () => Math.min(this.settings.bounds.drainMs, this.settings.bounds.configurationMs),
            changeFeed,
            () => this.registry.isStoreWatcher,
            changeHistory,
            feedPrefixes,
            new LargeValues(this.peers, sources, store, this.logs),
        );
        const { maxDescriptors, memoryMb } = settings.instance;
        this.connectionLimits = connectionLimitsOf(maxDescriptors, memoryMb);
        this.context = this.createContext(domain, new RequestMemory(memoryLimitsOf(memoryMb), this.clock));
        this.ingress = new Ingress(this);
    }

    /** Whether this router can serve callers: it is not draining, and has a configuration and endpoints. */
    get ready(): boolean {
        return this.drain === undefined && this.table !== undefined && this.endpoints.rows.size > 0;
    }

    /** Starts following the store and the periodic work. */
    start(): void {
        void this.follower.run();
        this.registry.start();
        this.prepaid.start();
        this.timers.push(setInterval(() => this.logStoreCalls(), STORE_SUMMARY_INTERVAL_MS));
        this.timers.push(setInterval(() => this.measureLoad(), LOAD_SAMPLE_INTERVAL_MS));
        this.timers.push(setInterval(() => this.sweepReports(), REPORT_SWEEP_INTERVAL_MS));
    }

    /**
     * Starts draining: address responses no longer name this router, which still serves requests that arrive.
     * Open responses are cut at `cutAt`, a monotonic time in ms.
     */
    async startDrain(cutAt: number): Promise<void> {
        this.drain = { startedAt: this.clock(), cutAt };
        await this.registry.leave();
    }

    /** Stops all work, returns unused tokens and closes the connections. */
    async stop(): Promise<void> {
        this.follower.stop();
        this.timers.forEach((timer) => clearInterval(timer));
        this.crashReports.close();
        await this.prepaid.close();
        await this.connections.close();
        await this.peers.close();
    }

    /** Handles a JSON-RPC call of another router. */
    receivePeerCall(call: JSONRPCRequest): Promise<JSONRPCResponse | null> {
        return Promise.resolve(this.peerServer.receive(call));
    }

    /** Returns the body of an address response, or undefined when no router serves callers. */
    answerAddresses(): unknown {
        const { serving } = this.registry;
        if (serving.length === 0) {
            return undefined;
        }
        const addresses = addressesForCaller(serving, Math.random);
        const lifetimeMs = Math.min(ADDRESS_LIFETIME_MS, this.settings.bounds.addressLifetimeMs);
        return this.dialect.addressBody(addresses, lifetimeMs);
    }

    private countStoreCall(operation: string, result: string): void {
        this.metrics.storeCalls.inc({ operation, result });
        const name = `${operation} ${result}`;
        this.storeCalls.set(name, (this.storeCalls.get(name) ?? 0) + 1);
    }

    private logStoreCalls(): void {
        this.logs.store.info("Store calls since the last summary.", {
            lastMs: STORE_SUMMARY_INTERVAL_MS,
            ...Object.fromEntries(this.storeCalls),
        });
        this.storeCalls.clear();
    }

    private fleetShare(): number {
        return fleetShareOf(this.settings.name, this.registry.serving, this.registry.members.size);
    }

    private measureLoad(): void {
        this.metrics.members.set(this.registry.members.size);
        this.metrics.chargedBytes.set(this.context.memory.figures.chargedBytes);
        const hasOtherServingRouters = this.registry.serving.some((member) => member.name !== this.settings.name);
        this.load.measure(hasOtherServingRouters, this.clock());
        this.registry.publishHighLoad(this.load.isUnderHighLoad);
        const serving = this.registry.serving.map((member) => member.name);
        updateSharers(this.endpoints.limits, this.settings.name, serving, this.registry.members.size, this.clock());
    }

    // One router would be enough; the few that follow the store only repeat each other's work.
    private sweepReports(): void {
        if (this.registry.isStoreWatcher) {
            void this.crashReports.removeExpired();
            void this.limitReports.removeUnregistered((endpoint) => this.endpoints.rows.has(endpoint));
        }
    }

    private createContext(domain: FailureDomain, memory: RequestMemory): GatewayContext {
        return {
            dialect: this.dialect,
            domain,
            endpoints: this.endpoints,
            retries: new Map(),
            prepaid: this.prepaid,
            suspects: this.suspects,
            limitReports: this.limitReports,
            memory,
            logs: this.logs,
            clock: this.clock,
            random: Math.random,
            settings: () => this.settings,
            fleetShare: () => this.fleetShare(),
            configurationVersion: () => this.table?.configuration.version,
            changesAgeMs: (now) => this.follower.changesAgeMs(now),
            connectionsOf: (entry, service) =>
                this.connections.poolOf(entry, service.connectionLimit, this.fleetShare()),
            observeChangesAge: (ageMs) => this.metrics.changesAgeSeconds.observe(ageMs / 1_000),
            configurationAgeMs: (now) => this.configurationAgeMs(now),
            observeConfigurationAge: (ageMs) => this.metrics.configurationAgeSeconds.observe(ageMs / 1_000),
            countRefusal: (cause) => this.metrics.refusals.inc({ cause }),
            countFailedSend: (next, failure) => this.metrics.failedSends.inc({ next, failure }),
            countCutAnswer: () => this.metrics.cutAnswers.inc(),
            countResponse: (end) => this.metrics.responses.inc({ end }),
            countEndpointRefusal: (hasId, onReusedConnection) =>
                this.metrics.endpointRefusals.inc({
                    id: hasId ? "echoed" : "missing",
                    connection: onReusedConnection ? "reused" : "new",
                }),
            countLimitEvent: (event) => this.metrics.limits.inc({ event }),
            recordConnectionEvent: (event, listener) => {
                this.metrics.resources.inc({ event });
                this.logs.host.warn("Limit of connections reached.", { event, listener, ...this.connectionLimits });
            },
            countResourceEvent: (event) => this.metrics.resources.inc({ event }),
            observeUnread: (unreadMs) => this.metrics.unreadSeconds.observe(unreadMs / 1_000),
            observeFirstByte: (request, now) =>
                this.metrics.firstByteSeconds.observe((now - request.arrivedAt) / 1_000),
            observeRequestEnd: (outcome, tookMs) => {
                this.metrics.endedRequests.inc({ outcome });
                this.metrics.requestSeconds.observe(tookMs / 1_000);
            },
        };
    }

    private replaceAll(items: readonly StoredItem[], revision: number, now: number): void {
        const withPrefix = (prefix: string): StoredItem[] => items.filter((item) => item.key.startsWith(prefix));
        const isRestored = this.storeEra !== undefined && eraOf(revision) > this.storeEra;
        this.storeEra = eraOf(revision);
        if (isRestored) {
            this.registry.registerAgain();
            this.limitReports.forgetStored();
            this.crashReports.writeAgain(new Set(withPrefix(SUSPECT_PREFIX).map((item) => item.key)));
        }
        this.registry.replace(withPrefix(FLEET_PREFIX), this.follower.expiryGraceMs(SHORTEST_ROUTER_EXPIRY_MS, now));
        const registered = withPrefix(this.dialect.endpointPrefix);
        const current = isRestored ? this.registrations.withoutOutdated(registered, now) : registered;
        this.registrations.replace(current, this.endpointGraceMs(now), now);
        const configuration = items.find((item) => item.key === this.dialect.configurationKey);
        const others = [SUSPECT_PREFIX, LIMIT_PREFIX, CHECKPOINT_PREFIX].flatMap(withPrefix);
        [...configuration === undefined ? [] : [configuration], ...others].forEach((item) => this.applyItem(item, now));
        this.prepaid.replaceRecords(withPrefix(PREPAID_PREFIX), revision);
    }

    // An item that can't be applied must not keep the router from reading the others.
    private applyItem(item: StoredItem, now: number): void {
        const { key, revision } = item;
        try {
            this.applyChange({ key, revision, item }, now);
        }
        catch (error) {
            this.logs.store.error("Item of the store could not be applied.", {
                key,
                revision,
                detail: (error as Error).message,
            });
        }
    }

    private applyChange(change: StoreChange, now: number): void {
        const { key, item } = change;
        if (key === this.dialect.configurationKey) {
            if (item !== undefined) {
                this.putConfiguration(item);
            }
        }
        else if (key.startsWith(this.dialect.endpointPrefix)) {
            if (item === undefined) {
                this.registrations.remove(key, this.endpointGraceMs(now), now);
            }
            else {
                this.registrations.put(item);
            }
        }
        else if (key.startsWith(FLEET_PREFIX)) {
            if (item === undefined) {
                this.registry.remove(key, this.follower.expiryGraceMs(SHORTEST_ROUTER_EXPIRY_MS, now));
            }
            else {
                this.registry.put(item);
            }
        }
        else if (key.startsWith(SUSPECT_PREFIX)) {
            if (item === undefined) {
                this.crashReports.recordRemoved(key);
            }
            else {
                this.suspects.applyItems([item]);
            }
        }
        else if (key.startsWith(LIMIT_PREFIX)) {
            if (item === undefined) {
                this.limitReports.recordRemoved(key, change.revision);
            }
            else {
                this.limitReports.apply(item);
            }
        }
        else if (key.startsWith(CHECKPOINT_PREFIX) && item !== undefined) {
            this.prepaid.applyCheckpoints(item);
        }
        else if (key.startsWith(PREPAID_PREFIX) && item !== undefined) {
            this.prepaid.applyRecord(item);
        }
    }

    private endpointGraceMs(now: number): number {
        return this.follower.expiryGraceMs(shortestExpiryMs(this.settings.endpoints.renewalMs), now);
    }

    private configurationAgeMs(now: number): number {
        return this.follower.valueAgeMs(this.dialect.configurationKey, now);
    }

    private putConfiguration(item: StoredItem): void {
        const startedAt = this.clock();
        const decoded = this.dialect.readConfiguration(item.value);
        const fault = decoded.isErr() ? decoded.error : findConfigurationFault(decoded.value);
        if (decoded.isErr() || fault !== undefined) {
            this.logs.configuration.error("Invalid configuration in the store; the previous one stays in force.", {
                revision: item.revision,
                place: fault?.place,
                detail: fault?.message,
            });
            return;
        }
        const configuration = decoded.value;
        if (this.table !== undefined && configuration.version < this.table.configuration.version) {
            this.logs.configuration.warn("Configuration ignored, as it is older than the one in force.", {
                version: configuration.version,
                revision: item.revision,
                tookMs: Math.round(this.clock() - startedAt),
            });
            return;
        }
        this.table = createRoutingTable(configuration);
        this.ingress.setLimits(configuration.limits);
        const totals = new Map(
            (configuration.accounts ?? [])
                .filter((account) => account.prepaidTokens !== undefined)
                .map((account) => [account.id, account.prepaidTokens!]),
        );
        this.prepaid.setTotals(totals);
        this.metrics.configurationVersion.set(configuration.version);
        this.logs.configuration.info("Configuration in force.", {
            version: configuration.version,
            revision: item.revision,
            routes: configuration.routes.length,
            bytes: item.value.length,
            ageBeforeMs: Math.round(this.configurationAgeMs(startedAt)),
            tookMs: Math.round(this.clock() - startedAt),
        });
    }
}

function capacityOf(settings: GatewaySettings): InstanceCapacity {
    const { coreShare, coreSpeed, linkMbps } = settings.instance;
    return { cores: coreShare * coreSpeed, linkMbps };
}
