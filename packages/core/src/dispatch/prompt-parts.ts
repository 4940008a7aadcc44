import type { PromptPart, PromptPartId } from "./types.js";

/** Returns the parts of a prompt that other requests may share, in order: all but the request's own, which is last. */
export function sharedParts(parts: readonly PromptPart[]): PromptPartId[] {
    return parts.slice(0, -1).map((part) => part.id);
}
