import { describe, expect, it } from "vitest";
import { acceptBacklogOf } from "./accept-backlog.js";

/** Time in ms that one core takes to accept a connection and to refuse or serve its request. */
const CONNECTION_CORE_MS = 3.5;
/** Time in ms after which the work for a caller that has left must be over, and a late request have its answer. */
const LATE_MS = 500;

// Guards against connections that wait longer for an overloaded router than their callers do.
describe("the connections that may wait to be accepted", () => {
    it.each([0.324, 0.675, 1.35, 4])("are accepted in time by %d cores under overload", (cores) => {
        const waitMs = acceptBacklogOf(cores) * CONNECTION_CORE_MS / cores;
        expect(waitMs).toBeLessThan(LATE_MS);
        expect(waitMs).toBeGreaterThan(LATE_MS / 4);
    });

    it("are a few on any instance, and bounded", () => {
        expect(acceptBacklogOf(0.01)).toBe(16);
        expect(acceptBacklogOf(1_000)).toBe(1_024);
    });
});
