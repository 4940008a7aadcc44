import { brand, type FailureDomain, type Incarnation } from "@gooseberrybend/core";
import {
    type FleetMember,
    largestRouters,
    type RegionTable,
    servingRouters,
    storeWatchersOf,
} from "@gooseberrybend/core/dispatch";
import { z } from "zod";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";
import { SHARED_PREFIX } from "./shared-prefix.js";

/** Key prefix of router registrations. */
export const FLEET_PREFIX = `${SHARED_PREFIX}fleet/`;

/** Lease lifetime in ms of a router that callers are sent to: short, so that a crashed router is removed soon. */
const SERVING_LEASE_MS = 2_000;
const SERVING_RENEWAL_MS = 600;
/** Shortest time in ms of a store outage in which the registration of a router expires. */
export const SHORTEST_ROUTER_EXPIRY_MS = SERVING_LEASE_MS - SERVING_RENEWAL_MS;
/** Lease lifetime in ms of other routers: outlasts most store partitions, which saves registering again. */
const STANDBY_LEASE_MS = 15_000;
const STANDBY_RENEWAL_MS = 4_500;
/** Time in ms to discover the fleet after registering; until then every router appears to be serving. */
const DISCOVERY_MS = 3_000;

const memberSchema = z.object({
    name: z.string(),
    incarnation: z.string(),
    address: z.string(),
    peerAddress: z.string(),
    domain: z.string(),
    capacity: z.object({ cores: z.number(), linkMbps: z.number() }),
    strained: z.boolean(),
    // Earlier releases do not state it.
    hasShortLease: z.boolean().default(true),
});

/** Registers this router in the store, and tracks the registrations of the others. */
export class FleetRegistry {
    readonly members = new Map<string, FleetMember>();
    /** Peer addresses by router name, including routers whose registration has ended. */
    private readonly peerAddresses = new Map<string, string>();
    /** Cached value of `serving`; cleared when the members change. */
    private cachedServing: readonly FleetMember[] | undefined;
    /** Cached value of `largest`; cleared when the members change. */
    private cachedLargest: readonly FleetMember[] | undefined;
    private regions: RegionTable | undefined;
    /** Last non-empty store watchers: kept without members, as a store partition expires all registrations. */
    private cachedStoreWatchers: readonly FleetMember[] = [];
    private areStoreWatchersCurrent = false;
    private lease: number | undefined;
    /** Leases that the stored registration may be attached to: while it is moved, both the old and the new one. */
    private readonly heldLeases = new Set<number>();
    /** True once the lease has the short lifetime of a serving router. */
    private isLeaseShort = false;
    private registeredAt = Infinity;
    private renewedAt = -Infinity;
    private isLeaving = false;
    private timer: NodeJS.Timeout | undefined;
    private isRenewing = false;
    /** True if the stored registration differs from the current state. */
    private isOutdated = false;

    constructor(
        private readonly store: MetadataStore,
        private self: FleetMember,
        /** Minimum lifetime in ms of a lease that the store grants. */
        private readonly minLeaseMs: number,
        private readonly logs: GatewayLogs,
        private readonly clock: () => number,
    ) {}

    /** Registers this router, and renews its registration. */
    start(): void {
        void this.renew();
        this.timer = setInterval(() => void this.renew(), SERVING_RENEWAL_MS);
    }

    /** Ends the registration, so that callers are no longer sent to this router; repeated until the store confirms it. */
    async leave(): Promise<void> {
        this.isLeaving = true;
        this.timer?.unref();
        this.deleteMember(FLEET_PREFIX + this.self.name);
        await this.endLeases();
    }

    /** Stops renewing the registration, which then expires. */
    stop(): void {
        clearInterval(this.timer);
    }

    private async endLeases(): Promise<void> {
        await Promise.all([...this.heldLeases].map(async (lease) => {
            const result = await this.store.endLease(lease);
            if (result.kind === "done" || result.kind === "lease-ended") {
                this.heldLeases.delete(lease);
            }
            this.logs.fleet.info("This router ended its registration.", { result: result.kind, lease });
        }));
    }

    /** Registers anew after the store came back from an older copy: it may give out the lease to another router. */
    registerAgain(): void {
        this.lease = undefined;
        this.heldLeases.clear();
        void this.renew();
    }

    /** The routers that callers are sent to. */
    get serving(): readonly FleetMember[] {
        this.cachedServing ??= servingRouters(this.members.values(), this.regions);
        return this.cachedServing;
    }

    /** The routers that callers are sent to wherever no regions apply: the largest of the fleet. */
    get largest(): readonly FleetMember[] {
        this.cachedLargest ??= largestRouters([...this.members.values()]);
        return this.cachedLargest;
    }

    /** Sets the regions in each of which routers serve; undefined if no route names regions. */
    setRegions(regions: RegionTable | undefined): void {
        this.regions = regions;
        this.cachedServing = undefined;
    }

    /** Whether callers are sent to this router. */
    get isServing(): boolean {
        return this.serving.some((member) => member.name === this.self.name);
    }

    /** The routers that watch the store and forward its changes to the others. */
    get storeWatchers(): readonly FleetMember[] {
        if (!this.areStoreWatchersCurrent && this.largest.length > 0) {
            this.cachedStoreWatchers = storeWatchersOf(this.largest);
            this.areStoreWatchersCurrent = true;
        }
        return this.cachedStoreWatchers;
    }

    /** Whether this router watches the store for the others. */
    get isStoreWatcher(): boolean {
        return this.storeWatchers.some((member) => member.name === this.self.name);
    }

    /**
     * Returns the peer address of a router, or undefined if it never registered. A router that is partitioned
     * from the store loses its registration, but may still be reachable.
     */
    peerAddressOf(name: string): string | undefined {
        return this.peerAddresses.get(name);
    }

