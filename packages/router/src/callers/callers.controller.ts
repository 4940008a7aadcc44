import { addressesFor, brand, digestKey, operationKey, type RequestKey } from "@gooseberrybend/core";
import { All, Controller, Get, Inject, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { type Router } from "../router.js";
import { ROUTER } from "../tokens.js";
import { readModelRequest } from "./model-request.js";
import {
    accountOf,
    outcomeBeforeAdmission,
    readHeaders,
    type RequestFault,
    type RequestHeaders,
} from "./request-headers.js";
import { BufferedModelResponse, sendJson, sendRefusal, ServiceResponse, StreamResponse } from "./responses.js";
import { matchOperation } from "./service-request.js";

const FAULT_RETRY_MS = 0;
const NOT_READY_RETRY_MS = 1_000;

/** HTTP API for callers: model requests, service calls, router addresses and request state. */
@Controller("v1")
export class CallersController {
    constructor(@Inject(ROUTER) private readonly router: Router) {}

    /** Runs a chat completion. */
    @Post("chat/completions")
    complete(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
        reply.hijack();
        const headers = readHeaders(request.raw, this.router.world.configuration);
        if (headers.isErr()) {
            return this.reject(request, reply, headers.error);
        }
        const parsed = readModelRequest(bodyOf(request), this.router.settings.limits);
        if (parsed.isErr()) {
            return this.reject(request, reply, parsed.error, headers.value);
        }
        const { target, stream, body } = parsed.value;
        if (!this.router.world.configuration.servers.has(`model:${target.model}`)) {
            const detail = `No endpoint serves the model ${target.model}.`;
            return this.reject(request, reply, { status: 404, reason: "no-endpoint", detail }, headers.value);
        }
        const { key, supportsRestart, offset } = headers.value;
        const response = stream
            ? new StreamResponse(reply.raw, key, supportsRestart, offset > 0)
            : new BufferedModelResponse(reply.raw, key);
        const endpointRequest = {
            method: "POST",
            path: "/v1/chat/completions",
            body,
            contentType: "application/json",
            key,
        };
        this.accept(reply, headers.value, { target, body, endpointRequest, response });
    }

    /** Runs a call to a service. */
    @All("services/:service/*")
    callService(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
        reply.hijack();
        const configuration = this.router.world.configuration;
        const headers = readHeaders(request.raw, configuration);
        if (headers.isErr()) {
            return this.reject(request, reply, headers.error);
        }
        const { service } = request.params as { service: string; };
        if (!configuration.servers.has(`service:${service}`)) {
            return sendFault(request, reply, {
                status: 404,
                reason: "no-endpoint",
                detail: `No endpoint serves ${service}.`,
            });
        }
        const path = request.url.slice(`/v1/services/${service}`.length);
        const operation = matchOperation(configuration, service, request.method, path.split("?")[0]!);
        const body = bodyOf(request);
        const { key } = headers.value;
        const contentType = request.headers["content-type"];
        this.accept(reply, headers.value, {
            target: { kind: "service", service, operation: operation?.id ?? "" },
            body: `${operationKey(service, request.method)}\n${path}\n${body.toString("latin1")}`,
            endpointRequest: {
                method: request.method,
                path,
                body: body.length === 0 ? undefined : body,
                contentType,
                key,
            },
            response: new ServiceResponse(reply.raw, key),
        });
    }

    /** Returns the addresses of the routers that a caller should use, in order of preference. */
    @Get("addresses")
    addresses(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
        reply.hijack();
        const account = accountOf(request.raw, this.router.world.configuration);
        if (account === undefined) {
            const detail = "The credential is missing or not known.";
            return sendFault(request, reply, { status: 401, reason: "account-unknown", detail });
        }
        const addresses = addressesFor(this.router.world, account, Date.now());
        sendJson(reply.raw, 200, { addresses, lifetimeMs: this.router.world.policy.addressLifetimeMs });
    }

    /** Returns the state at this router of a request of the caller's own account. */
    @Get("requests/:key")
    requestState(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
        reply.hijack();
        const account = accountOf(request.raw, this.router.world.configuration);
        if (account === undefined) {
            const detail = "The credential is missing or not known.";
            return sendFault(request, reply, { status: 401, reason: "account-unknown", detail });
        }
        const { key } = request.params as { key: string; };
        const world = this.router.world;
        const run = world.runs.get(world.runsByKey.get(digestKey(account, brand<RequestKey>(key))) ?? 0);
        if (run === undefined) {
            return sendFault(request, reply, {
                status: 404,
                reason: "bad-request",
                detail: "This router knows no such request.",
            });
        }
        const outcome = run.state === "done" || run.state === "billing"
            ? "ran"
            : run.written
            ? "may-have-run"
            : "not-run";
        sendJson(reply.raw, 200, {
            state: run.state,
            outcome,
            chunks: run.firstOffset + run.chunks.length,
            end: run.end,
        });
    }

    private reject(
        request: FastifyRequest,
        reply: FastifyReply,
        fault: RequestFault,
        headers?: RequestHeaders,
    ): void {
        this.router.recordRejection(fault.reason, outcomeBeforeAdmission(request.raw), fault.detail, headers);
        sendFault(request, reply, fault, headers?.key);
    }

    private accept(
        reply: FastifyReply,
        headers: RequestHeaders,
        request: Omit<Parameters<Router["accept"]>[0], "headers">,
    ): void {
        const onCallerGone = this.router.accept({ ...request, headers });
        reply.raw.on("close", onCallerGone);
    }
}

/** Sends a typed error for a request that has reserved no tokens and was not sent to an endpoint. */
export function sendFault(request: FastifyRequest, reply: FastifyReply, fault: RequestFault, key?: string): void {
    const { reason, detail } = fault;
    const retryAfterMs = reason === "not-ready" ? NOT_READY_RETRY_MS : FAULT_RETRY_MS;
    const refusal = { reason, outcome: outcomeBeforeAdmission(request.raw), retryAfterMs, detail };
    sendRefusal(reply.raw, fault.status, refusal, key);
}

function bodyOf(request: FastifyRequest): Buffer {
    return Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
}
