import { createRandom, type Random, randomBelow, randomElement, randomFraction } from "../../support/random.js";
import { brand, type EndpointId, type FailureDomain } from "../../types/ids.js";
import { recordColdRegistration, recordLostContact, recordStatedCold } from "../cold-endpoints.js";
import { isServiceLimited } from "../endpoint-availability.js";
import { recordConnectFailure, recordHeard } from "../endpoint-health.js";
import {
    limitToReport,
    recordReportedLimit,
    recordStatedLimit,
    type ReportedLimit,
    updateSharers,
} from "../endpoint-limits.js";
import { createEndpointTable, type EndpointTable, putEndpoint } from "../endpoint-table.js";
import { chooseEndpoint, type PlacementQuery, recordSend } from "../placement.js";
import type { ColdRule, EndpointEntry, ServiceName } from "../types.js";
import { INFORMED_AFTER_MS, maxInWindow, STABILITY_WINDOW_MS } from "./limit-rule.js";

/** Time in ms after which a router that is cut off or has ended is removed from the fleet. */
const LEASE_MS = 2_000;
/** Time in ms between two updates of a router's view of the fleet. */
const VIEW_INTERVAL_MS = 500;
/** Range in ms of the time in which a stored report reaches a router. */
const REPORT_DELAY_MS = [50, 900] as const;
/** Minimum time in ms between two reports of one router. */
const WRITE_INTERVAL_MS = 2_000;
/** Range in ms of the time from a send to its response. */
const RESPONSE_MS = [5, 400] as const;
/** Time in ms between two registrations of an endpoint. */
const REGISTRATION_INTERVAL_MS = 1_200;
/** Share of requests that reach routers to which callers are not sent. */
const STRAY_SHARE = 0.1;

const service = brand<ServiceName>("engines");

type FakeRouter = {
    readonly name: string;
    table: EndpointTable;
    /** Start of the current or last fault. */
    lostSince: number;
    /** End of the current partition from the store. */
    cutUntil: number;
    /** Undefined while the router runs. */
    downUntil: number | undefined;
    excusedUntil: number;
    informedFrom: number;
    readonly reportedAt: Map<EndpointId, number>;
    /** Reports received from the store, by endpoint. */
    readonly received: Map<EndpointId, StoredReport>;
    /** Time before which no registration is missing. */
    registrationsReadAt: number;
    /** Time at which the newest registration was written that it has read. */
    registrationWrittenAt: number;
};

type StoredReport = { readonly report: ReportedLimit; readonly revision: number; };

/** A send that reached an endpoint. */
type Arrival = {
    readonly endpoint: EndpointId;
    readonly router: string;
    readonly at: number;
    /** False for routers that are excused by a fault or not informed. */
    readonly counts: boolean;
    /** False if the router knew nothing yet of the endpoint's last restart. */
    readonly isAware: boolean;
};

/** Parameters of a fleet. */
export type FakeLimitedFleetOptions = {
    readonly routers: number;
    /** Routers that callers are sent to. */
    readonly serving: number;
    readonly endpoints: number;
    readonly requestsPerSecond: number;
    /** Requests per second that the endpoints state at a time in ms; the first one is the limited one in most tests. */
    readonly statedAt: (endpoint: number, now: number) => number | undefined;
    readonly seed: number;
    /** Restarts of the first endpoint under its id, after which it is cold. */
    readonly cold?: ColdRestarts;
};

/** Times in ms at which the first endpoint crashes, is back, and counts as warm again; `rule` bounds cold requests. */
export type ColdRestarts = {
    readonly rule: ColdRule;
    readonly crashesAt: readonly number[];
    readonly downMs: number;
    /** False if the endpoint states its cold time in registrations only. */
    readonly inResponses: boolean;
};

/** Routers that share endpoints with request limits, on a virtual clock and without a network. */
export class FakeLimitedFleet {
    now = 0;
    readonly arrivals: Arrival[] = [];
    refused = 0;
    readonly routers: FakeRouter[];
    readonly endpoints: readonly EndpointEntry[];
    private readonly random: Random;
    private readonly events = new Map<number, (() => void)[]>();
    private readonly stored = new Map<EndpointId, StoredReport>();
    /** Time of the last registration of the first endpoint. */
    private registeredAt: number | undefined;

