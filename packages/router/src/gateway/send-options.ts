import type { EndpointId } from "@gooseberrybend/core";
import { type EndpointState, paceOf, type PlacementQuery, rankAtEngine } from "@gooseberrybend/core/dispatch";
import type { Dispatcher } from "undici";
import type { AdmittedRequest } from "./admitted-request.js";
import type { GatewayContext } from "./gateway-context.js";

/** Returns what the choice of an endpoint for a request depends on. `tried` is the set of endpoints it was sent to. */
export function placementQueryOf(
    context: GatewayContext,
    { route, fields, service, account, regions }: AdmittedRequest,
    tried: ReadonlySet<EndpointId>,
): PlacementQuery {
    return {
        service: service.name,
        engine: service.engine,
        parts: fields.parts,
        promptTokens: fields.tokens?.prompt ?? 0,
        domain: context.domain,
        tried,
        isRepeat: false,
        priority: account?.priority ?? route.priority,
        cacheMs: context.settings().bounds.promptCacheMs,
        regions,
    };
}

/** Returns the request to send to an endpoint, with the time left in ms and the event after which to resume. */
export function sendOptions(
    context: GatewayContext,
    { request, body, fields, account, route, service }: AdmittedRequest,
    row: EndpointState,
    timeLeftMs: number,
    resumeAfter: string | undefined,
): Dispatcher.DispatchOptions {
    const promptProcessingMs = (fields.tokens?.prompt ?? 0) * paceOf(context.endpoints, service.name).msPerUnit;
    const rank = rankAtEngine(account?.priority ?? route.priority, promptProcessingMs, route.targetMs);
    const headers = context.dialect.forwardHeaders(request.rawHeaders, {
        endpoint: row.entry.id,
        account: account?.id,
        timeLeftMs,
        priority: service.engine === undefined ? undefined : rank,
        resumeAfter: resumeAfter ?? fields.resumeAfter,
    });
    return {
        method: request.method as Dispatcher.HttpMethod,
        path: request.url!,
        headers,
        body: body.length === 0 ? undefined : body,
    };
}
