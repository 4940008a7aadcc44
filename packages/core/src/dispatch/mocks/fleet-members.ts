import { brand, type FailureDomain, type Incarnation } from "../../types/ids.js";
import type { FleetMember } from "../types.js";

/** Returns a router for tests; all are equal except for the given changes. */
export function memberOf(name: string, changes: Partial<Omit<FleetMember, "domain">> = {}, domain = "a"): FleetMember {
    return {
        name,
        incarnation: brand<Incarnation>(`start-of-${name}`),
        address: `${name}:1`,
        peerAddress: `${name}:2`,
        domain: brand<FailureDomain>(domain),
        capacity: { cores: 1, linkMbps: 100 },
        strained: false,
        hasShortLease: true,
        ...changes,
    };
}
