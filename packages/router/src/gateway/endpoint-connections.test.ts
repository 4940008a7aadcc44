import { brand, type EndpointId, type FailureDomain } from "@gooseberrybend/core";
import type { EndpointEntry, ServiceName } from "@gooseberrybend/core/dispatch";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { EndpointConnections } from "./endpoint-connections.js";

type Ending = { readonly status: number; readonly body: string; readonly error: string | undefined; };

const servers: Server[] = [];

async function endpointThat(answer: (socket: Socket) => void): Promise<EndpointEntry> {
    const server = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.once("data", () => answer(socket));
    });
    servers.push(server);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        id: brand<EndpointId>("engine-1"),
        startedAt: 1,
        service: brand<ServiceName>("booking"),
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        domain: brand<FailureDomain>("a"),
        slots: 1,
        leaving: false,
    };
}

function ask(entry: EndpointEntry): Promise<Ending> {
    const connections = new EndpointConnections();
    const chunks: Buffer[] = [];
    let status = 0;
    return new Promise((resolve) => {
        const end = (error: string | undefined): void => {
            resolve({ status, body: Buffer.concat(chunks).toString(), error });
            void connections.close();
        };
        connections.poolOf(entry, 8, 1).dispatch({ method: "GET", path: "/" }, {
            onRequestStart: () => undefined,
            onResponseStart: (unusedController, code) => {
                status = code;
            },
            onResponseData: (unusedController, chunk) => chunks.push(chunk),
            onResponseEnd: () => end(undefined),
            onResponseError: (unusedController, error) => end((error as { code?: string; }).code ?? error.message),
        });
    });
}

describe("endpoint connections", () => {
    afterEach(() => servers.splice(0).forEach((server) => server.close()));

    describe("an answer without a length", () => {
        it("is whole when its connection is closed", async () => {
            const entry = await endpointThat((socket) => socket.end("HTTP/1.1 200 OK\r\n\r\nwhole"));
            expect(await ask(entry)).toEqual({ status: 200, body: "whole", error: undefined });
        });

        it("is broken when its connection is reset after some of it", async () => {
            const entry = await endpointThat((socket) => {
                socket.write("HTTP/1.1 200 OK\r\n\r\npart");
                setTimeout(() => socket.resetAndDestroy(), 50);
            });
            expect((await ask(entry)).error).toBeDefined();
        });

        it("is broken when its connection is reset together with it", async () => {
            const entry = await endpointThat((socket) => {
                socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", () => socket.resetAndDestroy());
            });
            expect((await ask(entry)).error).toBeDefined();
        });
    });

    describe("an answer in chunks", () => {
        it("is broken when its connection is closed before the last chunk", async () => {
            const head = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
            const entry = await endpointThat((socket) => socket.end(`${head}4\r\npart\r\n`));
            expect((await ask(entry)).error).toBeDefined();
        });
    });
});
