import { adoptSnapshot } from "@gooseberrybend/core";
import { createHash } from "node:crypto";
import { request } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { reserveLoopbackAddress } from "./mocks/index.js";
import { tracesOfKey } from "./observability/trace-buffer.js";
import { type RunningRouter, startRouter } from "./server.js";
import { settingsSchema } from "./settings.js";

const { host, port } = reserveLoopbackAddress();
const address = `http://${host}:${port}`;
const digest = createHash("sha256").update("credential").digest("hex");
const keys = { peer: "peer-key-peer-key", operator: "operator-key-operator", resume: "resume-key-resume" };

describe("a running router", () => {
    let running: RunningRouter;
    beforeAll(async () => {
        const settings = {
            listen: { address: host, port },
            domain: "r/a",
            platform: { keyValue: "http://127.0.0.1:9" },
            keys,
            log: { level: "error", format: "json" },
            limits: { bodyBytes: 1_024 },
        };
        running = await startRouter(settingsSchema.parse(settings));
        const declaration = {
            accounts: [{ id: "a", credentialDigests: [digest] }],
            budgets: [{ account: "a", id: "main" }],
            endpoints: [{ id: "e", kind: "model", address: "http://127.0.0.1:9", domain: "r/a", serves: ["m"] }],
        };
        adoptSnapshot(running.router.world, { version: 1, files: { file: JSON.stringify(declaration) } });
    });
    afterAll(() => running.close());

    async function send(
        path: string,
        body: string | undefined,
        credential: string,
        extraHeaders: Record<string, string> = {},
    ): Promise<{ status: number; body: unknown; }> {
        const headers = {
            "authorization": `Bearer ${credential}`,
            "content-type": "application/json",
            ...extraHeaders,
        };
        const options = body === undefined ? { headers } : { method: "POST" as const, headers, body };
        const response = await request(`${address}${path}`, options);
        return { status: response.statusCode, body: await response.body.json() };
    }

    const chat = (fields: object): string =>
        JSON.stringify({ model: "m", messages: [{ role: "user", content: "hello" }], ...fields });

    describe("for callers", () => {
        it.each([
            ["a wrong credential", "/v1/chat/completions", chat({}), "wrong", 401],
            ["broken JSON", "/v1/chat/completions", "{", "credential", 400],
            ["a negative cap", "/v1/chat/completions", chat({ max_tokens: -5 }), "credential", 400],
            ["an excessive cap", "/v1/chat/completions", chat({ max_tokens: 1e9 }), "credential", 400],
            ["an unknown model", "/v1/chat/completions", chat({ model: "x" }), "credential", 404],
            ["an oversized body", "/v1/chat/completions", chat({ padding: "x".repeat(2_000) }), "credential", 413],
            ["an unknown service", "/v1/services/none/x", "{}", "credential", 404],
            ["an unknown path", "/v2/nothing", "{}", "credential", 404],
        ])("rejects %s with a typed error and reserves nothing", async (unused, path, body, credential, status) => {
            const answer = await send(path, body, credential);
            expect(answer.status).toBe(status);
            expect(answer.body).toMatchObject({ error: { outcome: "not-run" } });
            expect(running.router.world.runs.size).toBe(0);
        });

        it("refuses a request immediately if it has no tokens and the ledger is unavailable", async () => {
            const answer = await send("/v1/chat/completions", chat({}), "credential");
            expect(answer.status).toBe(503);
            expect(answer.body).toMatchObject({ error: { type: "ledger-unavailable", outcome: "not-run" } });
        });

        it.each([
            [{ "idempotency-key": "k", "gooseberrybend-attempt": "1" }, "not-run"],
            [{ "idempotency-key": "k", "gooseberrybend-attempt": "2" }, "may-have-run"],
            [{ "idempotency-key": "k" }, "may-have-run"],
            [
                { "idempotency-key": "k", "gooseberrybend-attempt": "3", "gooseberrybend-not-run-through": "2" },
                "not-run",
            ],
            [
                { "idempotency-key": "k", "gooseberrybend-attempt": "3", "gooseberrybend-not-run-through": "1" },
                "may-have-run",
            ],
        ])(
            "reports whether earlier attempts may have run, also when it rejects before admission: %j is %s",
            async (more, outcome) => {
                const withdrawn = await send("/v1/chat/completions", chat({ model: "withdrawn" }), "credential", more);
                expect(withdrawn.body).toMatchObject({ error: { outcome } });
                const traces = tracesOfKey(running.router.traceBuffer, "k").map(({ decision, figures }) => ({
                    decision,
                    ...figures,
                }));
                expect(traces).toContainEqual(expect.objectContaining({ decision: "turned away", outcome }));
                const refused = await send("/v1/chat/completions", chat({}), "credential", more);
                expect(refused.body).toMatchObject({ error: { type: "ledger-unavailable", outcome } });
            },
        );

        it("does not expose one account's request to another", async () => {
            expect((await send("/v1/requests/some-key", undefined, "other")).status).toBe(401);
            expect((await send("/v1/requests/some-key", undefined, "credential")).status).toBe(404);
        });
    });

    describe("without a configuration", () => {
        it("responds that it is not ready instead of that the account is unknown", async () => {
            const other = reserveLoopbackAddress();
            const listen = { address: other.host, port: other.port };
            const settings = { listen, domain: "r/a", platform: { keyValue: "http://127.0.0.1:9" } };
            const fresh = await startRouter(settingsSchema.parse({ ...settings, log: { level: "error" } }));
            const headers = { "authorization": "Bearer credential", "content-type": "application/json" };
            const url = `http://${other.host}:${other.port}/v1/chat/completions`;
            const answer = await request(url, { method: "POST", headers, body: chat({}) });
            expect(answer.statusCode).toBe(503);
            expect(answer.headers["retry-after"]).toBe("1");
            expect(await answer.body.json()).toMatchObject({ error: { type: "not-ready", outcome: "not-run" } });
            await fresh.close();
        });
    });

    describe("for operators and peers", () => {
        const call = (method: string): string => JSON.stringify({ jsonrpc: "2.0", id: 1, method, params: {} });

        it("accepts only their own key", async () => {
            expect((await send("/operator", call("status"), keys.operator)).status).toBe(200);
            for (const wrong of [keys.peer, "credential", "none"]) {
                expect((await send("/operator", call("status"), wrong)).status).toBe(401);
            }
            for (const wrong of [keys.operator, "credential", "none"]) {
                expect((await send("/peer", call("deliver"), wrong)).status).toBe(401);
            }
        });

        it("counts refusals by reason", async () => {
            const headers = { authorization: `Bearer ${keys.operator}` };
            const text = await (await request(`${address}/metrics`, { headers })).body.text();
            expect(text).toContain('gooseberrybend_refusals_total{reason="ledger-unavailable"');
            expect(text).not.toContain("credential");
        });
    });
});
