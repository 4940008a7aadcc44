// Stand-in of a runner, as PROTOCOL.md describes it. Usage: node runner.mjs ID PORT
// The answer depends on the path of the request: /P/... with P one of
//   events    a stream of 20 events with neither a length nor chunks, one event each 100 ms
//   record    a plain answer of 20 pieces with neither a length nor chunks, one piece each 100 ms
//   short     a stream of 4 events in chunks, at once
// Each line on standard output tells of one request that it runs, or of the end of the run.
import { createServer } from "node:net";

const [, , id, port] = process.argv;
const PIECES = 20;
const PIECE_MS = 100;
const RECORD_PIECE_BYTES = 32 * 1024;
const SHORT_EVENTS = 4;

export function eventOf(number) {
    return `id: ${number}\ndata: event ${number}\n\n`;
}

export function pieceOf(number) {
    return String(number % 10).repeat(RECORD_PIECE_BYTES);
}

export const wholeBody = {
    events: Array.from({ length: PIECES }, (unused, index) => eventOf(index + 1)).join(""),
    record: Array.from({ length: PIECES }, (unused, index) => pieceOf(index + 1)).join(""),
    short: Array.from({ length: SHORT_EVENTS }, (unused, index) => eventOf(index + 1)).join(""),
};

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const tell = (line) => process.stdout.write(`${JSON.stringify({ runner: id, ...line })}\n`);

function headOf(status, headers) {
    return `HTTP/1.1 ${status} Status\r\n${headers.map((header) => `${header}\r\n`).join("")}\r\n`;
}

async function answer(socket, request) {
    const { path, requestId, expected } = request;
    if (expected !== undefined && expected !== id) {
        socket.write(headOf(421, [`Instance-Id: ${id}`, "Content-Length: 0"]));
        return;
    }
    const form = path.split("/")[1];
    tell({ runs: requestId, path, tenant: request.tenant, tokens: request.tokens });
    const own = [`Request-Id: ${requestId}`, "Response-Seal: 3e1b.07", "Instance-Load: 1,0,64"];
    if (form === "short") {
        const chunk = wholeBody.short;
        socket.write(headOf(200, [...own, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]));
        socket.write(`${chunk.length.toString(16)}\r\n${chunk}\r\n0\r\n\r\n`);
        tell({ ended: requestId });
        return;
    }
    const type = form === "events" ? "text/event-stream" : "application/octet-stream";
    socket.write(headOf(200, [...own, `Content-Type: ${type}`, "Connection: close"]));
    for (let number = 1; number <= PIECES && !socket.destroyed; number++) {
        socket.write(form === "events" ? eventOf(number) : pieceOf(number));
        await sleep(PIECE_MS);
    }
    tell({ ended: requestId, whole: !socket.destroyed });
    socket.end();
}

if (port !== undefined) {
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
                void answer(socket, {
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
}
