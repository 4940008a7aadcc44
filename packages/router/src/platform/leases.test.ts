import type { KeyValueResult } from "@gooseberrybend/core";
import { describe, expect, it } from "vitest";
import { KeyValueStore, type WatchHandle } from "./key-value-store.js";
import { Leases } from "./leases.js";

class CountingStore extends KeyValueStore {
    readonly granted: number[] = [];
    isUnavailable = false;

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
        return this.isUnavailable ? undefined : `lease-${this.granted.length}`;
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
    it("are shared for a limited time, and last at least the lifetime of the last key that shares them", async () => {
        const store = new CountingStore();
        const leases = new Leases(store);
        expect(await leases.leaseFor(LIFETIME_MS, 0)).toBe("lease-1");
        expect(await leases.leaseFor(LIFETIME_MS, 9_999)).toBe("lease-1");
        expect(await leases.leaseFor(LIFETIME_MS, 10_000)).toBe("lease-2");
        expect(store.granted).toEqual([170, 170]);
    });

    it("are separate for each lifetime", async () => {
        const leases = new Leases(new CountingStore());
        expect(await leases.leaseFor(LIFETIME_MS, 0)).not.toBe(await leases.leaseFor(2 * LIFETIME_MS, 0));
    });

    it("are granted again after the service was unavailable or may have lost one", async () => {
        const store = new CountingStore();
        const leases = new Leases(store);
        store.isUnavailable = true;
        expect(await leases.leaseFor(LIFETIME_MS, 0)).toBeUndefined();
        store.isUnavailable = false;
        expect(await leases.leaseFor(LIFETIME_MS, 0)).toBe("lease-2");
        leases.discard(LIFETIME_MS);
        expect(await leases.leaseFor(LIFETIME_MS, 0)).toBe("lease-3");
    });
});
