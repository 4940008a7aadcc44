import type { RouteKind } from "./types.js";

/** Head of a response. */
export type ResponseHead = {
    readonly status: number;
    /** Id of the request that the response names. */
    readonly requestId: string | undefined;
    /** True if it states that the endpoint ran the request. */
    readonly sealed: boolean;
    /** True if it states that the endpoint did not run the request. */
    readonly notRun: boolean;
    /** True if the body is declared as a stream of events. */
    readonly isEventStream: boolean;
};

/** What is known when the head of a response arrives. */
export type ResponseSituation = {
    readonly requestId: string | undefined;
    readonly kind: RouteKind;
    /** Status that the caller has already received with the beginning of a stream. */
    readonly begunStatus: number | undefined;
    /** True unless the connection was opened for this request; a repeated earlier response may then be in its place. */
    readonly onReusedConnection: boolean;
};

/** What the head of a response proves, and how its body is to be handled. */
export type HeadVerdict =
    /** A stream to forward as it arrives. */
    | { readonly kind: "stream"; }
    /** A response to forward once it is complete. */
    | { readonly kind: "whole"; }
    /** The endpoint did not run the request. */
    | { readonly kind: "not-run"; }
    /** The request failed at this endpoint; it may have run. */
    | { readonly kind: "failure"; }
    /** Proves nothing about the request, whatever it states. */
    | { readonly kind: "foreign"; readonly reason: string; };

/** Statuses that imply that a request did not run; believed only if the endpoint states so explicitly. */
const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503]);
const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECTION_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;
/** First status after those that HTTP defines. */
const FIRST_INVALID_STATUS = 600;

/** Returns whether a status is that of a success. */
export function isSuccess(status: number): boolean {
    return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECTION_STATUS;
}

/** Returns whether a status implies that the request did not run. */
export function impliesNotRun(status: number): boolean {
    return NOT_EXECUTED_STATUSES.has(status);
}

/** Decides what the head of a response proves about the request. */
export function judgeHead(head: ResponseHead, situation: ResponseSituation): HeadVerdict {
    const { status } = head;
    const succeeded = isSuccess(status);
    if (!(status >= MIN_SUCCESS_STATUS && status < FIRST_INVALID_STATUS)) {
        return { kind: "foreign", reason: "its status is not that of a final response" };
    }
    if (head.requestId === undefined ? situation.onReusedConnection : head.requestId !== situation.requestId) {
        return { kind: "foreign", reason: "it does not name this request" };
    }
    if (head.sealed && head.requestId === undefined) {
        return { kind: "foreign", reason: "it names no request although it has run one" };
    }
    if (succeeded && !head.sealed) {
        return { kind: "foreign", reason: "it does not come from an endpoint" };
    }
    if (head.notRun) {
        return { kind: "not-run" };
    }
    if (status >= MIN_SERVER_ERROR_STATUS || impliesNotRun(status)) {
        return { kind: "failure" };
    }
    if (situation.begunStatus !== undefined) {
        const isContinuation = succeeded && status === situation.begunStatus && head.isEventStream;
        return { kind: isContinuation ? "stream" : "failure" };
    }
    return { kind: situation.kind === "stream" && succeeded && head.isEventStream ? "stream" : "whole" };
}

/** How the end of a response shows: by itself, or by the end of its connection, which a crash ends as well. */
export type ResponseEnd = "complete" | "connection-closed";

/** A response body that has ended without an error of its connection. */
export type EndedBody = {
    readonly end: ResponseEnd;
    /** True if the last event is incomplete. */
    readonly hasPartialEvent: boolean;
    /** True if it was to continue a stream, and brought no event of it. */
    readonly isEmptyContinuation: boolean;
    /** True if part of the request had not left this router, so that the endpoint can't have read it. */
    readonly isRequestPartial: boolean;
};

/** Whether a response is whole; `unconfirmed` if only the end of its connection says so. */
export type EndVerdict = "complete" | "unconfirmed" | "broken";

/**
 * Decides whether a response that has ended is whole. An endpoint that ends a connection before it has read the request
 * has given it up, so that end is none of the response.
 */
export function judgeEnd({ end, hasPartialEvent, isEmptyContinuation, isRequestPartial }: EndedBody): EndVerdict {
    if (hasPartialEvent || isEmptyContinuation) {
        return "broken";
    }
    if (end === "complete") {
        return "complete";
    }
    return isRequestPartial ? "broken" : "unconfirmed";
}

/** Place in a stream of events up to which a caller has received it. */
export type StreamPosition = {
    /** Id of the last event; undefined if it had none, or before the first. */
    readonly lastId: string | undefined;
    /** How the ids have increased so far: each by 1, or otherwise; undefined before the second. */
    readonly step: "by-one" | "other" | undefined;
};

/** Position before the first event. */
export const STREAM_START: StreamPosition = { lastId: undefined, step: undefined };

/** Returns the position after an event with this id. */
export function advance({ lastId, step }: StreamPosition, id: string | undefined): StreamPosition {
    if (lastId === undefined) {
        return { lastId: id, step };
    }
    const isNext = step !== "other" && Number(id) === Number(lastId) + 1;
    return { lastId: id, step: isNext ? "by-one" : "other" };
}

/** Returns whether an event with this id continues a stream, so that none of its events is missing or repeated. */
export function continuesStream({ lastId, step }: StreamPosition, id: string | undefined): boolean {
    if (lastId === undefined) {
        return true;
    }
    if (id === undefined) {
        return false;
    }
    const [before, after] = [Number(lastId), Number(id)];
    if (Number.isNaN(before) || Number.isNaN(after)) {
        return id !== lastId;
    }
    return step === "by-one" ? after === before + 1 : after > before;
}
