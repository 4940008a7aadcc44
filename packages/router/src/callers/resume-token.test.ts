import { type AccountId, brand, type EndpointId, type RequestKey } from "@gooseberrybend/core";
import { describe, expect, it } from "vitest";
import { readResume, signResume } from "./resume-token.js";

const account = brand<AccountId>("a");
const key = brand<RequestKey>("k");
const point = { endpoint: brand<EndpointId>("e"), stream: "s", offset: 0 };
const token = signResume("secret", account, key, point);

describe("resume tokens", () => {
    it("continue their own request from the caller's offset", () => {
        expect(readResume("secret", token, account, key, 7)).toEqual({ ...point, offset: 7 });
    });

    it("are refused for another account, key or secret, and when changed", () => {
        expect(readResume("secret", token, brand<AccountId>("b"), key, 0)).toBeUndefined();
        expect(readResume("secret", token, account, brand<RequestKey>("l"), 0)).toBeUndefined();
        expect(readResume("other", token, account, key, 0)).toBeUndefined();
        expect(readResume("secret", `x${token}`, account, key, 0)).toBeUndefined();
        expect(readResume("secret", "nonsense", account, key, 0)).toBeUndefined();
    });
});
