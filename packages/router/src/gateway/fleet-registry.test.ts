import { memberOf } from "@gooseberrybend/core/mocks";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { FLEET_PREFIX, FleetRegistry } from "./fleet-registry.js";
import { createGatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";

const GRACE_MS = 2_000;

function itemOf(name: string, revision: number): StoredItem {
    return { key: FLEET_PREFIX + name, value: Buffer.from(JSON.stringify(memberOf(name))), revision };
}

describe("fleet registry", () => {
    let registry: FleetRegistry;
    let now = 0;
    const grantLease = vi.fn(async (unusedMs: number): Promise<object> => ({ kind: "unavailable", detail: "" }));
    const renewLease = vi.fn(async () => ({ kind: "done", value: undefined }));
    const transact = vi.fn(async () => ({ kind: "done", value: 2 }));
    const pass = async (timeMs: number): Promise<void> => {
        for (const end = now + timeMs; now < end;) {
            now += 100;
            await vi.advanceTimersByTimeAsync(100);
        }
    };

    const createRegistry = (shortestLeaseMs: number): FleetRegistry => {
        const store = { grantLease, renewLease, transact } as unknown as MetadataStore;
        const logs = createGatewayLogs({ level: "error" });
        return new FleetRegistry(store, memberOf("router-1"), shortestLeaseMs, logs, () => now);
    };

    beforeEach(() => {
        vi.useFakeTimers();
        now = 0;
        vi.clearAllMocks();
        registry = createRegistry(1_000);
        registry.put(itemOf("router-2", 1));
    });

    afterEach(() => {
        vi.useRealTimers();
    });

    describe("a registration that lapsed in an outage of the store", () => {
        it("is named on until the time to come back has passed", () => {
            registry.remove(FLEET_PREFIX + "router-2", GRACE_MS);
            expect(registry.members.size).toBe(1);
            vi.advanceTimersByTime(GRACE_MS);
            expect(registry.members.size).toBe(0);
        });

        it("still tells where the router takes calls of others", () => {
            registry.remove(FLEET_PREFIX + "router-2", 0);
            expect(registry.otherAddresses).toEqual(["router-2:2"]);
            expect(registry.peerAddressOf("router-2")).toBe("router-2:2");
            expect(registry.peerAddressOf("router-3")).toBeUndefined();
        });

        it("stays when it comes back", () => {
            registry.remove(FLEET_PREFIX + "router-2", GRACE_MS);
            registry.put(itemOf("router-2", 5));
            vi.advanceTimersByTime(2 * GRACE_MS);
            expect(registry.members.size).toBe(1);
        });

        it("is treated the same when all are listed again", () => {
            registry.replace([], GRACE_MS);
            expect(registry.members.size).toBe(1);
        });
    });

    describe("a registration that ends while the store is well", () => {
        it("is no longer named at once", () => {
            registry.remove(FLEET_PREFIX + "router-2", 0);
            expect(registry.members.size).toBe(0);
        });
    });

    describe("its own registration", () => {
        beforeEach(() => {
            grantLease.mockImplementation(async () => ({ kind: "done", value: 7 }));
        });

        it("lives at least as long as the store allows", async () => {
            registry = createRegistry(20_000);
            registry.start();
            await pass(6_000);
            expect(grantLease.mock.calls.map(([lifetimeMs]) => lifetimeMs)).toEqual([20_000, 20_000]);
        });

        it("is renewed rarely while callers are sent to others", async () => {
            for (let index = 2; index <= 30; index++) {
                registry.put({
                    ...itemOf(`router-${index}`, 1),
                    value: Buffer.from(JSON.stringify(memberOf(`router-${index}`, {
                        capacity: { cores: 4, linkMbps: 1_000 },
                    }))),
                });
            }
            registry.start();
            await pass(30_000);
            expect(grantLease).toHaveBeenCalledTimes(1);
            expect(grantLease.mock.calls[0]![0]).toBeGreaterThanOrEqual(15_000);
            expect(renewLease.mock.calls.length).toBeLessThanOrEqual(7);
        });

        it("ends soon after its death once callers are sent to it", async () => {
            registry.start();
            await pass(6_000);
            expect(grantLease.mock.calls.map(([lifetimeMs]) => lifetimeMs)).toEqual([15_000, 2_000]);
            renewLease.mockClear();
            await pass(6_000);
            expect(renewLease.mock.calls.length).toBeGreaterThanOrEqual(9);
        });
    });
});
