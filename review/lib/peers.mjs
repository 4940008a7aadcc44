// Stand-ins for runners and clients.
import { createServer, request as send } from "node:http";
import { createConnection } from "node:net";
import { freePort, HOST } from "./deployment.mjs";

let requestCount = 0;

export const nextRequestId = () => (0x9c41d07b00000000n + BigInt(++requestCount)).toString(16);

/** Starts a runner in this process, registers it and renews its registration. `respond` answers requests. */
export async function startRunner(deployment, { id, service, zone, slots, respond }) {
    const port = await freePort();
    const runner = { id, port, runs: [], state: "ready", running: 0, seq: 0 };
    const born = Date.now();
    runner.server = createServer((request, response) => {
        response.on("error", () => undefined);
        const chunks = [];
        request.on("data", (chunk) => chunks.push(chunk));
        request.on("end", () => {
            const requestId = request.headers["request-id"];
            if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== id) {
                response.writeHead(421, { "Instance-Id": id }).end();
                return;
            }
            runner.runs.push({ requestId, at: performance.now() });
            runner.running++;
            response.once("close", () => runner.running--);
            respond({ request, response, requestId, body: Buffer.concat(chunks), runner });
        });
    });
    runner.server.keepAliveTimeout = 60_000;
    await new Promise((done) => runner.server.listen(port, "127.0.0.1", done));
    runner.register = () =>
        deployment.store.put(`servers/${id}`, {
            service,
            address: `127.0.0.1:${port}`,
            zone,
            version: 1,
            slots,
            state: runner.state,
            coldRemainingMs: 0,
            seq: ++runner.seq,
            born,
        });
    runner.register();
    const timer = setInterval(() => runner.register(), 1200);
    deployment.closers.push(() => {
        clearInterval(timer);
        runner.server.closeAllConnections();
        runner.server.close();
    });
    return runner;
}

export const sealOf = (id, requestId) => `${requestId.slice(-4)}.${id}.0.0.0.c9f2a4d1`;

/** Sends one request on a new connection and resolves with what the client saw. */
export function call(port, { method = "POST", path, key, body = "", deadlineMs, headers = {} }) {
    const requestId = nextRequestId();
    const sentAt = performance.now();
    return new Promise((resolve) => {
        const seen = { requestId, sentAt, status: undefined, body: "", complete: false, endedAt: undefined, error: undefined };
        const finish = (more) => {
            if (seen.endedAt === undefined) {
                clearTimeout(timer);
                Object.assign(seen, more, { endedAt: performance.now() });
                resolve(seen);
            }
        };
        const request = send({
            host: "127.0.0.1",
            port,
            method,
            path,
            agent: false,
            headers: {
                Host: HOST,
                "Request-Id": requestId,
                "Deadline-Ms": String(deadlineMs),
                ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }),
                ...headers,
            },
        }, (response) => {
            seen.status = response.statusCode;
            seen.headers = response.headers;
            response.on("data", (chunk) => (seen.body += chunk));
            response.on("end", () => finish({ complete: response.complete }));
            response.on("error", (error) => finish({ error: error.code }));
        });
        const timer = setTimeout(() => {
            finish({ error: "deadline" });
            request.destroy();
        }, deadlineMs);
        request.on("error", (error) => finish({ error: error.code ?? error.message }));
        request.end(body);
    });
}

/** Sends one request on a raw connection, so that the end of the connection is seen as it comes: closed or reset. */
export function callRaw(port, { method = "POST", path, body = "", deadlineMs, key }) {
    const requestId = nextRequestId();
    return new Promise((resolve) => {
        const chunks = [];
        let how = "deadline";
        const socket = createConnection(port, "127.0.0.1", () => {
            socket.write(
                `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: ${deadlineMs}\r\n`
                    + (key === undefined ? "" : `Authorization: Bearer ${key}\r\n`)
                    + `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
            );
        });
        const timer = setTimeout(() => socket.destroy(), deadlineMs);
        socket.on("data", (chunk) => {
            chunks.push(chunk);
            // The last chunk of a body ends an answer in chunks; the connection is kept.
            if (chunk.subarray(-5).toString() === "0\r\n\r\n") {
                how = "kept";
                socket.destroy();
            }
        });
        socket.on("end", () => (how = "closed"));
        socket.on("error", (error) => (how = error.code));
        socket.on("close", () => {
            clearTimeout(timer);
            const text = Buffer.concat(chunks).toString("latin1");
            const split = text.indexOf("\r\n\r\n");
            const head = split < 0 ? text : text.slice(0, split);
            resolve({ requestId, how, head, status: Number(head.split(" ")[1]), body: split < 0 ? "" : text.slice(split + 4) });
        });
    });
}
