import type { EndpointId } from "@gooseberrybend/core";
import {
    type AttemptState,
    chooseEndpoint,
    nextStep,
    type PlacementQuery,
    recordConnectFailure,
    recordFirstByte,
    recordOutcome,
    recordSend,
    returnDelayMs,
    type SendFailure,
} from "@gooseberrybend/core/dispatch";
import type { Dispatcher } from "undici";
import type { AdmittedRequest } from "./admitted-request.js";
import { CallerAnswer } from "./caller-answer.js";
import { REFUSED_CODE } from "./connection-check.js";
import { observeReuse } from "./connection-use.js";
import { createSend, type Send } from "./endpoint-send.js";
import { EventSplitter } from "./event-splitter.js";
import type { GatewayContext } from "./gateway-context.js";
import { logPlacement } from "./placement-log.js";
import { endOfResponse, withoutContentLength } from "./raw-headers.js";
import { noEndpointCause, type RefusalCause, retryAfterMs, sendRefusal } from "./refusal.js";
import { isForOtherRequest, recordBytesReceived, recordRequestLimit, recordResponseHead } from "./response-head.js";
import { responseFigures } from "./response-log.js";
import { recordFirst, takeRetry } from "./retry-accounting.js";
import { sendOptions } from "./send-options.js";
import { TokenClaim } from "./token-claim.js";

/** Statuses that imply that a request did not run; forwarded only if the endpoint states so explicitly. */
const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503]);
const MIN_FAILURE_STATUS = 500;
/** Bytes of a response that are buffered until complete; responses of plain services have a few KB. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Time in ms to wait for a connection before trying another endpoint; connecting usually takes a few ms. */
const CONNECT_TIMEOUT_MS = 200;

/** Forwards one request from its caller to an endpoint, and the response back. */
export class Exchange {
    private readonly deadline: number;
    private readonly tried = new Set<EndpointId>();
    private readonly splitter = new EventSplitter();
    private readonly query: PlacementQuery;
    private sends = 0;
    private mayHaveRun = false;
    private readonly answer: CallerAnswer;
    private isFinished = false;
    private readonly tokenClaim: TokenClaim;
    private send: Send | undefined;
    private timer: NodeJS.Timeout | undefined;
    private firstMs: number | undefined;

    constructor(private readonly context: GatewayContext, private readonly admitted: AdmittedRequest) {
        const { route, fields, arrivedAt, service } = admitted;
        this.deadline = arrivedAt + Math.min(fields.callerTimeoutMs ?? Infinity, route.timeoutMs);
        this.tokenClaim = new TokenClaim(context, admitted);
        this.answer = new CallerAnswer(admitted.response);
        this.query = {
            service: service.name,
            engine: service.engine,
            parts: fields.parts,
            promptTokens: fields.tokens?.prompt ?? 0,
            domain: context.domain,
            tried: this.tried,
            isRepeat: false,
            priority: admitted.account?.priority ?? route.priority,
            cacheMs: context.settings().bounds.promptCacheMs,
        };
    }

    /** Serves the request. */
    async run(): Promise<void> {
        const { response } = this.admitted;
        response.on("close", () => this.handleCallerDisconnect());
        this.timer = setTimeout(() => this.handleDeadline(), Math.max(0, this.deadline - this.context.clock()));
        if (await this.reserve()) {
            recordFirst(this.context, this.query.service, this.context.clock());
            this.dispatch();
        }
    }

    private async reserve(): Promise<boolean> {
        const reservation = await this.tokenClaim.reserve(this.admitted.route.targetMs);
        if (this.isFinished) {
            this.tokenClaim.settle(0);
            return false;
        }
        switch (reservation) {
            case "reserved":
                return true;
            case "exhausted":
                this.refuse("budget-exhausted", undefined, this.tokenClaim.figures());
                return false;
            case "short":
                this.refuse("budget-unavailable", this.tokenClaim.retryAfterMs(), this.tokenClaim.figures());
                return false;
        }
    }

