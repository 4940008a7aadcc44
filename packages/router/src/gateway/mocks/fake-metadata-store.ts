import type { StoredItem, StoreResult, StoreTransaction } from "../metadata-store.js";

/** How the store handles a write; a late one is applied by `applyDelayedWrites`. */
export type StoreBehavior = "well" | "unavailable" | "unanswered" | "late";

/** In-memory store that supports transactions. */
export class FakeMetadataStore {
    behavior: StoreBehavior = "well";
    readonly items = new Map<string, StoredItem>();
    private readonly delayedWrites: StoreTransaction[] = [];
    private revision = 0;

    /** Handles a transaction as the current behavior says. */
    readonly transact = async (transaction: StoreTransaction): Promise<StoreResult<number>> => {
        switch (this.behavior) {
            case "unavailable":
                return { kind: "unavailable", detail: "status 503" };
            case "late":
                this.delayedWrites.push(transaction);
                return { kind: "unanswered", detail: "no answer" };
            case "unanswered":
                this.apply(transaction);
                return { kind: "unanswered", detail: "no answer" };
            case "well":
                return this.apply(transaction);
        }
    };

    /** Applies the delayed writes. */
    applyDelayedWrites(): void {
        this.delayedWrites.splice(0).forEach((transaction) => this.apply(transaction));
    }

    private apply({ conditions, puts, deletes }: StoreTransaction): StoreResult<number> {
        const conditionsHold = [...conditions].every(([key, revision]) =>
            (this.items.get(key)?.revision ?? 0) === revision
        );
        if (!conditionsHold) {
            const currentItems = [...conditions.keys()].flatMap((key) => this.items.get(key) ?? []);
            return { kind: "conflict", items: new Map(currentItems.map((item) => [item.key, item])) };
        }
        this.revision++;
        puts.forEach(({ key, value }) =>
            this.items.set(key, { key, value: Buffer.from(value), revision: this.revision })
        );
        deletes.forEach((key) => this.items.delete(key));
        return { kind: "done", value: this.revision };
    }
}
