import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ConnectionLimit } from "./connection-limit.js";
import type { ResourceEvent } from "./request-memory.js";

const MAX_CONNECTIONS = 2;
const REFUSED_PATH = "/refused";
const requestFor = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

describe("the limit of connections", () => {
    let server: Server;
    let responses: ServerResponse[];
    let events: ResourceEvent[];
    let limit: ConnectionLimit;
    const sockets: Socket[] = [];

    beforeEach(async () => {
        responses = [];
        events = [];
        server = createServer((request, response) => {
            responses.push(response);
            if (request.url === REFUSED_PATH) {
                limit.startClosing(request.socket);
            }
        });
        limit = new ConnectionLimit(server, MAX_CONNECTIONS, (event) => void events.push(event));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    });

    afterEach(() => {
        sockets.splice(0).forEach((socket) => socket.destroy());
        server.close();
    });

    const open = async (): Promise<Socket> => {
        const accepted = once(server, "connection");
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1").on("error", () => undefined);
        sockets.push(socket.resume());
        await accepted;
        return socket;
    };
    const startRequest = async (socket: Socket, path = "/"): Promise<void> => {
        const received = once(server, "request");
        socket.write(requestFor(path));
        await received;
    };

    it("closes the connection that has carried no request before those that have", async () => {
        const used = await open();
        await startRequest(used);
        responses[0]!.end();
        await once(used, "data");
        const unused = await open();
        await open();
        await once(unused, "close");
        expect(used.destroyed).toBe(false);
        expect(events).toEqual(["idle-connection-closed"]);
    });

    // Guards against requests that run and lose their connection to one that has just been opened.
    it("keeps connections with open requests, and refuses new ones then", async () => {
        for (let count = 0; count < MAX_CONNECTIONS; count++) {
            await startRequest(await open());
        }
        const refused = await open();
        await once(refused, "close");
        expect(events).toEqual(["connection-refused"]);
        expect(sockets.filter((socket) => !socket.destroyed)).toHaveLength(MAX_CONNECTIONS);
    });

    // Guards against callers that are kept out by connections which only wait for the end of a refused body.
    it("closes connections of refused requests rather than refuse new ones", async () => {
        const busy = await open();
        await startRequest(busy);
        const refused = await open();
        await startRequest(refused, REFUSED_PATH);
        await open();
        await once(refused, "close");
        expect(busy.destroyed).toBe(false);
        expect(events).toEqual(["idle-connection-closed"]);
    });
});
