import type { FailureDomain } from "../types/ids.js";
import type { AccountDeclaration, FleetMember, Region, Route } from "./types.js";

/** Region of each failure domain that the settings name. */
export type RegionTable = ReadonlyMap<FailureDomain, Region>;

/** Limits a request to endpoints in some regions. */
export type RegionRestriction = {
    /** Empty if the route and the account have no region in common. */
    readonly allowed: readonly Region[];
    readonly table: RegionTable;
};

/** Returns the regions that a route and an account both allow; undefined if neither names any. */
export function allowedRegionsOf(
    route: Pick<Route, "regions">,
    account: Pick<AccountDeclaration, "regions"> | undefined,
): readonly Region[] | undefined {
    return commonRegions([route.regions, account?.regions]);
}

/** Returns whether a request may reach endpoints of a failure domain. Unknown regions are only for unrestricted ones. */
export function isInAllowedRegion(domain: FailureDomain, restriction: RegionRestriction | undefined): boolean {
    if (restriction === undefined) {
        return true;
    }
    const region = restriction.table.get(domain);
    return region !== undefined && restriction.allowed.includes(region);
}

/** How the routers of an address response were chosen. */
export const addressChoices = ["unrestricted", "callers-region", "allowed-regions", "fallback"] as const;

/** How the routers of an address response were chosen. */
export type AddressChoice = typeof addressChoices[number];

/** Routers for a caller, and how they were chosen. */
export type RegionalRouters = { readonly routers: readonly FleetMember[]; readonly choice: AddressChoice; };

/**
 * Chooses the routers that a caller is directed to. If a route of its host names regions, these are the serving ones of
 * the caller's region, otherwise those of regions that all routes of the host allow; otherwise the largest of the fleet.
 */
export function routersForCaller(
    serving: readonly FleetMember[],
    largest: readonly FleetMember[],
    routesOfHost: readonly Pick<Route, "regions">[],
    callerRegion: Region | undefined,
    table: RegionTable,
): RegionalRouters {
    const allowed = commonRegions(routesOfHost.map((route) => route.regions));
    if (allowed === undefined) {
        return { routers: largest, choice: "unrestricted" };
    }
    const inRegions = (regions: readonly Region[]): FleetMember[] =>
        serving.filter((member) => isInAllowedRegion(member.domain, { allowed: regions, table }));
    const nearby = callerRegion === undefined ? [] : inRegions([callerRegion]);
    if (nearby.length > 0) {
        return { routers: nearby, choice: "callers-region" };
    }
    const permitted = inRegions(allowed);
    return permitted.length > 0
        ? { routers: permitted, choice: "allowed-regions" }
        : { routers: largest, choice: "fallback" };
}

// Intersects the lists that name regions; undefined if none does.
function commonRegions(lists: readonly (readonly Region[] | undefined)[]): readonly Region[] | undefined {
    let common: readonly Region[] | undefined;
    for (const list of lists) {
        if (list !== undefined && list.length > 0) {
            common = common === undefined ? list : common.filter((region) => list.includes(region));
        }
    }
    return common;
}
