import { rendezvousFirst, rendezvousOrder } from "../support/rendezvous.js";
import type { RegionTable } from "./regions.js";
import type { FleetMember, InstanceCapacity } from "./types.js";

/** Maximum number of router addresses in one response. */
const MAX_ADDRESSES = 64;
/** Share of the fleet's capacity that callers are sent to; the rest is a reserve for crashes and bursts. */
const SERVING_CAPACITY_SHARE = 0.5;
/** Minimum number of routers that callers are sent to, so that a choice remains after one crash. */
const MIN_SERVING_ROUTERS = 3;

/**
 * Returns the routers that callers are sent to. With regions, the largest ones of each region are among them, so that
 * the callers of a region can be kept there.
 */
export function servingRouters(members: Iterable<FleetMember>, regions?: RegionTable): FleetMember[] {
    const all = [...members];
    const regionNames = new Set(regions?.values() ?? []);
    const regional = [...regionNames].flatMap((region) =>
        largestRouters(all.filter((member) => regions?.get(member.domain) === region))
    );
    return [...new Set([...largestRouters(all), ...regional])];
}

type Candidate = { readonly member: FleetMember; readonly weight: number; };

/**
 * Chooses the largest routers, spread over the failure domains. With
 * fewer routers, each sees more of the endpoints' load and holds larger parts of the accounts' tokens. Each
 * router under high load adds capacity of its own size. The choice is the same on all routers without coordination.
 */
export function largestRouters(members: readonly FleetMember[]): FleetMember[] {
    const candidates = candidatesOf(members);
    const total = candidates.reduce((sum, { weight }) => sum + weight, 0);
    const chosen: Candidate[] = [];
    const perDomain = new Map<string, number>();
    let requiredWeight = SERVING_CAPACITY_SHARE * total;
    let chosenWeight = 0;
    while (candidates.length > 0 && (chosen.length < MIN_SERVING_ROUTERS || chosenWeight < requiredWeight)) {
        const next = candidates.reduce((best, other) => precedes(other, best, perDomain) ? other : best);
        candidates.splice(candidates.indexOf(next), 1);
        chosen.push(next);
        perDomain.set(next.member.domain, (perDomain.get(next.member.domain) ?? 0) + 1);
        chosenWeight += next.weight;
        requiredWeight += next.member.strained ? next.weight : 0;
    }
    return chosen.map(({ member }) => member);
}

/** Returns the name of the router that acts for a key; the same on all routers that know the same members. */
export function ownerOf(key: string, members: readonly FleetMember[]): string | undefined {
    return rendezvousFirst(key, members.map(({ name }) => name));
}

// The weight of a router is its capacity relative to the maximum in the fleet. The order breaks ties.
function candidatesOf(members: readonly FleetMember[]): Candidate[] {
    const maximum = maxCapacity(members);
    return orderedFor("serving", members).map((member) => ({
        member,
        weight: scarcestShare(member.capacity, maximum),
    }));
}

/** Returns the scarcest resource of an instance relative to the maximum among some routers. */
export function relativeCapacity(capacity: InstanceCapacity, members: readonly FleetMember[]): number {
    return scarcestShare(capacity, maxCapacity(members));
}

function maxCapacity(members: readonly FleetMember[]): InstanceCapacity {
    return {
        cores: Math.max(...members.map((member) => member.capacity.cores)),
        linkMbps: Math.max(...members.map((member) => member.capacity.linkMbps)),
    };
}

function scarcestShare(capacity: InstanceCapacity, maximum: InstanceCapacity): number {
    return Math.min(capacity.cores / maximum.cores, capacity.linkMbps / maximum.linkMbps);
}

function orderedFor(key: string, members: readonly FleetMember[]): FleetMember[] {
    const byName = new Map(members.map((member) => [member.name, member]));
    return rendezvousOrder(key, byName.keys()).map((name) => byName.get(name)!);
}

function precedes(one: Candidate, other: Candidate, perDomain: ReadonlyMap<string, number>): boolean {
    const difference = one.weight - other.weight
        || (perDomain.get(other.member.domain) ?? 0) - (perDomain.get(one.member.domain) ?? 0);
    return difference > 0;
}

/** Share of the fleet-wide budget for the routers that callers are sent to. */
const SERVING_BUDGET_SHARE = 0.75;

