import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, expect, it } from "vitest";
import { checkConnection } from "./connection-check.js";

describe("connection check", () => {
    it("distinguishes an endpoint that listens from one that does not", async () => {
        const server = createServer((socket) => socket.on("error", () => undefined));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        expect(await checkConnection(address)).toBe("accepted");
        server.close();
        await once(server, "close");
        expect(await checkConnection(address)).toBe("refused");
    });
});
