// Stand-in of a model runner, as PROTOCOL.md describes it. Usage: node runner.mjs ID PORT
// It answers each request at once by a stream of four events in chunks.
// Each line on standard output tells of one request that it runs, or of the end of the run.
import { createServer } from "node:net";

const [, , id, port] = process.argv;
const EVENTS = 4;
const body = Array.from({ length: EVENTS }, (unused, index) => `id: ${index + 1}\ndata: event ${index + 1}\n\n`).join("");

const tell = (line) => process.stdout.write(`${JSON.stringify({ runner: id, ...line })}\n`);

function headOf(status, headers) {
    return `HTTP/1.1 ${status} Status\r\n${headers.map((header) => `${header}\r\n`).join("")}\r\n`;
}

function answer(socket, request) {
    const { path, requestId, expected } = request;
    if (expected !== undefined && expected !== id) {
        socket.write(headOf(421, [`Instance-Id: ${id}`, "Content-Length: 0"]));
        return;
    }
    tell({ runs: requestId, path, tenant: request.tenant, tokens: request.tokens });
    const own = [`Request-Id: ${requestId}`, "Response-Seal: 3e1b.07", "Instance-Load: 1,0,64"];
    socket.write(headOf(200, [...own, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]));
    socket.write(`${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`);
    tell({ ended: requestId });
}

const server = createServer({ noDelay: true }, (socket) => {
    let received = "";
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
        received += bytes.toString("latin1");
        for (;;) {
            const headEnd = received.indexOf("\r\n\r\n");
            const head = received.slice(0, headEnd);
            const field = (name) => new RegExp(`^${name}: *(.*)$`, "im").exec(head)?.[1].trim();
            const length = Number(field("content-length") ?? 0);
            if (headEnd < 0 || received.length < headEnd + 4 + length) {
                return;
            }
            received = received.slice(headEnd + 4 + length);
            answer(socket, {
                path: head.split(" ")[1],
                requestId: field("request-id"),
                expected: field("expect-instance"),
                tenant: field("tenant"),
                tokens: field("token-count"),
            });
        }
    });
});
server.listen(Number(port), "127.0.0.1", () => tell({ listens: Number(port) }));
