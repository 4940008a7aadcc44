import {
    addressesForCaller,
    type FleetMember,
    routersForCaller,
    type RoutingTable,
} from "@gooseberrybend/core/dispatch";
import type { AddressQuery, Dialect } from "./dialect.js";
import type { FleetRegistry } from "./fleet-registry.js";
import type { GatewayMetrics } from "./gateway-metrics.js";
import { type GatewaySettings, regionTableOf } from "./gateway-settings.js";
import type { GatewayLogs } from "./log-sink.js";

/** Lifetime in ms of an address response; short, so that routers can leave soon. */
export const ADDRESS_LIFETIME_MS = 2_000;

/** What address responses depend on. */
export type AddressHost = {
    readonly settings: GatewaySettings;
    readonly dialect: Dialect;
    readonly table: RoutingTable | undefined;
    readonly metrics: GatewayMetrics;
    readonly logs: GatewayLogs;
};

/** Answers callers that ask for the addresses of routers. */
export class AddressAnswers {
    constructor(private readonly gateway: AddressHost, private readonly registry: FleetRegistry) {}

    /** Returns the body of an address response, or undefined when no router serves callers. */
    answer(query?: AddressQuery): unknown {
        const { settings, dialect } = this.gateway;
        const routers = this.routersFor(query);
        if (routers.length === 0) {
            return undefined;
        }
        const addresses = addressesForCaller(routers, settings.callers.minCapacityShare, Math.random);
        return dialect.addressBody(addresses, Math.min(ADDRESS_LIFETIME_MS, settings.bounds.addressLifetimeMs));
    }

    private routersFor(query: AddressQuery | undefined): readonly FleetMember[] {
        const { serving, largest } = this.registry;
        const regions = regionTableOf(this.gateway.settings);
        const routes = this.gateway.table?.routesByHost.get(query?.host?.split(":")[0]!.toLowerCase() ?? "") ?? [];
        const callerRegion = query?.region ?? (query?.domain === undefined ? undefined : regions.get(query.domain));
        const { routers, choice } = routersForCaller(serving, largest, routes, callerRegion, regions);
        this.gateway.metrics.addressAnswers.inc({ choice });
        if (choice !== "unrestricted") {
            this.gateway.logs.fleet.debug("Routers chosen for an address query.", {
                ...query,
                choice,
                routers: routers.length,
                serving: serving.length,
            });
        }
        return routers;
    }
}
