import type { KeyValueStore } from "./key-value-store.js";

type SharedLease = { readonly id: string; readonly sharedUntil: number; };

// A lease is shared by the keys of a while: each lives at least its lifetime, at most this much longer.
const SHARED_PART = 1 / 16;

/** Leases of the key-value service by lifetime, each shared by many keys. */
export class Leases {
    private readonly shared = new Map<number, SharedLease>();

    constructor(private readonly store: KeyValueStore) {}

    /** Returns a lease that lasts for a time in ms or longer, or undefined when the service does not answer. */
    async leaseFor(lifetimeMs: number, now: number): Promise<string | undefined> {
        const known = this.shared.get(lifetimeMs);
        if (known !== undefined && now < known.sharedUntil) {
            return known.id;
        }
        const sharedMs = lifetimeMs * SHARED_PART;
        const id = await this.store.grantLease(Math.ceil((lifetimeMs + sharedMs) / 1000));
        if (id !== undefined) {
            this.shared.set(lifetimeMs, { id, sharedUntil: now + sharedMs });
        }
        return id;
    }

    /** Has the next key get a new lease, since the service may have lost the last one. */
    forget(lifetimeMs: number): void {
        this.shared.delete(lifetimeMs);
    }
}
