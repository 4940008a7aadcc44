import { compileSnapshot, type Configuration } from "@gooseberrybend/core";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { describe, expect, it } from "vitest";
import { hasBearerKey, readHeaders } from "./request-headers.js";

const digestOf = (credential: string): string => createHash("sha256").update(credential).digest("hex");
const accounts = ["a", "b"].map((id) => ({ id, credentialDigests: [digestOf(`${id}-credential`)] }));
const files = { file: JSON.stringify({ accounts }) };
const configuration: Configuration = compileSnapshot({ version: 1, files }, new Map())._unsafeUnwrap();

function requestWith(headers: Record<string, string | undefined>, repeated: readonly string[] = []): IncomingMessage {
    const rawHeaders = Object.entries(headers).flatMap(([name, value]) => [name, value ?? ""]);
    return {
        headers,
        rawHeaders: [...rawHeaders, ...repeated.flatMap((name) => [name, "again"])],
    } as unknown as IncomingMessage;
}

const authorized = { authorization: "Bearer a-credential" };

describe("request headers", () => {
    describe("credentials", () => {
        it("identify only their own account", () => {
            expect(readHeaders(requestWith(authorized), configuration)._unsafeUnwrap().account).toBe("a");
            const other = requestWith({ authorization: "Bearer b-credential" });
            expect(readHeaders(other, configuration)._unsafeUnwrap().account).toBe("b");
        });

        it.each([{}, { authorization: "Bearer wrong" }, { authorization: "a-credential" }, {
            authorization: "Bearer ",
        }])(
            "are refused when missing or wrong: %j",
            (headers) => {
                expect(readHeaders(requestWith(headers), configuration)._unsafeUnwrapErr()).toMatchObject({
                    status: 401,
                });
            },
        );

        it("of operators and peers must match in full", () => {
            expect(hasBearerKey(requestWith({ authorization: "Bearer key-key-key-key-1" }), "key-key-key-key-1")).toBe(
                true,
            );
            expect(hasBearerKey(requestWith({ authorization: "Bearer key-key-key-key-2" }), "key-key-key-key-1")).toBe(
                false,
            );
            expect(hasBearerKey(requestWith({}), "key-key-key-key-1")).toBe(false);
        });
    });

    describe("values", () => {
        it.each([
            { "gooseberrybend-attempt": "0" },
            { "gooseberrybend-attempt": "-1" },
            { "gooseberrybend-attempt": "1e3" },
            { "gooseberrybend-timeout-ms": "0" },
            { "gooseberrybend-offset": "x" },
            { "idempotency-key": "" },
            { "idempotency-key": "with space" },
            { "idempotency-key": "k".repeat(129) },
        ])("are rejected when out of range or malformed: %j", (headers) => {
            expect(readHeaders(requestWith({ ...authorized, ...headers }), configuration)._unsafeUnwrapErr().status)
                .toBe(400);
        });

        it("are rejected when a header is repeated", () => {
            const request = requestWith({ ...authorized, "idempotency-key": "k" }, ["Idempotency-Key"]);
            expect(readHeaders(request, configuration)._unsafeUnwrapErr().detail).toContain("stands twice");
        });

        it("distinguish a generated key from one that the caller sent", () => {
            expect(readHeaders(requestWith(authorized), configuration)._unsafeUnwrap().keyMinted).toBe(true);
            const given = requestWith({ ...authorized, "idempotency-key": "k" });
            expect(readHeaders(given, configuration)._unsafeUnwrap()).toMatchObject({ key: "k", keyMinted: false });
        });
    });
});
