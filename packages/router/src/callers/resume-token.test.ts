import { type AccountId, brand, type EndpointId, type RequestKey } from "@gooseberrybend/core";
import { describe, expect, it } from "vitest";
import { readResumeToken, signResumeToken } from "./resume-token.js";

const account = brand<AccountId>("a");
const key = brand<RequestKey>("k");
const point = { endpoint: brand<EndpointId>("e"), stream: "s", offset: 0 };
const token = signResumeToken("secret", account, key, point);

describe("resume tokens", () => {
    it("resume their own request at the caller's offset", () => {
        expect(readResumeToken("secret", token, account, key, 7)).toEqual({ ...point, offset: 7 });
    });

    it("are rejected for another account, key or secret, and when modified", () => {
        expect(readResumeToken("secret", token, brand<AccountId>("b"), key, 0)).toBeUndefined();
        expect(readResumeToken("secret", token, account, brand<RequestKey>("l"), 0)).toBeUndefined();
        expect(readResumeToken("other", token, account, key, 0)).toBeUndefined();
        expect(readResumeToken("secret", `x${token}`, account, key, 0)).toBeUndefined();
        expect(readResumeToken("secret", "nonsense", account, key, 0)).toBeUndefined();
    });
});
