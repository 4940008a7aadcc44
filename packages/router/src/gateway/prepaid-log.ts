import type { PrepaidWrite } from "@gooseberrybend/core/dispatch";
import type { GatewayLogs } from "./log-sink.js";

/** Logs what a stored write counts as used for the earlier process of this router, and why. */
export function logEarlierUse(logs: GatewayLogs, { account, closed }: PrepaidWrite): void {
    if (closed !== undefined) {
        logs.prepaid.info("Tokens of the earlier process of this router counted as used.", { account, ...closed });
    }
}