    private dispatch(): void {
        const now = this.context.clock();
        if (now >= this.deadline) {
            // The caller has given up, even if a busy router has not yet seen its disconnect.
            return this.handleDeadline();
        }
        const isTrial = this.admitted.isTrial && this.sends === 0;
        const conviction = isTrial ? undefined : this.context.suspects.convictionOf(this.admitted.features);
        if (conviction !== undefined) {
            return this.refuseOrAbort("poison-request", conviction.retryAfterMs);
        }
        const query = { ...this.query, isRepeat: this.sends > 0 && !this.answer.isHeadSent };
        const placement = chooseEndpoint(this.context.endpoints, query, this.context.random, now);
        if (placement === undefined) {
            return this.refuseOrAbort(noEndpointCause(this.context.endpoints, this.query.service), this.waitMs(now));
        }
        const { row, units } = placement;
        const send = createSend(row, units, now);
        const options = sendOptions(this.context, this.admitted, row, this.deadline - now, this.splitter.lastEventId);
        this.send = send;
        logPlacement(this.context, this.admitted, row, this.sends + 1, now);
        setTimeout(() => this.handleConnectTimeout(send), CONNECT_TIMEOUT_MS);
        recordSend(this.context.endpoints, row, this.query, this.context.random, now);
        try {
            this.context.connectionsOf(row.entry, this.admitted.service)
                .dispatch(options, this.handlerOf(send));
        }
        catch (error) {
            // The HTTP client validates header names and values before it sends anything.
            this.endSend(send, false);
            this.refuse("bad-request", undefined, { detail: (error as Error).message });
        }
    }

    private handlerOf(send: Send): Dispatcher.DispatchHandler {
        return {
            onRequestStart: (controller) => {
                send.controller = controller;
                if (send.ended || this.isFinished) {
                    this.abort(send);
                    return;
                }
                send.requestStarted = true;
                observeReuse((isReused) => {
                    send.onReusedConnection = isReused;
                });
                send.trackedSend = this.context.suspects.track(send.row.entry, this.admitted.features);
                this.sends++;
                this.tried.add(send.row.entry.id);
            },
            onResponseStart: (controller, status) => this.receiveHead(send, controller, status),
            onResponseData: (unusedController, chunk) => this.receiveData(send, chunk),
            onResponseEnd: () => this.receiveEnd(send),
            onResponseError: (unusedController, error) => this.receiveError(send, error),
        };
    }

    private receiveHead(send: Send, controller: Dispatcher.DispatchController, status: number): void {
        const headers = (controller as unknown as { rawHeaders: Buffer[]; }).rawHeaders
            .map((value) => value.toString("latin1"));
        const now = this.context.clock();
        send.status = status;
        send.headers = headers;
        send.fields = this.context.dialect.readEndpointHeaders(status, headers);
        recordResponseHead(this.context, this.query, send, now);
        if (send.fields.notRun) {
            this.context.countEndpointRefusal(send.fields.requestId !== undefined, send.onReusedConnection);
        }
        this.firstMs ??= Math.round(now - this.admitted.arrivedAt);
        const isSuccess = status >= 200 && status < 300;
        if (isForOtherRequest(send.fields, this.admitted.fields.requestId) || (isSuccess && !send.fields.sealed)) {
            // Says nothing about this request, even if it states that it did not run.
            this.mayHaveRun = true;
            this.rejectAnswer(send, "Response belongs to another request or does not come from an endpoint; rejected.");
            return;
        }
        recordRequestLimit(this.context, send, now);
        if (this.admitted.route.kind === "stream" && isSuccess) {
            this.startStreaming(send);
        }
    }

    private startStreaming(send: Send): void {
        send.isStreaming = true;
        this.mayHaveRun = true;
        if (this.answer.isHeadSent) {
            return;
        }
        this.context.observeFirstByte(this.admitted, this.context.clock());
        const headers = this.context.dialect.responseHeaders(send.headers);
        this.answer.sendHead(send.status, this.admitted.route.resumable ? withoutContentLength(headers) : headers);
    }

    private receiveData(send: Send, chunk: Buffer): void {
        recordBytesReceived(this.context, send, this.context.clock());
        if (this.isFinished || send.ended) {
            return;
        }
        if (!send.isStreaming) {
            this.buffer(send, chunk);
            return;
        }
        if (this.admitted.route.kind !== "stream") {
            this.answer.write(chunk, send.controller);
            return;
        }
        const completeEvents = this.splitter.push(chunk);
        this.answer.write(this.admitted.route.resumable ? completeEvents : chunk, send.controller);
        if (this.splitter.isEventTooLong) {
            this.rejectAnswer(send, "Stream event exceeds the maximum size; response rejected.");
        }
    }

    // While a response is buffered, the request can still be retried at another endpoint.
    private buffer(send: Send, chunk: Buffer): void {
        send.chunks.push(chunk);
        send.bufferedBytes += chunk.length;
        if (send.bufferedBytes <= MAX_BUFFERED_BYTES) {
            return;
        }
        const { sealed, notRun } = send.fields!;
        if (!sealed || notRun || send.status >= MIN_FAILURE_STATUS || NOT_EXECUTED_STATUSES.has(send.status)) {
            this.rejectAnswer(send, "Failure response exceeds the buffer limit; rejected.");
            return;
        }
        this.startStreaming(send);
        send.chunks.splice(0).forEach((buffered) => this.answer.write(buffered, send.controller));
    }

