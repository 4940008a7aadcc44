import type { EndpointId } from "@gooseberrybend/core";
import {
    coldPeriodOf,
    type ColdReason,
    type ColdRule,
    type EndpointTable,
    noteSilence,
    type ServiceDeclaration,
    type ServiceName,
} from "@gooseberrybend/core/dispatch";
import type { LimitEvent } from "./gateway-metrics.js";
import type { GatewayLogs } from "./log-sink.js";

/** The bounds of cold endpoints in the settings. */
type ColdSettings = { readonly coldRatio: number; readonly coldSlack: number; };

/** Notices silent endpoints, and logs and counts which endpoints are cold. Times in ms. */
export class ColdEndpointMonitor {
    /** Reasons for which endpoints are logged as cold. */
    private readonly logged = new Map<EndpointId, ColdReason>();

    constructor(
        private readonly endpoints: EndpointTable,
        private readonly logs: GatewayLogs,
        private readonly countEvent: (event: LimitEvent) => void,
    ) {}

    /** Applies the rules of the services in a new configuration. */
    setRules(services: ReadonlyMap<ServiceName, ServiceDeclaration>): void {
        const rules = new Map<ServiceName, ColdRule>();
        services.forEach(({ name, cold }) => cold !== undefined && rules.set(name, cold));
        this.endpoints.limits.cold.rules = rules;
    }

    /** Updates the state of all endpoints; to be called several times a second. */
    update({ coldRatio: ratio, coldSlack: slack }: ColdSettings, now: number): void {
        const { rows, limits: { cold } } = this.endpoints;
        cold.bound = { ratio, slack };
        [...this.logged.keys()].filter((id) => !rows.has(id)).forEach((id) => this.logged.delete(id));
        for (const row of rows.values()) {
            noteSilence(this.endpoints, row, now);
            const { id, startedAt, service } = row.entry;
            const period = coldPeriodOf(cold, row.entry, now);
            if (period?.reason === this.logged.get(id)) {
                continue;
            }
            if (period === undefined) {
                this.logged.delete(id);
                this.countEvent("warm");
                this.logs.endpoints.info("Endpoint is warm again.", { endpoint: id, startedAt, service });
                continue;
            }
            this.logged.set(id, period.reason);
            this.countEvent("cold");
            this.logs.endpoints.info("Endpoint is cold.", {
                endpoint: id,
                startedAt,
                service,
                reason: period.reason,
                remainingMs: Math.round(period.until - now),
                perSecond: period.perSecond,
            });
        }
    }
}
