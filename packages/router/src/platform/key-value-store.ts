import type { KeyValueResult } from "@gooseberrybend/core";

/** A value with its key. */
export type KeyValueEntry = { readonly key: string; readonly value: string; readonly version: number; };

/** Stops a watch. */
export type WatchHandle = { readonly stop: () => void; };

/**
 * The platform's key-value service. No call throws: a call that surely did not take effect gives
 * `unavailable`, one that may have taken effect gives `unknown`.
 */
export abstract class KeyValueStore {
    /** Reads a key. An absent key has version 0. */
    abstract get(key: string): Promise<KeyValueResult>;
    /** Reads the version of a key without its value. */
    abstract versionOf(key: string): Promise<KeyValueResult>;
    /** Reads all keys with a prefix, or undefined when the service does not answer. */
    abstract list(prefix: string): Promise<KeyValueEntry[] | undefined>;
    /** Writes a key if its version is the expected one; version 0 creates it. */
    abstract compareAndSwap(key: string, expected: number, value: string, lease?: string): Promise<KeyValueResult>;
    /** Grants a lease of some seconds, or undefined when the service does not answer. */
    abstract grantLease(seconds: number): Promise<string | undefined>;
    /** Keeps a lease alive. Returns false when it has lapsed or the service does not answer. */
    abstract keepAlive(lease: string): Promise<boolean>;
    /** Calls back after each change of a key, until stopped. */
    abstract watch(key: string, changed: () => void): WatchHandle;
}
