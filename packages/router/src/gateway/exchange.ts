import type { EndpointId } from "@gooseberrybend/core";
import {
    type AttemptState,
    chooseEndpoint,
    endpointFigures,
    type EndpointState,
    nextStep,
    noteConnectFailure,
    noteFirstByte,
    noteFirstSend,
    noteOutcome,
    noteSend,
    type PlacementQuery,
    quietMs,
    type SendFailure,
    takeRepeat,
} from "@gooseberrybend/core/dispatch";
import type { Dispatcher } from "undici";
import type { AdmittedRequest } from "./admitted-request.js";
import { noteAnswerHead, noteBytes } from "./answer-head.js";
import { CallerAnswer } from "./caller-answer.js";
import { REFUSED_CODE } from "./connection-check.js";
import { createSend, type Send } from "./endpoint-send.js";
import { EventGate } from "./event-gate.js";
import type { GatewayContext } from "./gateway-context.js";
import { withoutLength } from "./raw-headers.js";
import { POISON_RETRY_AFTER_MS, type RefusalCause, retryAfterMs, sendRefusal } from "./refusal.js";
import { sendOptions } from "./send-options.js";
import { TokenClaim } from "./token-claim.js";

/** Statuses of endpoints that promise that a request has not run; passed on only if they say so themselves. */
const promisingStatuses = new Set([408, 421, 429, 503]);
const FAILURE_STATUS = 500;
/** Bytes of an answer that are held until it is whole; answers of plain services take a few KB. */
const MOST_HELD_BYTES = 256 * 1024;
/** Time in ms after which a request that waits for a connection goes elsewhere; connecting takes a few ms. */
const CONNECT_MS = 200;

/** Carries one request from its caller to an endpoint and the answer back. */
export class Exchange {
    private readonly deadline: number;
    private readonly tried = new Set<EndpointId>();
    private readonly gate = new EventGate();
    private readonly query: PlacementQuery;
    private sends = 0;
    private mayHaveRun = false;
    private readonly answer: CallerAnswer;
    private done = false;
    private readonly claim: TokenClaim;
    private send: Send | undefined;
    private timer: NodeJS.Timeout | undefined;
    private firstMs: number | undefined;

    constructor(private readonly context: GatewayContext, private readonly admitted: AdmittedRequest) {
        const { route, fields, arrivedAt, service } = admitted;
        this.deadline = arrivedAt + Math.min(fields.patienceMs ?? Infinity, route.timeoutMs);
        this.claim = new TokenClaim(context, admitted);
        this.answer = new CallerAnswer(admitted.response);
        this.query = {
            service: service.name,
            engine: service.engine,
            parts: fields.parts,
            promptTokens: fields.tokens?.prompt ?? 0,
            domain: context.domain,
            tried: this.tried,
            cacheMs: context.settings().bounds.promptCacheMs,
        };
    }

    /** Serves the request. */
    async run(): Promise<void> {
        const { response } = this.admitted;
        response.on("close", () => this.callerGone());
        this.timer = setTimeout(() => this.timeOut(), Math.max(0, this.deadline - this.context.clock()));
        if (await this.reserve()) {
            const { retryWindowMs } = this.context.settings().bounds;
            noteFirstSend(this.context.retries, this.query.service, retryWindowMs, this.context.clock());
            this.dispatch();
        }
    }

    private async reserve(): Promise<boolean> {
        const reservation = await this.claim.reserve(this.admitted.route.targetMs);
        if (this.done) {
            this.claim.settle(0);
            return false;
        }
        switch (reservation) {
            case "reserved":
                return true;
            case "exhausted":
                this.refuse("budget-exhausted", undefined, this.claim.figures());
                return false;
            case "short":
                this.refuse("budget-unavailable", this.claim.retryAfterMs(), this.claim.figures());
                return false;
        }
    }

