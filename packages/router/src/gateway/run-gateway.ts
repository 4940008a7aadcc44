import "reflect-metadata";
import { acceptBacklogOf } from "@gooseberrybend/core/dispatch";
import { type DynamicModule, Module } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import { FastifyAdapter, type NestFastifyApplication } from "@nestjs/platform-fastify";
import type { FastifyServerOptions } from "fastify";
import { once } from "node:events";
import { watchFile } from "node:fs";
import { createServer, type RequestListener, type Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { ADDRESS_LIFETIME_MS } from "./address-answers.js";
import { RESET_DELAY_MS } from "./caller-answer.js";
import { ConnectionLimit } from "./connection-limit.js";
import type { Dialect } from "./dialect.js";
import { capacityOf, readGatewaySettings, splitAddress } from "./gateway-settings.js";
import { Gateway } from "./gateway.js";
import { GATEWAY, InternalController } from "./internal.controller.js";
import type { MetadataStore } from "./metadata-store.js";
import { ProcessSignals } from "./process-signals.js";

/** Exit code for missing or invalid settings. */
const EXIT_INVALID_SETTINGS = 2;
/** Exit code after an error that no part of the router handled. */
const EXIT_UNEXPECTED_ERROR = 1;
/** Time in ms in which the last log line is written. */
const LAST_LINE_MS = 20;
/** Share of the shutdown time during which requests are still accepted. */
const ACCEPTING_SHARE = 0.82;
/** Share of the shutdown time after which the process exits, even with open requests. */
const CUT_SHARE = 0.93;
/** Lifetimes of an address response after which a router without open requests may exit early. */
const MIN_ADDRESS_LIFETIMES = 3;
const EXIT_CHECK_INTERVAL_MS = 100;
/** Minimum time in ms for the last writes to the store, before the process exits. */
const STOP_TIMEOUT_MS = 200;
/** Time in ms of the shutdown time that is left when the process exits; the platform kills it at the end. */
const EXIT_RESERVE_MS = 300;
/** Interval in ms of checking the settings file for changes without a signal. */
const SETTINGS_CHECK_INTERVAL_MS = 2_000;

/** Maximum bytes of a call of another router; they have a few KB, only their responses may be large. */
const MAX_PEER_CALL_BYTES = 256 * 1_024;
/** Times in ms for the head and the whole of a request for addresses, readiness or metrics, or of another router. */
const INTERNAL_HEADER_TIMEOUT_MS = 3_000;
const INTERNAL_REQUEST_TIMEOUT_MS = 10_000;
const INTERNAL_CHECK_INTERVAL_MS = 500;
/** Connections of other routers that may wait to be accepted: all of a fleet may come at once after a partition. */
const FLEET_BACKLOG = 1_024;

/** What a deployment supplies to a gateway. */
export type GatewayParts = {
    readonly settingsFile: string | undefined;
    readonly dialect: Dialect;
    readonly openStore: (address: string) => MetadataStore;
};

@Module({})
class GatewayModule {
    static of(gateway: Gateway): DynamicModule {
        return {
            module: GatewayModule,
            controllers: [InternalController],
            providers: [{ provide: GATEWAY, useValue: gateway }],
        };
    }
}

/** Runs a router until SIGTERM or SIGINT, then exits the process. */
export async function runGateway(parts: GatewayParts): Promise<void> {
    const signals = new ProcessSignals();
    const file = parts.settingsFile;
    if (file === undefined) {
        process.stderr.write("No settings file given: pass --settings FILE.\n");
        process.exit(EXIT_INVALID_SETTINGS);
    }
    const settings = readGatewaySettings(file);
    if (settings.isErr()) {
        const faults = settings.error.map((fault) => `${fault.file}:${fault.line}:${fault.column}: ${fault.message}`);
        process.stderr.write(`${faults.join("\n")}\n`);
        process.exit(EXIT_INVALID_SETTINGS);
    }
    const gateway = new Gateway(settings.value, parts.dialect, parts.openStore(settings.value.store.address));
    process.once("uncaughtException", (error) => void endAfterError(gateway, error));
    gateway.start();
    const callerBacklog = acceptBacklogOf(capacityOf(settings.value).cores);
    await listenInternally(gateway, callerBacklog);
    await listen(gateway.ingress.server, settings.value.listen.callers, callerBacklog);
    gateway.logs.host.info("Router started.", { router: settings.value.name, address: settings.value.listen.callers });
    signals.onReload(() => reload(gateway, file));
    watchFile(file, { interval: SETTINGS_CHECK_INTERVAL_MS, persistent: false }, () => reload(gateway, file));
    await signals.stopped;
    signals.onRepeatedStop((signal) => {
        gateway.logs.host.info("Stop signal ignored, as the router is draining.", { signal });
    });
    await shutDown(gateway);
    process.exit(0);
}

// The state of the router is unknown, but its callers still learn that their responses are incomplete.
async function endAfterError(gateway: Gateway, error: Error): Promise<void> {
    gateway.logs.host.error("Unexpected error; the router stops.", { detail: error.message, stack: error.stack });
    gateway.ingress.resetUnframed();
    await sleep(LAST_LINE_MS);
    process.exit(EXIT_UNEXPECTED_ERROR);
}

// No route has a schema; loading the schema compilers would take much of the start.
const noSchemaCompilers = {
    compilersFactory: {
        buildValidator: () => () => () => true,
        buildSerializer: () => () => (value: unknown) => JSON.stringify(value),
    },
} as unknown as FastifyServerOptions["schemaController"];

async function listenInternally(gateway: Gateway, callerBacklog: number): Promise<void> {
    const { ready, addresses, metrics, peers } = gateway.settings.listen;
    const backlogOf = (address: string): number => address === addresses ? callerBacklog : FLEET_BACKLOG;
    const distinctAddresses = [...new Set([ready, addresses, metrics, peers])];
    let requestListener: RequestListener | undefined;
    const serverFactory = (handler: RequestListener): Server => {
        requestListener = handler;
        return createInternalServer(gateway, distinctAddresses[0]!, handler);
    };
    const adapter = new FastifyAdapter({
        serverFactory: serverFactory as never,
        schemaController: noSchemaCompilers,
        bodyLimit: MAX_PEER_CALL_BYTES,
    });
    const options = { bodyParser: false, logger: false, abortOnError: false } as const;
    const application = await NestFactory.create<NestFastifyApplication>(GatewayModule.of(gateway), adapter, options);
    refuseForeignCalls(application, gateway);
    const [first, ...others] = distinctAddresses;
    const { host, port } = splitAddress(first!);
    await application.listen({ host, port, backlog: backlogOf(first!) });
    await Promise.all(
        others.map((address) =>
            listen(
                createInternalServer(gateway, address, (request, response) => requestListener!(request, response)),
                address,
                backlogOf(address),
            )
        ),
    );
}

// A call on a listener that is open to callers is refused before its body is read.
function refuseForeignCalls(application: NestFastifyApplication, gateway: Gateway): void {
    const peerPort = splitAddress(gateway.settings.listen.peers).port;
    application.getHttpAdapter().getInstance().addHook("onRequest", async (request, reply) => {
        if (request.method === "POST" && request.socket.localPort !== peerPort) {
            await reply.status(404).header("connection", "close").send();
        }
    });
}

// A server with the bounds of all listeners but the one for callers.
function createInternalServer(gateway: Gateway, address: string, handler: RequestListener): Server {
    const server = createServer({
        connectionsCheckingInterval: INTERNAL_CHECK_INTERVAL_MS,
        headersTimeout: INTERNAL_HEADER_TIMEOUT_MS,
        requestTimeout: INTERNAL_REQUEST_TIMEOUT_MS,
    }, handler);
    new ConnectionLimit(
        server,
        gateway.connectionLimits.others,
        (event) => gateway.context.recordConnectionEvent(event, address),
    );
    return server;
}

async function listen(server: Server, address: string, backlog: number): Promise<void> {
    const { host, port } = splitAddress(address);
    server.listen({ host, port, backlog });
    await once(server, "listening");
}

function reload(gateway: Gateway, file: string): void {
    const settings = readGatewaySettings(file);
    if (settings.isErr()) {
        gateway.logs.host.error("Settings file is invalid; the previous settings stay in force.", {
            faults: settings.error,
        });
        return;
    }
    gateway.settings = settings.value;
    gateway.logs.host.info("Settings reloaded.", { file });
}

async function shutDown(gateway: Gateway): Promise<void> {
    const { shutdownMs } = gateway.settings.bounds;
    const startedAt = gateway.clock();
    gateway.logs.host.info("Router is draining.", { open: gateway.ingress.openRequests });
    await gateway.startDrain(startedAt + shutdownMs * CUT_SHARE);
    const elapsedMs = (): number => gateway.clock() - startedAt;
    const earliestExitMs = Math.min(MIN_ADDRESS_LIFETIMES * ADDRESS_LIFETIME_MS, shutdownMs * ACCEPTING_SHARE);
    while (
        elapsedMs() < shutdownMs * ACCEPTING_SHARE && (elapsedMs() < earliestExitMs || gateway.ingress.openRequests > 0)
    ) {
        await sleep(EXIT_CHECK_INTERVAL_MS);
    }
    gateway.ingress.server.close();
    gateway.ingress.server.closeIdleConnections();
    while (elapsedMs() < shutdownMs * CUT_SHARE && gateway.ingress.openRequests > 0) {
        await sleep(EXIT_CHECK_INTERVAL_MS);
    }
    gateway.logs.host.info("Drain ended; stopping.", { open: gateway.ingress.openRequests });
    gateway.ingress.stopRequests();
    // A slow store needs more time for the tokens, which is there unless a request took all of it.
    const stopMs = Math.max(STOP_TIMEOUT_MS, shutdownMs - elapsedMs() - EXIT_RESERVE_MS);
    await Promise.all([Promise.race([gateway.stop(), sleep(stopMs)]), sleep(2 * RESET_DELAY_MS)]);
    gateway.ingress.resetUnframed();
}