    constructor(private readonly options: FakeLimitedFleetOptions) {
        this.random = createRandom(options.seed);
        this.endpoints = Array.from({ length: options.endpoints }, (unused, index) => ({
            id: brand<EndpointId>(`engine-${index}`),
            startedAt: 1,
            service,
            address: `engine-${index}:80`,
            domain: brand<FailureDomain>("a"),
            slots: 64,
            leaving: false,
        }));
        this.routers = Array.from({ length: options.routers }, (unused, index) => ({
            name: `router-${index}`,
            table: this.newTable(),
            lostSince: -Infinity,
            cutUntil: -Infinity,
            downUntil: undefined,
            excusedUntil: -Infinity,
            informedFrom: Infinity,
            registrationsReadAt: -Infinity,
            registrationWrittenAt: -Infinity,
            reportedAt: new Map(),
            received: new Map(),
        }));
        this.routers.forEach((router) =>
            this.schedule(this.between(0, VIEW_INTERVAL_MS), () => this.updateView(router))
        );
        this.schedule(0, () => this.sendNext());
        if (options.cold !== undefined) {
            this.schedule(0, () => this.register());
        }
    }

    /** Runs until a time in ms. */
    runUntil(end: number): void {
        for (; this.now < end; this.now++) {
            const due = this.events.get(this.now);
            this.events.delete(this.now);
            due?.forEach((event) => event());
        }
    }

    /** Cuts a router off from the store for a time in ms. */
    cut(router: FakeRouter, durationMs: number): void {
        this.markLost(router);
        router.cutUntil = this.now + durationMs;
        router.excusedUntil = Math.max(router.excusedUntil, router.cutUntil + STABILITY_WINDOW_MS);
        this.schedule(durationMs, () => {
            this.deliver(router);
            this.deliverRegistration(router);
        });
    }

    /** Kills a router; a new process with the same name starts after a time in ms. */
    restart(router: FakeRouter, durationMs: number): void {
        this.markLost(router);
        router.downUntil = this.now + durationMs;
        router.excusedUntil = Math.max(router.excusedUntil, router.downUntil + STABILITY_WINDOW_MS);
        this.schedule(durationMs, () => {
            router.downUntil = undefined;
            router.table = this.newTable();
            router.informedFrom = Infinity;
            router.received.clear();
            router.registrationsReadAt = -Infinity;
            this.deliver(router);
            this.deliverRegistration(router);
        });
    }

    /** Returns the maximum number of arrivals in a window from a time in ms on. */
    maxInWindow(endpoint: number, from: number, countsOnly: boolean): number {
        const times = this.arrivals
            .filter((arrival) => arrival.endpoint === this.endpoints[endpoint]!.id && (arrival.counts || !countsOnly))
            .map(({ at }) => at)
            .filter((at) => at >= from);
        return maxInWindow(times);
    }

    /**
     * Returns the maximum number of arrivals in one second at the first endpoint while it is cold, from all routers, or
     * only from those that have noticed the crash or read a registration since.
     */
    maxColdPerSecond(awareOnly: boolean): number {
        const { crashesAt, downMs, rule } = this.options.cold!;
        const times = this.arrivals
            .filter(({ endpoint, isAware }) => endpoint === this.endpoints[0]!.id && (isAware || !awareOnly))
            .map(({ at }) => at);
        const maxima = crashesAt.map((crashAt) => {
            const startedAt = crashAt + downMs;
            return maxInWindow(times.filter((at) => at >= startedAt && at < startedAt + rule.startMs), 1_000);
        });
        return Math.max(...maxima);
    }

    /** Returns the arrivals per second at an endpoint in a period in ms. */
    rate(endpoint: number, from: number, until: number): number {
        const count =
            this.arrivals.filter(({ endpoint: id, at }) =>
                id === this.endpoints[endpoint]!.id && at >= from && at < until
            ).length;
        return count / ((until - from) / 1_000);
    }

