import { brand, type EndpointId, type FailureDomain } from "@gooseberrybend/core";
import { createEndpointTable, type EndpointState, putEndpoint, type ServiceName } from "@gooseberrybend/core/dispatch";
import { beforeEach, describe, expect, it } from "vitest";
import { gatewaySettingsSchema } from "./gateway-settings.js";
import { type OutgoingSend, OutgoingSends } from "./outgoing-sends.js";

const CHECK_MS = 200;
const entry = {
    id: brand<EndpointId>("engine-1"),
    startedAt: 1,
    service: brand<ServiceName>("engines"),
    address: "127.0.0.1:80",
    domain: brand<FailureDomain>("a"),
    slots: 6,
    leaving: false,
};

// Guards against requests that reach an endpoint more than 3 s after it announced that it leaves (observed: 3.5 s).
describe("requests behind the backlog of a link of 7 Mbit/s", () => {
    let now: number;
    let ended: OutgoingSend[];
    let row: EndpointState;
    let outgoing: OutgoingSends;
    const table = createEndpointTable();
    const { bounds } = gatewaySettingsSchema.shape;
    const { instance } = gatewaySettingsSchema.shape;
    const settings = { bounds: bounds.parse({ drainMs: 3_000 }), instance: instance.parse({ linkMbps: 7 }) };

    beforeEach(() => {
        now = 0;
        ended = [];
        putEndpoint(table, entry);
        row = table.rows.get(entry.id)!;
        outgoing = new OutgoingSends(table, () => settings, () => 500, () => undefined, () => now);
    });

    const begin = (bodyBytes = 0): OutgoingSend => {
        const send = { row, socket: undefined, linkMark: undefined };
        outgoing.begin(send, bodyBytes, () => ended.push(send));
        return send;
    };

    const runUntil = (end: number): void => {
        for (; now < end; now += CHECK_MS) {
            outgoing.check();
        }
    };

    it("are reset 3 s after what was known when their endpoint did not leave yet, others are not", () => {
        const early = begin();
        outgoing.recordBytes(4_000_000);
        const late = begin();
        runUntil(1_000);
        putEndpoint(table, { ...entry, leaving: true });
        runUntil(3_200);
        expect(ended).toEqual([]);
        runUntil(3_400);
        expect(ended).toContain(late);
        expect(ended).not.toContain(early);
    });

    it("are left alone once a response shows that they arrived, and while their endpoint stays", () => {
        outgoing.recordBytes(4_000_000);
        begin();
        const responding = begin();
        runUntil(4_000);
        expect(ended).toEqual([]);
        outgoing.recordResponse(responding);
        putEndpoint(table, { ...entry, leaving: true });
        runUntil(10_000);
        expect(ended).toEqual([]);
    });

    it("are not started while the backlog takes longer than the time to leave, less the age of the view", () => {
        expect(outgoing.excessDelayMs(10_000)).toBeUndefined();
        outgoing.recordBytes(2_100_000);
        expect(outgoing.excessDelayMs(10_000)).toBeUndefined();
        expect(outgoing.excessDelayMs(2_000)).toBe(2_400);
        outgoing.recordBytes(175_000);
        expect(outgoing.excessDelayMs(10_000)).toBe(2_600);
    });
});
