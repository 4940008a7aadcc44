import type { SendFailure } from "@gooseberrybend/core/dispatch";
import type { AdmittedRequest } from "./admitted-request.js";
import type { Send } from "./endpoint-send.js";
import type { EventSplitter } from "./event-splitter.js";
import type { GatewayContext } from "./gateway-context.js";

/** Progress of a request across its sends, as logged. */
export type ExchangeProgress = { readonly sends: number; readonly mayHaveRun: boolean; };

/** Logs the decisions about one request, each with what decided it. */
export class ExchangeLog {
    constructor(
        private readonly context: GatewayContext,
        private readonly admitted: AdmittedRequest,
        private readonly stream: EventSplitter,
        private readonly progress: () => ExchangeProgress,
    ) {}

    /** Returns the log fields of the request and the endpoint of a send. */
    figures(send: Send | undefined): Record<string, unknown> {
        return {
            id: this.admitted.fields.requestId,
            account: this.admitted.account?.id,
            regions: this.admitted.regions?.allowed,
            endpoint: send?.row.entry.id,
            ...this.progress(),
        };
    }

    /** Logs that no connection to the endpoint could be made. */
    unreachable(send: Send, code: string): void {
        this.context.logs.endpoints.warn("Could not connect to the endpoint.", { ...this.figures(send), code });
    }

    /** Logs that an endpoint that was chosen no longer accepts requests when the send is about to begin. */
    left(send: Send): void {
        this.context.logs.endpoints.info("Endpoint stopped accepting requests before the send.", this.figures(send));
    }

    /** Logs that a request is ended that has not left the router, although its endpoint leaves. */
    unsent(send: Send, figures: object, now: number): void {
        this.context.logs.endpoints.warn("Request reset, as it would reach a leaving endpoint too late.", {
            ...this.figures(send),
            ...figures,
            sentMsAgo: Math.round(now - send.sentAt),
        });
    }

    /** Logs that a response is not forwarded. */
    rejected(send: Send, reason: string): void {
        this.context.logs.requests.warn(`Response rejected: ${reason}.`, {
            ...this.figures(send),
            ...this.responseFigures(send),
        });
    }

    /** Logs that a response broke off. */
    broken(send: Send, code: string, now: number): void {
        this.context.logs.endpoints.warn("Connection to the endpoint broke after the request was sent.", {
            ...this.figures(send),
            request: this.admitted.features.request,
            code,
            heard: send.hasResponded,
            events: this.stream.eventCount,
            sentMsAgo: Math.round(now - send.sentAt),
        });
    }

    /** Logs a failed send, and what follows. */
    failed(send: Send, failure: SendFailure, next: string): void {
        this.context.logs.requests.info("Send failed.", {
            ...this.figures(send),
            failure,
            next,
            ...this.responseFigures(send),
        });
    }

    /** Logs that a response which the caller has begun to receive is aborted. */
    aborted(send: Send | undefined, cause: string): void {
        this.context.logs.requests.warn("Response aborted.", {
            ...this.figures(send),
            cause,
            events: this.stream.eventCount,
        });
    }

    /** Logs and counts that a response is cut, because its caller does not read it and others need the memory. */
    cut(send: Send | undefined, isWritten: boolean): void {
        this.context.countResourceEvent("response-cut");
        if (isWritten) {
            // One that is not is aborted, which counts it.
            this.context.countCutAnswer();
        }
        this.context.logs.requests.warn("Cutting a response that its caller does not read, as memory is needed.", {
            ...this.figures(send),
            ...this.context.memory.figures,
        });
    }

    /** Logs an error that no part of the code expects. */
    unexpectedError(send: Send | undefined, error: Error): void {
        this.context.logs.requests.error("Request ended by an unexpected error.", {
            ...this.figures(send),
            error: error.stack ?? error.message,
        });
    }

    /** Logs the end of the request. */
    ended(
        send: Send | undefined,
        outcome: string,
        billedTokens: number | undefined,
        firstMs: number | undefined,
        tookMs: number,
    ): void {
        this.context.logs.requests.info("Request ended.", {
            ...this.figures(send),
            outcome,
            ...this.responseFigures(send),
            billedTokens,
            firstMs,
            targetMs: this.admitted.route.targetMs,
            timeoutMs: this.admitted.route.timeoutMs,
            patienceMs: this.admitted.fields.callerTimeoutMs,
            tookMs,
        });
    }

    private responseFigures(send: Send | undefined): Record<string, unknown> {
        return {
            status: send?.status,
            end: send?.end,
            echoedId: send?.fields?.requestId !== undefined,
            reusedConnection: send?.onReusedConnection,
            events: this.stream.eventCount,
            lastEventId: this.stream.lastEventId,
        };
    }
}
