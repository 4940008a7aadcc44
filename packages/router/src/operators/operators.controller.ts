import { Controller, Get, Inject, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { type JSONRPCRequest, JSONRPCServer } from "json-rpc-2.0";
import { sendFault } from "../callers/callers.controller.js";
import { hasBearerKey } from "../callers/request-headers.js";
import { sendJson } from "../callers/responses.js";
import { tracesOfKey } from "../observability/trace-buffer.js";
import type { Router } from "../router.js";
import { ROUTER } from "../tokens.js";
import { reportOf } from "./router-report.js";

/** API for operators: status, decision traces and drain over JSON-RPC; metrics and health over HTTP. */
@Controller()
export class OperatorsController {
    private readonly server = new JSONRPCServer();

    constructor(@Inject(ROUTER) private readonly router: Router) {
        this.server.addMethod("status", () => reportOf(this.router, Date.now()));
        this.server.addMethod("explain", ({ key }: { key: string; }) => tracesOfKey(this.router.traceBuffer, key));
        this.server.addMethod("drain", () => {
            process.kill(process.pid, "SIGTERM");
            return { draining: true };
        });
    }

    /** Handles a JSON-RPC call of an operator. */
    @Post("operator")
    async receive(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        reply.hijack();
        if (!this.isAuthorized(request)) {
            return sendFault(request, reply, {
                status: 401,
                reason: "account-unknown",
                detail: "The operator key is missing or wrong.",
            });
        }
        const payload = JSON.parse(String(request.body)) as JSONRPCRequest;
        sendJson(reply.raw, 200, await this.server.receive(payload) ?? {});
    }

    /** Returns the metrics in the Prometheus text format. */
    @Get("metrics")
    async metrics(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        reply.hijack();
        if (!this.isAuthorized(request)) {
            return sendFault(request, reply, {
                status: 401,
                reason: "account-unknown",
                detail: "The operator key is missing or wrong.",
            });
        }
        const registry = this.router.metrics.registry;
        const text = await registry.metrics();
        reply.raw.writeHead(200, { "content-type": registry.contentType });
        reply.raw.end(text);
    }

    /** Liveness check; returns the configuration version in use. */
    @Get("health")
    health(@Res() reply: FastifyReply): void {
        reply.hijack();
        sendJson(reply.raw, 200, { version: this.router.world.configuration.version });
    }

    private isAuthorized(request: FastifyRequest): boolean {
        const key = this.router.settings.keys?.operator;
        return key === undefined || hasBearerKey(request.raw, key);
    }
}
