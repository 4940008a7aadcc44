// A router stops as planned while it forwards streams whose runners state no length. SIGNAL=SIGKILL: it is killed.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { MODEL, writeConfiguration } from "../lib/configuration.mjs";
import { runCase, sleep, trouble } from "../lib/deployment.mjs";
import { callRaw, sealOf, startRunner } from "../lib/peers.mjs";

const STREAMS = 120;
/** One in 20 answers of one of the two runners has no length: share .5, x .05. */
const UNFRAMED_EVERY = 20;
const EVENTS = 58;
const EVENT_MS = Number(process.env.EVENT_MS ?? 170);
const SIGNAL = process.env.SIGNAL ?? "SIGTERM";
const event = (requestId, id) => `id: ${id}\ndata: piece ${id} of ${requestId}\n\n`;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
    writeConfiguration(deployment.store);
    const runners = [];
    const unframed = new Set();
    let answers = 0;
    for (const zone of ["zone-a", "zone-b"]) {
        runners.push(
            await startRunner(deployment, {
                id: `i-${zone}`,
                service: MODEL.name,
                zone,
                slots: 64,
                respond: async ({ request, response, requestId }) => {
                    const headers = { "Request-Id": requestId, "Response-Seal": sealOf("o", requestId), "Content-Type": "text/event-stream" };
                    const isUnframed = zone === "zone-a" && ++answers % UNFRAMED_EVERY === 0;
                    const { socket } = request;
                    if (isUnframed) {
                        unframed.add(requestId);
                        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
                        socket.write(`HTTP/1.1 200 OK\r\n${lines}Connection: close\r\n\r\n`);
                    }
                    else {
                        response.writeHead(200, headers);
                    }
                    for (let id = 1; id <= EVENTS && !socket.destroyed; id++) {
                        await sleep(EVENT_MS);
                        (isUnframed ? socket : response).write(event(requestId, id));
                    }
                    (isUnframed ? socket : response).end();
                },
            }),
        );
    }
    const router = await deployment.startRouter("front-1", "zone-a");
    await deployment.startRouter("front-2", "zone-b");
    await sleep(1000);
    const calls = Array.from({ length: STREAMS }, async (unused, index) => {
        await sleep(index * 4);
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
            `${requestId} ran: ${ran} without length: ${unframed.has(requestId)} answer: ${status} pieces: ${seen} of ${EVENTS}, in chunks: ${isChunked}, connection: ${how}${isWrong ? "  ORDER" : ""}`,
        );
    }
    record.line(`streams ${STREAMS}, without length ${unframed.size}, ended as complete before the last piece ${wrong}`);
    return wrong > 0;
});
