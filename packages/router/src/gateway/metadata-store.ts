/** An entry of the store. */
export type StoredItem = {
    readonly key: string;
    readonly value: Buffer;
    /** Revision of the store at the last change of this key. */
    readonly revision: number;
};

/** A change of a key; a deleted key has no item. */
export type StoreChange = {
    readonly key: string;
    readonly revision: number;
    readonly item: StoredItem | undefined;
};

/** Why a call to the store failed. */
export type StoreFailure =
    /** The store refused: nothing was applied. */
    | { readonly kind: "unavailable"; readonly detail: string; }
    /** No response: a write may have been applied, or may be applied later. */
    | { readonly kind: "unanswered"; readonly detail: string; }
    /** The history that a watch requested has been compacted. */
    | { readonly kind: "compacted"; }
    /** The lease has ended. */
    | { readonly kind: "lease-ended"; }
    /** A condition of a transaction does not hold; `items` has the current entries. */
    | { readonly kind: "conflict"; readonly items: ReadonlyMap<string, StoredItem>; };

/** Outcome of a call. */
export type StoreResult<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | StoreFailure;

/** Changes of several keys, applied atomically. */
export type StoreTransaction = {
    /** Revision that each key must have; 0 for a key that must not exist. */
    readonly conditions: ReadonlyMap<string, number>;
    readonly puts: readonly { readonly key: string; readonly value: string; readonly lease?: number; }[];
    readonly deletes: readonly string[];
};

/** All items with a prefix. */
export type StoreListing = { readonly items: readonly StoredItem[]; readonly revision: number; };

/** Changes since a revision. */
export type StoreChanges = { readonly changes: readonly StoreChange[]; readonly revision: number; };

/** Durable key-value store, as used by one router. Times in ms. */
export abstract class MetadataStore {
    /** Reads all items with a prefix at the current revision. */
    abstract list(prefix: string): Promise<StoreResult<StoreListing>>;
    /** Waits for changes after a revision; returns an empty list when there are none in time. */
    abstract changes(prefix: string, afterRevision: number, waitMs: number): Promise<StoreResult<StoreChanges>>;
    /** Applies a transaction if its conditions hold. Returns the revision. */
    abstract transact(transaction: StoreTransaction): Promise<StoreResult<number>>;
    /** Grants a lease. Returns its id. */
    abstract grantLease(lifetimeMs: number): Promise<StoreResult<number>>;
    /** Renews a lease. */
    abstract renewLease(lease: number): Promise<StoreResult<void>>;
    /** Revokes a lease and removes its keys. */
    abstract endLease(lease: number): Promise<StoreResult<void>>;
}
