import { rendezvousOrder } from "../support/rendezvous.js";
import type { FleetMember } from "./types.js";

/** Addresses that one answer names at most. */
const MOST_ADDRESSES = 64;
/** Part of the fleet's capacity that callers are sent to; the rest is a reserve for deaths and bursts. */
const SERVING_SHARE = 0.5;
/** Fewest routers that callers are sent to, so that one death leaves them a choice. */
const FEWEST_SERVING = 3;

type Candidate = { readonly member: FleetMember; readonly weight: number; };

/**
 * Chooses the routers that callers are sent to: the largest ones, spread over the failure domains. Few
 * routers see more of the load of endpoints each and hold larger parts of the accounts' tokens. Every
 * router that is strained brings in another of its size. All routers choose alike without talking.
 */
export function servingRouters(members: Iterable<FleetMember>): FleetMember[] {
    const left = candidatesOf([...members]);
    const total = left.reduce((sum, { weight }) => sum + weight, 0);
    const chosen: Candidate[] = [];
    const perDomain = new Map<string, number>();
    let wanted = SERVING_SHARE * total;
    let reached = 0;
    while (left.length > 0 && (chosen.length < FEWEST_SERVING || reached < wanted)) {
        const next = left.reduce((best, other) => precedes(other, best, perDomain) ? other : best);
        left.splice(left.indexOf(next), 1);
        chosen.push(next);
        perDomain.set(next.member.domain, (perDomain.get(next.member.domain) ?? 0) + 1);
        reached += next.weight;
        wanted += next.member.strained ? next.weight : 0;
    }
    return chosen.map(({ member }) => member);
}

// The weight of a router is its scarcest resource relative to the best of the fleet. The order decides between equals.
function candidatesOf(members: readonly FleetMember[]): Candidate[] {
    const mostCores = Math.max(...members.map((member) => member.capacity.cores));
    const mostMbps = Math.max(...members.map((member) => member.capacity.linkMbps));
    return orderedFor("serving", members).map((member) => ({
        member,
        weight: Math.min(member.capacity.cores / mostCores, member.capacity.linkMbps / mostMbps),
    }));
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

/** Part of what the fleet may use together that is for the routers that callers are sent to. */
const SERVING_PART = 0.75;

/**
 * Returns this router's part of what the fleet may use together. The parts of all routers add up to 1;
 * those that callers are not sent to keep a little, as callers know addresses for a while.
 */
export function partOfFleet(name: string, serving: readonly FleetMember[], fleetSize: number): number {
    const others = fleetSize - serving.length;
    if (others <= 0) {
        return 1 / Math.max(1, fleetSize);
    }
    return serving.some((member) => member.name === name)
        ? SERVING_PART / serving.length
        : (1 - SERVING_PART) / others;
}

/** Routers that read changes from the store for all others: enough that one is left after two deaths. */
const FOLLOWERS = 3;

/**
 * Chooses the routers that follow the store itself, in different failure domains where there are any.
 * They are among those that callers are sent to, which are the largest.
 */
export function followersOf(serving: readonly FleetMember[]): FleetMember[] {
    const ordered = orderedFor("followers", serving);
    const domains = new Set<string>();
    const firsts = ordered.filter((member) => !domains.has(member.domain) && domains.add(member.domain));
    return [...new Set([...firsts, ...ordered])].slice(0, FOLLOWERS);
}

/**
 * Returns where a router asks for changes of the store: at those that follow it. Those of its own failure
 * domain come first, as bytes between domains cost.
 */
export function newsSources(followers: readonly FleetMember[], self: FleetMember): string[] {
    const ordered = orderedFor(self.name, followers.filter((member) => member.name !== self.name));
    const near = ordered.filter((member) => member.domain === self.domain);
    const far = ordered.filter((member) => member.domain !== self.domain);
    return [...near, ...far].map((member) => member.peerAddress);
}

/** Part of its processor from which a router counts as strained, and below which it does no more. */
const STRAINED_ABOVE = 0.6;
const STRAINED_UNTIL = 0.3;

/** Shortest time in ms of strain; each change is written to the store, and read by all routers. */
const SHORTEST_STRAIN_MS = 5_000;

/** Whether a router is strained, and since when in ms. */
export type Strain = { readonly strained: boolean; readonly since: number; };

/** Returns the strain of a router, from the one before and the part of its processor in use. */
export function nextStrain(before: Strain, utilization: number, now: number): Strain {
    if (before.strained && now - before.since < SHORTEST_STRAIN_MS) {
        return before;
    }
    const strained = utilization > (before.strained ? STRAINED_UNTIL : STRAINED_ABOVE);
    return strained === before.strained ? before : { strained, since: now };
}

/** Returns the addresses of routers in random order, as many as one answer names. */
export function addressesForCaller(serving: readonly FleetMember[], chance: () => number): string[] {
    return serving
        .map((member) => ({ member, order: chance() }))
        .sort((one, other) => one.order - other.order)
        .slice(0, MOST_ADDRESSES)
        .map(({ member }) => member.address);
}
