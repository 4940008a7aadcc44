import { type AdmissionFigures, endpointFigures, type EndpointState } from "@gooseberrybend/core/dispatch";
import type { AdmittedRequest } from "./admitted-request.js";
import type { GatewayContext } from "./gateway-context.js";

/** Logs the endpoint that was chosen for an attempt to serve a request, and what decided it. */
export function logPlacement(
    context: GatewayContext,
    { fields, route, account, features, regions, arrivedAt }: AdmittedRequest,
    row: EndpointState,
    attempt: number,
    shortage: AdmissionFigures | undefined,
    now: number,
): void {
    const changesAgeMs = context.changesAgeMs(now);
    const configurationAgeMs = context.configurationAgeMs(now);
    context.observeChangesAge(changesAgeMs);
    context.observeConfigurationAge(configurationAgeMs);
    context.logs.requests.info("Endpoint chosen for the request.", {
        id: fields.requestId,
        route: route.name,
        account: account?.id,
        attempt,
        waitedMs: Math.round(now - arrivedAt),
        configuration: context.configurationVersion(),
        configurationAgeMs: Math.round(configurationAgeMs),
        changesAgeMs: Math.round(changesAgeMs),
        regions: regions?.allowed,
        region: regions?.table.get(row.entry.domain),
        ...context.suspects.figures(features),
        shortage,
        ...endpointFigures(context.endpoints, row, now),
    });
}
