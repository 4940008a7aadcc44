import { brand, type FailureDomain, type FileFault, parseFile } from "@gooseberrybend/core";
import type { InstanceCapacity, Region, RegionTable } from "@gooseberrybend/core/dispatch";
import { err, type Result } from "neverthrow";
import { z } from "zod";
import { readTextFile } from "../settings.js";

const address = z.string().regex(/^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]+$/, "must be IP-NUMBER:PORT");
const positive = z.number().positive();

/** Schema of the settings of a router that serves a deployment's callers. Unknown fields are ignored. */
export const gatewaySettingsSchema = z.object({
    name: z.string().min(1),
    domain: z.string().min(1),
    /** Region of this instance, unless `zones` names another one for its failure domain. */
    region: z.string().optional(),
    /** Region of each failure domain; null if the deployment has no such table. */
    zones: z.record(z.string(), z.string()).nullish(),
    listen: z.object({
        callers: address,
        ready: address,
        addresses: address,
        metrics: address,
        /** Address for calls of other routers. */
        peers: address,
    }),
    store: z.object({
        address,
        /** Minimum lifetime in ms of a lease of the store. */
        shortestLeaseMs: positive.default(1_000),
    }),
    endpoints: z.object({
        /** Interval in ms at which endpoints renew their registrations, which expire after three without a renewal. */
        renewalMs: positive.default(1_200),
    }).prefault({}),
    bounds: z.object({
        /** Time in ms for which a leaving endpoint still accepts requests. */
        drainMs: positive.default(2_000),
        /** Time in ms within which a changed configuration must be in force. */
        configurationMs: positive.default(2_000),
        /** Time in ms within which an evacuation must be in force; missing if the deployment has none. Read at the start. */
        evacuationMs: positive.optional(),
        /** Time in ms within which a router must exit after SIGTERM. */
        shutdownMs: positive.default(8_000),
        retryRatio: z.number().min(0).default(0.2),
        retrySlack: z.number().min(0).default(50),
        retryWindowMs: positive.default(10_000),
        /** Time in ms for which an engine is expected to cache a part of a prompt. */
        promptCacheMs: positive.default(10_000),
        /** A cold endpoint tolerates its requests per second times this in any second, plus `coldSlack` requests. */
        coldRatio: z.number().min(0).default(1.5),
        coldSlack: z.number().min(0).default(5),
        /** Maximum time in ms that a caller may use an address. */
        addressLifetimeMs: positive.default(5_000),
    }).prefault({}),
    callers: z.object({
        /**
         * Capacity relative to the largest router that callers are sent to below which a router counts as small: it is
         * listed to callers less often, and moves callers away that stay with it while it is in reserve. 0 for never.
         */
        minCapacityShare: z.number().min(0).max(1).default(0),
    }).prefault({}),
    /**
     * Capacity of this instance; callers are directed to the larger instances. Memory and descriptors are read at the
     * start of the process only.
     */
    instance: z.object({
        /** Share of a processor core that the router may use. */
        coreShare: positive.default(1),
        /** Speed of that core relative to a standard one. */
        coreSpeed: positive.default(1),
        linkMbps: positive.default(1_000),
        /** Memory in MB (10^6 bytes) that the process may use; undefined for no limit. */
        memoryMb: positive.optional(),
        /** File descriptors that the process may use; undefined for no limit. */
        maxDescriptors: positive.optional(),
    }).prefault({}),
    admission: z.object({
        /** Where requests are refused for want of capacity; "reported": where all endpoints report their pace. */
        mode: z.enum(["off", "reported", "always"]).default("reported"),
    }).prefault({}),
    log: z.object({ level: z.enum(["debug", "info", "warn", "error"]).default("info") }).prefault({}),
});

/** Settings of a router that serves a deployment's callers. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Returns the regions of the failure domains that the settings name, this router's own one included. */
export function regionTableOf({ domain, region, zones }: GatewaySettings): RegionTable {
    const own = region === undefined ? [] : [[domain, region] as const];
    return new Map(
        [...own, ...Object.entries(zones ?? {})].map(([name, itsRegion]) => [
            brand<FailureDomain>(name),
            brand<Region>(itsRegion),
        ]),
    );
}

/** Reads a settings file. Errors carry file, line, column and what was expected. */
export function readGatewaySettings(file: string): Result<GatewaySettings, FileFault[]> {
    const text = readTextFile(file);
    return text.isErr() ? err([text.error]) : parseFile(file, text.value, gatewaySettingsSchema);
}

/** Returns the capacity of the router's instance. */
export function capacityOf(settings: GatewaySettings): InstanceCapacity {
    const { coreShare, coreSpeed, linkMbps } = settings.instance;
    return { cores: coreShare * coreSpeed, linkMbps };
}

/** Splits an address into IP number and port. */
export function splitAddress(text: string): { readonly host: string; readonly port: number; } {
    const colon = text.lastIndexOf(":");
    return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
