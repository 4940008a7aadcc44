import { type BodyDigest, brand } from "@gooseberrybend/core";
import type { Crash, PromptPartId } from "@gooseberrybend/core/dispatch";
import { z } from "zod";

/** Fields of a crash in stored reports and in messages between routers. */
export const crashFields = {
    requests: z.array(z.string()),
    /** Shared prompt parts of each request; missing in reports of routers that do not track them. */
    parts: z.array(z.array(z.string())).default([]),
    /** Whether the crash was noticed as it happened. */
    isTimed: z.boolean().default(false),
};

type CrashFields = z.infer<z.ZodObject<typeof crashFields>>;

/** Returns the fields that describe the suspects of a crash. */
export function crashMessage({ suspects, isTimed }: Pick<Crash, "suspects" | "isTimed">): CrashFields {
    return {
        requests: suspects.map(({ request }) => request),
        parts: suspects.map(({ parts }) => [...parts]),
        isTimed,
    };
}

/** Returns the suspects of a crash that fields describe. */
export function suspectsOf({ requests, parts, isTimed }: CrashFields): Pick<Crash, "suspects" | "isTimed"> {
    return {
        suspects: requests.map((request, index) => ({
            request: brand<BodyDigest>(request),
            parts: (parts[index] ?? []).map((part) => brand<PromptPartId>(part)),
        })),
        isTimed,
    };
}
