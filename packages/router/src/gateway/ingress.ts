import { type AccountId, brand } from "@gooseberrybend/core";
import {
    acceptsWhileDraining,
    type AccountDeclaration,
    allowedRegionsOf,
    type ConnectionLimits,
    digestRequest,
    type Drain,
    findRoute,
    hasEndpointInRegions,
    pickService,
    REQUEST_BYTES,
    type Route,
    type RoutingTable,
    type ServiceDeclaration,
    sharedParts,
    shedChance,
    SMALL_BODY_BYTES,
    STALL_MS,
} from "@gooseberrybend/core/dispatch";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ArrivalMonitor } from "./arrival-monitor.js";
import { BlockBuffer } from "./block-buffer.js";
import { ByteBuffer } from "./byte-buffer.js";
import { ConnectionLimit } from "./connection-limit.js";
import type { CallerFields } from "./dialect.js";
import { Exchange } from "./exchange.js";
import type { GatewayContext } from "./gateway-context.js";
import { regionTableOf } from "./gateway-settings.js";
import type { LoadMonitor } from "./load-monitor.js";
import { afterNextRead } from "./next-read.js";
import { moveRetryMs, type RefusalCause, retryAfterMs, sendRefusal, writeRefusal } from "./refusal.js";
import { discardBody, isShortRest } from "./refused-body.js";
import type { RequestCharge } from "./request-memory.js";
import type { ReserveMonitor } from "./reserve-monitor.js";

/** Interval in ms of checking for connections that are too slow. */
const CONNECTION_CHECK_INTERVAL_MS = 250;
/** Limits before the first configuration. */
const INITIAL_MAX_HEADER_BYTES = 16 * 1024;
const INITIAL_HEADER_TIMEOUT_MS = 3_000;
const INITIAL_IDLE_TIMEOUT_MS = 15_000;
/** Retry delay in ms for callers of a router that lacks a configuration or an endpoint. */
const STARTING_RETRY_AFTER_MS = 400;
/** Retry delay in ms while memory or connections are used up; until then, stalled bodies can be ended. */
const FULL_RETRY_AFTER_MS = STALL_MS;
/** Bytes of a large body of unknown length that are charged at once. */
const CHARGE_STEP_BYTES = 256 * 1_024;
/** Pieces of one body after which other events have their turn: one read of a socket may hold 10,000. */
const MAX_PIECES_WITHOUT_PAUSE = 4_096;
/**
 * Time in ms for which a request may have lain unread without another look whether its caller is still there. The look
 * takes a turn of the event loop.
 */
const MAX_UNNOTICED_MS = 50;
/** Account of requests that have none. */
const NO_ACCOUNT = brand<AccountId>("");

/** Error of the HTTP server's parser on a connection. */
type ParserError = NodeJS.ErrnoException & { readonly bytesParsed?: number; };

/** Answers to requests that the HTTP server can't read, by error code, and to all others. */
const parserErrorStatus: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const UNREADABLE_REQUEST = "400 Bad Request";
const RESET_BY_CALLER = "ECONNRESET";

/** Body of a request that arrives. */
type BodyBuffer = BlockBuffer | ByteBuffer;

/** A request whose head has arrived. */
type Arrival = {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly charge: RequestCharge;
    readonly arrivedAt: number;
    /** Length of its body; undefined if the head does not state it. */
    readonly length: number | undefined;
    /** Whether the caller sends the body only once it is told to. */
    readonly expectsContinue: boolean;
};

/** What the head of a request is allowed by. */
type Admission = {
    readonly table: RoutingTable;
    readonly route: Route;
    readonly account: AccountDeclaration | undefined;
};

/** Why a request is refused before it runs. */
type HeadRefusal = { readonly cause: RefusalCause; readonly waitMs?: number; readonly logFields?: object; };

