import { brand, type FailureDomain, type Incarnation } from "@gooseberrybend/core";
import { type FleetMember, followersOf, servingRouters } from "@gooseberrybend/core/dispatch";
import { z } from "zod";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";
import { SHARED_PREFIX } from "./shared-prefix.js";

/** Prefix of the keys of routers. */
export const FLEET_PREFIX = `${SHARED_PREFIX}fleet/`;

/** Lifetime in ms of the registration of a router that callers are sent to: its death takes it out soon. */
const SERVING_LEASE_MS = 2_000;
const SERVING_RENEWAL_MS = 600;
/** Lifetime in ms of other registrations: longer than most cuts from the store, so that they need not be made again. */
const RESERVE_LEASE_MS = 15_000;
const RESERVE_RENEWAL_MS = 4_500;
/** Time in ms after a registration in which the fleet becomes known; until then every router seems to serve. */
const GATHERING_MS = 3_000;

const memberSchema = z.object({
    name: z.string(),
    incarnation: z.string(),
    address: z.string(),
    peerAddress: z.string(),
    domain: z.string(),
    capacity: z.object({ cores: z.number(), linkMbps: z.number() }),
    strained: z.boolean(),
});

/** Registers this router in the store, and knows the others. */
export class FleetRegistry {
    readonly members = new Map<string, FleetMember>();
    /** Where routers take calls of others, also of those whose registration has ended. */
    private readonly peerAddresses = new Map<string, string>();
    /** The routers that callers are sent to, until the members change. */
    private chosen: readonly FleetMember[] | undefined;
    /** The routers that followed the store when routers were last known; a cut ends all registrations. */
    private following: readonly FleetMember[] = [];
    private isFollowingKnown = false;
    private lease: number | undefined;
    /** True once the lease is as short as those of routers that callers are sent to. */
    private isLeaseShort = false;
    private registeredAt = Infinity;
    private renewedAt = -Infinity;
    private leaving = false;
    private timer: NodeJS.Timeout | undefined;
    private busy = false;
    /** True when the registration does not tell what holds now. */
    private outdated = false;

    constructor(
        private readonly store: MetadataStore,
        private self: FleetMember,
        /** Shortest lifetime in ms of a lease that the store grants. */
        private readonly shortestLeaseMs: number,
        private readonly logs: GatewayLogs,
        private readonly clock: () => number,
    ) {}

    /** Registers, and keeps the registration alive. */
    start(): void {
        void this.renew();
        this.timer = setInterval(() => void this.renew(), SERVING_RENEWAL_MS);
    }

    /** Takes this router out of the answers to callers. */
    async leave(): Promise<void> {
        this.leaving = true;
        clearInterval(this.timer);
        this.deleteMember(FLEET_PREFIX + this.self.name);
        if (this.lease !== undefined) {
            const result = await this.store.endLease(this.lease);
            this.logs.fleet.info("Registration ended.", { result: result.kind });
        }
    }

    /** The routers that callers are sent to. */
    get serving(): readonly FleetMember[] {
        this.chosen ??= servingRouters(this.members.values());
        return this.chosen;
    }

    /** Whether callers are sent to this router. */
    get isServing(): boolean {
        return this.serving.some((member) => member.name === this.self.name);
    }

    /** The routers that follow the store for the others. */
    get followers(): readonly FleetMember[] {
        if (!this.isFollowingKnown && this.serving.length > 0) {
            this.following = followersOf(this.serving);
            this.isFollowingKnown = true;
        }
        return this.following;
    }

    /** Whether this router follows the store for the others. */
    get isFollower(): boolean {
        return this.followers.some((member) => member.name === this.self.name);
    }

    /**
     * Returns where a router takes calls of others, or undefined when it was never known. A router that
     * is cut off from the store loses its registration, but may still be reached.
     */
    peerAddressOf(name: string): string | undefined {
        return this.peerAddresses.get(name);
    }

    /**
     * Where other routers take calls, distinct: first those that follow the store, then those that callers are
     * sent to, then all that were ever known.
     */
    get otherAddresses(): readonly string[] {
        const known = [...this.followers, ...this.serving].map((member) => member.peerAddress);
        const addresses = new Set([...known, ...this.peerAddresses.values()]);
        addresses.delete(this.self.peerAddress);
        return [...addresses];
    }

