import type { KeyValueResult } from "@gooseberrybend/core";
import { describe, expect, it } from "vitest";
import { KeyValueStore, type WatchHandle } from "./key-value-store.js";
import { Leases } from "./leases.js";

class CountingStore extends KeyValueStore {
    readonly granted: number[] = [];
    isAway = false;

    override async get(): Promise<KeyValueResult> {
        return { kind: "unavailable" };
    }

    override async versionOf(): Promise<KeyValueResult> {
        return { kind: "unavailable" };
    }

    override async list(): Promise<undefined> {
        return undefined;
    }

    override async compareAndSwap(): Promise<KeyValueResult> {
        return { kind: "unavailable" };
    }

    override async grantLease(seconds: number): Promise<string | undefined> {
        this.granted.push(seconds);
        return this.isAway ? undefined : `lease-${this.granted.length}`;
    }

    override async keepAlive(): Promise<boolean> {
        return false;
    }

    override watch(): WatchHandle {
        return { stop: () => undefined };
    }
}

const LIFETIME_MS = 160_000;

describe("leases", () => {
    it("are shared for a while, and outlast the lifetime of the last key that shares them", async () => {
        const store = new CountingStore();
        const leases = new Leases(store);
        expect(await leases.leaseFor(LIFETIME_MS, 0)).toBe("lease-1");
        expect(await leases.leaseFor(LIFETIME_MS, 9_999)).toBe("lease-1");
        expect(await leases.leaseFor(LIFETIME_MS, 10_000)).toBe("lease-2");
        expect(store.granted).toEqual([170, 170]);
    });

    it("are granted for each lifetime", async () => {
        const leases = new Leases(new CountingStore());
        expect(await leases.leaseFor(LIFETIME_MS, 0)).not.toBe(await leases.leaseFor(2 * LIFETIME_MS, 0));
    });

    it("are granted anew when the service was away or may have lost one", async () => {
        const store = new CountingStore();
        const leases = new Leases(store);
        store.isAway = true;
        expect(await leases.leaseFor(LIFETIME_MS, 0)).toBeUndefined();
        store.isAway = false;
        expect(await leases.leaseFor(LIFETIME_MS, 0)).toBe("lease-2");
        leases.forget(LIFETIME_MS);
        expect(await leases.leaseFor(LIFETIME_MS, 0)).toBe("lease-3");
    });
});
