// A faulty runner answers its streams with bytes that are no events and have no end.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { MODEL, PLAIN, routes, writeConfiguration } from "../lib/configuration.mjs";
import { runCase, sleep, trouble } from "../lib/deployment.mjs";
import { call, sealOf, startRunner } from "../lib/peers.mjs";

const STREAMS = 16;
const PIECE_BYTES = Number(process.env.PIECE_BYTES ?? 16);
const READ_INTERVAL_MS = 50;
const READ_S = 20;
const NO_ANSWER_AFTER_MS = 500;

const head = (requestId) => ({
    "Request-Id": requestId,
    "Response-Seal": sealOf("b", requestId),
    "Content-Type": "text/event-stream",
});

// A sound stream: 58 events over two seconds.
async function stream(response, requestId) {
    response.writeHead(200, head(requestId));
    for (let id = 1; id <= 58 && !response.destroyed; id++) {
        response.write(`id: ${id}\ndata: text of event ${id} of ${requestId}\n\n`);
        await sleep(35);
    }
    response.end();
}

// Bytes that are no events, until the caller closes.
function babble(response, requestId) {
    response.writeHead(200, head(requestId));
    const piece = Buffer.alloc(PIECE_BYTES, "x");
    const write = () => {
        while (!response.destroyed) {
            if (!response.write(piece)) {
                response.once("drain", write);
                return;
            }
        }
    };
    write();
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
    writeConfiguration(deployment.store);
    let isFaulty = false;
    for (const [zone, canFail] of [["zone-a", true], ["zone-b", false]]) {
        await startRunner(deployment, {
            id: `i-model-${zone}`,
            service: MODEL.name,
            zone,
            slots: 64,
            respond: ({ response, requestId }) =>
                void (isFaulty && canFail ? babble(response, requestId) : stream(response, requestId)),
        });
        await startRunner(deployment, {
            id: `i-plain-${zone}`,
            service: PLAIN.name,
            zone,
            slots: 6,
            respond: ({ response, requestId }) =>
                setTimeout(() => {
                    const body = `record for ${requestId}\n`;
                    response.writeHead(200, {
                        "Request-Id": requestId,
                        "Response-Seal": sealOf("b", requestId),
                        "Content-Length": body.length,
                    });
                    response.end(body);
                }, 30),
        });
    }
    const router = await deployment.startRouter("front-1", "zone-a");
    await sleep(2000);
    const reads = [];
    const notes = [];
    const note = () =>
        call(router.front, {
            path: "/note/1",
            key: "key0",
            deadlineMs: 12000,
            body: "note",
            headers: { Model: "m", "Token-Count": "628,290", "Prompt-Prefix": `${(notes.length + 16).toString(16)}:628` },
        });
    const startedAt = performance.now();
    for (let tick = 0; tick < READ_S * 1000 / READ_INTERVAL_MS; tick++) {
        if (tick * READ_INTERVAL_MS === 4000) {
            isFaulty = trouble;
            record.line(trouble ? "one model runner becomes faulty" : "no runner becomes faulty");
        }
        if (tick % 5 === 0 && notes.length < 4 * STREAMS) {
            notes.push(note());
        }
        reads.push(call(router.front, { method: "GET", path: "/read/1", key: "key0", deadlineMs: 2500 }));
        await sleep(Math.max(0, startedAt + (tick + 1) * READ_INTERVAL_MS - performance.now()));
    }
    const { timeoutMs } = routes.read;
    let overdue = 0;
    let withoutAnswer = 0;
    for (const seen of await Promise.all(reads)) {
        const tookMs = seen.endedAt - seen.sentAt;
        const answered = seen.status !== undefined;
        overdue += tookMs >= timeoutMs || !answered ? 1 : 0;
        const isBroken = !answered || tookMs > timeoutMs + NO_ANSWER_AFTER_MS;
        withoutAnswer += isBroken ? 1 : 0;
        record.line(`read ${seen.requestId} sent at ${((seen.sentAt - startedAt) / 1000).toFixed(2)} s: ${seen.status ?? seen.error} after ${Math.round(tookMs)} ms`);
    }
    for (const seen of await Promise.all(notes)) {
        record.line(`note ${seen.requestId} sent at ${((seen.sentAt - startedAt) / 1000).toFixed(2)} s: ${seen.status ?? seen.error}, complete: ${seen.complete}, ${seen.body.length} B after ${Math.round(seen.endedAt - seen.sentAt)} ms`);
    }
    record.line(`reads ${reads.length}; unanswered at ${timeoutMs} ms: ${overdue}; of these without an answer ${NO_ANSWER_AFTER_MS} ms later: ${withoutAnswer}`);
    return withoutAnswer >= 8 && withoutAnswer > overdue / 2;
});
