import type { AnswerEnd, EndpointDeclaration, TokenUsage } from "@gooseberrybend/core";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { Readable } from "node:stream";
import { finished } from "node:stream/promises";
import { type Dispatcher, request } from "undici";
import {
    type EndpointCall,
    EndpointClient,
    type FailedCall,
    failureOf,
    type MessageSink,
    rejectionOf,
} from "./endpoint-client.js";

type Usage = { readonly prompt_tokens: number; readonly completion_tokens: number; };

// Engines send "usage": null in all chunks except the last.
const USAGE_PATTERN = /"usage"\s*:\s*\{/;

/** Progress of a stream that is being received. */
type StreamProgress = { nextOffset: number; usage: Usage | undefined; ended: boolean; };

/** Client for chat completions as server-sent events, with resumption and cancellation by stream id. */
export class ModelClient extends EndpointClient {
    override async send(
        declaration: EndpointDeclaration,
        dispatcher: Dispatcher,
        call: EndpointCall,
        signal: AbortSignal,
        sink: MessageSink,
    ): Promise<void> {
        const { run, dispatch } = call;
        const progress: StreamProgress = { nextOffset: call.resumeAt ?? 0, usage: undefined, ended: false };
        try {
            const response = await this.open(declaration, dispatcher, call, signal);
            if (response.statusCode !== 200) {
                const failed = failureOfStatus(response.statusCode, response.headers, call);
                await response.body.dump();
                sink({ kind: "endpoint-failed", run, dispatch, ...failed });
                return;
            }
            await this.relay(response.body, call, progress, sink);
        }
        catch (error) {
            if (!progress.ended && !signal.aborted) {
                sink({ kind: "endpoint-failed", run, dispatch, ...failureOf(error) });
            }
            return;
        }
        if (!progress.ended) {
            sink({ kind: "endpoint-failed", run, dispatch, failure: "connection-lost", written: true });
        }
    }

    override async cancel(declaration: EndpointDeclaration, dispatcher: Dispatcher, stream: string): Promise<void> {
        const response = await request(`${declaration.address}/v1/streams/${stream}`, { method: "DELETE", dispatcher });
        await response.body.dump();
    }

    private open(
        declaration: EndpointDeclaration,
        dispatcher: Dispatcher,
        call: EndpointCall,
        signal: AbortSignal,
    ): Promise<Dispatcher.ResponseData> {
        if (call.resumeAt !== undefined) {
            const url = `${declaration.address}/v1/streams/${call.stream}?offset=${call.resumeAt}`;
            return request(url, { method: "GET", dispatcher, signal });
        }
        return request(`${declaration.address}${call.request.path}`, {
            method: "POST",
            dispatcher,
            signal,
            body: call.request.body,
            headers: {
                "content-type": "application/json",
                "x-stream-id": call.stream,
                "idempotency-key": call.request.key,
            },
        });
    }

    private async relay(
        body: Readable,
        call: EndpointCall,
        progress: StreamProgress,
        sink: MessageSink,
    ): Promise<void> {
        const { run, dispatch } = call;
        const parser = createParser({
            onEvent: (event) => relayEvent(event, call, progress, sink),
            onComment: () => sink({ kind: "endpoint-alive", run, dispatch }),
        });
        const decoder = new TextDecoder();
        body.on("data", (bytes: Buffer) => parser.feed(decoder.decode(bytes, { stream: true })));
        await finished(body);
    }
}

function relayEvent(event: EventSourceMessage, call: EndpointCall, progress: StreamProgress, sink: MessageSink): void {
    const { run, dispatch } = call;
    if (event.data === "[DONE]") {
        progress.ended = true;
        sink({ kind: "endpoint-end", run, dispatch, end: endOf(progress) });
        return;
    }
    const offset = event.id === undefined ? progress.nextOffset : Number(event.id);
    progress.nextOffset = offset + 1;
    const isUsage = USAGE_PATTERN.test(event.data);
    if (isUsage) {
        progress.usage = (JSON.parse(event.data) as { usage: Usage; }).usage;
    }
    const tokens = isUsage || !event.data.includes('"content"') ? 0 : 1;
    sink({ kind: "endpoint-chunk", run, dispatch, chunk: { offset, tokens, data: event.data } });
}

function endOf(progress: StreamProgress): AnswerEnd {
    const { nextOffset, usage } = progress;
    return { chunks: nextOffset, status: 200, usage: usage && usageOf(usage), contentType: "text/event-stream" };
}

function usageOf(usage: Usage): TokenUsage {
    return { promptTokens: usage.prompt_tokens, outputTokens: usage.completion_tokens };
}

function failureOfStatus(status: number, headers: Readonly<Record<string, unknown>>, call: EndpointCall): FailedCall {
    const rejection = rejectionOf(status, headers);
    if (rejection !== undefined) {
        return rejection;
    }
    if (call.resumeAt !== undefined && status === 404) {
        return { failure: "unknown-stream", written: true };
    }
    return status < 500 ? { failure: "rejected", written: false } : { failure: "connection-lost", written: true };
}