    /** Tells the others whether this router is strained. */
    tellStrain(strained: boolean): void {
        if (this.self.strained !== strained) {
            this.self = { ...this.self, strained };
            this.logs.fleet.info("Strain changed.", { strained });
            this.outdated = true;
        }
    }

    /** Takes in all registrations. */
    replace(items: readonly StoredItem[], graceMs: number): void {
        const keys = new Set(items.map((item) => item.key));
        for (const key of this.members.keys()) {
            if (!keys.has(key)) {
                this.remove(key, graceMs);
            }
        }
        items.forEach((item) => this.put(item));
    }

    /** Takes in one registration. */
    put(item: StoredItem): void {
        try {
            const member = memberSchema.parse(JSON.parse(item.value.toString("utf8")));
            if (!this.members.has(item.key)) {
                this.logs.fleet.info("Router joined.", { router: member.name, address: member.address });
            }
            this.setMember(item.key, {
                ...member,
                incarnation: brand<Incarnation>(member.incarnation),
                domain: brand<FailureDomain>(member.domain),
            });
        }
        catch (error) {
            this.logs.fleet.warn("Registration can't be read.", { key: item.key, detail: (error as Error).message });
        }
    }

    /** Drops a registration, after a time in ms in which it may come back. */
    remove(key: string, graceMs: number): void {
        if (key === FLEET_PREFIX + this.self.name && !this.leaving) {
            this.lease = undefined;
            void this.renew();
        }
        const member = this.members.get(key);
        if (member === undefined) {
            return;
        }
        if (graceMs > 0) {
            setTimeout(() => this.drop(key, member), graceMs).unref();
            return;
        }
        this.drop(key, member);
    }

    // A registration that came back since is another member.
    private drop(key: string, member: FleetMember): void {
        if (this.members.get(key) === member) {
            this.deleteMember(key);
            this.logs.fleet.info("Router left.", { key });
        }
    }

    private async renew(): Promise<void> {
        const now = this.clock();
        if (this.busy || this.leaving || !this.isRenewalDue(now)) {
            return;
        }
        this.busy = true;
        if (this.needsShortLease(now)) {
            // The old lease lapses by itself; the registration no longer hangs on it.
            this.lease = undefined;
            this.isLeaseShort = true;
        }
        else if (this.lease !== undefined) {
            const renewed = await this.store.renewLease(this.lease);
            this.renewedAt = renewed.kind === "done" ? now : this.renewedAt;
            if (renewed.kind === "lease-ended") {
                this.lease = undefined;
            }
        }
        if (this.lease === undefined) {
            const lifetimeMs = this.isLeaseShort ? SERVING_LEASE_MS : RESERVE_LEASE_MS;
            const granted = await this.store.grantLease(Math.max(lifetimeMs, this.shortestLeaseMs));
            if (granted.kind === "done") {
                this.lease = granted.value;
                this.renewedAt = now;
                this.outdated = true;
            }
        }
        if (this.outdated && this.lease !== undefined) {
            await this.register(this.lease);
        }
        this.busy = false;
    }

    private isRenewalDue(now: number): boolean {
        return this.lease === undefined || this.outdated || this.isLeaseShort || this.needsShortLease(now)
            || now - this.renewedAt >= RESERVE_RENEWAL_MS;
    }

    // A router that served once keeps its short lease, as it may serve again soon.
    private needsShortLease(now: number): boolean {
        return !this.isLeaseShort && now - this.registeredAt > GATHERING_MS && this.isServing;
    }

    private async register(lease: number): Promise<void> {
        const key = FLEET_PREFIX + this.self.name;
        const member = this.self;
        const put = { key, value: JSON.stringify(member), lease };
        const written = await this.store.transact({ conditions: new Map(), puts: [put], deletes: [] });
        if (written.kind === "done") {
            this.outdated = this.self !== member;
            this.registeredAt = Math.min(this.registeredAt, this.clock());
            this.setMember(key, member);
            this.logs.fleet.info("Registered.", { address: member.address, lease });
        }
    }

    private setMember(key: string, member: FleetMember): void {
        this.members.set(key, member);
        this.peerAddresses.set(member.name, member.peerAddress);
        this.chosen = undefined;
        this.isFollowingKnown = false;
    }

    private deleteMember(key: string): void {
        this.members.delete(key);
        this.chosen = undefined;
        this.isFollowingKnown = false;
    }
}
