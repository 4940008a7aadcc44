import { brand, type EndpointId, type FailureDomain } from "@gooseberrybend/core";
import type { EndpointEntry, ServiceName } from "@gooseberrybend/core/dispatch";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { EndpointConnections } from "./endpoint-connections.js";

type ResponseResult = { readonly status: number; readonly body: string; readonly error: string | undefined; };

const servers: Server[] = [];

async function startEndpoint(answer: (socket: Socket) => void): Promise<EndpointEntry> {
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

function sendRequest(entry: EndpointEntry): Promise<ResponseResult> {
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

    describe("a response without a length", () => {
        it("is complete when its connection is closed", async () => {
            const entry = await startEndpoint((socket) => socket.end("HTTP/1.1 200 OK\r\n\r\nwhole"));
            expect(await sendRequest(entry)).toEqual({ status: 200, body: "whole", error: undefined });
        });

        it("fails when its connection is reset after part of the body", async () => {
            const entry = await startEndpoint((socket) => {
                socket.write("HTTP/1.1 200 OK\r\n\r\npart");
                setTimeout(() => socket.resetAndDestroy(), 50);
            });
            expect((await sendRequest(entry)).error).toBeDefined();
        });

        it("fails when its connection is reset together with the data", async () => {
            const entry = await startEndpoint((socket) => {
                socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", () => socket.resetAndDestroy());
            });
            expect((await sendRequest(entry)).error).toBeDefined();
        });
    });

    describe("a chunked response", () => {
        it("fails when its connection is closed before the last chunk", async () => {
            const head = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
            const entry = await startEndpoint((socket) => socket.end(`${head}4\r\npart\r\n`));
            expect((await sendRequest(entry)).error).toBeDefined();
        });
    });
});
