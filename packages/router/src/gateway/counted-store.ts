import {
    MetadataStore,
    type StoreChanges,
    type StoreListing,
    type StoreResult,
    type StoreTransaction,
} from "./metadata-store.js";

/** Receives the operation and result of a store call. */
export type StoreCallCounter = (operation: string, result: string) => void;

/** Counts the calls to a store by operation and result. */
export class CountedStore extends MetadataStore {
    constructor(private readonly store: MetadataStore, private readonly count: StoreCallCounter) {
        super();
    }

    override list(prefix: string): Promise<StoreResult<StoreListing>> {
        return this.countResult("list", this.store.list(prefix));
    }

    override changes(prefix: string, after: number, waitMs: number): Promise<StoreResult<StoreChanges>> {
        return this.countResult("changes", this.store.changes(prefix, after, waitMs));
    }

    override transact(transaction: StoreTransaction): Promise<StoreResult<number>> {
        return this.countResult("transact", this.store.transact(transaction));
    }

    override grantLease(lifetimeMs: number): Promise<StoreResult<number>> {
        return this.countResult("grant-lease", this.store.grantLease(lifetimeMs));
    }

    override renewLease(lease: number): Promise<StoreResult<void>> {
        return this.countResult("renew-lease", this.store.renewLease(lease));
    }

    override endLease(lease: number): Promise<StoreResult<void>> {
        return this.countResult("end-lease", this.store.endLease(lease));
    }

    private async countResult<Value>(
        operation: string,
        call: Promise<StoreResult<Value>>,
    ): Promise<StoreResult<Value>> {
        const result = await call;
        this.count(operation, result.kind);
        return result;
    }
}