    private rejectAnswer(send: Send, reason: string): void {
        this.context.logs.requests.warn(reason, this.figures(send));
        this.mayHaveRun ||= send.fields?.notRun !== true;
        this.endSend(send, true);
        this.abort(send);
        this.handleFailure(send, "garbled");
    }

    private receiveEnd(send: Send): void {
        if (send.ended) {
            return;
        }
        if (send.isStreaming && this.splitter.hasPartialEvent) {
            return this.receiveError(send, new Error("stream ended inside an event"));
        }
        const failed = send.status >= MIN_FAILURE_STATUS;
        const ended = endOfResponse(send.status, send.headers, this.admitted.request.method);
        send.end = ended;
        this.context.countResponse(ended);
        this.endSend(send, failed, ended === "complete");
        if (send.fields!.sealed && !send.fields!.notRun && !failed) {
            this.context.suspects.recordResponse(send.row.entry, send.trackedSend!, send.status, ended);
        }
        if (this.isFinished) {
            return;
        }
        if (send.isStreaming) {
            this.answer.write(
                this.admitted.route.resumable ? this.splitter.takeRemainder() : undefined,
                send.controller,
            );
            this.finish("answered", send);
            this.answer.end();
            return;
        }
        if (send.fields!.notRun) {
            this.handleFailure(send, "not-run");
            return;
        }
        this.mayHaveRun = true;
        if (failed) {
            this.handleFailure(send, "failed");
            return;
        }
        this.forwardAnswer(send);
    }

    private forwardAnswer(send: Send): void {
        if (NOT_EXECUTED_STATUSES.has(send.status) && !send.fields!.notRun) {
            // The endpoint does not state that the request did not run, so the router must not imply it.
            return this.refuse("may-have-run", undefined, this.figures(send));
        }
        const headers = withoutContentLength(this.context.dialect.responseHeaders(send.headers));
        this.finish("answered", send);
        this.answer.sendComplete(this.admitted.request.method, send.status, headers, Buffer.concat(send.chunks));
    }

    private receiveError(send: Send, error: Error): void {
        if (send.ended) {
            return;
        }
        const now = this.context.clock();
        this.endSend(send, true, false);
        if (this.isFinished) {
            return;
        }
        const code = (error as { code?: string; }).code ?? error.message;
        if (!send.requestStarted) {
            this.recordUnreachable(send, code, now);
            return;
        }
        this.mayHaveRun = true;
        this.context.countResponse("broken");
        void this.context.suspects.recordBrokenConnection(send.row.entry);
        this.context.logs.endpoints.warn("Connection to the endpoint broke after the request was sent.", {
            ...this.figures(send),
            request: this.admitted.features.request,
            code,
            heard: send.hasResponded,
            events: this.splitter.eventCount,
            sentMsAgo: Math.round(now - send.sentAt),
        });
        this.handleFailure(send, "broken");
    }

    // Nothing was sent yet, so the request can go to another endpoint immediately.
    private handleConnectTimeout(send: Send): void {
        if (!send.requestStarted && !send.ended && !this.isFinished) {
            this.endSend(send, true);
            this.recordUnreachable(send, "no connection in time", this.context.clock());
        }
    }

    private recordUnreachable(send: Send, code: string, now: number): void {
        recordConnectFailure(send.row, now);
        if (code === REFUSED_CODE) {
            this.context.suspects.recordUnreachable(send.row.entry, now);
        }
        this.tried.add(send.row.entry.id);
        this.context.logs.endpoints.warn("Could not connect to the endpoint.", { ...this.figures(send), code });
        this.handleFailure(send, "unreachable");
    }

    private handleFailure(send: Send, failure: SendFailure): void {
        if (this.isFinished) {
            return;
        }
        const now = this.context.clock();
        const { route } = this.admitted;
        const state: AttemptState = {
            sends: this.sends,
            mayHaveRun: this.mayHaveRun,
            answering: this.answer.isHeadSent,
            resumable: route.resumable && (this.splitter.lastEventId !== undefined || this.splitter.eventCount === 0),
            deadline: this.deadline,
        };
        const step = nextStep(route, state, failure, () => takeRetry(this.context, this.query.service, now), now);
        this.context.countFailedSend(step.kind, failure);
        this.context.logs.requests.info("Send failed.", {
            ...this.figures(send),
            failure,
            next: step.kind,
            ...responseFigures(send, this.splitter),
        });
        switch (step.kind) {
            case "retry":
                return this.dispatch();
            case "resume":
                this.splitter.dropPartial();
                return this.dispatch();
            case "refuse":
                return this.refuse(failure === "unreachable" ? "no-endpoint" : "endpoint-full", this.waitMs(now));
            case "fail":
                return this.refuse("may-have-run", undefined);
            case "pass-on":
                return this.forwardAnswer(send);
            case "cut":
                return this.abortAnswer("broken");
        }
    }

