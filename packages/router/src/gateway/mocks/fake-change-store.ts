import type { StoreChange, StoreChanges, StoredItem, StoreListing, StoreResult } from "../metadata-store.js";
import { sleep } from "../sleep.js";
import { Waiters } from "../waiters.js";

/** How the store handles the calls of a router: normally, with a refusal, or not at all. */
export type StoreAccess = "well" | "refused" | "silent";

/** Time in ms of a call without waiting, and after which a caller gives up on a call beyond its wait. */
const CALL_MS = 8;
const CALL_TIMEOUT_MS = 1_000;

/** A store whose changes can be followed, on the timers of the test. */
export class FakeChangeStore {
    private readonly changes: StoreChange[] = [];
    private readonly items = new Map<string, StoredItem>();
    private readonly waiters = new Waiters();
    /** Calls by routers. */
    calls = 0;
    private revision = 1;

    put(key: string, value: object): void {
        const item = { key, value: Buffer.from(JSON.stringify(value)), revision: ++this.revision };
        this.items.set(key, item);
        this.add({ key, revision: item.revision, item });
    }

    remove(key: string): void {
        this.items.delete(key);
        this.add({ key, revision: ++this.revision, item: undefined });
    }

    /** Lists all items. */
    async list(access: () => StoreAccess): Promise<StoreResult<StoreListing>> {
        return this.respond(access, 0, () => ({ items: [...this.items.values()], revision: this.revision }));
    }

    /** Waits for changes after a revision. */
    async watch(
        access: () => StoreAccess,
        prefix: string,
        after: number,
        waitMs: number,
    ): Promise<StoreResult<StoreChanges>> {
        const matching = (): StoreChange[] =>
            this.changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
        const deadline = Date.now() + waitMs;
        while (access() === "well" && matching().length === 0 && Date.now() < deadline) {
            await this.waiters.wait(deadline - Date.now());
        }
        return this.respond(access, Math.max(0, deadline - Date.now()), () => ({
            changes: matching(),
            revision: this.revision,
        }));
    }

    private async respond<Value>(
        access: () => StoreAccess,
        remainingWaitMs: number,
        read: () => Value,
    ): Promise<StoreResult<Value>> {
        this.calls++;
        await sleep(CALL_MS / 2);
        const value = read();
        switch (access()) {
            case "refused":
                return { kind: "unavailable", detail: "status 429" };
            case "silent":
                await sleep(remainingWaitMs + CALL_TIMEOUT_MS);
                return { kind: "unanswered", detail: "timeout" };
            case "well":
                await sleep(CALL_MS / 2);
                return { kind: "done", value };
        }
    }

    private add(change: StoreChange): void {
        this.changes.push(change);
        this.waiters.wakeAll();
    }
}