/** What the ingress needs of its gateway. */
export type IngressHost = {
    readonly connectionLimits: ConnectionLimits;
    readonly context: GatewayContext;
    readonly table: RoutingTable | undefined;
    readonly drain: Drain | undefined;
    readonly reserve: Pick<ReserveMonitor, "movesCallers" | "recordRequest">;
    readonly load: Pick<LoadMonitor, "shedShare" | "unreadMs" | "maxUnreadMs">;
    readonly arrivals: Pick<ArrivalMonitor, "recordConnection" | "recordRequest" | "recordCallerGone">;
};

/** HTTP server for callers. Its limits follow the configuration. */
export class Ingress {
    readonly server: Server;
    /** Number of requests whose response is not complete. */
    openRequests = 0;
    private readonly exchanges = new Set<Exchange>();
    /** Connections with a request that has arrived in full and has no complete response. */
    private readonly respondingSockets = new Set<Socket>();
    /** Requests that have not arrived in full, with their responses. */
    private readonly arriving = new Map<IncomingMessage, ServerResponse>();
    private readonly connections: ConnectionLimit;

    constructor(private readonly gateway: IngressHost) {
        this.server = createServer({
            connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
            headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
            requestTimeout: 0,
            keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
            maxHeaderSize: INITIAL_MAX_HEADER_BYTES,
            noDelay: true,
            highWaterMark: 64 * 1024,
        }, (request, response) => this.receive(request, response));
        this.server.on(
            "checkContinue",
            (request: IncomingMessage, response: ServerResponse) => this.receive(request, response, true),
        );
        this.connections = new ConnectionLimit(
            this.server,
            gateway.connectionLimits.callers,
            (event) => this.gateway.context.recordConnectionEvent(event, "callers"),
            () => this.gateway.context.memory.endStalled() !== undefined,
        );
        this.server.on("connection", () => this.gateway.arrivals.recordConnection());
        this.server.on("clientError", (error: ParserError, socket: Socket) => this.rejectConnection(error, socket));
    }

    // The HTTP server can't read the request, so it has not run.
    private rejectConnection({ code = "", message, bytesParsed }: ParserError, socket: Socket): void {
        const status = parserErrorStatus[code] ?? UNREADABLE_REQUEST;
        this.gateway.context.logs.requests.info("Connection rejected by the HTTP server.", {
            code,
            detail: message,
            bytesParsed,
            bytesRead: socket.bytesRead,
            remotePort: socket.remotePort,
            status: code === RESET_BY_CALLER ? undefined : status,
        });
        // An answer amid an open response would be taken for a part of it.
        if (socket.writable && code !== RESET_BY_CALLER && !this.respondingSockets.has(socket)) {
            socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
        }
        socket.destroySoon();
    }

    /** Applies limits to new connections and requests. */
    setLimits(limits: { headerBytes: number; headerTimeoutMs: number; idleTimeoutMs: number; }): void {
        const server = this.server as Server & { maxHeaderSize: number; };
        server.maxHeaderSize = limits.headerBytes;
        server.headersTimeout = limits.headerTimeoutMs;
        server.keepAliveTimeout = limits.idleTimeoutMs;
    }

    private receive(request: IncomingMessage, response: ServerResponse, expectsContinue = false): void {
        const { context } = this.gateway;
        const now = context.clock();
        const unreadMs = this.gateway.load.unreadMs(now);
        context.observeUnread(unreadMs);
        this.openRequests++;
        this.gateway.reserve.recordRequest();
        this.gateway.arrivals.recordRequest(request.socket);
        this.arriving.set(request, response);
        const { socket } = request;
        const charge = context.memory.open();
        response.once("close", () => {
            this.openRequests--;
            if (!response.writableFinished) {
                this.gateway.arrivals.recordCallerGone(context.clock() - now);
            }
            this.respondingSockets.delete(socket);
            this.arriving.delete(request);
            charge.drop();
        });
        response.on("error", () => undefined);
        request.on("error", () => undefined);
        if (this.gateway.drain !== undefined || this.gateway.reserve.movesCallers) {
            response.shouldKeepAlive = false;
        }
        const arrival: Arrival = {
            request,
            response,
            charge,
            arrivedAt: now - unreadMs,
            length: announcedLength(request),
            expectsContinue,
        };
        const fields = context.dialect.readCaller(request.rawHeaders);
        const judgement = this.judge(request, fields, arrival.length);
        const refusal = "cause" in judgement ? judgement : this.overload(judgement) ?? this.reserve(arrival);
        if (refusal !== undefined) {
            this.refuseArriving(arrival, fields, refusal, 0);
            return;
        }
        if (expectsContinue) {
            response.writeContinue();
        }
        this.readBody(arrival, fields, judgement as Admission);
    }

