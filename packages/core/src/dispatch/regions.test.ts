import { describe, expect, it } from "vitest";
import { brand, type EndpointId, type FailureDomain } from "../types/ids.js";
import { hasEndpointInRegions, isServiceLimited, recordLeaving, returnDelayMs } from "./endpoint-availability.js";
import { recordStatedLimit, updateSharers } from "./endpoint-limits.js";
import { createEndpointTable, type EndpointTable, putEndpoint } from "./endpoint-table.js";
import { largestRouters, servingRouters } from "./fleet.js";
import { memberOf } from "./mocks/fleet-members.js";
import { chooseEndpoint, type PlacementQuery } from "./placement.js";
import { allowedRegionsOf, isInAllowedRegion, type RegionRestriction, routersForCaller } from "./regions.js";
import type { PromptPartId, Region, ServiceName } from "./types.js";

const [north, south, west] = ["north", "south", "west"].map((name) => brand<Region>(name)) as [Region, Region, Region];
const domainOf = (name: string): FailureDomain => brand<FailureDomain>(name);
const table = new Map([[domainOf("a"), north], [domainOf("b"), north], [domainOf("c"), south]]);
const only = (...allowed: Region[]): RegionRestriction => ({ allowed, table });
const service = brand<ServiceName>("engines");

// Endpoints in the failure domains a, b and c, and in x, whose region is unknown.
function endpointsIn(...domains: string[]): EndpointTable {
    const endpoints = createEndpointTable();
    for (const name of domains) {
        const id = brand<EndpointId>(`engine-${name}`);
        const domain = domainOf(name);
        putEndpoint(endpoints, { id, startedAt: 1, service, address: `${name}:80`, domain, slots: 6, leaving: false });
    }
    return endpoints;
}

function queryOf(regions: RegionRestriction | undefined, changes: Partial<PlacementQuery> = {}): PlacementQuery {
    return {
        service,
        engine: undefined,
        parts: [],
        promptTokens: 0,
        domain: domainOf("elsewhere"),
        tried: new Set(),
        isRepeat: false,
        priority: 0,
        cacheMs: 0,
        regions,
        ...changes,
    };
}

function chosenDomains(endpoints: EndpointTable, query: PlacementQuery): Set<string> {
    const rows = Array.from({ length: 200 }, () => chooseEndpoint(endpoints, query, Math.random, 0)?.row);
    return new Set(rows.map((row) => row?.entry.domain ?? "none"));
}

describe("the regions of a request", () => {
    it("are those that its route and its account both allow", () => {
        expect(allowedRegionsOf({ regions: [north, south] }, { regions: [south, west] })).toEqual([south]);
        expect(allowedRegionsOf({ regions: [north] }, { regions: [south] })).toEqual([]);
        expect(allowedRegionsOf({ regions: [north] }, undefined)).toEqual([north]);
        expect(allowedRegionsOf({ regions: [] }, { regions: [south] })).toEqual([south]);
    });

    it("are unrestricted if neither names any", () => {
        expect(allowedRegionsOf({}, undefined)).toBeUndefined();
        expect(allowedRegionsOf({ regions: [] }, { regions: [] })).toBeUndefined();
        expect(isInAllowedRegion(domainOf("x"), undefined)).toBe(true);
    });

    it("contain no failure domain whose region is unknown", () => {
        expect(isInAllowedRegion(domainOf("c"), only(south))).toBe(true);
        expect(isInAllowedRegion(domainOf("x"), only(south))).toBe(false);
        expect(isInAllowedRegion(domainOf("c"), only())).toBe(false);
    });
});

