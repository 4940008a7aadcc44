import { z } from "zod";
import type { GatewayLogs } from "./log-sink.js";
import type { StoredItem } from "./metadata-store.js";

/** Prefix of the keys of the accounts' token records. */
export const PREPAID_PREFIX = "gooseberrybend/prepaid/";

const checkpointSchema = z.object({
    sequence: z.number(),
    committed: z.number(),
    at: z.number(),
    ramp: z.number().optional(),
    step: z.object({ ms: z.number(), tokens: z.number() }).optional(),
});
/** Format of the stored token record of an account. */
export const recordSchema = z.object({
    closed: z.number(),
    holdings: z.record(
        z.string(),
        z.object({
            incarnation: z.string(),
            granted: z.number(),
            used: z.number(),
            lacking: z.number(),
            rate: z.number(),
            mark: checkpointSchema,
            era: z.number().optional(),
            closes: z.object({ incarnation: z.string(), sequence: z.number() }).optional(),
        }),
    ),
    era: z.number().optional(),
    restated: z.object({ era: z.number(), from: z.number(), isWitnessed: z.boolean() }).optional(),
});
const checkpointSetSchema = z.object({
    incarnation: z.string(),
    sequence: z.number(),
    at: z.number(),
    ramp: z.number().optional(),
    committed: z.record(z.string(), z.number()),
    steps: z.object({ ms: z.number(), tokens: z.record(z.string(), z.number()) }).optional(),
});
/** Format of the stored spending checkpoints of a router. */
export const storedCheckpointsSchema = checkpointSetSchema.extend({ earlier: z.array(checkpointSetSchema).optional() });

/** Parses a stored item as JSON of a format; an invalid one is logged and ignored. */
export function decodeItem({ key, value }: StoredItem, schema: z.ZodType, logs: GatewayLogs): unknown {
    try {
        return schema.parse(JSON.parse(value.toString("utf8")));
    }
    catch (error) {
        logs.prepaid.error("Invalid entry ignored.", { key, detail: (error as Error).message });
        return undefined;
    }
}
