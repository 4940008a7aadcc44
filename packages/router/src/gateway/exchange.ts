import type { EndpointId } from "@gooseberrybend/core";
import {
    type AdmissionFigures,
    type AttemptState,
    chooseEndpoint,
    impliesNotRun,
    nextStep,
    type PlacementQuery,
    recordSend,
    returnDelayMs,
    type SendFailure,
    stillAcceptsRequests,
} from "@gooseberrybend/core/dispatch";
import type { Dispatcher } from "undici";
import { checkAdmission, findSendObstacle } from "./admission-check.js";
import type { AdmittedRequest } from "./admitted-request.js";
import { CallerAnswer } from "./caller-answer.js";
import { abortSend, createSend, dispatchSend, recordStart, type Send, watchConnecting } from "./endpoint-send.js";
import { EventSplitter } from "./event-splitter.js";
import { ExchangeLog } from "./exchange-log.js";
import type { GatewayContext } from "./gateway-context.js";
import { guard, guardedHandler } from "./guarded-handler.js";
import type { UnsentFigures } from "./outgoing-sends.js";
import { logPlacement } from "./placement-log.js";
import { rawHeadersOf, withoutContentLength } from "./raw-headers.js";
import { noEndpointCause, type RefusalCause, retryAfterMs, sendRefusal } from "./refusal.js";
import { bufferResponse, takeBuffered } from "./response-buffer.js";
import { readResponseHead, recordBytesReceived, recordLimits, recordResponseHead } from "./response-head.js";
import { recordFirst, takeRetry } from "./retry-accounting.js";
import { judgeSendEnd, recordSendEnd, recordServedResponse, recordUnreachable } from "./send-end.js";
import { placementQueryOf, sendOptions } from "./send-options.js";
import { TokenClaim } from "./token-claim.js";

const MIN_FAILURE_STATUS = 500;
/** Forwards one request from its caller to an endpoint, and the response back. */
export class Exchange {
    private readonly deadline: number;
    private readonly tried = new Set<EndpointId>();
    private readonly splitter: EventSplitter;
    private readonly log: ExchangeLog;
    private readonly query: PlacementQuery;
    private sends = 0;
    private mayHaveRun = false;
    readonly answer: CallerAnswer;
    private isFinished = false;
    private readonly tokenClaim: TokenClaim;
    private send: Send | undefined;
    private timer: NodeJS.Timeout | undefined;
    private firstMs: number | undefined;
    /** Figures of the request's admission if capacity was short. */
    private shortage: AdmissionFigures | undefined;

    constructor(private readonly context: GatewayContext, private readonly admitted: AdmittedRequest) {
        const { route, fields, arrivedAt } = admitted;
        this.deadline = arrivedAt + Math.min(fields.callerTimeoutMs ?? Infinity, route.timeoutMs);
        this.tokenClaim = new TokenClaim(context, admitted);
        this.answer = new CallerAnswer(admitted.response, admitted.charge);
        admitted.charge.onEnd = () => this.cutForMemory();
        this.splitter = new EventSplitter(fields.resumeAfter, fields.tokens?.output);
        const progress = () => ({ sends: this.sends, mayHaveRun: this.mayHaveRun });
        this.log = new ExchangeLog(context, admitted, this.splitter, progress);
        this.query = placementQueryOf(context, admitted, this.tried);
    }

    /** Serves the request; ends it if an unexpected error occurs before it is sent. */
    async run(): Promise<void> {
        await this.begin().catch((error: Error) => this.handleUnexpectedError(error));
    }

    /** Ends the request because the router stops: the caller gets a final answer, or a visibly incomplete one. */
    stop(): void {
        this.giveUp("may-have-run", "draining", false);
    }

    private async begin(): Promise<void> {
        const { response } = this.admitted;
        response.on("close", this.guarded(() => this.handleCallerDisconnect()));
        const leftMs = Math.max(0, this.deadline - this.context.clock());
        this.timer = setTimeout(this.guarded(() => this.handleDeadline()), leftMs);
        const reservation = await this.tokenClaim.reserve(this.admitted.route.targetMs);
        if (this.isFinished) {
            return this.tokenClaim.settle(0);
        }
        const { context, admitted, query, deadline } = this;
        const admission = checkAdmission(context, admitted, query, deadline, this.tokenClaim, reservation);
        if (admission.kind === "refuse") {
            return this.refuse(admission.cause, admission.retryAfterMs, admission.figures);
        }
        this.shortage = admission.figures;
        recordFirst(context, query.service, context.clock());
        this.dispatch();
    }

