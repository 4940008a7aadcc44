import { Controller, Get, Inject, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import type { JSONRPCRequest } from "json-rpc-2.0";
import { splitAddress } from "./gateway-settings.js";
import type { Gateway } from "./gateway.js";

/** Injection token of the gateway. */
export const GATEWAY = Symbol("gateway");

/** Serves addresses, readiness, metrics and the calls of other routers. */
@Controller()
export class InternalController {
    constructor(@Inject(GATEWAY) private readonly gateway: Gateway) {}

    /** Metrics in the Prometheus text format. */
    @Get("metrics")
    async metrics(@Res() reply: FastifyReply): Promise<void> {
        const registry = this.gateway.metrics.registry;
        await reply.header("content-type", registry.contentType).send(await registry.metrics());
    }

    /** JSON-RPC calls of other routers, accepted on the peer address only. */
    @Post("peer")
    async peer(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        const { port } = splitAddress(this.gateway.settings.listen.peers);
        if (request.socket.localPort !== port) {
            await reply.status(404).send();
            return;
        }
        await reply.status(200).send(await this.gateway.receivePeerCall(request.body as JSONRPCRequest));
    }

    /** Addresses and readiness, at the paths of the dialect. */
    @Get("*")
    async getDialectPath(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        const [path, parameters] = request.url.split("?", 2);
        const { dialect } = this.gateway;
        if (path === dialect.readyPath) {
            await reply.status(this.gateway.ready ? 200 : 503).send();
            return;
        }
        if (path === dialect.addressPath) {
            const answer = this.gateway.addresses.answer(dialect.readAddressQuery(new URLSearchParams(parameters)));
            await (answer === undefined ? reply.status(503).send() : reply.status(200).send(answer));
            return;
        }
        await reply.status(404).send();
    }
}
