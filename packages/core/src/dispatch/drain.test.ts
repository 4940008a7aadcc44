import { describe, expect, it } from "vitest";
import { takesWhileDraining } from "./drain.js";

const drain = { startedAt: 1_000, cutAt: 8_400 };

describe("a router that stops", () => {
    it("takes every request at first, as callers still have its address", () => {
        expect(takesWhileDraining(drain, 15_000, 3_500)).toBe(true);
    });

    it("takes no request later that it may have to cut off", () => {
        expect(takesWhileDraining(drain, 15_000, 5_270)).toBe(false);
    });

    it("takes short requests as long as they can end", () => {
        expect(takesWhileDraining(drain, 1_200, 7_100)).toBe(true);
        expect(takesWhileDraining(drain, 1_200, 7_300)).toBe(false);
    });
});
