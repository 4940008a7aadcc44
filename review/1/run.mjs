// The store comes back from a copy some seconds old.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { MODEL, STRIDE, writeConfiguration } from "../lib/configuration.mjs";
import { runCase, sleep, trouble } from "../lib/deployment.mjs";
import { call, sealOf, startRunner } from "../lib/peers.mjs";

const TENANTS = 10;
const PREPAID = 100_000;
const ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"];
const ROUTERS = 6;
const AWAY_MS = 1_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
    const { store } = deployment;
    writeConfiguration(store, { tenants: TENANTS, prepaid: PREPAID });
    const runners = [];
    for (const zone of ZONES) {
        runners.push(
            await startRunner(deployment, {
                id: `i-${zone}`,
                service: MODEL.name,
                zone,
                slots: 64,
                respond: ({ request, response, requestId }) => {
                    const events = Number(request.headers["token-count"].split(",")[1]) / STRIDE;
                    response.writeHead(200, {
                        "Request-Id": requestId,
                        "Response-Seal": sealOf("f", requestId),
                        "Content-Type": "text/event-stream",
                    });
                    for (let id = 1; id <= events; id++) {
                        response.write(`id: ${id}\ndata: five tokens of event ${id}\n\n`);
                    }
                    response.end();
                },
            }),
        );
    }
    const routers = await Promise.all(
        Array.from({ length: ROUTERS }, (unused, index) => deployment.startRouter(`front-${index + 1}`, ZONES[index % ZONES.length])),
    );
    await sleep(5000);

    const used = new Array(TENANTS).fill(0);
    const statuses = new Map();
    let count = 0;
    // Sends a request that uses all of its tokens, and counts what the tenant got.
    const use = async (router, tenant, prompt, output) => {
        const seen = await call(router.front, {
            path: "/note/1",
            key: `key${tenant}`,
            deadlineMs: 12_000,
            body: `note ${++count}`,
            headers: { Model: "m", "Token-Count": `${prompt},${output}`, "Prompt-Prefix": `${(count + 4096).toString(16)}:${prompt}` },
        });
        const events = (seen.body.match(/^id: /gm) ?? []).length;
        if (seen.status === 200) {
            used[tenant] += prompt + events * STRIDE;
        }
        const name = `${router.name} ${seen.status ?? seen.error}`;
        statuses.set(name, (statuses.get(name) ?? 0) + 1);
        return seen.status;
    };
    const all = Array.from({ length: TENANTS }, (unused, index) => index);
    const report = (text) => {
        record.line(`${text}: ${[...statuses].sort().map(([name, times]) => `${name} x ${times}`).join(", ")}`);
        statuses.clear();
    };
    // Each tenant keeps to one router at first.
    const rounds = async (times) => {
        for (let round = 0; round < times; round++) {
            await Promise.all(all.map((tenant) => use(routers[tenant % ROUTERS], tenant, 2900, 100)));
            await sleep(300);
        }
    };

    const copy = store.copy();
    record.line(`the copy of the store is made, revision ${copy.revision}`);
    await rounds(14);
    report("requests after the copy");
    if (trouble) {
        record.line(`the store is away, revision ${store.revision}`);
        store.leave();
        await sleep(AWAY_MS);
        store.restore(copy);
        record.line(`the store is back from the copy, revision ${store.revision}, era ${store.era}`);
        // What the operator and the runners wrote is written again.
        writeConfiguration(store, { tenants: TENANTS, prepaid: PREPAID });
        runners.forEach((runner) => runner.register());
    }
    await sleep(4000);

    // The tenants use up what they have, at all machines.
    const open = new Set(all);
    const refused = new Array(TENANTS).fill(0);
    const endAt = performance.now() + 45_000;
    for (let round = 0; open.size > 0 && performance.now() < endAt; round++) {
        await Promise.all([...open].map(async (tenant) => {
            const results = await Promise.all(routers.map((router) => use(router, tenant, 900, 100)));
            refused[tenant] = results.includes(200) ? 0 : refused[tenant] + 1;
            if (refused[tenant] >= 15) {
                open.delete(tenant);
            }
        }));
        await sleep(refused.some((times) => times > 0) ? 300 : 50);
    }
    report("until all is used");
    const over = used.filter((tokens) => tokens > PREPAID);
    used.forEach((tokens, tenant) => record.line(`tenant${tenant} got ${tokens} of ${PREPAID} tokens${tokens > PREPAID ? "  BUDGET" : ""}`));
    record.line(`tenants that got more than their prepaid: ${over.length} of ${TENANTS}`);
    return over.length > 0;
});
