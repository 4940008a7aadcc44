import "reflect-metadata";
import { type DynamicModule, Module } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import { FastifyAdapter, type NestFastifyApplication } from "@nestjs/platform-fastify";
import type { FastifyRequest } from "fastify";
import { readFileSync } from "node:fs";
import type { Server } from "node:http";
import { CallersController } from "./callers/callers.controller.js";
import { FaultFilter } from "./callers/fault.filter.js";
import { OperatorsController } from "./operators/operators.controller.js";
import { PeersController } from "./peers/peers.controller.js";
import { Router } from "./router.js";
import type { Settings } from "./settings.js";
import { ROUTER } from "./tokens.js";

const CONNECTION_CLOSE_TIMEOUT_MS = 1_000;

/** A router that serves requests. */
export type RunningRouter = {
    readonly router: Router;
    /** Closes the caller connections and stops the router. */
    readonly close: () => Promise<void>;
};

@Module({})
class RouterModule {
    static of(router: Router): DynamicModule {
        return {
            module: RouterModule,
            controllers: [CallersController, OperatorsController, PeersController],
            providers: [{ provide: ROUTER, useValue: router }],
        };
    }
}

/** Starts a router. Rejects if it cannot listen on its address. */
export async function startRouter(settings: Settings): Promise<RunningRouter> {
    const router = new Router(settings, settings.listen.port);
    const adapter = createAdapter(settings, router);
    const options = { bodyParser: false, logger: false, abortOnError: false } as const;
    const application = await NestFactory.create<NestFastifyApplication>(RouterModule.of(router), adapter, options);
    application.useGlobalFilters(new FaultFilter());
    await application.listen(settings.listen.port, settings.listen.address);
    router.start();
    return {
        router,
        async close() {
            await closeConnections(adapter.getInstance().server);
            await router.stop();
            await application.close();
        },
    };
}

// Open responses get time to complete: a refused connection proves to the caller that nothing ran, a cut one does not.
async function closeConnections(server: Server): Promise<void> {
    const closed = new Promise<void>((resolve) => server.close(() => resolve()));
    server.closeIdleConnections();
    const closeTimer = setTimeout(() => server.closeAllConnections(), CONNECTION_CLOSE_TIMEOUT_MS);
    await closed;
    clearTimeout(closeTimer);
}

function createAdapter(settings: Settings, router: Router): FastifyAdapter {
    const common = {
        bodyLimit: settings.limits.bodyBytes,
        forceCloseConnections: true,
    };
    const tls = settings.tls;
    const adapter = tls === undefined ? new FastifyAdapter(common) : new FastifyAdapter({
        ...common,
        https: { cert: readFileSync(tls.certificate), key: readFileSync(tls.key) },
    });
    const instance = adapter.getInstance();
    // A draining router closes each connection after its response, so that none is in use when the process exits.
    instance.addHook("onRequest", (unusedRequest, reply, done) => {
        reply.raw.shouldKeepAlive &&= router.world.drainingSince === undefined;
        done();
    });
    instance.removeAllContentTypeParsers();
    instance.addContentTypeParser("*", { parseAs: "buffer" }, (unusedRequest: FastifyRequest, body, done) => {
        done(undefined as never, body);
    });
    return adapter;
}