    private dispatch(): void {
        const now = this.context.clock();
        if (now >= this.deadline) {
            // The caller has given up, even if a busy router has not yet seen its disconnect.
            return this.handleDeadline();
        }
        const obstacle = findSendObstacle(this.context, this.admitted, this.sends === 0, this.deadline - now);
        if (obstacle !== undefined) {
            return this.refuseOrAbort(obstacle.cause, obstacle.retryAfterMs, obstacle.figures);
        }
        const query = { ...this.query, isRepeat: this.sends > 0 && !this.answer.isHeadSent };
        const placement = chooseEndpoint(this.context.endpoints, query, this.context.random, now);
        if (placement === undefined) {
            const cause = noEndpointCause(this.context.endpoints, this.query, now);
            return this.refuseOrAbort(cause, this.waitMs(now));
        }
        const { row, units } = placement;
        const send = createSend(row, units, now);
        const options = sendOptions(this.context, this.admitted, row, this.deadline - now, this.splitter.lastEventId);
        this.send = send;
        this.admitted.charge.hold();
        logPlacement(this.context, this.admitted, row, this.sends + 1, this.shortage, now);
        watchConnecting(send, this.context.clock, this.guarded(() => this.handleConnectTimeout(send), send));
        recordSend(this.context.endpoints, row, this.query, this.context.random, now);
        const fault = dispatchSend(this.context, this.admitted.service, send, options, this.handlerOf(send));
        if (fault !== undefined) {
            this.endSend(send, fault.cause === "unreachable", false);
            if (fault.cause === "unreachable") {
                return this.recordUnreachable(send, fault.detail, now);
            }
            this.refuse("bad-request", undefined, { detail: fault.detail });
        }
    }

    private handlerOf(send: Send): Dispatcher.DispatchHandler {
        return guardedHandler({
            start: (controller) => this.startSend(send, controller),
            head: (controller, status) => this.receiveHead(send, controller, status),
            data: (chunk) => this.receiveData(send, chunk),
            end: () => this.receiveEnd(send),
            error: (error) => this.receiveError(send, error),
            isPaused: () => this.answer.isPausing(send.controller),
        }, (error) => this.handleUnexpectedError(error, send));
    }

    private startSend(send: Send, controller: Dispatcher.DispatchController): void {
        send.controller = controller;
        if (send.ended || this.isFinished) {
            return abortSend(send);
        }
        const now = this.context.clock();
        if (now >= this.deadline) {
            // The caller has given up in this turn of the event loop; the timer comes in the next one.
            return this.handleDeadline();
        }
        // It may have left, asked for no requests, or become cold, while the request waited for a connection.
        if (!stillAcceptsRequests(this.context.endpoints, send.row, send.sentAt, now)) {
            this.endSend(send, false);
            abortSend(send);
            this.log.left(send);
            return this.handleFailure(send, "unreachable");
        }
        recordStart(this.context, this.admitted, send, (figures) => this.resetUnsent(send, figures));
        this.sends++;
        this.tried.add(send.row.entry.id);
    }

    // A part of it may have arrived, so it may have run.
    private resetUnsent(send: Send, figures: UnsentFigures): void {
        this.log.unsent(send, figures, this.context.clock());
        this.mayHaveRun = true;
        this.endSend(send, false);
        abortSend(send);
        this.handleFailure(send, "broken");
    }

    private guarded(callback: () => void, send?: Send): () => void {
        return guard(callback, (error) => this.handleUnexpectedError(error, send));
    }

    private handleUnexpectedError(error: Error, send?: Send): void {
        this.log.unexpectedError(send, error);
        if (send !== undefined) {
            if (!send.ended) {
                this.endSend(send, true);
            }
            abortSend(send);
        }
        if (this.isFinished) {
            return this.answer.abort();
        }
        this.mayHaveRun = true;
        this.refuseOrAbort("may-have-run", 0);
    }

