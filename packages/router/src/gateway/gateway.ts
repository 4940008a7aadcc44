import { brand, type FailureDomain, type Incarnation } from "@gooseberrybend/core";
import {
    changeSources,
    type ConnectionLimits,
    connectionLimitsOf,
    createEndpointTable,
    createRoutingTable,
    divideDeadline,
    type Drain,
    eraOf,
    findConfigurationFault,
    type FleetMember,
    fleetShareOf,
    memoryLimitsOf,
    ownerOf,
    recordLostContact,
    type RoutingTable,
    updateSharers,
} from "@gooseberrybend/core/dispatch";
import { type JSONRPCRequest, type JSONRPCResponse, JSONRPCServer } from "json-rpc-2.0";
import { randomBytes } from "node:crypto";
import { performance } from "node:perf_hooks";
import { AddressAnswers } from "./address-answers.js";
import { ArrivalMonitor } from "./arrival-monitor.js";
import { ColdEndpointMonitor } from "./cold-endpoint-monitor.js";
import { contextCounters } from "./context-counters.js";
import { CountedStore } from "./counted-store.js";
import { CRASH_METHOD, CrashNotifier, readCrashMessage } from "./crash-notifier.js";
import { CrashReports, SUSPECT_PREFIX } from "./crash-reports.js";
import type { Dialect } from "./dialect.js";
import { DomainEvacuations } from "./domain-evacuations.js";
import { EndpointConnections } from "./endpoint-connections.js";
import { EndpointRegistrations, shortestExpiryMs } from "./endpoint-registrations.js";
import { FLEET_PREFIX, FleetRegistry, SHORTEST_ROUTER_EXPIRY_MS } from "./fleet-registry.js";
import type { GatewayContext } from "./gateway-context.js";
import { createGatewayMetrics, type GatewayMetrics } from "./gateway-metrics.js";
import { capacityOf, type GatewaySettings, regionTableOf } from "./gateway-settings.js";
import { Ingress } from "./ingress.js";
import { LARGE_VALUE_METHOD, LargeValues } from "./large-values.js";
import { LIMIT_PREFIX, LimitReports } from "./limit-reports.js";
import { LOAD_SAMPLE_INTERVAL_MS, LoadMonitor } from "./load-monitor.js";
import { createGatewayLogs, type GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreChange, StoredItem } from "./metadata-store.js";
import { LEAVING_CHECK_INTERVAL_MS, OutgoingSends } from "./outgoing-sends.js";
import { PeerCalls } from "./peer-calls.js";
import { CHANGE_FEED_METHOD, ChangeHistory, PeerChangeFeed } from "./peer-change-feed.js";
import { PoisonRequestTracker, type SuspectEvent } from "./poison-request-tracker.js";
import { PrepaidAccounts } from "./prepaid-accounts.js";
import { PREPAID_PREFIX } from "./prepaid-formats.js";
import { RequestMemory } from "./request-memory.js";
import { ReserveMonitor } from "./reserve-monitor.js";
import { SHARED_PREFIX } from "./shared-prefix.js";
import { CHECKPOINT_PREFIX } from "./spending-checkpoints.js";
import { STORE_SUMMARY_INTERVAL_MS, StoreCallSummary } from "./store-call-summary.js";
import { StoreFollower } from "./store-follower.js";
import { LEND_METHOD } from "./token-loans.js";
import { TRANSFER_METHOD } from "./token-transfers.js";

/** Interval in ms of removing expired crash reports, which count for minutes, and limits of removed endpoints. */
const REPORT_SWEEP_INTERVAL_MS = 60_000;

