import type { EndpointDeclaration, EndpointFailure, LoadReport, Message } from "@gooseberrybend/core";
import type { Dispatcher } from "undici";

/** One dispatch of a run to an endpoint: a new request, or the resumption of a stream at an offset. */
export type EndpointCall = {
    readonly run: number;
    readonly dispatch: number;
    readonly stream: string;
    readonly resumeAt: number | undefined;
    readonly deadline: number;
    readonly request: EndpointRequest;
};

/** HTTP request to send to an endpoint. */
export type EndpointRequest = {
    readonly method: string;
    readonly path: string;
    readonly body: string | Buffer | undefined;
    readonly contentType: string | undefined;
    readonly key: string;
};

/** Failure of a call; `written` is true if the endpoint may have received the request. */
export type FailedCall = { readonly failure: EndpointFailure; readonly written: boolean; };

/** Receives the messages that result from calls to endpoints. */
export type MessageSink = (message: Message) => void;

/** Protocol client for one kind of endpoint. */
export abstract class EndpointClient {
    /** Sends a call and passes its chunks and its end, or its failure, to the sink. */
    abstract send(
        declaration: EndpointDeclaration,
        dispatcher: Dispatcher,
        call: EndpointCall,
        signal: AbortSignal,
        sink: MessageSink,
    ): Promise<void>;
    /** Requests that the endpoint stop a stream. */
    abstract cancel(declaration: EndpointDeclaration, dispatcher: Dispatcher, stream: string): Promise<void>;
}

const UNSENT_ERROR_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Classifies an error by whether the call certainly did not reach the endpoint. */
export function failureOf(error: unknown): FailedCall {
    const code = (error as { code?: string; }).code ?? "";
    if (UNSENT_ERROR_CODES.has(code)) {
        return { failure: "connection-refused", written: false };
    }
    return { failure: "connection-lost", written: true };
}

/** Classifies a status with which an endpoint rejects a call unprocessed; undefined for any other status. */
export function rejectionOf(status: number, headers: Readonly<Record<string, unknown>>): FailedCall | undefined {
    if (status === 429) {
        return { failure: "busy", written: false };
    }
    if (status === 503) {
        const leaving = headers["x-instance-state"] === "leaving";
        return { failure: leaving ? "leaving" : "busy", written: false };
    }
    return undefined;
}

/** Validates the JSON body of a load report; returns undefined if it is invalid. */
export function parseLoadReport(body: unknown): LoadReport | undefined {
    const report = body as Partial<LoadReport>;
    const { running, queued, slots, leaving } = report;
    if (typeof running !== "number" || typeof queued !== "number" || typeof slots !== "number") {
        return undefined;
    }
    return { running, queued, slots, leaving: leaving === true };
}