    private receiveHead(send: Send, controller: Dispatcher.DispatchController, status: number): void {
        const now = this.context.clock();
        readResponseHead(this.context, this.admitted, send, rawHeadersOf(controller), status, this.answer.status);
        recordResponseHead(this.context, this.query, send, now);
        this.firstMs ??= Math.round(now - this.admitted.arrivedAt);
        if (send.verdict?.kind === "foreign") {
            this.mayHaveRun = true;
            this.rejectAnswer(send, send.verdict.reason);
            return;
        }
        recordLimits(this.context, send, now);
        if (send.verdict?.kind === "stream") {
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
        const allHeaders = this.context.dialect.responseHeaders(send.headers);
        const headers = this.admitted.route.resumable ? withoutContentLength(allHeaders) : allHeaders;
        this.answer.sendHead(send.status, headers, send.framing);
    }

    private receiveData(send: Send, chunk: Buffer): void {
        recordBytesReceived(this.context, send, this.context.clock());
        if (this.isFinished || send.ended) {
            return;
        }
        this.context.outgoing.recordBytes(chunk.length);
        if (!send.isStreaming) {
            this.buffer(send, chunk);
            return;
        }
        if (send.verdict?.kind !== "stream") {
            this.answer.write(chunk, send.controller);
            return;
        }
        const completeEvents = this.splitter.push(chunk);
        if (this.splitter.hasGap) {
            this.rejectAnswer(send, "it does not continue the stream after its last event");
            return;
        }
        this.answer.write(this.admitted.route.resumable ? completeEvents : chunk, send.controller);
        if (this.splitter.isEndless) {
            this.rejectAnswer(send, "its event, its comments or its number of events exceed the maximum");
        }
    }

    // While a response is buffered, the request can still be retried at another endpoint.
    private buffer(send: Send, chunk: Buffer): void {
        const result = bufferResponse(this.context.memory, this.admitted.charge, send, chunk);
        if (result === "too-long") {
            this.rejectAnswer(send, "it is a failure and exceeds the buffer limit");
        }
        else if (result === "pass-on") {
            this.startStreaming(send);
            this.answer.write(takeBuffered(this.admitted.charge, send), send.controller);
        }
    }

    private rejectAnswer(send: Send, reason: string): void {
        this.log.rejected(send, reason);
        this.mayHaveRun ||= send.fields?.notRun !== true;
        this.endSend(send, true);
        abortSend(send);
        this.handleFailure(send, "garbled");
    }

    private receiveEnd(send: Send): void {
        if (send.ended) {
            return;
        }
        const verdict = judgeSendEnd(send, this.splitter);
        if (verdict === "broken") {
            const unsent = send.socket?.writableLength ?? 0;
            this.receiveError(
                send,
                new Error(unsent > 0 ? `ended with ${unsent} bytes unsent` : "ended inside a stream"),
            );
            return;
        }
        send.end = send.framing;
        this.context.countResponse(send.end);
        const failed = send.status >= MIN_FAILURE_STATUS || send.verdict?.kind === "failure";
        this.endSend(send, failed, verdict === "complete");
        if (!failed) {
            recordServedResponse(this.context, this.query, send, send.end);
        }
        if (verdict === "complete" || failed || send.verdict?.kind === "not-run") {
            this.handleEndedResponse(send);
            return;
        }
        this.confirmEnd(send).catch((error: Error) => this.handleUnexpectedError(error, send));
    }

    // A crash ends the connection too, so the response counts as whole only if the endpoint still runs.
    private async confirmEnd(send: Send): Promise<void> {
        const { entry, announcedLeaving } = send.row;
        const isRunning = entry.leaving || announcedLeaving || await this.context.suspects.isRunning(entry);
        if (isRunning) {
            this.handleEndedResponse(send);
        }
        else if (!this.isFinished) {
            this.handleBrokenResponse(send, "endpoint does not accept connections");
        }
    }

    private handleEndedResponse(send: Send): void {
        if (this.isFinished) {
            return;
        }
        if (send.verdict?.kind === "not-run") {
            return this.handleFailure(send, "not-run");
        }
        this.mayHaveRun = true;
        if (send.verdict?.kind === "failure") {
            return this.handleFailure(send, "failed");
        }
        if (!send.isStreaming) {
            return this.forwardAnswer(send);
        }
        this.answer.write(this.admitted.route.resumable ? this.splitter.takeRemainder() : undefined, send.controller);
        if (!this.answer.canEnd(send.end!)) {
            this.abortAnswer("end-not-stated");
            return;
        }
        this.finish("answered", send);
        this.answer.end();
    }

    private forwardAnswer(send: Send): void {
        if (impliesNotRun(send.status) && !send.fields!.notRun) {
            // The endpoint does not state that the request did not run, so the router must not imply it.
            return this.refuse("may-have-run", undefined, this.log.figures(send));
        }
        const headers = withoutContentLength(this.context.dialect.responseHeaders(send.headers));
        this.finish("answered", send);
        this.answer.sendWhole(send.status, headers, send.body.take(), send.framing);
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
        void this.context.suspects.recordBrokenConnection(send.row.entry);
        this.handleBrokenResponse(send, code);
    }

    private handleBrokenResponse(send: Send, code: string): void {
        this.mayHaveRun = true;
        this.context.countResponse("broken");
        this.log.broken(send, code, this.context.clock());
        this.handleFailure(send, "broken");
    }

    // Nothing was sent yet, so the request can go to another endpoint immediately.
    private handleConnectTimeout(send: Send): void {
        if (!this.isFinished) {
            this.endSend(send, true);
            this.recordUnreachable(send, "no connection in time", this.context.clock());
        }
    }

    private recordUnreachable(send: Send, code: string, now: number): void {
        recordUnreachable(this.context, send.row, code, now);
        this.tried.add(send.row.entry.id);
        this.log.unreachable(send, code);
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
            resumable: route.resumable && this.splitter.isResumable,
            deadline: this.deadline,
        };
        const step = nextStep(route, state, failure, () => takeRetry(this.context, this.query.service, now), now);
        this.context.countFailedSend(step.kind, failure);
        this.log.failed(send, failure, step.kind);
        switch (step.kind) {
            case "retry":
                takeBuffered(this.admitted.charge, send);
                return this.dispatch();
            case "resume":
                this.splitter.breakOff();
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
    private refuseOrAbort(cause: RefusalCause, waitMs: number, figures: object = {}): void {
        if (this.answer.isHeadSent) {
            this.abortAnswer(cause);
            return;
        }
        this.refuse(this.mayHaveRun ? "may-have-run" : cause, this.mayHaveRun ? undefined : waitMs, figures);
    }

    // Time in ms after which an endpoint may accept the request.
    private waitMs(now: number): number {
        return returnDelayMs(this.context.endpoints, this.query, now) + retryAfterMs(this.context.random());
    }

    private handleDeadline(): void {
        this.giveUp("timed-out", "deadline-exceeded", this.send?.hasResponded === false);
    }

    // The caller gets a final answer immediately, by whether the request may have run.
    private giveUp(causeIfRun: RefusalCause, causeIfNotRun: RefusalCause, isFailure: boolean): void {
        if (this.isFinished) {
            return;
        }
        const { send } = this;
        const mayHaveRun = this.mayHaveRun || send?.requestStarted === true;
        if (send !== undefined && !send.ended) {
            this.endSend(send, isFailure);
            abortSend(send);
        }
        if (this.answer.isHeadSent) {
            this.abortAnswer(causeIfRun);
            return;
        }
        const waitMs = retryAfterMs(this.context.random());
        this.refuse(mayHaveRun ? causeIfRun : causeIfNotRun, mayHaveRun ? undefined : waitMs);
    }

    // The caller does not read its response, and others need the memory.
    private cutForMemory(): void {
        this.log.cut(this.send, this.isFinished);
        return this.isFinished ? this.answer.cut() : this.giveUp("may-have-run", "router-full", false);
    }

    private handleCallerDisconnect(): void {
        if (this.isFinished) {
            return;
        }
        if (this.send !== undefined && !this.send.ended) {
            this.abandon(this.send);
        }
        this.finish("caller-gone", this.send);
    }

    private abandon(send: Send): void {
        if (this.admitted.route.kind === "unsafe" && this.context.clock() < this.deadline) {
            // A request that must not be repeated keeps running at the endpoint until its deadline.
            setTimeout(() => send.ended || this.abandon(send), this.deadline - this.context.clock());
            return;
        }
        this.endSend(send, false);
        abortSend(send);
    }

    private endSend(send: Send, failed: boolean, answered = send.hasResponded): void {
        send.ended = true;
        recordSendEnd(this.context, this.query, send, failed, answered);
        this.admitted.charge.drop();
    }

    private refuse(cause: RefusalCause, retryAfterMs: number | undefined, figures: object = {}): void {
        this.context.countRefusal(cause);
        const fields = { ...this.log.figures(this.send), cause, retryAfterMs, ...figures };
        this.context.logs.requests.info("Refused.", fields);
        this.finish(cause, this.send);
        sendRefusal(this.admitted.response, cause, retryAfterMs);
    }

    // A caller must not mistake a partial response for a complete one.
    private abortAnswer(cause: string): void {
        this.context.countCutAnswer();
        this.log.aborted(this.send, cause);
        this.finish(cause, this.send);
        this.answer.abort();
    }

    private finish(outcome: string, send: Send | undefined): void {
        this.isFinished = true;
        clearTimeout(this.timer);
        const ran = this.mayHaveRun || (this.send?.requestStarted === true && this.send.fields?.notRun !== true);
        this.tokenClaim.settleEnd(ran, this.splitter.eventCount);
        const tookMs = Math.round(this.context.clock() - this.admitted.arrivedAt);
        this.context.observeRequestEnd(outcome, tookMs);
        this.log.ended(send, outcome, this.tokenClaim.billed, this.firstMs, tookMs);
    }
}
