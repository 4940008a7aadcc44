// A model runner as a process of its own: its streams have no length and end with their connection.
import { createServer } from "node:http";

const [port, id, events, eventMs] = process.argv.slice(2);

process.on("disconnect", () => process.exit());

createServer((request, response) => {
    request.resume();
    request.on("end", () => {
        const requestId = request.headers["request-id"];
        if (request.headers["expect-instance"] !== id) {
            response.writeHead(421, { "Instance-Id": id }).end();
            return;
        }
        let piece = Number(request.headers["last-event-id"] ?? 0);
        process.send({ requestId, from: piece });
        const { socket } = request;
        socket.on("error", () => undefined);
        socket.write(
            `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Seal: c.${requestId}\r\n`
                + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
        );
        const timer = setInterval(() => {
            piece++;
            socket.write(`id: ${piece}\ndata: piece ${piece} of ${requestId}\n\n`);
            if (piece === Number(events)) {
                clearInterval(timer);
                socket.end();
            }
        }, Number(eventMs));
    });
}).listen(Number(port), "127.0.0.1", () => process.send({ listening: true }));
