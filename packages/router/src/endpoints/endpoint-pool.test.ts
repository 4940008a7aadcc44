import { brand, type EndpointDeclaration, type EndpointId, type Message } from "@gooseberrybend/core";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { EndpointPool } from "./endpoint-pool.js";

const CONNECT_TIMEOUT_MS = 500;

// Guards against a truncated response of a service that reaches its caller with the length of what had arrived.
describe("a service response without a length", () => {
    let server: Server | undefined;
    let pool: EndpointPool | undefined;

    afterEach(async () => {
        await pool?.close();
        server?.close();
    });

    async function messagesOf(respond: (socket: Socket) => void): Promise<Message["kind"][]> {
        server = createServer((socket) => socket.on("error", () => undefined).once("data", () => respond(socket)));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        const declaration = { kind: "service", address } as unknown as EndpointDeclaration;
        const request = { method: "GET", path: "/", body: undefined, contentType: undefined, key: "key-1" };
        const call = { run: 1, dispatch: 1, stream: "s-1", resumeAt: undefined, deadline: Infinity, request };
        const kinds: Message["kind"][] = [];
        await new Promise<void>((resolve) => {
            pool = new EndpointPool(CONNECT_TIMEOUT_MS, (message) => {
                kinds.push(message.kind);
                if (message.kind === "endpoint-end" || message.kind === "endpoint-failed") {
                    resolve();
                }
            });
            pool.send(brand<EndpointId>("booking-1"), declaration, call, false);
        });
        return kinds;
    }

    it("is complete when its connection is closed", async () => {
        const kinds = await messagesOf((socket) => socket.end("HTTP/1.1 200 OK\r\n\r\nwhole"));
        expect(kinds).toEqual(["endpoint-chunk", "endpoint-end"]);
    });

    it("has failed when its connection is reset", async () => {
        const kinds = await messagesOf((socket) => {
            socket.write("HTTP/1.1 200 OK\r\n\r\npart");
            setTimeout(() => socket.resetAndDestroy(), 50);
        });
        expect(kinds).toEqual(["endpoint-failed"]);
    });
});
