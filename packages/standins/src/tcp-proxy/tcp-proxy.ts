import { once } from "node:events";
import { createConnection, createServer, type Server, type Socket } from "node:net";

/** How a proxy treats its connections. */
export type TcpProxyState = "open" | "cut" | "silent";

/** A TCP proxy that can refuse all connections, or stop forwarding on the open ones while new ones work. */
export class TcpProxy {
    private readonly server: Server;
    private readonly connections = new Set<readonly [Socket, Socket]>();
    private state: TcpProxyState = "open";

    constructor(private readonly targetPort: number) {
        this.server = createServer((socket) => this.accept(socket));
    }

    /** Starts to listen on loopback. Rejects when the port is in use. */
    async listen(port: number): Promise<void> {
        this.server.listen(port, "127.0.0.1");
        await once(this.server, "listening");
    }

    /** Closes and refuses connections, stops forwarding on the open ones, or accepts connections again. */
    setState(state: TcpProxyState): void {
        this.state = state;
        for (const [clientSocket, upstreamSocket] of this.connections) {
            if (state === "cut") {
                clientSocket.destroy();
                upstreamSocket.destroy();
            }
            if (state === "silent") {
                clientSocket.unpipe(upstreamSocket);
                upstreamSocket.unpipe(clientSocket);
                clientSocket.pause();
                upstreamSocket.pause();
                this.connections.delete([clientSocket, upstreamSocket]);
            }
        }
        if (state === "silent") {
            this.connections.clear();
            this.state = "open";
        }
    }

    /** Closes all connections and stops listening. */
    close(): void {
        this.setState("cut");
        this.server.close();
    }

    private accept(clientSocket: Socket): void {
        clientSocket.on("error", () => clientSocket.destroy());
        if (this.state === "cut") {
            clientSocket.destroy();
            return;
        }
        const upstreamSocket = createConnection({ port: this.targetPort, host: "127.0.0.1" });
        const connection = [clientSocket, upstreamSocket] as const;
        this.connections.add(connection);
        upstreamSocket.on("error", () => clientSocket.destroy());
        upstreamSocket.on("close", () => this.closeConnection(connection));
        clientSocket.on("close", () => this.closeConnection(connection));
        clientSocket.pipe(upstreamSocket);
        upstreamSocket.pipe(clientSocket);
    }

    private closeConnection(connection: readonly [Socket, Socket]): void {
        this.connections.delete(connection);
        connection[0].destroy();
        connection[1].destroy();
    }
}
