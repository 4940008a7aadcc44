import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ResourceEvent } from "./request-memory.js";

/** Bounds the connections of a server. At the limit, idle connections are closed first. */
export class ConnectionLimit {
    /** Connections that have carried no request, the oldest first. */
    private readonly unused = new Set<Socket>();
    /** Connections without an open request, the one that is idle for longest first. */
    private readonly idle = new Set<Socket>();
    /** Connections that stay open for a moment only, so that their callers receive a refusal. */
    private readonly closing = new Set<Socket>();
    private readonly openRequests = new Map<Socket, number>();
    private count = 0;

    constructor(
        server: Server,
        private readonly maxConnections: number,
        private readonly onEvent: (event: ResourceEvent) => void,
        /** Ends a request whose connection can be closed, and returns whether there was one. */
        private readonly endRequest: () => boolean = () => false,
    ) {
        if (maxConnections === Infinity) {
            return;
        }
        server.on("connection", (socket: Socket) => this.add(socket));
        // A listener for "checkContinue" replaces the server's own response to "Expect: 100-continue".
        const handlesExpectations = server.listenerCount("checkContinue") > 0;
        for (const event of handlesExpectations ? ["request", "checkContinue"] : ["request"]) {
            // Before the request is handled, which may make its connection one that is closed soon.
            server.prependListener(
                event,
                (request: IncomingMessage, response: ServerResponse) => this.startRequest(request.socket, response),
            );
        }
    }

    /** Records that a connection is only open until its caller has received a refusal. */
    startClosing(socket: Socket): void {
        if (this.maxConnections !== Infinity && !socket.destroyed) {
            this.closing.add(socket);
        }
    }

    private add(socket: Socket): void {
        this.count++;
        socket.once("close", () => this.remove(socket));
        if (this.count > this.maxConnections && !this.makeRoom()) {
            this.onEvent("connection-refused");
            socket.destroy();
            return;
        }
        this.unused.add(socket);
    }

    private makeRoom(): boolean {
        for (const candidates of [this.unused, this.idle, this.closing]) {
            for (const socket of candidates) {
                candidates.delete(socket);
                if (!socket.destroyed) {
                    this.onEvent("idle-connection-closed");
                    socket.destroy();
                    return true;
                }
            }
        }
        if (!this.endRequest()) {
            return false;
        }
        this.onEvent("connection-ended");
        return true;
    }

    private startRequest(socket: Socket, response: ServerResponse): void {
        this.unused.delete(socket);
        this.idle.delete(socket);
        this.closing.delete(socket);
        this.openRequests.set(socket, (this.openRequests.get(socket) ?? 0) + 1);
        response.once("close", () => this.endResponse(socket));
    }

    private endResponse(socket: Socket): void {
        const open = (this.openRequests.get(socket) ?? 0) - 1;
        if (open > 0) {
            this.openRequests.set(socket, open);
            return;
        }
        this.openRequests.delete(socket);
        if (!socket.destroyed) {
            this.idle.add(socket);
        }
    }

    private remove(socket: Socket): void {
        this.count--;
        this.unused.delete(socket);
        this.idle.delete(socket);
        this.closing.delete(socket);
        this.openRequests.delete(socket);
    }
}
