import { z } from "zod";

const checkpointSchema = z.object({ sequence: z.number(), committed: z.number(), at: z.number() });
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
        }),
    ),
});
/** Format of the stored spending checkpoints of a router. */
export const checkpointSetSchema = z.object({
    incarnation: z.string(),
    sequence: z.number(),
    at: z.number(),
    committed: z.record(z.string(), z.number()),
});
