import type { KeyValueResult } from "@gooseberrybend/core";
import { type KeyValueEntry, KeyValueStore, type WatchHandle } from "@gooseberrybend/router";

/** An in-memory key-value store that loses the replies to selected writes. */
export class MemoryStore extends KeyValueStore {
    readonly values = new Map<string, { version: number; value: string; }>();
    /** Numbers of the writes, from 1, that are applied but whose replies are lost. */
    readonly lostReplies = new Set<number>();
    /** Called before each write is applied; lets a test simulate a concurrent writer. */
    beforeWrite: (key: string) => void = () => undefined;
    private writeCount = 0;
    private version = 0;

    override async get(key: string): Promise<KeyValueResult> {
        return { kind: "value", current: this.values.get(key) ?? { version: 0, value: undefined } };
    }

    override async versionOf(key: string): Promise<KeyValueResult> {
        return { kind: "value", current: { version: this.values.get(key)?.version ?? 0, value: undefined } };
    }

    override async list(prefix: string): Promise<KeyValueEntry[]> {
        return [...this.values].filter(([key]) => key.startsWith(prefix)).map(([key, entry]) => ({ key, ...entry }));
    }

    override async compareAndSwap(key: string, expected: number, value: string): Promise<KeyValueResult> {
        this.beforeWrite(key);
        this.writeCount++;
        const current = this.values.get(key) ?? { version: 0, value: undefined };
        if (current.version !== expected) {
            return { kind: "conflict", current };
        }
        this.version++;
        this.values.set(key, { version: this.version, value });
        return this.lostReplies.has(this.writeCount) ? { kind: "unknown" } : { kind: "applied", version: this.version };
    }

    override async grantLease(): Promise<string> {
        return "lease";
    }

    override async keepAlive(): Promise<boolean> {
        return true;
    }

    override watch(): WatchHandle {
        return { stop: () => undefined };
    }
}