    /**
     * Distinct peer addresses of the other routers: first those that watch the store, then those that callers
     * are sent to, then all that ever registered.
     */
    get otherPeerAddresses(): readonly string[] {
        const preferred = [...this.storeWatchers, ...this.serving].map((member) => member.peerAddress);
        const addresses = new Set([...preferred, ...this.peerAddresses.values()]);
        addresses.delete(this.self.peerAddress);
        return [...addresses];
    }

    /** Publishes whether this router is under high load. */
    publishHighLoad(strained: boolean): void {
        if (this.self.strained !== strained) {
            this.self = { ...this.self, strained };
            this.logs.fleet.info("High-load state of this router changed; updating its registration.", { strained });
            this.isOutdated = true;
        }
    }

    /** Replaces all registrations. */
    replace(items: readonly StoredItem[], graceMs: number): void {
        const keys = new Set(items.map((item) => item.key));
        for (const key of this.members.keys()) {
            if (!keys.has(key)) {
                this.remove(key, graceMs);
            }
        }
        items.forEach((item) => this.put(item));
    }

    /** Adds or updates one registration. */
    put(item: StoredItem): void {
        try {
            const member = memberSchema.parse(JSON.parse(item.value.toString("utf8")));
            if (!this.members.has(item.key)) {
                this.logs.fleet.info("Router joined the fleet.", { router: member.name, address: member.address });
            }
            this.setMember(item.key, {
                ...member,
                incarnation: brand<Incarnation>(member.incarnation),
                domain: brand<FailureDomain>(member.domain),
            });
        }
        catch (error) {
            this.logs.fleet.warn("Router registration can't be read; ignored.", {
                key: item.key,
                detail: (error as Error).message,
            });
        }
    }

    /** Removes a registration, after a grace period in ms in which the router may register again. */
    remove(key: string, graceMs: number): void {
        if (key === FLEET_PREFIX + this.self.name && !this.isLeaving) {
            this.lease = undefined;
            void this.renew();
        }
        const member = this.members.get(key);
        if (member === undefined) {
            return;
        }
        if (graceMs > 0) {
            setTimeout(() => this.removeIfUnchanged(key, member), graceMs).unref();
            return;
        }
        this.removeIfUnchanged(key, member);
    }

    // A router that registered again in the meantime has a different member object.
    private removeIfUnchanged(key: string, member: FleetMember): void {
        if (this.members.get(key) === member) {
            this.deleteMember(key);
            this.logs.fleet.info("Router removed from the fleet.", { key });
        }
    }

    private async renew(): Promise<void> {
        if (this.isRenewing) {
            return;
        }
        this.isRenewing = true;
        if (!this.isLeaving && this.isRenewalDue(this.clock())) {
            await this.renewLease();
            // The router may leave while the store answers.
            if (!this.isLeaving && this.isOutdated && this.lease !== undefined) {
                await this.register(this.lease);
            }
        }
        if (this.isLeaving) {
            await this.endLeases();
        }
        this.isRenewing = false;
    }

    private async renewLease(): Promise<void> {
        const now = this.clock();
        if (this.needsShortLease(now)) {
            // The old lease expires by itself; the registration is moved to a new, short one.
            this.lease = undefined;
            this.isLeaseShort = true;
        }
        else if (this.lease !== undefined) {
            const renewed = await this.store.renewLease(this.lease);
            this.renewedAt = renewed.kind === "done" ? now : this.renewedAt;
            if (renewed.kind === "lease-ended") {
                this.heldLeases.delete(this.lease);
                this.lease = undefined;
            }
        }
        if (this.lease === undefined && !this.isLeaving) {
            const lifetimeMs = this.isLeaseShort ? SERVING_LEASE_MS : STANDBY_LEASE_MS;
            const granted = await this.store.grantLease(Math.max(lifetimeMs, this.minLeaseMs));
            if (granted.kind === "done") {
                this.lease = granted.value;
                this.heldLeases.add(granted.value);
                this.renewedAt = now;
                this.isOutdated = true;
            }
        }
    }

    private isRenewalDue(now: number): boolean {
        return this.lease === undefined || this.isOutdated || this.isLeaseShort || this.needsShortLease(now)
            || now - this.renewedAt >= STANDBY_RENEWAL_MS;
    }

    // A router that has served keeps its short lease, as it may serve again soon.
    private needsShortLease(now: number): boolean {
        return !this.isLeaseShort && now - this.registeredAt > DISCOVERY_MS && this.isServing;
    }

    private async register(lease: number): Promise<void> {
        const key = FLEET_PREFIX + this.self.name;
        const { self } = this;
        const member = { ...self, hasShortLease: this.isLeaseShort };
        const put = { key, value: JSON.stringify(member), lease };
        const written = await this.store.transact({ conditions: new Map(), puts: [put], deletes: [] });
        if (written.kind === "done" && !this.isLeaving) {
            [...this.heldLeases].filter((held) => held !== lease).forEach((held) => this.heldLeases.delete(held));
            this.isOutdated = this.self !== self;
            this.registeredAt = Math.min(this.registeredAt, this.clock());
            this.setMember(key, member);
            this.logs.fleet.info("This router is registered in the store.", { address: member.address, lease });
        }
    }

    private setMember(key: string, member: FleetMember): void {
        this.members.set(key, member);
        this.peerAddresses.set(member.name, member.peerAddress);
        this.cachedServing = undefined;
        this.cachedLargest = undefined;
        this.areStoreWatchersCurrent = false;
    }

    private deleteMember(key: string): void {
        this.members.delete(key);
        this.cachedServing = undefined;
        this.cachedLargest = undefined;
        this.areStoreWatchersCurrent = false;
    }
}