    private readBody(arrival: Arrival, fields: CallerFields, admission: Admission): void {
        const { request, charge, length } = arrival;
        const { bodyBytes } = admission.table.configuration.limits;
        const body = length === undefined ? new BlockBuffer() : new ByteBuffer(length);
        // Bytes that are charged; those of a body of unknown length are charged as they arrive.
        let reserved = length ?? 0;
        charge.onEnd = () => this.endBody(arrival, fields, body);
        let piecesSincePause = 0;
        request.on("data", (piece: Buffer) => {
            piecesSincePause++;
            if (piecesSincePause === MAX_PIECES_WITHOUT_PAUSE) {
                pauseBody(request, () => piecesSincePause = 0);
            }
            const received = body.length + piece.length;
            if (received > bodyBytes) {
                body.clear();
                this.refuseArriving(arrival, fields, { cause: "too-large" }, received);
                return;
            }
            if (received > reserved) {
                const missing = received - reserved;
                const step = received > SMALL_BODY_BYTES ? Math.max(missing, CHARGE_STEP_BYTES) : missing;
                if (!charge.reserve(step, received > SMALL_BODY_BYTES)) {
                    body.clear();
                    this.refuseArriving(arrival, fields, this.full("body-ended"), received);
                    return;
                }
                reserved += step;
            }
            charge.recordProgress(piece.length);
            this.gateway.context.memory.recordReceived(piece.length);
            body.add(piece);
        });
        request.on("end", () => {
            // A body that was refused is no longer among the arriving ones.
            if (this.arriving.has(request)) {
                this.respondingSockets.add(request.socket);
                charge.startRunning();
                const admit = (): void => this.admitIfPresent(arrival, fields, admission, body);
                if (this.gateway.load.maxUnreadMs(this.gateway.context.clock()) > MAX_UNNOTICED_MS) {
                    afterNextRead(admit);
                }
                else {
                    admit();
                }
            }
        });
    }

    // The close of a caller that left long before its request was read lies behind it and has been read by now.
    private admitIfPresent(arrival: Arrival, fields: CallerFields, admission: Admission, body: BodyBuffer): void {
        const { request, arrivedAt } = arrival;
        if (!this.arriving.delete(request)) {
            return;
        }
        if (request.socket.readableEnded) {
            const { clock, logs } = this.gateway.context;
            const tookMs = Math.round(clock() - arrivedAt);
            logs.requests.info("Request dropped, as its caller has left.", { id: fields.requestId, tookMs });
            return;
        }
        this.admit(arrival, fields, admission, body.take());
    }

    // Others need the room of a body that makes no progress.
    private endBody(arrival: Arrival, fields: CallerFields, body: BodyBuffer): void {
        const received = body.length;
        body.clear();
        this.refuseArriving(arrival, fields, this.full("body-ended"), received);
    }

    // Charges a request whose body may be read. Its charge is released with the refusal that is returned otherwise.
    private reserve({ charge, length = 0 }: Arrival): HeadRefusal | undefined {
        const { memory } = this.gateway.context;
        const isFull = (): boolean => this.arriving.size + this.exchanges.size > this.gateway.connectionLimits.requests;
        const hasRoom = !isFull() || (memory.endStalled() !== undefined && !isFull());
        return hasRoom && charge.reserve(REQUEST_BYTES + length, length > SMALL_BODY_BYTES)
            ? undefined
            : this.full("body-refused", { length });
    }