    private dispatch(): void {
        const now = this.context.clock();
        if (now >= this.deadline) {
            // The caller has left, though a busy router may not have read that yet.
            return this.timeOut();
        }
        if (this.context.suspects.isPoison(this.admitted.bodyDigest)) {
            return this.endWithout("poison-request", POISON_RETRY_AFTER_MS);
        }
        const placement = chooseEndpoint(this.context.endpoints, this.query, this.context.chance, now);
        if (placement === undefined) {
            return this.endWithout("no-endpoint", this.waitMs(now));
        }
        const { row, units } = placement;
        const send = createSend(row, units, now);
        const options = sendOptions(this.context, this.admitted, row, this.deadline - now, this.gate.lastId);
        this.send = send;
        this.logPlacement(row, now);
        setTimeout(() => this.giveUpConnecting(send), CONNECT_MS);
        noteSend(row, this.query, now);
        try {
            this.context.connectionsOf(row.entry, this.admitted.service)
                .dispatch(options, this.handlerOf(send));
        }
        catch (error) {
            // The HTTP client checks names and values before it sends anything.
            this.endSend(send, false);
            this.refuse("bad-request", undefined, { detail: (error as Error).message });
        }
    }

    private handlerOf(send: Send): Dispatcher.DispatchHandler {
        return {
            onRequestStart: (controller) => {
                send.controller = controller;
                if (send.ended || this.done) {
                    this.abort(send);
                    return;
                }
                send.started = true;
                send.tracked = this.context.suspects.track(send.row.entry, this.admitted.bodyDigest);
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
        noteAnswerHead(this.context, this.query, send, now);
        this.firstMs ??= Math.round(now - this.admitted.arrivedAt);
        const isSuccess = status >= 200 && status < 300;
        if (this.isForeign(send) || (isSuccess && !send.fields.sealed)) {
            // It tells nothing of this request, also if it says that it has not run.
            this.mayHaveRun = true;
            this.rejectAnswer(send, "Answer of another request, or of no endpoint.");
            return;
        }
        if (this.admitted.route.kind === "stream" && isSuccess) {
            this.startRelay(send);
        }
    }

    private isForeign(send: Send): boolean {
        const echoed = send.fields!.requestId;
        const { requestId } = this.admitted.fields;
        return echoed !== undefined ? echoed !== requestId : send.fields!.sealed;
    }

    private startRelay(send: Send): void {
        send.relaying = true;
        this.mayHaveRun = true;
        if (this.answer.isBegun) {
            return;
        }
        this.context.observeFirst(this.admitted, this.context.clock());
        const headers = this.context.dialect.answerHeaders(send.headers);
        this.answer.begin(send.status, this.admitted.route.resumable ? withoutLength(headers) : headers);
    }

    private receiveData(send: Send, chunk: Buffer): void {
        noteBytes(this.context, send, this.context.clock());
        if (this.done || send.ended) {
            return;
        }
        if (!send.relaying) {
            this.hold(send, chunk);
            return;
        }
        if (this.admitted.route.kind !== "stream") {
            this.answer.write(chunk, send.controller);
            return;
        }
        const whole = this.gate.take(chunk);
        this.answer.write(this.admitted.route.resumable ? whole : chunk, send.controller);
        if (this.gate.isEndless) {
            this.rejectAnswer(send, "Event without end.");
        }
    }

    // An answer that is held can still be had from another endpoint.
    private hold(send: Send, chunk: Buffer): void {
        send.chunks.push(chunk);
        send.heldBytes += chunk.length;
        if (send.heldBytes <= MOST_HELD_BYTES) {
            return;
        }
        const { sealed, notRun } = send.fields!;
        if (!sealed || notRun || send.status >= FAILURE_STATUS || promisingStatuses.has(send.status)) {
            this.rejectAnswer(send, "Failure without end.");
            return;
        }
        this.startRelay(send);
        send.chunks.splice(0).forEach((held) => this.answer.write(held, send.controller));
    }

    private rejectAnswer(send: Send, reason: string): void {
        this.context.logs.requests.warn(reason, this.figures(send));
        this.mayHaveRun ||= send.fields?.notRun !== true;
        this.endSend(send, true);
        this.abort(send);
        this.afterFailure(send, "garbled");
    }

    private receiveEnd(send: Send): void {
        if (send.ended) {
            return;
        }
        const failed = send.status >= FAILURE_STATUS;
        this.endSend(send, failed);
        if (this.done) {
            return;
        }
        if (send.fields!.sealed && !send.fields!.notRun && !failed) {
            this.context.suspects.noteServed(send.row.entry, this.admitted.bodyDigest, send.status);
        }
        if (send.relaying) {
            this.answer.write(this.admitted.route.resumable ? this.gate.rest() : undefined, undefined);
            this.finish("answered", send);
            this.answer.end();
            return;
        }
        if (send.fields!.notRun) {
            this.afterFailure(send, "not-run");
            return;
        }
        this.mayHaveRun = true;
        if (failed) {
            this.afterFailure(send, "failed");
            return;
        }
        this.passOn(send);
    }

    private passOn(send: Send): void {
        if (promisingStatuses.has(send.status) && !send.fields!.notRun) {
            // The endpoint does not say that it did not run the request, so neither may the router.
            return this.refuse("may-have-run", undefined, this.figures(send));
        }
        const headers = withoutLength(this.context.dialect.answerHeaders(send.headers));
        this.finish("answered", send);
        this.answer.sendWhole(this.admitted.request.method, send.status, headers, Buffer.concat(send.chunks));
    }

    private receiveError(send: Send, error: Error): void {
        if (send.ended) {
            return;
        }
        const now = this.context.clock();
        this.endSend(send, true, false);
        if (this.done) {
            return;
        }
        const code = (error as { code?: string; }).code ?? error.message;
        if (!send.started) {
            this.noteUnreached(send, code, now);
            return;
        }
        this.mayHaveRun = true;
        void this.context.suspects.noteBroken(send.row.entry);
        this.context.logs.endpoints.warn("Connection broke.", {
            ...this.figures(send),
            request: this.admitted.bodyDigest,
            code,
            heard: send.heard,
        });
        this.afterFailure(send, "broken");
    }

    // Nothing was sent yet, so another endpoint can have the request at once.
    private giveUpConnecting(send: Send): void {
        if (!send.started && !send.ended && !this.done) {
            this.endSend(send, true);
            this.noteUnreached(send, "no connection in time", this.context.clock());
        }
    }

    private noteUnreached(send: Send, code: string, now: number): void {
        noteConnectFailure(send.row, now);
        if (code === REFUSED_CODE) {
            this.context.suspects.noteUnreachable(send.row.entry, now);
        }
        this.tried.add(send.row.entry.id);
        this.context.logs.endpoints.warn("Not reached.", { ...this.figures(send), code });
        this.afterFailure(send, "unreachable");
    }

    private afterFailure(send: Send, failure: SendFailure): void {
        if (this.done) {
            return;
        }
        const now = this.context.clock();
        const { route } = this.admitted;
        const state: AttemptState = {
            sends: this.sends,
            mayHaveRun: this.mayHaveRun,
            answering: this.answer.isBegun,
            resumable: route.resumable && (this.gate.lastId !== undefined || this.gate.events === 0),
            deadline: this.deadline,
        };
        const step = nextStep(route, state, failure, () => this.takeRepeat(now), now);
        this.context.countRetry(step.kind, failure);
        this.context.logs.requests.info("Send failed.", { ...this.figures(send), failure, next: step.kind });
        switch (step.kind) {
            case "retry":
                return this.dispatch();
            case "resume":
                this.gate.dropPartial();
                return this.dispatch();
            case "refuse":
                return this.refuse(failure === "unreachable" ? "no-endpoint" : "endpoint-full", this.waitMs(now));
            case "fail":
                return this.refuse("may-have-run", undefined);
            case "pass-on":
                return this.passOn(send);
            case "cut":
                return this.cut("broken");
        }
    }

    private takeRepeat(now: number): boolean {
        const { retryRatio, retrySlack, retryWindowMs } = this.context.settings().bounds;
        const bounds = { ratio: retryRatio, slack: retrySlack, windowMs: retryWindowMs };
        return takeRepeat(this.context.retries, this.query.service, bounds, this.context.partOfFleet(), now);
    }

    // There is no endpoint to send to.
    private endWithout(cause: RefusalCause, waitMs: number): void {
        if (this.answer.isBegun) {
            this.cut(cause);
            return;
        }
        this.refuse(this.mayHaveRun ? "may-have-run" : cause, this.mayHaveRun ? undefined : waitMs);
    }

    // Time in ms after which an endpoint may take the request.
    private waitMs(now: number): number {
        return quietMs(this.context.endpoints, this.query.service, now) + retryAfterMs(this.context.chance());
    }

    private timeOut(): void {
        if (this.done) {
            return;
        }
        const send = this.send;
        const begun = this.mayHaveRun || send?.started === true;
        if (send !== undefined && !send.ended) {
            this.endSend(send, !send.heard);
            this.abort(send);
        }
        if (this.answer.isBegun) {
            this.cut("timed-out");
            return;
        }
        this.refuse(begun ? "timed-out" : "deadline-exceeded", begun ? undefined : retryAfterMs(this.context.chance()));
    }

    private callerGone(): void {
        if (this.done) {
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
            // What may not be repeated goes on at the endpoint for as long as it would with its caller.
            setTimeout(() => send.ended || this.abandon(send), this.deadline - this.context.clock());
            return;
        }
        this.endSend(send, false);
        this.abort(send);
    }

    private abort(send: Send): void {
        send.controller?.abort(new Error("no longer wanted"));
    }

    private endSend(send: Send, failed: boolean, answered = send.heard): void {
        send.ended = true;
        this.context.suspects.noteSendEnd(send.tracked, answered, this.context.clock());
        send.row.open--;
        if (!send.heard) {
            noteFirstByte(send.row, this.query);
        }
        if (send.row.open === 0) {
            send.row.unansweredSince = undefined;
        }
        noteOutcome(send.row, failed, this.context.clock());
    }

    private refuse(cause: RefusalCause, retryAfterMs: number | undefined, figures: object = {}): void {
        this.context.countRefusal(cause);
        this.context.logs.requests.info("Refused.", { ...this.figures(this.send), cause, retryAfterMs, ...figures });
        this.finish(cause, this.send);
        sendRefusal(this.admitted.response, cause, retryAfterMs);
    }

    // A caller must not take a part of an answer for the whole.
    private cut(cause: string): void {
        this.context.countCut();
        this.context.logs.requests.warn("Cut off.", { ...this.figures(this.send), cause, events: this.gate.events });
        this.finish(cause, this.send);
        this.answer.cut();
    }

    private finish(outcome: string, send: Send | undefined): void {
        this.done = true;
        clearTimeout(this.timer);
        this.settleByDelivery();
        const tookMs = Math.round(this.context.clock() - this.admitted.arrivedAt);
        this.context.observeEnd(outcome, tookMs);
        this.context.logs.requests.info("Ended.", {
            ...this.figures(send),
            outcome,
            status: send?.status,
            firstMs: this.firstMs,
            targetMs: this.admitted.route.targetMs,
            timeoutMs: this.admitted.route.timeoutMs,
            patienceMs: this.admitted.fields.patienceMs,
            tookMs,
        });
    }

    private settleByDelivery(): void {
        const ran = this.mayHaveRun || (this.send?.started === true && this.send.fields?.notRun !== true);
        if (ran) {
            this.claim.settleEvents(this.gate.events);
        }
        else {
            this.claim.settle(0);
        }
    }

    private logPlacement(row: EndpointState, now: number): void {
        this.context.logs.requests.info("Placed.", {
            id: this.admitted.fields.requestId,
            route: this.admitted.route.name,
            account: this.admitted.account?.id,
            attempt: this.sends + 1,
            configuration: this.context.configurationVersion(),
            ...this.context.suspects.figures(this.admitted.bodyDigest),
            ...endpointFigures(row, now),
        });
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