/**
 * Returns this router's share of a fleet-wide budget. The shares of all routers add up to 1; routers that
 * callers are not sent to keep a small share, because callers cache addresses for a while.
 */
export function fleetShareOf(name: string, serving: readonly FleetMember[], fleetSize: number): number {
    const others = fleetSize - serving.length;
    if (others <= 0) {
        return 1 / Math.max(1, fleetSize);
    }
    return serving.some((member) => member.name === name)
        ? SERVING_BUDGET_SHARE / serving.length
        : (1 - SERVING_BUDGET_SHARE) / others;
}

/** Number of routers that read changes from the store for all others: one remains after two crashes. */
const STORE_WATCHER_COUNT = 3;

/** Capacity relative to the largest router from which one may watch the store: a watcher reads all keys. */
const MIN_WATCHER_CAPACITY = 0.5;

/**
 * Chooses the routers that watch the store themselves among those that callers are sent to, in different failure
 * domains where there are any. Small routers, which serve while others are under high load, only watch if there are
 * too few others: the changes of all keys take seconds on their links, and all other routers wait for them.
 */
export function storeWatchersOf(serving: readonly FleetMember[]): FleetMember[] {
    const isLarge = ({ capacity }: FleetMember): boolean => relativeCapacity(capacity, serving) >= MIN_WATCHER_CAPACITY;
    const ordered = orderedFor("followers", serving);
    const domains = new Set<string>();
    const firsts = ordered.filter((member) =>
        isLarge(member) && !domains.has(member.domain) && domains.add(member.domain)
    );
    return [...new Set([...firsts, ...ordered.filter(isLarge), ...ordered])].slice(0, STORE_WATCHER_COUNT);
}

/**
 * Returns the peer addresses of the store watchers from which a router requests store changes. Those in its
 * own failure domain come first, because traffic between domains has a cost.
 */
export function changeSources(storeWatchers: readonly FleetMember[], self: FleetMember): string[] {
    const ordered = orderedFor(self.name, storeWatchers.filter((member) => member.name !== self.name));
    const sameDomain = ordered.filter((member) => member.domain === self.domain);
    const otherDomains = ordered.filter((member) => member.domain !== self.domain);
    return [...sameDomain, ...otherDomains].map((member) => member.peerAddress);
}

/** CPU utilization above which a router enters high load, and at or below which it leaves it. */
const HIGH_LOAD_ABOVE = 0.6;
const HIGH_LOAD_UNTIL = 0.3;

/** Minimum duration of high load in ms; each change is written to the store and read by all routers. */
const MIN_HIGH_LOAD_MS = 5_000;

/** Whether a router is under high load, and since when in ms. */
export type HighLoadState = { readonly strained: boolean; readonly since: number; };

/** Returns the load state of a router from its previous state and CPU utilization (0 to 1). */
export function nextHighLoadState(before: HighLoadState, utilization: number, now: number): HighLoadState {
    if (before.strained && now - before.since < MIN_HIGH_LOAD_MS) {
        return before;
    }
    const strained = utilization > (before.strained ? HIGH_LOAD_UNTIL : HIGH_LOAD_ABOVE);
    return strained === before.strained ? before : { strained, since: now };
}

/**
 * Returns router addresses in random order, at most MAX_ADDRESSES. Routers with a long lease are left out as soon as
 * a choice remains without them, as they stay registered for long after they were killed. Callers pick one address at random, so a router whose capacity relative to the largest is below
 * `minCapacityShare` is listed with a probability of that size; each would else get as many callers as a large one.
 */
export function addressesForCaller(
    serving: readonly FleetMember[],
    minCapacityShare: number,
    random: () => number,
): string[] {
    const current = serving.filter((member) => member.hasShortLease);
    const candidates = current.length >= Math.min(MIN_SERVING_ROUTERS, serving.length) ? current : serving;
    const maximum = maxCapacity(candidates);
    const isListed = ({ capacity }: FleetMember): boolean => {
        const share = scarcestShare(capacity, maximum);
        return share >= minCapacityShare || random() < share;
    };
    const listed = candidates.filter(isListed);
    return (listed.length > 0 ? listed : candidates)
        .map((member) => ({ member, order: random() }))
        .sort((one, other) => one.order - other.order)
        .slice(0, MAX_ADDRESSES)
        .map(({ member }) => member.address);
}
