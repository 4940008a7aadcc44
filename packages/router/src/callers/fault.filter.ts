import { type ArgumentsHost, Catch, type ExceptionFilter } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { sendFault } from "./callers.controller.js";
import type { RequestFault } from "./request-headers.js";

type Failure = { readonly statusCode?: number; readonly getStatus?: () => number; };

const NOT_FOUND = 404;
const TOO_LARGE = 413;

/** Sends a typed error for requests that no handler matches or whose body cannot be read. */
@Catch()
export class FaultFilter implements ExceptionFilter {
    /** Sends the error; no tokens were reserved and nothing was sent to an endpoint. */
    catch(failure: Failure, host: ArgumentsHost): void {
        const http = host.switchToHttp();
        const reply = http.getResponse<FastifyReply>();
        reply.hijack();
        const status = failure.getStatus?.() ?? failure.statusCode ?? 500;
        sendFault(http.getRequest<FastifyRequest>(), reply, faultOf(status));
    }
}

function faultOf(status: number): RequestFault {
    switch (status) {
        case NOT_FOUND:
            return { status, reason: "bad-request", detail: "There is nothing at this path." };
        case TOO_LARGE:
            return { status, reason: "bad-request", detail: "The body is too large." };
        default:
            return { status, reason: "bad-request", detail: "The request could not be read." };
    }
}
