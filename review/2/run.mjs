// A router stops as planned while it forwards streams whose runners state no length. SIGNAL=SIGKILL: it is killed.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { MODEL, writeConfiguration } from "../lib/configuration.mjs";
import { runCase, sleep, trouble } from "../lib/deployment.mjs";
import { callRaw, startRunner } from "../lib/peers.mjs";

const STREAMS = 8;
const EVENTS = 58;
const EVENT_MS = Number(process.env.EVENT_MS ?? 170);
const SIGNAL = process.env.SIGNAL ?? "SIGTERM";
const event = (requestId, id) => `id: ${id}\ndata: piece ${id} of ${requestId}\n\n`;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
    writeConfiguration(deployment.store);
    const runners = [];
    for (const zone of ["zone-a", "zone-b"]) {
        runners.push(
            await startRunner(deployment, {
                id: `i-${zone}`,
                service: MODEL.name,
                zone,
                slots: 64,
                respond: async ({ request, requestId }) => {
                    const { socket } = request;
                    socket.on("error", () => undefined);
                    socket.write(
                        `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Seal: o.${requestId}\r\n`
                            + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
                    );
                    for (let id = 1; id <= EVENTS && !socket.destroyed; id++) {
                        await sleep(EVENT_MS);
                        socket.write(event(requestId, id));
                    }
                    socket.end();
                },
            }),
        );
    }
    const router = await deployment.startRouter("front-1", "zone-a");
    await deployment.startRouter("front-2", "zone-b");
    await sleep(1000);
    const calls = Array.from({ length: STREAMS }, async (unused, index) => {
        await sleep(index * 10);
        return callRaw(router.front, { path: `/note/${index}`, key: "key0", deadlineMs: 12_000, body: `note ${index}` });
    });
    await sleep(1000);
    if (trouble) {
        router.kill(SIGNAL);
        record.line(`${SIGNAL} to front-1`);
        void router.exit.then(() => record.line("front-1 has ended"));
    }
    let wrong = 0;
    for (const { requestId, how, head, status, body } of await Promise.all(calls)) {
        const isChunked = /transfer-encoding: *chunked/i.test(head);
        const seen = (body.match(/^id: /gm) ?? []).length;
        // Without chunks and length, an ordinary close of the connection ends the body; a reset does not.
        const looksComplete = status === 200 && (isChunked ? /\r\n0\r\n\r\n$/.test(body) : how === "closed");
        const isWrong = looksComplete && seen < EVENTS;
        wrong += isWrong ? 1 : 0;
        const ran = runners.some(({ runs }) => runs.some((run) => run.requestId === requestId));
        record.line(
            `${requestId} ran: ${ran} answer: ${status} pieces: ${seen} of ${EVENTS}, in chunks: ${isChunked}, connection: ${how}${isWrong ? "  ORDER" : ""}`,
        );
    }
    record.line(`streams ${STREAMS}, ended as complete before the last piece ${wrong}`);
    return wrong > 0;
});
