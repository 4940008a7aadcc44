import type { KeyValueStore } from "./key-value-store.js";

type SharedLease = { readonly id: string; readonly sharedUntil: number; };

// Keys written within this fraction of their lifetime share a lease, which lasts the lifetime and this fraction, so each
// key lives at least its lifetime and at most this much longer.
const SHARING_FRACTION = 1 / 16;

/** Leases of the key-value service by lifetime; each is shared by several keys. */
export class Leases {
    private readonly shared = new Map<number, SharedLease>();

    constructor(private readonly store: KeyValueStore) {}

    /** Returns a lease that lasts at least the lifetime in ms, or undefined if the service does not respond. */
    async leaseFor(lifetimeMs: number, now: number): Promise<string | undefined> {
        const existing = this.shared.get(lifetimeMs);
        if (existing !== undefined && now < existing.sharedUntil) {
            return existing.id;
        }
        const sharingMs = lifetimeMs * SHARING_FRACTION;
        const id = await this.store.grantLease(Math.ceil((lifetimeMs + sharingMs) / 1000));
        if (id !== undefined) {
            this.shared.set(lifetimeMs, { id, sharedUntil: now + sharingMs });
        }
        return id;
    }

    /** Makes the next key get a new lease, because the service may have lost the current one. */
    discard(lifetimeMs: number): void {
        this.shared.delete(lifetimeMs);
    }
}
