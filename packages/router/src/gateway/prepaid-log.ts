import type { PrepaidWrite } from "@gooseberrybend/core/dispatch";
import type { GatewayLogs } from "./log-sink.js";

/** Events that are counted with their tokens: how the use of earlier processes was bounded, and transfers. */
export const tokenEvents = [
    "unproven-checkpoint-set",
    "unproven-record",
    "unproven-grant",
    "handed-over",
    "received",
] as const;

/** Event that is counted with its tokens. */
export type TokenEvent = typeof tokenEvents[number];

/** Counts the tokens of an event. */
export type TokenCounter = (event: TokenEvent, tokens: number) => void;

/** Logs what a stored write counts as used for the earlier process of this router, and why. */
export function logEarlierUse(logs: GatewayLogs, count: TokenCounter, { account, closed }: PrepaidWrite): void {
    if (closed !== undefined) {
        // Tokens that were committed are in use for certain, or nearly so.
        count(`unproven-${closed.basis}`, Math.max(0, closed.counted - (closed.committed ?? closed.used)));
        logs.prepaid.info("Tokens of the earlier process of this router counted as used.", { account, ...closed });
    }
}
