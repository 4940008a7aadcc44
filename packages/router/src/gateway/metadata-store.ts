/** A value in the store. */
export type StoredItem = {
    readonly key: string;
    readonly value: Buffer;
    /** The store's revision of its last change. */
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
    /** The store refused: nothing was done. */
    | { readonly kind: "unavailable"; readonly detail: string; }
    /** No answer came: a write may have been done, or may be done later. */
    | { readonly kind: "unanswered"; readonly detail: string; }
    /** The history that a watch asked for is gone. */
    | { readonly kind: "compacted"; }
    /** The lease has ended. */
    | { readonly kind: "lease-ended"; }
    /** A condition of a transaction does not hold; the items are as they are now. */
    | { readonly kind: "conflict"; readonly items: ReadonlyMap<string, StoredItem>; };

/** The outcome of a call. */
export type StoreResult<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | StoreFailure;

/** Changes of several keys that are made together or not at all. */
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

/** The store that keeps what must last, as seen by one router. Times in ms. */
export abstract class MetadataStore {
    /** Reads all items with a prefix, as of now. */
    abstract list(prefix: string): Promise<StoreResult<StoreListing>>;
    /** Waits for changes after a revision; returns none when there are none in time. */
    abstract changes(prefix: string, afterRevision: number, waitMs: number): Promise<StoreResult<StoreChanges>>;
    /** Changes keys under conditions. Returns the revision. */
    abstract transact(transaction: StoreTransaction): Promise<StoreResult<number>>;
    /** Grants a lease. */
    abstract grantLease(lifetimeMs: number): Promise<StoreResult<number>>;
    /** Renews a lease. */
    abstract renewLease(lease: number): Promise<StoreResult<void>>;
    /** Ends a lease and removes its keys. */
    abstract endLease(lease: number): Promise<StoreResult<void>>;
}