    private full(event: "body-refused" | "body-ended", logFields: object = {}): HeadRefusal {
        const { memory, random, countResourceEvent } = this.gateway.context;
        countResourceEvent(event);
        const waitMs = FULL_RETRY_AFTER_MS + retryAfterMs(random());
        const requests = this.arriving.size + this.exchanges.size;
        return { cause: "router-full", waitMs, logFields: { event, requests, ...memory.figures, ...logFields } };
    }

    /** Ends all open requests because the router stops; their callers' connections end soon after. */
    stopRequests(): void {
        for (const [request, response] of this.arriving) {
            this.arriving.delete(request);
            if (!response.headersSent) {
                const { dialect, random } = this.gateway.context;
                response.shouldKeepAlive = false;
                this.refuse(dialect.readCaller(request.rawHeaders), response, "draining", retryAfterMs(random()), {});
            }
        }
        this.exchanges.forEach((exchange) => exchange.stop());
    }

    /** Resets the connections whose partial responses would look complete at the end of the process. */
    resetUnframed(): void {
        this.exchanges.forEach((exchange) => exchange.answer.resetIfUnframed());
    }

    /**
     * Refuses a request whose body has not arrived in full, `received` bytes of it so far. Its caller may still send,
     * and receives the refusal only if the connection stays open meanwhile.
     */
    private refuseArriving(arrival: Arrival, fields: CallerFields, refusal: HeadRefusal, received: number): void {
        const { request, response, charge, length, expectsContinue } = arrival;
        const { cause, waitMs, logFields = {} } = refusal;
        this.arriving.delete(request);
        this.respondingSockets.add(request.socket);
        charge.release();
        if (length === 0) {
            this.refuse(fields, response, cause, waitMs, logFields);
            request.resume();
            return;
        }
        const isShort = isShortRest(length === undefined ? undefined : length - received);
        response.shouldKeepAlive &&= isShort && !expectsContinue;
        this.refuse(fields, response, cause, waitMs, { ...logFields, length, received }, writeRefusal);
        if (!response.shouldKeepAlive) {
            this.connections.startClosing(request.socket);
        }
        const { memory, countResourceEvent } = this.gateway.context;
        discardBody(request, response, (bytes) => memory.recordReceived(bytes), () => {
            countResourceEvent("discard-ended");
        });
    }

    // Judges what the head of a request says.
    private judge(request: IncomingMessage, fields: CallerFields, length = 0): Admission | HeadRefusal {
        const { table } = this.gateway;
        if (table === undefined) {
            return { cause: "no-configuration", waitMs: STARTING_RETRY_AFTER_MS };
        }
        if (length > table.configuration.limits.bodyBytes) {
            return { cause: "too-large" };
        }
        const host = hostOf(request);
        const route = findRoute(table, host, request.url ?? "/");
        if (route === undefined) {
            return { cause: "no-route", logFields: { host, path: request.url, ...this.viewAges() } };
        }
        const account = fields.accessKey === undefined ? undefined : table.accountsByKey.get(fields.accessKey);
        if (account === undefined && !route.open && table.configuration.accounts !== undefined) {
            return { cause: "unknown-key", logFields: { route: route.name, ...this.viewAges() } };
        }
        return { table, route, account };
    }

    // Ages of what a refusal by the configuration rests on.
    private viewAges(): object {
        const { clock, changesAgeMs, configurationAgeMs } = this.gateway.context;
        const now = clock();
        return {
            changesAgeMs: Math.round(changesAgeMs(now)),
            configurationAgeMs: Math.round(configurationAgeMs(now)),
        };
    }

    // Refuses a share of the requests while the router is overloaded, before their bodies are read.
    private overload({ table, route, account }: Admission): HeadRefusal | undefined {
        const { context, load: { shedShare }, reserve: { movesCallers } } = this.gateway;
        const priority = account?.priority ?? route.priority;
        if (context.random() >= shedChance(shedShare, priority, table.lowestPriority)) {
            return undefined;
        }
        const waitMs = movesCallers ? moveRetryMs(context.random()) : retryAfterMs(context.random());
        return {
            cause: "router-overloaded",
            waitMs,
            logFields: { route: route.name, priority, shedShare, movesCallers },
        };
    }

