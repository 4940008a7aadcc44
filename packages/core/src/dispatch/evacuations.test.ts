import { beforeEach, describe, expect, it } from "vitest";
import { brand, type EndpointId, type FailureDomain } from "../types/ids.js";
import { coldPeriodOf } from "./cold-endpoints.js";
import { isServiceLimited, recordLeaving, returnDelayMs, stillAcceptsRequests } from "./endpoint-availability.js";
import { createEndpointTable, type EndpointState, type EndpointTable, putEndpoint } from "./endpoint-table.js";
import {
    endMissing,
    isServiceEvacuated,
    recordEvacuation,
    recordWithdrawal,
    replaceEvacuations,
} from "./evacuations.js";
import type { ServiceName } from "./types.js";

const service = brand<ServiceName>("engines");
const north = brand<FailureDomain>("north");
const south = brand<FailureDomain>("south");

// Guards against requests to a failure domain that the operator is about to take down.
describe("an evacuated failure domain", () => {
    let table: EndpointTable;

    beforeEach(() => {
        table = createEndpointTable();
        table.limits.cold.rules = new Map([[service, { perSecond: 12, startMs: 8_000 }]]);
    });

    const register = (domain: FailureDomain): EndpointState => {
        const id = brand<EndpointId>(`engine-${domain}`);
        putEndpoint(table, { id, startedAt: 1, service, address: `${domain}:80`, domain, slots: 6, leaving: false });
        return table.rows.get(id)!;
    };
    const accepts = (domain: FailureDomain): boolean => stillAcceptsRequests(table, register(domain), 1_000, 1_000);

    it("accepts no requests until the evacuation is withdrawn, and is then cold", () => {
        const { entry } = register(north);
        expect(recordEvacuation(table, north, 10)).toEqual({ kind: "began", domain: north, ageMs: 0, endpoints: 1 });
        expect(recordEvacuation(table, north, 20)).toBeUndefined();
        expect([accepts(north), accepts(south)]).toEqual([false, true]);
        expect(recordWithdrawal(table, north, 50)).toEqual({ kind: "ended", domain: north, ageMs: 40, endpoints: 1 });
        expect(accepts(north)).toBe(true);
        expect(coldPeriodOf(table.limits.cold, entry, 50)?.reason).toBe("evacuation-ended");
    });

    it("accepts none at endpoints that register later", () => {
        expect(recordEvacuation(table, north, 0)?.endpoints).toBe(0);
        expect(accepts(north)).toBe(false);
    });

    it("has requests refused with a time to return if no other endpoint of the service stays", () => {
        recordEvacuation(table, north, 0);
        register(north);
        const other = register(south);
        expect(isServiceEvacuated(table, service)).toBe(false);
        recordLeaving(table, other);
        expect(isServiceEvacuated(table, service)).toBe(true);
        expect(isServiceLimited(table, service, 0)).toBe(false);
        expect(returnDelayMs(table, { service: service }, 10)).toBe(3_000);
    });

    it("is no longer evacuated once a read of the store lacks it", () => {
        recordEvacuation(table, north, 0);
        expect(replaceEvacuations(table, [south], false, 10).map(({ kind, domain }) => [kind, domain]))
            .toEqual([["began", south], ["ended", north]]);
        expect([accepts(north), accepts(south)]).toEqual([true, false]);
    });

    // Guards against lost evacuations: the operator's entries are written again only some time after the restore.
    it("stays evacuated for 5 s after the store came back from an older copy, and on if it is written again", () => {
        [north, south].forEach((domain) => recordEvacuation(table, domain, 0));
        expect(replaceEvacuations(table, [], true, 1_000)).toEqual([]);
        expect(replaceEvacuations(table, [], false, 2_000)).toEqual([]);
        recordEvacuation(table, south, 3_000);
        expect(endMissing(table, 5_999)).toEqual([]);
        expect(endMissing(table, 6_000)).toEqual([{ kind: "ended", domain: north, ageMs: 6_000, endpoints: 0 }]);
        expect([accepts(north), accepts(south)]).toEqual([true, false]);
    });
});
