import { defaultPolicy, type FileFault, parseFile, type Policy } from "@gooseberrybend/core";
import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { z } from "zod";

const ipv4Address = z.string().regex(/^[0-9]{1,3}(\.[0-9]{1,3}){3}$/, "must be an IPv4 number");
const port = z.number().int().min(0).max(65535);
const httpAddress = z.string().regex(/^https?:\/\/[0-9.]+:[0-9]+$/, "must be http://IP-NUMBER:PORT");
const secret = z.string().min(16, "must have at least 16 characters");

const policyFields = Object.fromEntries(
    Object.keys(defaultPolicy).map((name) => [name, z.number().min(0).optional()]),
) as Record<keyof Policy, z.ZodOptional<z.ZodNumber>>;

/** Schema of a router's settings file. */
export const settingsSchema = z.strictObject({
    listen: z.strictObject({ address: ipv4Address.default("127.0.0.1"), port }),
    domain: z.string().regex(/^[a-z0-9-]+\/[a-z0-9-]+$/, "must be written as region/domain"),
    platform: z.strictObject({
        keyValue: httpAddress,
        instances: httpAddress.optional(),
    }),
    peers: z.array(httpAddress).default([]),
    keys: z.strictObject({ peer: secret, operator: secret, resume: secret }).optional(),
    tls: z.strictObject({ certificate: z.string(), key: z.string(), authority: z.string().optional() }).optional(),
    limits: z.strictObject({
        bodyBytes: z.number().int().min(1024).max(64 * 1024 * 1024).default(1024 * 1024),
        maxTokens: z.number().int().min(1).default(32_768),
        defaultMaxTokens: z.number().int().min(1).default(1_024),
    }).prefault({}),
    timeouts: z.strictObject({
        keyValueMs: z.number().int().min(10).default(1_000),
        connectMs: z.number().int().min(10).default(1_000),
        requestMs: z.number().int().min(100).default(120_000),
    }).prefault({}),
    log: z.strictObject({
        level: z.enum(["debug", "info", "warn", "error"]).default("info"),
        format: z.enum(["json", "pretty"]).optional(),
    }).prefault({}),
    policy: z.strictObject(policyFields).prefault({}),
});

/** A router's settings. */
export type Settings = z.infer<typeof settingsSchema>;

/** Reads and validates a settings file. Errors contain the file, line, column and expected value. */
export function readSettings(file: string): Result<Settings, FileFault[]> {
    const text = readTextFile(file);
    if (text.isErr()) {
        return err([text.error]);
    }
    const parsed = parseFile(file, text.value, settingsSchema);
    return parsed.andThen((settings) => checkExposure(file, settings));
}

/** Reads a text file. The error contains the system's error code. */
export function readTextFile(file: string): Result<string, FileFault> {
    try {
        return ok(readFileSync(file, "utf8"));
    }
    catch (error) {
        return err({ file, line: 1, column: 1, message: `cannot be read: ${(error as NodeJS.ErrnoException).code}` });
    }
}

function checkExposure(file: string, settings: Settings): Result<Settings, FileFault[]> {
    const loopback = settings.listen.address.startsWith("127.");
    if (!loopback && settings.keys === undefined) {
        const message = "keys: needed when listen.address is not a loopback address";
        return err([{ file, line: 1, column: 1, message }]);
    }
    return ok(settings);
}
