import { recordFirstSend, type ServiceName, takeRepeat } from "@gooseberrybend/core/dispatch";
import type { GatewayContext } from "./gateway-context.js";

/** Records the first send of a request, which adds to the retry quota of its service. */
export function recordFirst(context: GatewayContext, service: ServiceName, now: number): void {
    recordFirstSend(context.retries, service, context.settings().bounds.retryWindowMs, now);
}

/** Takes a retry from this router's share of a service's quota; returns whether there was one. */
export function takeRetry(context: GatewayContext, service: ServiceName, now: number): boolean {
    const { retryRatio, retrySlack, retryWindowMs } = context.settings().bounds;
    const bounds = { ratio: retryRatio, slack: retrySlack, windowMs: retryWindowMs };
    return takeRepeat(context.retries, service, bounds, context.fleetShare(), now);
}
