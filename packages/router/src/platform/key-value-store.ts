import type { KeyValueResult } from "@gooseberrybend/core";

/** A stored value with its key and version. */
export type KeyValueEntry = { readonly key: string; readonly value: string; readonly version: number; };

/** Stops a watch. */
export type WatchHandle = { readonly stop: () => void; };

/**
 * The platform's key-value service. No call throws: a call that certainly had no effect returns
 * `unavailable`, one that may have taken effect returns `unknown`.
 */
export abstract class KeyValueStore {
    /** Reads a key. An absent key has version 0. */
    abstract get(key: string): Promise<KeyValueResult>;
    /** Reads the version of a key without its value. */
    abstract versionOf(key: string): Promise<KeyValueResult>;
    /** Reads all keys with a prefix; returns undefined if the service does not respond. */
    abstract list(prefix: string): Promise<KeyValueEntry[] | undefined>;
    /** Writes a key if its version is the expected one; version 0 creates it. */
    abstract compareAndSwap(key: string, expected: number, value: string, lease?: string): Promise<KeyValueResult>;
    /** Grants a lease and returns its id, or undefined if the service does not respond. */
    abstract grantLease(seconds: number): Promise<string | undefined>;
    /** Renews a lease. Returns false if it has expired or the service does not respond. */
    abstract keepAlive(lease: string): Promise<boolean>;
    /** Calls `onChange` after each change of a key, until stopped. */
    abstract watch(key: string, onChange: () => void): WatchHandle;
}