    private admit(arrival: Arrival, fields: CallerFields, atHead: Admission, body: Buffer): void {
        const { request, response, charge, arrivedAt } = arrival;
        const { context, table } = this.gateway;
        const refuse = ({ cause, waitMs, logFields = {} }: HeadRefusal): void => {
            charge.release();
            this.refuse(fields, response, cause, waitMs, logFields);
        };
        // The configuration may have changed while the body arrived.
        const judgement = table === atHead.table ? atHead : this.judge(request, fields, body.length);
        if ("cause" in judgement) {
            return refuse(judgement);
        }
        const { route, account } = judgement;
        const service = this.serviceOf(route);
        if (service === undefined) {
            return refuse({
                cause: "no-endpoint",
                waitMs: STARTING_RETRY_AFTER_MS,
                logFields: { route: route.name },
            });
        }
        const allowed = allowedRegionsOf(route, account);
        const regions = allowed && { allowed, table: regionTableOf(context.settings()) };
        if (regions !== undefined && !hasEndpointInRegions(context.endpoints, service.name, regions)) {
            return refuse({
                cause: "no-endpoint-in-regions",
                waitMs: retryAfterMs(context.random()),
                logFields: { route: route.name, account: account?.id, service: service.name, regions: allowed },
            });
        }
        const { drain } = this.gateway;
        const now = context.clock();
        // The time that its body took to arrive has passed.
        const longestMs = arrivedAt + Math.min(route.timeoutMs, fields.callerTimeoutMs ?? Infinity) - now;
        if (drain !== undefined && !acceptsWhileDraining(drain, longestMs, now)) {
            return refuse({
                cause: "draining",
                waitMs: retryAfterMs(context.random()),
                logFields: { route: route.name, longestMs },
            });
        }
        const content = { method: request.method!, target: request.url!, body };
        const features = {
            request: digestRequest(account?.id ?? NO_ACCOUNT, content),
            parts: sharedParts(fields.parts),
        };
        const admission = context.suspects.admit(features);
        if (admission.kind === "convicted") {
            return refuse({
                cause: "poison-request",
                waitMs: admission.retryAfterMs,
                logFields: { route: route.name, part: admission.part, ...context.suspects.figures(features) },
            });
        }
        const isTrial = admission.kind === "trial";
        const of = { route, service, account, regions, features, isTrial };
        const admitted = { request, response, body, fields, ...of, arrivedAt, charge };
        const exchange = new Exchange(context, admitted);
        this.exchanges.add(exchange);
        response.once("close", () => this.exchanges.delete(exchange));
        void exchange.run();
    }

    private serviceOf(route: Route): ServiceDeclaration | undefined {
        const name = pickService(route, this.gateway.context.random());
        return name === undefined ? undefined : this.gateway.table?.configuration.services.get(name);
    }

    private refuse(
        { requestId: id }: CallerFields,
        response: ServerResponse,
        cause: RefusalCause,
        retryAfterMs: number | undefined,
        logFields: object,
        send = sendRefusal,
    ): void {
        const { context } = this.gateway;
        context.countRefusal(cause);
        const configuration = context.configurationVersion();
        context.logs.requests.info("Refused.", { id, cause, configuration, ...logFields });
        send(response, cause, retryAfterMs);
    }
}

// Pauses a body until other events have had their turn. The parser goes on to the end of what it has read, so that the
// socket is paused as well.
function pauseBody(request: IncomingMessage, onResume: () => void): void {
    request.pause();
    request.socket.pause();
    setImmediate(() => {
        onResume();
        request.socket.resume();
        request.resume();
    });
}

function hostOf(request: IncomingMessage): string {
    return (request.headers.host ?? "").split(":")[0]!.toLowerCase();
}

function announcedLength({ headers }: IncomingMessage): number | undefined {
    return headers["transfer-encoding"] === undefined ? Number(headers["content-length"] ?? 0) : undefined;
}
