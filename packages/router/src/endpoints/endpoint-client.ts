import type { EndpointDeclaration, EndpointFailure, LoadReport, Message } from "@gooseberrybend/core";
import type { Dispatcher } from "undici";

/** One call to an endpoint. */
export type EndpointCall = {
    readonly run: number;
    readonly dispatch: number;
    readonly stream: string;
    readonly resumeAt: number | undefined;
    readonly deadline: number;
    readonly request: EndpointRequest;
};

/** What is sent to an endpoint. */
export type EndpointRequest = {
    readonly method: string;
    readonly path: string;
    readonly body: string | Buffer | undefined;
    readonly contentType: string | undefined;
    readonly key: string;
};

/** A failed call: how it failed and whether the endpoint may have the request. */
export type FailedCall = { readonly failure: EndpointFailure; readonly written: boolean; };

/** Where an endpoint client hands what comes back. */
export type MessageSink = (message: Message) => void;

/** Speaks one kind of endpoint's protocol. */
export abstract class EndpointClient {
    /** Sends a call and hands its chunks and its end, or its failure, to the sink. */
    abstract send(
        declaration: EndpointDeclaration,
        dispatcher: Dispatcher,
        call: EndpointCall,
        signal: AbortSignal,
        sink: MessageSink,
    ): Promise<void>;
    /** Tells the endpoint to stop a stream. */
    abstract cancel(declaration: EndpointDeclaration, dispatcher: Dispatcher, stream: string): Promise<void>;
}

const UNSENT_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Tells from an error whether a call surely never reached the endpoint. */
export function failureOf(error: unknown): FailedCall {
    const code = (error as { code?: string; }).code ?? "";
    if (UNSENT_CODES.has(code)) {
        return { failure: "connection-refused", written: false };
    }
    return { failure: "connection-lost", written: true };
}

/** Tells from a status other than success how a call was turned away, or undefined when it is an answer. */
export function turnedAway(status: number, headers: Readonly<Record<string, unknown>>): FailedCall | undefined {
    if (status === 429) {
        return { failure: "busy", written: false };
    }
    if (status === 503) {
        const leaving = headers["x-instance-state"] === "leaving";
        return { failure: leaving ? "leaving" : "busy", written: false };
    }
    return undefined;
}

/** Reads a load report from its JSON body, or undefined when it is not one. */
export function parseReport(body: unknown): LoadReport | undefined {
    const report = body as Partial<LoadReport>;
    const { running, queued, slots, leaving } = report;
    if (typeof running !== "number" || typeof queued !== "number" || typeof slots !== "number") {
        return undefined;
    }
    return { running, queued, slots, leaving: leaving === true };
}