    // Called when the request can't be sent to any endpoint.
    private refuseOrAbort(cause: RefusalCause, waitMs: number): void {
        if (this.answer.isHeadSent) {
            this.abortAnswer(cause);
            return;
        }
        this.refuse(this.mayHaveRun ? "may-have-run" : cause, this.mayHaveRun ? undefined : waitMs);
    }

    // Time in ms after which an endpoint may accept the request.
    private waitMs(now: number): number {
        return returnDelayMs(this.context.endpoints, this.query.service, now) + retryAfterMs(this.context.random());
    }

    private handleDeadline(): void {
        if (this.isFinished) {
            return;
        }
        const send = this.send;
        const mayBeRunning = this.mayHaveRun || send?.requestStarted === true;
        if (send !== undefined && !send.ended) {
            this.endSend(send, !send.hasResponded);
            this.abort(send);
        }
        if (this.answer.isHeadSent) {
            this.abortAnswer("timed-out");
            return;
        }
        this.refuse(
            mayBeRunning ? "timed-out" : "deadline-exceeded",
            mayBeRunning ? undefined : retryAfterMs(this.context.random()),
        );
    }

    private handleCallerDisconnect(): void {
        if (this.isFinished) {
            return;
        }
        const send = this.send;
        if (send !== undefined && !send.ended) {
            this.abandon(send);
        }
        this.finish("caller-gone", send);
    }

    private abandon(send: Send): void {
        if (this.admitted.route.kind === "unsafe" && this.context.clock() < this.deadline) {
            // A request that must not be repeated keeps running at the endpoint until its deadline.
            setTimeout(() => send.ended || this.abandon(send), this.deadline - this.context.clock());
            return;
        }
        this.endSend(send, false);
        this.abort(send);
    }

    private abort(send: Send): void {
        send.controller?.abort(new Error("request ended or is no longer needed at this endpoint"));
    }

    private endSend(send: Send, failed: boolean, answered = send.hasResponded): void {
        send.ended = true;
        this.context.suspects.recordSendEnd(send.trackedSend, answered, this.context.clock());
        send.row.open--;
        if (!send.hasResponded) {
            recordFirstByte(send.row, this.query);
        }
        if (send.row.open === 0) {
            send.row.unansweredSince = undefined;
        }
        recordOutcome(send.row, failed, this.context.clock());
    }

    private refuse(cause: RefusalCause, retryAfterMs: number | undefined, figures: object = {}): void {
        this.context.countRefusal(cause);
        this.context.logs.requests.info("Refused.", { ...this.figures(this.send), cause, retryAfterMs, ...figures });
        this.finish(cause, this.send);
        sendRefusal(this.admitted.response, cause, retryAfterMs);
    }

    // A caller must not mistake a partial response for a complete one.
    private abortAnswer(cause: string): void {
        this.context.countCutAnswer();
        this.context.logs.requests.warn("Response aborted.", {
            ...this.figures(this.send),
            cause,
            events: this.splitter.eventCount,
        });
        this.finish(cause, this.send);
        this.answer.abort();
    }

    private finish(outcome: string, send: Send | undefined): void {
        this.isFinished = true;
        clearTimeout(this.timer);
        this.settleTokens();
        const tookMs = Math.round(this.context.clock() - this.admitted.arrivedAt);
        this.context.observeRequestEnd(outcome, tookMs);
        this.context.logs.requests.info("Request ended.", {
            ...this.figures(send),
            outcome,
            ...responseFigures(send, this.splitter),
            firstMs: this.firstMs,
            targetMs: this.admitted.route.targetMs,
            timeoutMs: this.admitted.route.timeoutMs,
            patienceMs: this.admitted.fields.callerTimeoutMs,
            tookMs,
        });
    }

    private settleTokens(): void {
        const ran = this.mayHaveRun || (this.send?.requestStarted === true && this.send.fields?.notRun !== true);
        if (ran) {
            this.tokenClaim.settleEvents(this.splitter.eventCount);
        }
        else {
            this.tokenClaim.settle(0);
        }
    }

    private figures(send: Send | undefined): Record<string, unknown> {
        return {
            id: this.admitted.fields.requestId,
            account: this.admitted.account?.id,
            endpoint: send?.row.entry.id,
            sends: this.sends,
            mayHaveRun: this.mayHaveRun,
        };
    }
}
