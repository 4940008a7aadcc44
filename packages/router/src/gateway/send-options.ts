import { type EndpointState, paceOf, rankAtEngine } from "@gooseberrybend/core/dispatch";
import type { Dispatcher } from "undici";
import type { AdmittedRequest } from "./admitted-request.js";
import type { GatewayContext } from "./gateway-context.js";

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
