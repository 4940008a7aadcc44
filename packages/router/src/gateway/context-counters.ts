import type { ConnectionLimits } from "@gooseberrybend/core/dispatch";
import type { GatewayContext } from "./gateway-context.js";
import type { GatewayMetrics } from "./gateway-metrics.js";
import type { GatewayLogs } from "./log-sink.js";

/** What exchanges count and observe. */
type ContextCounters = Pick<
    GatewayContext,
    | "countRefusal"
    | "countFailedSend"
    | "countCutAnswer"
    | "countResponse"
    | "countEndpointRefusal"
    | "countShortage"
    | "countLimitEvent"
    | "countLateSend"
    | "countAdmission"
    | "recordConnectionEvent"
    | "countResourceEvent"
    | "observeUnread"
    | "observeFirstByte"
    | "observeRequestEnd"
>;

/** Returns the counters of a context, which add to the metrics. */
export function contextCounters(
    metrics: GatewayMetrics,
    logs: GatewayLogs,
    connectionLimits: ConnectionLimits,
): ContextCounters {
    return {
        countRefusal: (cause) => metrics.refusals.inc({ cause }),
        countFailedSend: (next, failure) => metrics.failedSends.inc({ next, failure }),
        countCutAnswer: () => metrics.cutAnswers.inc(),
        countResponse: (end) => metrics.responses.inc({ end }),
        countEndpointRefusal: (hasId, onReusedConnection) =>
            metrics.endpointRefusals.inc({
                id: hasId ? "echoed" : "missing",
                connection: onReusedConnection ? "reused" : "new",
            }),
        countShortage: (tokens) => metrics.shortages.inc({ tokens }),
        countLimitEvent: (event) => metrics.limits.inc({ event }),
        countLateSend: (outcome) => metrics.lateSends.inc({ outcome }),
        countAdmission: (outcome) => metrics.admissions.inc({ outcome }),
        recordConnectionEvent: (event, listener) => {
            metrics.resources.inc({ event });
            logs.host.warn("Limit of connections reached.", { event, listener, ...connectionLimits });
        },
        countResourceEvent: (event) => metrics.resources.inc({ event }),
        observeUnread: (unreadMs) => metrics.unreadSeconds.observe(unreadMs / 1_000),
        observeFirstByte: (request, now) => metrics.firstByteSeconds.observe((now - request.arrivedAt) / 1_000),
        observeRequestEnd: (outcome, tookMs) => {
            metrics.endedRequests.inc({ outcome });
            metrics.requestSeconds.observe(tookMs / 1_000);
        },
    };
}
