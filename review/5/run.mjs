// A second SIGTERM while a router drains.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { PLAIN, writeConfiguration } from "../lib/configuration.mjs";
import { runCase, sleep, trouble } from "../lib/deployment.mjs";
import { call, sealOf, startRunner } from "../lib/peers.mjs";

const ORDERS = 24;
const WORK_MS = 700;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
    writeConfiguration(deployment.store);
    const runners = [];
    for (const zone of ["zone-a", "zone-b", "zone-c", "zone-d"]) {
        runners.push(
            await startRunner(deployment, {
                id: `i-${zone}`,
                service: PLAIN.name,
                zone,
                slots: 6,
                respond: ({ response, requestId }) => {
                    setTimeout(() => {
                        const body = `order ${requestId} booked\n`;
                        response.writeHead(200, {
                            "Request-Id": requestId,
                            "Response-Seal": sealOf("d", requestId),
                            "Content-Length": Buffer.byteLength(body),
                        });
                        response.end(body);
                    }, WORK_MS);
                },
            }),
        );
    }
    const router = await deployment.startRouter("front-1", "zone-a");
    await deployment.startRouter("front-2", "zone-b");
    await sleep(3000);
    router.kill("SIGTERM");
    const stoppedAt = performance.now();
    record.line("SIGTERM to front-1");
    await sleep(300);
    // Orders on connections to an address that the clients were given before the stop.
    const calls = Array.from(
        { length: ORDERS },
        (unused, index) => sleep(index * 20).then(() => call(router.front, { path: "/order/1", key: "key0", deadlineMs: 2500, body: `order ${index}` })),
    );
    await sleep(ORDERS * 20 + 60);
    if (trouble) {
        router.kill("SIGTERM");
        record.line("SIGTERM to front-1 again");
    }
    const seen = await Promise.all(calls);
    const ran = new Set(runners.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)));
    let lost = 0;
    for (const { requestId, status, complete, error } of seen) {
        // Passed on to a runner, and the connection ended without a complete answer.
        const isLost = ran.has(requestId) && !(status !== undefined && complete) && error !== "deadline";
        lost += isLost ? 1 : 0;
        record.line(`${requestId} ran: ${ran.has(requestId)} answer: ${status ?? "none"} complete: ${complete} end: ${error ?? "answer"}${isLost ? "  LOST" : ""}`);
    }
    const { code, signal, at } = await Promise.race([router.exit, sleep(9000).then(() => ({}))]);
    record.line(`front-1 ended ${at === undefined ? "not within 9 s" : `${Math.round(at - stoppedAt)} ms after the first SIGTERM, code ${code} signal ${signal}`}`);
    record.line(`orders sent ${seen.length}, run ${seen.filter(({ requestId }) => ran.has(requestId)).length}, lost ${lost}`);
    return lost > 0;
});
