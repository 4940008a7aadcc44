import { describe, expect, it } from "vitest";
import {
    allowedLinkDelayMs,
    createLinkBacklog,
    hasLeft,
    linkDelayMs,
    recordArrival,
    recordLinkBytes,
} from "./link-backlog.js";

/** Speed of a small instance's link: 875 bytes per ms. */
const LINK_MBPS = 7;

describe("a link of 7 Mbit/s", () => {
    it("delays a request behind 3.5 MB of responses by 4 s", () => {
        const link = createLinkBacklog();
        recordLinkBytes(link, 3_500_000, LINK_MBPS, 100);
        const mark = recordLinkBytes(link, 8_750, LINK_MBPS, 100);
        expect(linkDelayMs(link, LINK_MBPS, 100)).toBe(4_010);
        expect(hasLeft(link, mark, LINK_MBPS, 4_100)).toBe(false);
        expect(hasLeft(link, mark, LINK_MBPS, 4_110)).toBe(true);
        expect(linkDelayMs(link, LINK_MBPS, 60_000)).toBe(0);
    });

    // Guards against refusals at a link that is faster than its settings say.
    it("has no backlog of bytes that were written before a request that an endpoint has received", () => {
        const link = createLinkBacklog();
        const mark = recordLinkBytes(link, 3_500_000, LINK_MBPS, 100);
        recordLinkBytes(link, 875, LINK_MBPS, 100);
        recordArrival(link, mark);
        expect(linkDelayMs(link, LINK_MBPS, 100)).toBe(1);
        expect(hasLeft(link, mark, LINK_MBPS, 100)).toBe(true);
    });

    it("may delay sends by what is left of the time to leave after the age of the view of the store", () => {
        expect(allowedLinkDelayMs(3_000, 500)).toBe(2_500);
        expect(allowedLinkDelayMs(3_000, 2_900)).toBe(450);
        expect(allowedLinkDelayMs(3_000, 9_000)).toBe(3_000);
    });
});