    /** Returns the routers that still apply a limit to an endpoint. */
    limitedRouters(endpoint: number): FakeRouter[] {
        return this.routers.filter((router) =>
            router.table.limits.known.get(this.endpoints[endpoint]!.id)?.perSecond !== undefined
        );
    }

    private newTable(): EndpointTable {
        const table = createEndpointTable();
        this.endpoints.forEach((entry) => putEndpoint(table, entry));
        if (this.options.cold !== undefined) {
            table.limits.cold.rules = new Map([[service, this.options.cold.rule]]);
        }
        return table;
    }

    private get isDown(): boolean {
        const { crashesAt, downMs } = this.options.cold ?? { crashesAt: [], downMs: 0 };
        return crashesAt.some((crashAt) => this.now >= crashAt && this.now < crashAt + downMs);
    }

    private get lastCrashAt(): number {
        return this.options.cold?.crashesAt.findLast((at) => at <= this.now) ?? -Infinity;
    }

    private lostAt(router: FakeRouter): number {
        return router.table.limits.cold.known.get(this.endpoints[0]!.id)?.lostAt ?? -Infinity;
    }

    private crashedSince(entry: EndpointEntry, sentAt: number): boolean {
        const { crashesAt } = this.options.cold ?? { crashesAt: [] };
        return entry.id === this.endpoints[0]!.id && crashesAt.some((at) => at > sentAt && at <= this.now);
    }

    private coldMs(at: number): number {
        const { crashesAt, downMs, rule } = this.options.cold!;
        const startedAt = crashesAt.map((crashAt) => crashAt + downMs).findLast((start) => start <= at) ?? -Infinity;
        return Math.max(0, startedAt + rule.startMs - at);
    }

    // Each registration reaches the routers in touch with the store after some time.
    private register(): void {
        if (!this.isDown) {
            this.registeredAt = this.now;
            this.routers.forEach((router) =>
                this.schedule(this.between(...REPORT_DELAY_MS), () => this.deliverRegistration(router))
            );
        }
        this.schedule(REGISTRATION_INTERVAL_MS, () => this.register());
    }

    private deliverRegistration(router: FakeRouter): void {
        if (this.isLost(router) || this.registeredAt === undefined) {
            return;
        }
        const writtenAfter = router.registrationsReadAt;
        const entry = { ...this.endpoints[0]!, coldMs: this.coldMs(this.registeredAt) };
        recordColdRegistration(router.table.limits.cold, entry, this.registeredAt, writtenAfter, this.now);
        router.registrationWrittenAt = this.registeredAt;
        router.registrationsReadAt = this.now - REPORT_DELAY_MS[1];
    }

    private schedule(delayMs: number, event: () => void): void {
        const at = this.now + Math.max(1, Math.round(delayMs));
        this.events.set(at, [...this.events.get(at) ?? [], event]);
    }

    private between(min: number, max: number): number {
        return min + randomBelow(this.random, max - min + 1);
    }

    private readonly fraction = (): number => randomFraction(this.random);

    private isLost(router: FakeRouter): boolean {
        return router.downUntil !== undefined || router.cutUntil > this.now;
    }

    // A further fault of a lost router does not renew its registration.
    private markLost(router: FakeRouter): void {
        router.lostSince = this.isLost(router) ? router.lostSince : this.now;
    }

    private isRegistered(router: FakeRouter): boolean {
        return !this.isLost(router) || this.now - router.lostSince < LEASE_MS;
    }

    private get serving(): FakeRouter[] {
        return this.routers.filter((router) => this.isRegistered(router)).slice(0, this.options.serving);
    }

    private updateView(router: FakeRouter): void {
        if (router.downUntil === undefined && router.cutUntil <= this.now) {
            const names = this.serving.map(({ name }) => name);
            updateSharers(router.table.limits, router.name, names, this.options.routers, this.now);
        }
        this.schedule(VIEW_INTERVAL_MS, () => this.updateView(router));
    }

