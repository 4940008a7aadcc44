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
    const renewLease = vi.fn(async (): Promise<object> => ({ kind: "done", value: undefined }));
    const transact = vi.fn(async () => ({ kind: "done", value: 2 }));
    const endLease = vi.fn(async (unusedLease: number): Promise<object> => ({ kind: "done", value: undefined }));
    const advanceTime = async (timeMs: number): Promise<void> => {
        for (const end = now + timeMs; now < end;) {
            now += 100;
            await vi.advanceTimersByTimeAsync(100);
        }
    };

    const createRegistry = (minLeaseMs: number): FleetRegistry => {
        const store = { grantLease, renewLease, transact, endLease } as unknown as MetadataStore;
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

    // Guards against callers that are sent to a router that has left, as its registration stays or is written again.
    describe("the registration of a router that leaves", () => {
        const leaseIds = [7, 8];
        const endedLeases = (): unknown[] => endLease.mock.calls.map(([lease]) => lease);
        // Delays responses to a call of the store, and returns a function that lets them arrive.
        const hold = (
            call: { mockImplementation(respond: () => Promise<object>): unknown; },
            result: object,
        ): () => void => {
            let release!: () => void;
            const released = new Promise<void>((resolve) => release = resolve);
            call.mockImplementation(async () => {
                await released;
                return result;
            });
            return release;
        };

        beforeEach(() => {
            const ids = leaseIds.values();
            grantLease.mockImplementation(async () => ({ kind: "done", value: ids.next().value }));
            renewLease.mockImplementation(async () => ({ kind: "done", value: undefined }));
            transact.mockImplementation(async () => ({ kind: "done", value: 2 }));
            endLease.mockImplementation(async () => ({ kind: "done", value: undefined }));
        });

        it("ends with its lease", async () => {
            registry.start();
            await advanceTime(1_000);
            await registry.leave();
            await advanceTime(5_000);
            expect(endedLeases()).toEqual([7]);
            expect(grantLease).toHaveBeenCalledTimes(1);
        });

        it("is not written once a lease arrives that was requested before, which is ended", async () => {
            const release = hold(grantLease, { kind: "done", value: 7 });
            registry.start();
            await registry.leave();
            release();
            await advanceTime(1_000);
            expect(transact).not.toHaveBeenCalled();
            expect(endedLeases()).toEqual([7]);
        });

        it("is not written with a new lease if a renewal finds that its lease has ended", async () => {
            registry.start();
            await advanceTime(500);
            const release = hold(renewLease, { kind: "lease-ended" });
            registry.publishHighLoad(true);
            await advanceTime(200);
            transact.mockClear();
            await registry.leave();
            release();
            await advanceTime(1_000);
            expect(transact).not.toHaveBeenCalled();
            expect(endedLeases()).toEqual([7]);
        });

        // Leaves while a call waits by which the registration is moved; returns a function that lets its response arrive.
        const leaveDuringMove = async (...call: Parameters<typeof hold>): Promise<() => void> => {
            registry.start();
            await advanceTime(3_000);
            const release = hold(...call);
            await advanceTime(1_000);
            transact.mockClear();
            await registry.leave();
            return release;
        };

        it("ends while it is moved to a short lease", async () => {
            const release = await leaveDuringMove(grantLease, { kind: "done", value: 8 });
            expect(endedLeases()).toEqual([7]);
            release();
            await advanceTime(1_000);
            expect(transact).not.toHaveBeenCalled();
            expect(endedLeases()).toEqual([7, 8]);
        });

        it("ends with both leases while the move is written, and is not listed again", async () => {
            const release = await leaveDuringMove(transact, { kind: "done", value: 3 });
            expect(endedLeases()).toEqual(leaseIds);
            release();
            await advanceTime(1_000);
            expect(registry.members.has(`${FLEET_PREFIX}router-1`)).toBe(false);
        });

        it("is ended again until the store has confirmed it", async () => {
            registry.start();
            await advanceTime(1_000);
            endLease.mockImplementation(async () => ({ kind: "unanswered", detail: "" }));
            await registry.leave();
            await advanceTime(2_000);
            expect(endedLeases().length).toBeGreaterThanOrEqual(3);
            endLease.mockImplementation(async () => ({ kind: "done", value: undefined }));
            await advanceTime(1_000);
            endLease.mockClear();
            await advanceTime(3_000);
            expect(endLease).not.toHaveBeenCalled();
        });

        it("keeps no lease of before the store lost its latest changes, which may belong to another router", async () => {
            registry.start();
            await advanceTime(1_000);
            registry.registerAgain();
            await advanceTime(1_000);
            await registry.leave();
            expect(endedLeases()).toEqual([8]);
        });
    });
});
