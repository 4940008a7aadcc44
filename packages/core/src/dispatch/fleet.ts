import type { FleetMember } from "./types.js";

/** Addresses that one answer names at most. */
const MOST_ADDRESSES = 64;
/**
 * Chooses the addresses for a caller in random order. All routers are named, near or far: callers of
 * one failure domain may send most of the traffic, and a router alone there would carry all of it.
 */
export function addressesForCaller(members: Iterable<FleetMember>, chance: () => number): string[] {
    return [...members]
        .map((member) => ({ member, order: chance() }))
        .sort((one, other) => one.order - other.order)
        .slice(0, MOST_ADDRESSES)
        .map(({ member }) => member.address);
}
