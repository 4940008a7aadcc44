import type { AccessKey, AccountDeclaration, FleetConfiguration, Route, ServiceName } from "./types.js";

/** A configuration with the indexes that requests are looked up by. */
export type RoutingTable = {
    readonly configuration: FleetConfiguration;
    /** Routes by host, the longest prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
    readonly accountsByKey: ReadonlyMap<AccessKey, AccountDeclaration>;
    /** Priority of the least urgent routes; 0 is the most urgent. */
    readonly lowestPriority: number;
};

/** Builds the indexes of a configuration. */
export function createRoutingTable(configuration: FleetConfiguration): RoutingTable {
    const routesByHost = new Map<string, Route[]>();
    for (const route of configuration.routes) {
        // Host names have no case.
        const host = route.host.toLowerCase();
        const routes = routesByHost.get(host) ?? [];
        routes.push(route);
        routesByHost.set(host, routes);
    }
    for (const routes of routesByHost.values()) {
        routes.sort((one, other) => other.prefix.length - one.prefix.length);
    }
    const accountsByKey = new Map<AccessKey, AccountDeclaration>();
    for (const account of configuration.accounts ?? []) {
        for (const key of account.keys) {
            accountsByKey.set(key, account);
        }
    }
    const lowestPriority = configuration.routes.reduce((lowest, route) => Math.max(lowest, route.priority), 0);
    return { configuration, routesByHost, accountsByKey, lowestPriority };
}

/** Returns the route with the longest prefix of a path, without its query; `host` is in lower case. */
export function findRoute(table: RoutingTable, host: string, path: string): Route | undefined {
    const query = path.indexOf("?");
    const pathname = query < 0 ? path : path.slice(0, query);
    return table.routesByHost.get(host)?.find((route) => pathname.startsWith(route.prefix));
}

/** Picks a service by the weights of a route; chance is in [0, 1). */
export function pickService(route: Route, chance: number): ServiceName | undefined {
    const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let rest = chance * total;
    for (const share of route.shares) {
        rest -= share.weight;
        if (rest < 0) {
            return share.service;
        }
    }
    return route.shares.at(-1)?.service;
}
