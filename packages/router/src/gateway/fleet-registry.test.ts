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
    const advanceTime = async (timeMs: number): Promise<void> => {
        for (const end = now + timeMs; now < end;) {
            now += 100;
            await vi.advanceTimersByTimeAsync(100);
        }
    };

    const createRegistry = (minLeaseMs: number): FleetRegistry => {
        const store = { grantLease, renewLease, transact } as unknown as MetadataStore;
        const logs = createGatewayLogs({ level: "error" });
        return new FleetRegistry(store, memberOf("router-1"), minLeaseMs, logs, () => now);
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

    describe("a registration that expired in a store outage", () => {
        it("stays listed until the grace period has passed", () => {
            registry.remove(FLEET_PREFIX + "router-2", GRACE_MS);
            expect(registry.members.size).toBe(1);
            vi.advanceTimersByTime(GRACE_MS);
            expect(registry.members.size).toBe(0);
        });

        it("still provides the router's peer address", () => {
            registry.remove(FLEET_PREFIX + "router-2", 0);
            expect(registry.otherPeerAddresses).toEqual(["router-2:2"]);
            expect(registry.peerAddressOf("router-2")).toBe("router-2:2");
            expect(registry.peerAddressOf("router-3")).toBeUndefined();
        });

        it("stays if the router registers again", () => {
            registry.remove(FLEET_PREFIX + "router-2", GRACE_MS);
            registry.put(itemOf("router-2", 5));
            vi.advanceTimersByTime(2 * GRACE_MS);
            expect(registry.members.size).toBe(1);
        });

        it("gets the same grace period when all registrations are replaced", () => {
            registry.replace([], GRACE_MS);
            expect(registry.members.size).toBe(1);
        });
    });

    describe("a registration that ends while the store is available", () => {
        it("is removed immediately", () => {
            registry.remove(FLEET_PREFIX + "router-2", 0);
            expect(registry.members.size).toBe(0);
        });
    });

    describe("its own registration", () => {
        beforeEach(() => {
            grantLease.mockImplementation(async () => ({ kind: "done", value: 7 }));
        });

        it("has at least the minimum lease lifetime of the store", async () => {
            registry = createRegistry(20_000);
            registry.start();
            await advanceTime(6_000);
            expect(grantLease.mock.calls.map(([lifetimeMs]) => lifetimeMs)).toEqual([20_000, 20_000]);
        });

        it("is renewed rarely while callers are sent to other routers", async () => {
            for (let index = 2; index <= 30; index++) {
                registry.put({
                    ...itemOf(`router-${index}`, 1),
                    value: Buffer.from(JSON.stringify(memberOf(`router-${index}`, {
                        capacity: { cores: 4, linkMbps: 1_000 },
                    }))),
                });
            }
            registry.start();
            await advanceTime(30_000);
            expect(grantLease).toHaveBeenCalledTimes(1);
            expect(grantLease.mock.calls[0]![0]).toBeGreaterThanOrEqual(15_000);
            expect(renewLease.mock.calls.length).toBeLessThanOrEqual(7);
            expect(registry.members.get(FLEET_PREFIX + "router-1")?.hasShortLease).toBe(false);
        });

        it("gets a short lease once callers are sent to this router", async () => {
            registry.start();
            await advanceTime(6_000);
            expect(grantLease.mock.calls.map(([lifetimeMs]) => lifetimeMs)).toEqual([15_000, 2_000]);
            expect(registry.serving.find(({ name }) => name === "router-1")?.hasShortLease).toBe(true);
            renewLease.mockClear();
            await advanceTime(6_000);
            expect(renewLease.mock.calls.length).toBeGreaterThanOrEqual(9);
        });
    });
});
