import type { KeyValueResult } from "@gooseberrybend/core";
import { type KeyValueEntry, KeyValueStore, type WatchHandle } from "@gooseberrybend/router";

/** A key-value service in memory that loses the replies of chosen writes. */
export class MemoryStore extends KeyValueStore {
    readonly values = new Map<string, { version: number; value: string; }>();
    /** Writes, counted from 1, whose reply is lost though they are applied. */
    readonly lostReplies = new Set<number>();
    /** Called before each write is applied, as when another operator is faster. */
    beforeWrite: (key: string) => void = () => undefined;
    private writes = 0;
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
        this.writes++;
        const current = this.values.get(key) ?? { version: 0, value: undefined };
        if (current.version !== expected) {
            return { kind: "conflict", current };
        }
        this.version++;
        this.values.set(key, { version: this.version, value });
        return this.lostReplies.has(this.writes) ? { kind: "unknown" } : { kind: "applied", version: this.version };
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
