import type { FailureDomain } from "../types/ids.js";
import type { FleetMember } from "./types.js";

/** Addresses that one answer names at most. */
const MOST_ADDRESSES = 64;
/** Fewest addresses of an answer, so that a caller has somewhere else to go when one fails. */
const FEWEST_ADDRESSES = 3;

/**
 * Chooses the addresses for a caller: those of its own failure domain, filled up with others where
 * there are too few, and all where the domain has fewer routers than its share of callers needs.
 */
export function addressesForCaller(
    members: Iterable<FleetMember>,
    domain: FailureDomain | undefined,
    chance: () => number,
): string[] {
    const shuffled = [...members].map((member) => ({ member, order: chance() })).sort((a, b) => a.order - b.order);
    const near = shuffled.filter(({ member }) => member.domain === domain);
    const far = shuffled.filter(({ member }) => member.domain !== domain);
    const count = Math.max(FEWEST_ADDRESSES, near.length);
    return [...near, ...far].slice(0, Math.min(MOST_ADDRESSES, count)).map(({ member }) => member.address);
}