// Guards against requests that leave the regions of their route or account by a fallback, a session or a limit trial.
describe("placement within regions", () => {
    it("chooses all endpoints of the regions, and no others", () => {
        const endpoints = endpointsIn("a", "b", "c", "x");
        expect(chosenDomains(endpoints, queryOf(only(north, west)))).toEqual(new Set(["a", "b"]));
        expect(chosenDomains(endpoints, queryOf(only(south)))).toEqual(new Set(["c"]));
    });

    it("chooses none if no endpoint is in the regions, or only one of an unknown region is left", () => {
        expect(chosenDomains(endpointsIn("c", "x"), queryOf(only(north)))).toEqual(new Set(["none"]));
        expect(chosenDomains(endpointsIn("a", "x"), queryOf(only()))).toEqual(new Set(["none"]));
    });

    it("does not leave the regions once their endpoints were tried or are unreachable", () => {
        const endpoints = endpointsIn("a", "b", "c");
        endpoints.rows.get(brand<EndpointId>("engine-b"))!.unreachableUntil = 1_000;
        const tried = new Set([brand<EndpointId>("engine-a")]);
        expect(chosenDomains(endpoints, queryOf(only(north), { tried }))).toEqual(new Set(["none"]));
    });

    it("keeps the sessions of an engine within the regions", () => {
        const endpoints = endpointsIn("a", "b", "c");
        const engine = { slots: 64, memoryTokens: 500_000, tokensPerEvent: 5 };
        for (let session = 0; session < 20; session++) {
            const parts = [`s-${session}`, "end"].map((id) => ({ id: brand<PromptPartId>(id), tokens: 5_000 }));
            const query = queryOf(only(south), { engine, parts, promptTokens: 10_000 });
            expect(chooseEndpoint(endpoints, query, Math.random, 0)!.row.entry.domain).toBe("c");
        }
    });

    it("makes no limit trial at an endpoint of another region", () => {
        const endpoints = endpointsIn("a", "c");
        const row = endpoints.rows.get(brand<EndpointId>("engine-c"))!;
        updateSharers(endpoints.limits, "router-1", ["router-1"], 1, 0);
        recordStatedLimit(endpoints.limits, row.entry, 1, 0, Math.random, 0);
        const later = 100_000_000;
        expect(chooseEndpoint(endpoints, queryOf(undefined), Math.random, later)!.row).toBe(row);
        expect(chooseEndpoint(endpoints, queryOf(only(north)), Math.random, later)!.row).not.toBe(row);
    });

    it("reports limits and the absence of endpoints for the regions only", () => {
        const endpoints = endpointsIn("a", "c");
        const row = endpoints.rows.get(brand<EndpointId>("engine-c"))!;
        recordStatedLimit(endpoints.limits, row.entry, 1, 0, Math.random, 0);
        expect(isServiceLimited(endpoints, service, 0)).toBe(false);
        expect(isServiceLimited(endpoints, service, 0, only(south))).toBe(true);
        expect(returnDelayMs(endpoints, { service }, 0)).toBe(0);
        expect(returnDelayMs(endpoints, { service, regions: only(south) }, 0)).toBeGreaterThan(0);
        expect(hasEndpointInRegions(endpoints, service, only(south))).toBe(true);
        recordLeaving(endpoints, row);
        expect(hasEndpointInRegions(endpoints, service, only(south))).toBe(false);
        expect(hasEndpointInRegions(endpoints, service, undefined)).toBe(true);
    });
});

describe("the routers for a caller", () => {
    const serving = ["a", "b", "c", "x"].map((domain) => memberOf(`router-${domain}`, {}, domain));
    const choose = (routes: readonly (readonly Region[])[], callerRegion: Region | undefined, members = serving) => {
        const choice = routersForCaller(members, serving, routes.map((regions) => ({ regions })), callerRegion, table);
        return [choice.choice, ...choice.routers.map(({ name }) => name)];
    };
    const all = serving.map(({ name }) => name);

    it("are all serving ones if no route of the host names regions", () => {
        expect(choose([], north)).toEqual(["unrestricted", ...all]);
        expect(choose([[], []], south)).toEqual(["unrestricted", ...all]);
    });

    it("are those of its region", () => {
        expect(choose([[south]], north)).toEqual(["callers-region", "router-a", "router-b"]);
        expect(choose([[south], []], south)).toEqual(["callers-region", "router-c"]);
    });

    it("are those of the regions that all routes allow if its region has none or is unknown", () => {
        expect(choose([[north, south], [south, west], []], west)).toEqual(["allowed-regions", "router-c"]);
        expect(choose([[north]], undefined)).toEqual(["allowed-regions", "router-a", "router-b"]);
        expect(choose([[north]], brand<Region>("elsewhere"))).toEqual(["allowed-regions", "router-a", "router-b"]);
    });

    // Guards against callers of a region with small routers only, which are sent to other regions or to all of these.
    it("include the largest of each region, of a fleet whose large routers are all in one", () => {
        const large = Array.from({ length: 6 }, (unused, index) => memberOf(`large-${index}`, {}, "a"));
        const capacity = { cores: 0.2, linkMbps: 10 };
        const small = Array.from({ length: 8 }, (unused, index) => memberOf(`small-${index}`, { capacity }, "c"));
        const fleet = [...large, ...small, memberOf("far", { capacity }, "x")];
        const largest = largestRouters(fleet);
        expect(largest.every(({ domain }) => domain === "a")).toBe(true);
        expect(new Set(servingRouters(fleet))).toEqual(new Set(largest));
        const regional = servingRouters(fleet, table);
        expect(regional.filter(({ domain }) => domain === "c")).toHaveLength(4);
        expect(regional.filter(({ domain }) => domain === "x")).toHaveLength(0);
        const routersOf = (regions: Region[], callerRegion: Region | undefined) =>
            routersForCaller(regional, largest, [{ regions }], callerRegion, table).routers;
        expect(routersOf([north], south).every(({ domain }) => domain === "c")).toBe(true);
        expect(routersOf([south], undefined).every(({ domain }) => domain === "c")).toBe(true);
        expect(routersOf([], south)).toEqual(largest);
        expect(routersOf([west], west)).toEqual(largest);
    });

    it("are all serving ones if the routes have no region in common, or none that has routers", () => {
        expect(choose([[north], [south]], west)).toEqual(["fallback", ...all]);
        expect(choose([[west]], undefined)).toEqual(["fallback", ...all]);
    });
});
