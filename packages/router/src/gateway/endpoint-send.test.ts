import { once } from "node:events";
import { connect, createServer, type Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type Send, watchConnecting } from "./endpoint-send.js";
import { splitAddress } from "./gateway-settings.js";

const clock = (): number => performance.now();

function holdEventLoop(timeMs: number): void {
    for (const end = clock() + timeMs; clock() < end;) {
        // Busy.
    }
}

// Guards against requests of a busy router that gave up connections which had been made, and opened others elsewhere.
describe("a send that waits for a connection", () => {
    let server: Server;
    let send: Pick<Send, "requestStarted" | "ended">;
    let timeouts: number;
    const watch = (): void => watchConnecting(send as Send, clock, () => timeouts++);

    beforeEach(async () => {
        send = { requestStarted: false, ended: false };
        timeouts = 0;
        server = createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
    });

    afterEach(() => void server.close());

    it("uses one that was made while the router was held beyond the time-out", async () => {
        const { host, port } = splitAddress(`127.0.0.1:${(server.address() as { port: number; }).port}`);
        watch();
        const socket = connect(port, host, () => {
            send.requestStarted = true;
        });
        holdEventLoop(400);
        await sleep(300);
        expect(timeouts).toBe(0);
        socket.destroy();
    });

    it("gets another chance if the router was held, and no third one", async () => {
        watch();
        holdEventLoop(400);
        await sleep(100);
        expect(timeouts).toBe(0);
        await sleep(400);
        expect(timeouts).toBe(1);
    });

    it("is given up in time if the router was not held", async () => {
        watch();
        await sleep(300);
        expect(timeouts).toBe(1);
    });

    it("is left alone once it has ended", async () => {
        watch();
        send.ended = true;
        await sleep(300);
        expect(timeouts).toBe(0);
    });
});