/** A router that serves the callers of a deployment. */
export class Gateway {
    readonly metrics: GatewayMetrics = createGatewayMetrics();
    readonly logs: GatewayLogs;
    readonly context: GatewayContext;
    readonly ingress: Ingress;
    readonly connectionLimits: ConnectionLimits;
    readonly load: LoadMonitor;
    readonly arrivals: ArrivalMonitor;
    readonly clock = (): number => performance.now();
    table: RoutingTable | undefined;
    /** Set once the router drains. */
    drain: Drain | undefined;
    readonly reserve: ReserveMonitor;
    readonly addresses: AddressAnswers;
    private readonly self: FleetMember;
    private readonly endpoints = createEndpointTable();
    private readonly connections = new EndpointConnections();
    private readonly outgoing = new OutgoingSends(
        this.endpoints,
        () => this.settings,
        (now) => this.follower.changesAgeMs(now),
        () => this.metrics.lateSends.inc({ outcome: "reset" }),
        this.clock,
    );
    private readonly peers = new PeerCalls();
    private readonly peerServer: JSONRPCServer;
    private readonly registry: FleetRegistry;
    private readonly registrations: EndpointRegistrations;
    private readonly prepaid: PrepaidAccounts;
    private readonly follower: StoreFollower;
    private readonly crashReports: CrashReports;
    private readonly suspects: PoisonRequestTracker;
    private readonly limitReports: LimitReports;
    private readonly storeCalls: StoreCallSummary;
    private readonly coldEndpoints: ColdEndpointMonitor;
    private readonly evacuations: DomainEvacuations;
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
        this.logs = createGatewayLogs(settings.log);
        this.storeCalls = new StoreCallSummary(this.metrics, this.logs);
        const store = new CountedStore(platformStore, (operation, result) => this.storeCalls.count(operation, result));
        this.load = new LoadMonitor(this.logs);
        this.arrivals = new ArrivalMonitor(this.metrics, this.logs);
        this.reserve = new ReserveMonitor(this.metrics, this.logs);
        const incarnation = brand<Incarnation>(randomBytes(9).toString("base64url"));
        const domain = brand<FailureDomain>(settings.domain);
        this.self = {
            name: settings.name,
            incarnation,
            address: settings.listen.callers,
            peerAddress: settings.listen.peers,
            domain,
            capacity: capacityOf(settings),
            strained: false,
            hasShortLease: false,
        };
        this.registry = new FleetRegistry(store, this.self, settings.store.shortestLeaseMs, this.logs, this.clock);
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
            (entry) => recordLostContact(this.endpoints.limits.cold, entry, this.clock()),
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
        this.coldEndpoints = new ColdEndpointMonitor(
            this.endpoints,
            this.logs,
            (event) => this.metrics.limits.inc({ event }),
        );
        this.evacuations = new DomainEvacuations(
            dialect.evacuationPrefix,
            this.endpoints,
            this.logs,
            (count) => this.metrics.evacuatedDomains.set(count),
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
            (event, tokens) => this.metrics.prepaidTokens.inc({ event }, tokens),
        );
        const sources = (): string[] => changeSources(this.registry.storeWatchers, this.self);
        const changeFeed = new PeerChangeFeed(this.peers, sources, this.clock);
        // Token records and spending checkpoints are left out: they make up most changes, and a write conflict
        // returns the newest record.
        // Each prefix costs a call where no other router relays changes, so unused ones are left out as well.
        const evacuationPrefixes = settings.bounds.evacuationMs === undefined ? [] : [dialect.evacuationPrefix];
        const sharedPrefixes = [SHARED_PREFIX, dialect.configurationKey];
        const feedPrefixes = [dialect.endpointPrefix, ...evacuationPrefixes, ...sharedPrefixes];
        const changeHistory = new ChangeHistory(feedPrefixes, this.clock);
        this.peerServer = new JSONRPCServer({
            errorListener: (detail) => this.logs.fleet.warn("JSON-RPC call of another router failed.", { detail }),
        });
        this.peerServer.addMethod(LEND_METHOD, (parameters) => this.prepaid.lend(parameters));
        this.peerServer.addMethod(TRANSFER_METHOD, (parameters) => this.prepaid.receiveTransfer(parameters));
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
            () => changeDeadlineMs(this.settings),
            changeFeed,
            () => this.registry.isStoreWatcher,
            changeHistory,
            feedPrefixes,
            new LargeValues(
                this.peers,
                sources,
                store,
                this.logs,
                () => divideDeadline(changeDeadlineMs(this.settings)),
            ),
        );
        const { maxDescriptors, memoryMb } = settings.instance;
        this.connectionLimits = connectionLimitsOf(maxDescriptors, memoryMb);
        this.context = this.createContext(domain, new RequestMemory(memoryLimitsOf(memoryMb), this.clock));
        this.ingress = new Ingress(this);
        this.addresses = new AddressAnswers(this, this.registry);
    }

    /**
     * Whether this router can serve callers: it is not draining, does not move them away, and has a configuration and
     * endpoints.
     */
    get ready(): boolean {
        return this.drain === undefined && !this.reserve.movesCallers && this.table !== undefined
            && this.endpoints.rows.size > 0;
    }

    /** Starts following the store and the periodic work. */
    start(): void {
        void this.follower.run();
        this.registry.start();
        this.prepaid.start();
        this.timers.push(setInterval(() => this.storeCalls.log(), STORE_SUMMARY_INTERVAL_MS));
        this.timers.push(setInterval(() => this.measureLoad(), LOAD_SAMPLE_INTERVAL_MS));
        this.timers.push(setInterval(() => this.outgoing.check(), LEAVING_CHECK_INTERVAL_MS));
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
        this.registry.stop();
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

    private fleetShare(): number {
        return fleetShareOf(this.settings.name, this.registry.serving, this.registry.members.size);
    }

    private measureLoad(): void {
        const now = this.clock();
        const { members, serving } = this.registry;
        this.metrics.members.set(members.size);
        this.metrics.chargedBytes.set(this.context.memory.figures.chargedBytes);
        this.load.measure(now);
        this.arrivals.report(this.load, now);
        this.reserve.update({
            self: this.self,
            serving,
            minCapacityShare: this.settings.callers.minCapacityShare,
            utilization: this.load.utilization,
        }, now);
        const hasOtherServingRouters = serving.some((member) => member.name !== this.settings.name);
        this.load.adjustShedding(hasOtherServingRouters, this.reserve.movesCallers);
        this.registry.publishHighLoad(this.load.isUnderHighLoad);
        const names = serving.map((member) => member.name);
        updateSharers(this.endpoints.limits, this.settings.name, names, members.size, now);
        this.evacuations.update(now);
        this.coldEndpoints.update(this.settings.bounds, now);
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
            admission: new Map(),
            outgoing: this.outgoing,
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
            ...contextCounters(this.metrics, this.logs, this.connectionLimits),
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
        this.evacuations.replace(withPrefix(this.dialect.evacuationPrefix), isRestored, now);
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
        else if (key.startsWith(this.dialect.evacuationPrefix)) {
            this.evacuations.apply(change, this.follower.changesMadeAfter(key), now);
        }
        else if (key.startsWith(this.dialect.endpointPrefix)) {
            if (item === undefined) {
                this.registrations.remove(key, this.endpointGraceMs(now), now);
            }
            else {
                this.registrations.put(item, now, this.follower.changesMadeAfter(key));
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
        this.coldEndpoints.setRules(configuration.services);
        this.ingress.setLimits(configuration.limits);
        const namesRegions = configuration.routes.some((route) => (route.regions ?? []).length > 0);
        this.registry.setRegions(namesRegions ? regionTableOf(this.settings) : undefined);
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

function changeDeadlineMs({ bounds: { drainMs, configurationMs, evacuationMs = Infinity } }: GatewaySettings): number {
    return Math.min(drainMs, configurationMs, evacuationMs);
}
