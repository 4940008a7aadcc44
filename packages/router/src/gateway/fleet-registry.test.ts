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
    const grantLease = vi.fn(async () => ({ kind: "unavailable", detail: "" }));

    beforeEach(() => {
        vi.useFakeTimers();
        const logs = createGatewayLogs({ level: "error" });
        registry = new FleetRegistry({ grantLease } as unknown as MetadataStore, memberOf("router-1"), 5_000, logs);
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

    describe("the own registration", () => {
        it("lives at least as long as the store allows", () => {
            registry.start();
            expect(grantLease).toHaveBeenCalledWith(5_000);
        });
    });

    describe("a registration that ends while the store is well", () => {
        it("is no longer named at once", () => {
            registry.remove(FLEET_PREFIX + "router-2", 0);
            expect(registry.members.size).toBe(0);
        });
    });
});
