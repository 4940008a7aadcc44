import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { digestBody } from "../support/digest.js";
import { type AccountId, brand } from "../types/ids.js";
import { digestRequest } from "./request-digest.js";

const ACCOUNT = brand<AccountId>("press-floor");
const METHOD = "POST";

describe("the digest of a request", () => {
    // Guards against routers of different versions that do not recognize the same request.
    it("is that of its text in Latin 1, as of earlier versions", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200_000, size: "max" }), (bytes) => {
                const body = Buffer.from(bytes);
                const text = `${METHOD} ${body.length === 0 ? "/a?b" : "/a"}\n${body.toString("latin1")}`;
                expect(digestRequest(ACCOUNT, { method: METHOD, target: "/a?b", body })).toBe(
                    digestBody(ACCOUNT, text),
                );
            }),
            { numRuns: 20 },
        );
    });

    it("is the same for bodies of ASCII characters", () => {
        const body = Buffer.alloc(150_000, "tidy ");
        const digest = digestRequest(ACCOUNT, { method: METHOD, target: "/a", body });
        expect(digest).toBe(digestBody(ACCOUNT, `${METHOD} /a\n${body.toString()}`));
    });
});
