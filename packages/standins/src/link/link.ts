import { once } from "node:events";
import { createConnection, createServer, type Server, type Socket } from "node:net";

/** How a link treats its connections. */
export type LinkState = "open" | "cut" | "silent";

/** A TCP link that can be cut, or whose open connections can go silent while new ones work. */
export class Link {
    private readonly server: Server;
    private readonly pairs = new Set<readonly [Socket, Socket]>();
    private state: LinkState = "open";

    constructor(private readonly targetPort: number) {
        this.server = createServer((socket) => this.accept(socket));
    }

    /** Starts to listen on loopback. Rejects when the port is in use. */
    async listen(port: number): Promise<void> {
        this.server.listen(port, "127.0.0.1");
        await once(this.server, "listening");
    }

    /** Cuts the link, silences its open connections, or opens it again. */
    set(state: LinkState): void {
        this.state = state;
        for (const [near, far] of this.pairs) {
            if (state === "cut") {
                near.destroy();
                far.destroy();
            }
            if (state === "silent") {
                near.unpipe(far);
                far.unpipe(near);
                near.pause();
                far.pause();
                this.pairs.delete([near, far]);
            }
        }
        if (state === "silent") {
            this.pairs.clear();
            this.state = "open";
        }
    }

    /** Stops listening. */
    close(): void {
        this.set("cut");
        this.server.close();
    }

    private accept(near: Socket): void {
        near.on("error", () => near.destroy());
        if (this.state === "cut") {
            near.destroy();
            return;
        }
        const far = createConnection({ port: this.targetPort, host: "127.0.0.1" });
        const pair = [near, far] as const;
        this.pairs.add(pair);
        far.on("error", () => near.destroy());
        far.on("close", () => this.drop(pair));
        near.on("close", () => this.drop(pair));
        near.pipe(far);
        far.pipe(near);
    }

    private drop(pair: readonly [Socket, Socket]): void {
        this.pairs.delete(pair);
        pair[0].destroy();
        pair[1].destroy();
    }
}
