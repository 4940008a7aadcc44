import type {
    EndpointState,
    HeadVerdict,
    ResponseEnd,
    ServiceDeclaration,
    TrackedSend,
} from "@gooseberrybend/core/dispatch";
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import type { AdmittedRequest } from "./admitted-request.js";
import { ByteBuffer } from "./byte-buffer.js";
import { observeConnection } from "./connection-use.js";
import type { EndpointFields } from "./dialect.js";
import type { GatewayContext } from "./gateway-context.js";
import type { UnsentFigures } from "./outgoing-sends.js";

/** Time in ms to wait for a connection before trying another endpoint; connecting usually takes a few ms. */
const CONNECT_TIMEOUT_MS = 200;
/** Delay in ms of a timer from which the router was held, so that it says little about the endpoint. */
const MAX_TIMER_DELAY_MS = 100;

/** One send to an endpoint, and its state so far. */
export type Send = {
    readonly row: EndpointState;
    readonly sentAt: number;
    /** Expected work before the first byte, in the units of the placement. */
    readonly expectedWork: number;
    controller: Dispatcher.DispatchController | undefined;
    /** True once bytes may have been sent. */
    requestStarted: boolean;
    /** Time in ms at which its first bytes may have been sent; undefined before. */
    startedAt: number | undefined;
    /** False only if the connection was opened for this request. */
    onReusedConnection: boolean;
    /** Connection that carries it; undefined before it has begun. */
    socket: Socket | undefined;
    /** End of its bytes among those that left the router; undefined before it has begun. */
    linkMark: number | undefined;
    hasResponded: boolean;
    /** Time in ms at which the response head arrived; undefined before. */
    respondedAt: number | undefined;
    ended: boolean;
    status: number;
    fields: EndpointFields | undefined;
    headers: string[];
    /** How the end of the response shows, by its head. */
    framing: ResponseEnd;
    /** What the response head proves; undefined before. */
    verdict: HeadVerdict | undefined;
    /** Body of a response that is buffered until complete. */
    readonly body: ByteBuffer;
    isStreaming: boolean;
    /** How the response ended; undefined before, and if it broke off. */
    end: ResponseEnd | undefined;
    /** Set once bytes may have been sent. */
    trackedSend: TrackedSend | undefined;
};

/** Creates a send that has not started. */
export function createSend(row: EndpointState, expectedWork: number, sentAt: number): Send {
    return {
        row,
        sentAt,
        expectedWork,
        controller: undefined,
        requestStarted: false,
        startedAt: undefined,
        onReusedConnection: true,
        socket: undefined,
        linkMark: undefined,
        hasResponded: false,
        respondedAt: undefined,
        ended: false,
        status: 0,
        fields: undefined,
        headers: [],
        framing: "connection-closed",
        verdict: undefined,
        body: new ByteBuffer(),
        isStreaming: false,
        end: undefined,
        trackedSend: undefined,
    };
}

/**
 * Calls back if a send has no connection in time, unless it has ended. A router that was held looks at connections that
 * were made meanwhile first, and waits for others once more: hundreds of requests that gave up connections which had
 * been made opened new ones elsewhere and kept an overloaded router busy for seconds.
 */
export function watchConnecting(send: Send, clock: () => number, onTimeout: () => void): void {
    const wait = (mayRepeat: boolean): void => {
        const dueAt = clock() + CONNECT_TIMEOUT_MS;
        setTimeout(() => {
            const isHeld = clock() - dueAt > MAX_TIMER_DELAY_MS;
            // Events of connections come after timers in a turn of the event loop, and before immediates.
            setImmediate(() => {
                if (send.requestStarted || send.ended) {
                    return;
                }
                return isHeld && mayRepeat ? wait(false) : onTimeout();
            });
        }, CONNECT_TIMEOUT_MS);
    };
    wait(true);
}

/** Ends a send before its response is complete. */
export function abortSend(send: Send): void {
    if (!send.hasResponded) {
        // A close would still deliver the request's bytes in the send buffer, however late; a reset drops them.
        send.socket?.resetAndDestroy();
    }
    send.controller?.abort(new Error("request ended or is no longer needed at this endpoint"));
}

/** Why a send could not begin. Nothing was sent. */
export type DispatchFault = {
    /** The endpoint's address can't be connected to, or the request is not valid HTTP. */
    readonly cause: "unreachable" | "bad-request";
    readonly detail: string;
};

/** Queues a send for a connection to its endpoint. Returns a fault if it can't be queued. */
export function dispatchSend(
    context: GatewayContext,
    service: ServiceDeclaration,
    send: Send,
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
): DispatchFault | undefined {
    let connections: Dispatcher;
    try {
        connections = context.connectionsOf(send.row.entry, service);
    }
    catch (error) {
        return { cause: "unreachable", detail: (error as Error).message };
    }
    try {
        // The HTTP client validates header names and values before it sends anything.
        connections.dispatch(options, handler);
        return undefined;
    }
    catch (error) {
        return { cause: "bad-request", detail: (error as Error).message };
    }
}

/** Records that a request is about to be written. `onUnsent` is called if it must not reach the endpoint any more. */
export function recordStart(
    context: GatewayContext,
    { body, features }: AdmittedRequest,
    send: Send,
    onUnsent: (figures: UnsentFigures) => void,
): void {
    send.requestStarted = true;
    send.startedAt = context.clock();
    observeConnection(({ isReused, socket }) => {
        send.onReusedConnection = isReused;
        send.socket = socket;
    });
    send.trackedSend = context.suspects.track(send.row.entry, features);
    context.outgoing.begin(send, body.length, onUnsent);
}
