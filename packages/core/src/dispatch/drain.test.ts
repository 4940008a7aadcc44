import { describe, expect, it } from "vitest";
import { acceptsWhileDraining } from "./drain.js";

const drain = { startedAt: 1_000, cutAt: 8_400 };

describe("a draining router", () => {
    it("accepts every request at first, since callers still have its address", () => {
        expect(acceptsWhileDraining(drain, 15_000, 3_500)).toBe(true);
    });

    it("later rejects requests that it might have to cut off", () => {
        expect(acceptsWhileDraining(drain, 15_000, 5_270)).toBe(false);
    });

    it("accepts short requests as long as they can complete", () => {
        expect(acceptsWhileDraining(drain, 1_200, 7_100)).toBe(true);
        expect(acceptsWhileDraining(drain, 1_200, 7_300)).toBe(false);
    });
});