    private sendNext(): void {
        const candidates = this.fraction() < STRAY_SHARE ? this.routers : this.serving;
        const router = randomElement(this.random, candidates.filter(({ downUntil }) => downUntil === undefined));
        if (router !== undefined) {
            this.send(router);
        }
        this.schedule(-Math.log(1 - this.fraction()) * 1_000 / this.options.requestsPerSecond, () => this.sendNext());
    }

    private send(router: FakeRouter): void {
        const { table } = router;
        const query: PlacementQuery = {
            service,
            engine: undefined,
            parts: [],
            promptTokens: 0,
            domain: brand<FailureDomain>("a"),
            tried: new Set(),
            isRepeat: false,
            priority: randomBelow(this.random, 3),
            cacheMs: 0,
        };
        const row = chooseEndpoint(table, query, this.fraction, this.now)?.row;
        if (row === undefined) {
            this.refused += isServiceLimited(table, service, this.now) ? 1 : 0;
            return;
        }
        const sentAt = this.now;
        if (row.entry.id === this.endpoints[0]!.id && this.isDown) {
            recordConnectFailure(table, row, this.now);
            return;
        }
        recordSend(table, row, query, this.fraction, sentAt);
        const counts = router.informedFrom <= sentAt && router.excusedUntil <= sentAt;
        const isAware = this.lastCrashAt <= Math.max(this.lostAt(router), router.registrationWrittenAt);
        this.arrivals.push({ endpoint: row.entry.id, router: router.name, at: sentAt, counts, isAware });
        const responseMs = this.between(...RESPONSE_MS);
        this.schedule(this.fraction() * responseMs, () => {
            const stated = this.options.statedAt(this.endpoints.indexOf(row.entry), this.now);
            this.schedule(this.between(...RESPONSE_MS), () => this.receive(router, table, row.entry, stated, sentAt));
        });
    }

    private receive(
        router: FakeRouter,
        table: EndpointTable,
        entry: EndpointEntry,
        stated: number | undefined,
        sentAt: number,
    ): void {
        if (router.table !== table || router.downUntil !== undefined) {
            return;
        }
        const row = table.rows.get(entry.id)!;
        row.open--;
        if (this.crashedSince(entry, sentAt)) {
            recordLostContact(table.limits.cold, entry, this.now);
            row.unansweredSince = row.open === 0 ? undefined : row.unansweredSince;
            return;
        }
        recordHeard(table, row, sentAt, this.now);
        if (this.options.cold?.inResponses && entry.id === this.endpoints[0]!.id) {
            recordStatedCold(table.limits.cold, entry, this.coldMs(this.now), this.now);
        }
        recordStatedLimit(table.limits, entry, stated, sentAt, this.fraction, this.now);
        if (stated !== undefined) {
            router.informedFrom = Math.min(router.informedFrom, this.now + INFORMED_AFTER_MS);
        }
        this.report(router, entry);
    }

    private report(router: FakeRouter, entry: EndpointEntry): void {
        const received = router.received.get(entry.id);
        const report = limitToReport(router.table.limits, entry, received?.report);
        const reportedAt = router.reportedAt.get(entry.id) ?? -Infinity;
        if (report === undefined || this.now - reportedAt < WRITE_INTERVAL_MS || router.cutUntil > this.now) {
            return;
        }
        router.reportedAt.set(entry.id, this.now);
        const revision = received?.revision ?? 0;
        if (revision === (this.stored.get(entry.id)?.revision ?? 0)) {
            this.stored.set(entry.id, { report, revision: revision + 1 });
            this.routers.forEach((other) => this.schedule(this.between(...REPORT_DELAY_MS), () => this.deliver(other)));
        }
        this.deliver(router);
    }

    private deliver(router: FakeRouter): void {
        if (router.downUntil !== undefined || router.cutUntil > this.now) {
            return;
        }
        for (const [endpoint, stored] of this.stored) {
            if (stored.revision > (router.received.get(endpoint)?.revision ?? 0)) {
                router.received.set(endpoint, stored);
                recordReportedLimit(router.table.limits, stored.report, this.fraction, this.now);
            }
        }
    }
}
