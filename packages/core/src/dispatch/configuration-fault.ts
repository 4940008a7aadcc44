import type { FleetConfiguration, Route } from "./types.js";

/** Why a configuration that can be read can't be in force: which part is at fault, and how. */
export type ConfigurationFault = { readonly place: string; readonly message: string; };

/** Returns what is wrong with a configuration; undefined if it can be in force. */
export function findConfigurationFault(configuration: FleetConfiguration): ConfigurationFault | undefined {
    const { version, routes, services, accounts = [], limits } = configuration;
    if (!Number.isSafeInteger(version) || version < 0) {
        return { place: "version", message: `${version} is not a version` };
    }
    for (const [name, limit] of Object.entries(limits)) {
        if (limit <= 0) {
            return { place: `limits.${name}`, message: `${limit} is not above 0` };
        }
    }
    for (const { name, connectionLimit } of services.values()) {
        if (connectionLimit <= 0) {
            return { place: `service ${name}`, message: `connection limit ${connectionLimit} is not above 0` };
        }
    }
    const routeFault = routes.map((route) => findRouteFault(route, configuration)).find((fault) => fault !== undefined);
    if (routeFault !== undefined) {
        return routeFault;
    }
    const twiceOn = findRepeated(routes.map(({ host, prefix }) => `${host.toLowerCase()}${prefix}`));
    if (twiceOn !== undefined) {
        return { place: "routes", message: `two routes are for ${twiceOn}` };
    }
    const twiceNamed = findRepeated(accounts.map(({ id }) => id));
    if (twiceNamed !== undefined) {
        return { place: "accounts", message: `two accounts are named ${twiceNamed}` };
    }
    const negative = accounts.find(({ prepaidTokens = 0 }) => prepaidTokens < 0);
    if (negative !== undefined) {
        return { place: `account ${negative.id}`, message: `${negative.prepaidTokens} prepaid tokens` };
    }
    // The keys themselves are secret.
    return findRepeated(accounts.flatMap(({ keys }) => [...new Set(keys)])) === undefined
        ? undefined
        : { place: "accounts", message: "two accounts have the same key" };
}

function findRouteFault(route: Route, { services }: FleetConfiguration): ConfigurationFault | undefined {
    const place = `route ${route.name}`;
    if (route.timeoutMs <= 0 || route.targetMs <= 0) {
        return { place, message: `timeout ${route.timeoutMs} ms or target ${route.targetMs} ms is not above 0` };
    }
    if (!route.prefix.startsWith("/") || !route.prefix.endsWith("/")) {
        return { place, message: `prefix ${route.prefix} does not begin and end with a slash` };
    }
    const unknown = route.shares.find(({ service }) => !services.has(service));
    if (unknown !== undefined) {
        return { place, message: `service ${unknown.service} is not declared` };
    }
    if (route.shares.some(({ weight }) => weight < 0) || !route.shares.some(({ weight }) => weight > 0)) {
        return { place, message: "no service has a weight above 0, or one is below" };
    }
    return undefined;
}

function findRepeated(values: readonly string[]): string | undefined {
    const seen = new Set<string>();
    return values.find((value) => seen.size === seen.add(value).size);
}
