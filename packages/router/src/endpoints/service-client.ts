import type { EndpointDeclaration } from "@gooseberrybend/core";
import { type Dispatcher, request } from "undici";
import { type EndpointCall, EndpointClient, failureOf, type MessageSink, rejectionOf } from "./endpoint-client.js";

/** Client for plain HTTP services: the response is one chunk that holds the body in base64. */
export class ServiceClient extends EndpointClient {
    override async send(
        declaration: EndpointDeclaration,
        dispatcher: Dispatcher,
        call: EndpointCall,
        signal: AbortSignal,
        sink: MessageSink,
    ): Promise<void> {
        const { run, dispatch } = call;
        const { method, path, body, contentType, key } = call.request;
        try {
            const headers: Record<string, string> = { "idempotency-key": key };
            if (contentType !== undefined) {
                headers["content-type"] = contentType;
            }
            const url = `${declaration.address}${path}`;
            const response = await request(url, {
                method: method as Dispatcher.HttpMethod,
                dispatcher,
                signal,
                body,
                headers,
            });
            const rejection = rejectionOf(response.statusCode, response.headers);
            const responseBody = Buffer.from(await response.body.arrayBuffer());
            if (rejection !== undefined) {
                sink({ kind: "endpoint-failed", run, dispatch, ...rejection });
                return;
            }
            sink({
                kind: "endpoint-chunk",
                run,
                dispatch,
                chunk: { offset: 0, tokens: 0, data: responseBody.toString("base64") },
            });
            const type = String(response.headers["content-type"] ?? "application/octet-stream");
            const end = { chunks: 1, status: response.statusCode, usage: undefined, contentType: type };
            sink({ kind: "endpoint-end", run, dispatch, end });
        }
        catch (error) {
            if (!signal.aborted) {
                sink({ kind: "endpoint-failed", run, dispatch, ...failureOf(error) });
            }
        }
    }

    override async cancel(): Promise<void> {
        // A service call cannot be stopped at the endpoint.
    }
}
