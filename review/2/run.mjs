// A router freezes for a moment while another one borrows prepaid tokens from it.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { MODEL, STRIDE, writeConfiguration } from "../lib/configuration.mjs";
import { runCase, sleep, trouble } from "../lib/deployment.mjs";
import { call, sealOf, startRunner } from "../lib/peers.mjs";

const GROUPS = 3;
const GROUP = 12;
const TENANTS = GROUPS * GROUP;
const PREPAID = 100_000;
const LARGE = [49_800, 200];
/** Length of a freeze, and when the later requests come to the borrower, in ms after the beginning of the freeze. */
const FREEZE_MS = 1_540;
const ARRIVALS_MS = [1_350, 1_410, 1_450, 1_480];

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
    writeConfiguration(deployment.store, { tenants: TENANTS, prepaid: PREPAID });
    for (const zone of ["zone-a", "zone-b", "zone-c", "zone-d"]) {
        await startRunner(deployment, {
            id: `i-${zone}`,
            service: MODEL.name,
            zone,
            slots: 64,
            respond: ({ request, response, requestId }) => {
                const events = Number(request.headers["token-count"].split(",")[1]) / STRIDE;
                response.writeHead(200, {
                    "Request-Id": requestId,
                    "Response-Seal": sealOf("a", requestId),
                    "Content-Type": "text/event-stream",
                });
                for (let id = 1; id <= events; id++) {
                    response.write(`id: ${id}\ndata: five tokens of event ${id}\n\n`);
                }
                response.end();
            },
        });
    }
    let failures = 0;
    const lender = await deployment.startRouter("front-1", "zone-a");
    const borrower = await deployment.startRouter("front-2", "zone-b", {
        onLine: (line) => (failures += line.includes("Loan request failed") ? 1 : 0),
    });
    await deployment.startRouter("front-3", "zone-c");
    await sleep(4000);

    const used = new Array(TENANTS).fill(0);
    const statuses = new Map();
    let count = 0;
    // Sends a request that uses all of its tokens, and counts what the tenant got.
    const use = async (router, tenant, prompt, output) => {
        const seen = await call(router.front, {
            path: "/note/1",
            key: `key${tenant}`,
            deadlineMs: 12000,
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
        record.line(`${text}: ${[...statuses].map(([name, times]) => `${name} x ${times}`).join(", ")}`);
        statuses.clear();
    };

    for (let group = 0; group < GROUPS; group++) {
        const tenants = all.slice(group * GROUP, (group + 1) * GROUP);
        // The lender serves the tenants of the group, and so holds most of their tokens.
        for (let round = 0; round < 8; round++) {
            await Promise.all(tenants.map((tenant) => use(lender, tenant, 3800, 200)));
            await sleep(400);
        }
        await sleep(1500);
        report("requests at front-1");
        const frozenAt = performance.now();
        if (trouble) {
            lender.kill("SIGSTOP");
            record.line("front-1 freezes");
        }
        // All tenants come to the borrower, and some of them once more.
        const calls = [...tenants.map((tenant) => use(borrower, tenant, ...LARGE))];
        ARRIVALS_MS.forEach((arrivalMs, index) =>
            calls.push(sleep(arrivalMs).then(() => use(borrower, tenants[index], ...LARGE))));
        await sleep(FREEZE_MS);
        if (trouble) {
            lender.kill("SIGCONT");
            record.line(`front-1 wakes after ${Math.round(performance.now() - frozenAt)} ms; loan requests that failed at front-2 so far: ${failures}`);
        }
        await Promise.all(calls);
        await sleep(1300);
        await use(borrower, tenants[0], ...LARGE);
        await sleep(1500);
        report("requests at front-2");
    }

    // The tenants use up what they have, at both machines.
    let open = new Set(all);
    const refused = new Array(TENANTS).fill(0);
    for (let round = 0; round < 400 && open.size > 0; round++) {
        await Promise.all([...open].map(async (tenant) => {
            const results = await Promise.all([borrower, lender].map((router) => use(router, tenant, 900, 100)));
            refused[tenant] = results.includes(200) ? 0 : refused[tenant] + 1;
            if (refused[tenant] >= 12) {
                open.delete(tenant);
            }
        }));
        await sleep(refused.some((times) => times > 0) ? 150 : 20);
    }
    report("until all is used");
    const over = used.filter((tokens) => tokens > PREPAID);
    used.forEach((tokens, tenant) => record.line(`tenant${tenant} got ${tokens} of ${PREPAID} tokens${tokens > PREPAID ? "  BUDGET" : ""}`));
    record.line(`tenants that got more than their prepaid: ${over.length} of ${TENANTS}`);
    return over.length > 0;
});
