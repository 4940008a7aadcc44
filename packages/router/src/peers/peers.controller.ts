import { Controller, Inject, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { type JSONRPCRequest, JSONRPCServer } from "json-rpc-2.0";
import { sendFault } from "../callers/callers.controller.js";
import { hasBearerKey } from "../callers/request-headers.js";
import { sendJson } from "../callers/responses.js";
import type { Router } from "../router.js";
import { ROUTER } from "../tokens.js";
import type { PeerBatch } from "./peer-links.js";

/** JSON-RPC API for other routers. */
@Controller("peer")
export class PeersController {
    private readonly server = new JSONRPCServer();

    constructor(@Inject(ROUTER) private readonly router: Router) {
        this.server.addMethod("deliver", (batch: PeerBatch) => this.deliver(batch));
    }

    /** Receives a batch of messages. */
    @Post()
    async receive(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        reply.hijack();
        const key = this.router.settings.keys?.peer;
        if (key !== undefined && !hasBearerKey(request.raw, key)) {
            return sendFault(request, reply, {
                status: 401,
                reason: "account-unknown",
                detail: "The peer key is missing or wrong.",
            });
        }
        const payload = JSON.parse(String(request.body)) as JSONRPCRequest;
        const answer = await this.server.receive(payload);
        sendJson(reply.raw, 200, answer ?? {});
    }

    private deliver(batch: PeerBatch): void {
        for (const { to, message } of batch.envelopes) {
            this.router.host.deliver({ kind: "peer-message", from: batch.from, to, message });
        }
    }
}
