import { type AccountId, brand } from "@gooseberrybend/core";
import {
    acceptsWhileDraining,
    allowedRegionsOf,
    digestRequest,
    type Drain,
    findRoute,
    hasEndpointInRegions,
    pickService,
    type Route,
    type RoutingTable,
    type ServiceDeclaration,
    sharedParts,
    shedChance,
} from "@gooseberrybend/core/dispatch";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ByteBuffer } from "./byte-buffer.js";
import type { CallerFields } from "./dialect.js";
import { Exchange } from "./exchange.js";
import type { GatewayContext } from "./gateway-context.js";
import { regionTableOf } from "./gateway-settings.js";
import type { LoadMonitor } from "./load-monitor.js";
import { moveRetryMs, type RefusalCause, retryAfterMs, sendRefusal } from "./refusal.js";
import type { ReserveMonitor } from "./reserve-monitor.js";

/** Interval in ms of checking for connections that are too slow. */
const CONNECTION_CHECK_INTERVAL_MS = 250;
/** Limits before the first configuration. */
const INITIAL_MAX_HEADER_BYTES = 16 * 1024;
const INITIAL_HEADER_TIMEOUT_MS = 3_000;
const INITIAL_IDLE_TIMEOUT_MS = 15_000;
const INITIAL_MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Retry delay in ms for callers of a router that lacks a configuration or an endpoint. */
const STARTING_RETRY_AFTER_MS = 400;
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

/** What the ingress needs of its gateway. */
export type IngressHost = {
    readonly context: GatewayContext;
    readonly table: RoutingTable | undefined;
    readonly drain: Drain | undefined;
    readonly reserve: Pick<ReserveMonitor, "movesCallers" | "recordRequest">;
    readonly load: Pick<LoadMonitor, "shedShare" | "unreadMs">;
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

    private receive(request: IncomingMessage, response: ServerResponse): void {
        const now = this.gateway.context.clock();
        const unreadMs = this.gateway.load.unreadMs(now);
        const arrivedAt = now - unreadMs;
        this.gateway.context.observeUnread(unreadMs);
        this.openRequests++;
        this.gateway.reserve.recordRequest();
        this.arriving.set(request, response);
        const { socket } = request;
        response.once("close", () => {
            this.openRequests--;
            this.respondingSockets.delete(socket);
            this.arriving.delete(request);
        });
        response.on("error", () => undefined);
        if (this.gateway.drain !== undefined || this.gateway.reserve.movesCallers) {
            response.shouldKeepAlive = false;
        }
        const limit = this.gateway.table?.configuration.limits.bodyBytes ?? INITIAL_MAX_BODY_BYTES;
        const body = new ByteBuffer();
        request.on("data", (piece: Buffer) => {
            if (body.length + piece.length > limit) {
                body.clear();
                this.refuseBody(request, response);
                return;
            }
            body.add(piece);
        });
        request.on("end", () => {
            // A body that was refused is no longer among the arriving ones.
            if (this.arriving.delete(request)) {
                this.respondingSockets.add(socket);
                this.admit(request, response, body.take(), arrivedAt);
            }
        });
        request.on("error", () => undefined);
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

    private refuseBody(request: IncomingMessage, response: ServerResponse): void {
        this.arriving.delete(request);
        if (!response.headersSent) {
            response.shouldKeepAlive = false;
            const fields = this.gateway.context.dialect.readCaller(request.rawHeaders);
            if (this.gateway.table === undefined) {
                this.refuse(fields, response, "no-configuration", STARTING_RETRY_AFTER_MS, {});
            }
            else {
                this.refuse(fields, response, "too-large", undefined, {});
            }
        }
        request.removeAllListeners("data");
        request.resume();
    }

    private admit(request: IncomingMessage, response: ServerResponse, body: Buffer, arrivedAt: number): void {
        const { table, context } = this.gateway;
        const fields = context.dialect.readCaller(request.rawHeaders);
        if (table === undefined) {
            this.refuse(fields, response, "no-configuration", STARTING_RETRY_AFTER_MS, {});
            return;
        }
        const route = findRoute(table, hostOf(request), request.url ?? "/");
        if (route === undefined) {
            this.refuse(fields, response, "no-route", undefined, { host: hostOf(request), path: request.url });
            return;
        }
        const account = fields.accessKey === undefined ? undefined : table.accountsByKey.get(fields.accessKey);
        if (account === undefined && !route.open && table.configuration.accounts !== undefined) {
            this.refuse(fields, response, "unknown-key", undefined, { route: route.name });
            return;
        }
        const service = this.serviceOf(route);
        if (service === undefined) {
            this.refuse(fields, response, "no-endpoint", STARTING_RETRY_AFTER_MS, { route: route.name });
            return;
        }
        const allowed = allowedRegionsOf(route, account);
        const regions = allowed && { allowed, table: regionTableOf(context.settings()) };
        if (regions !== undefined && !hasEndpointInRegions(context.endpoints, service.name, regions)) {
            this.refuse(fields, response, "no-endpoint-in-regions", retryAfterMs(context.random()), {
                route: route.name,
                account: account?.id,
                service: service.name,
                regions: allowed,
            });
            return;
        }
        const { drain } = this.gateway;
        const now = context.clock();
        // The time that its body took to arrive has passed.
        const longestMs = arrivedAt + Math.min(route.timeoutMs, fields.callerTimeoutMs ?? Infinity) - now;
        if (drain !== undefined && !acceptsWhileDraining(drain, longestMs, now)) {
            this.refuse(fields, response, "draining", retryAfterMs(context.random()), {
                route: route.name,
                longestMs,
            });
            return;
        }
        const { shedShare } = this.gateway.load;
        const priority = account?.priority ?? route.priority;
        if (context.random() < shedChance(shedShare, priority, table.lowestPriority)) {
            const { movesCallers } = this.gateway.reserve;
            const waitMs = movesCallers ? moveRetryMs(context.random()) : retryAfterMs(context.random());
            this.refuse(fields, response, "router-overloaded", waitMs, {
                route: route.name,
                priority,
                shedShare,
                movesCallers,
            });
            return;
        }
        const content = { method: request.method!, target: request.url!, body: body.toString("latin1") };
        const features = {
            request: digestRequest(account?.id ?? NO_ACCOUNT, content),
            parts: sharedParts(fields.parts),
        };
        const admission = context.suspects.admit(features);
        if (admission.kind === "convicted") {
            this.refuse(fields, response, "poison-request", admission.retryAfterMs, {
                route: route.name,
                part: admission.part,
                ...context.suspects.figures(features),
            });
            return;
        }
        const isTrial = admission.kind === "trial";
        const admitted = {
            request,
            response,
            body,
            fields,
            route,
            service,
            account,
            regions,
            features,
            isTrial,
            arrivedAt,
        };
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
    ): void {
        const { context } = this.gateway;
        context.countRefusal(cause);
        const configuration = context.configurationVersion();
        context.logs.requests.info("Refused.", { id, cause, configuration, ...logFields });
        sendRefusal(response, cause, retryAfterMs);
    }
}

function hostOf(request: IncomingMessage): string {
    return (request.headers.host ?? "").split(":")[0]!.toLowerCase();
}
