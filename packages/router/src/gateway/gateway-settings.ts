import { type FileFault, parseFile } from "@gooseberrybend/core";
import { err, type Result } from "neverthrow";
import { z } from "zod";
import { readText } from "../settings.js";

const address = z.string().regex(/^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]+$/, "must be IP-NUMBER:PORT");
const positive = z.number().positive();

/** Schema of the settings of a router that serves a deployment's callers. Fields that it does not know are ignored. */
export const gatewaySettingsSchema = z.object({
    name: z.string().min(1),
    domain: z.string().min(1),
    listen: z.object({
        callers: address,
        ready: address,
        addresses: address,
        metrics: address,
        /** Where other routers connect. */
        peers: address,
    }),
    store: z.object({
        address,
        /** Shortest lifetime in ms that the store grants to a lease. */
        shortestLeaseMs: positive.default(1_000),
    }),
    bounds: z.object({
        /** Time in ms for which a leaving endpoint still takes requests. */
        drainMs: positive.default(2_000),
        /** Time in ms within which a configuration has to be in force. */
        configurationMs: positive.default(2_000),
        /** Time in ms within which a router has to exit after SIGTERM. */
        shutdownMs: positive.default(8_000),
        retryRatio: z.number().min(0).default(0.2),
        retrySlack: z.number().min(0).default(50),
        retryWindowMs: positive.default(10_000),
        /** Time in ms for which an engine is expected to keep a part of a prompt. */
        promptCacheMs: positive.default(10_000),
        /** Longest time in ms that a caller may keep an address. */
        addressLifetimeMs: positive.default(5_000),
    }).prefault({}),
    /** What this instance has; callers are sent to the larger ones. */
    instance: z.object({
        /** Part of a core that the router may use. */
        coreShare: positive.default(1),
        /** Speed of that core relative to the usual. */
        coreSpeed: positive.default(1),
        linkMbps: positive.default(1_000),
    }).prefault({}),
    log: z.object({ level: z.enum(["debug", "info", "warn", "error"]).default("info") }).prefault({}),
});

/** Settings of a router that serves a deployment's callers. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Reads a settings file. Errors carry file, line, column and what was expected. */
export function readGatewaySettings(file: string): Result<GatewaySettings, FileFault[]> {
    const text = readText(file);
    return text.isErr() ? err([text.error]) : parseFile(file, text.value, gatewaySettingsSchema);
}

/** Splits an address into IP number and port. */
export function splitAddress(text: string): { readonly host: string; readonly port: number; } {
    const colon = text.lastIndexOf(":");
    return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
