import { divideDeadline } from "@gooseberrybend/core/dispatch";
import { ok } from "neverthrow";
import { describe, expect, it, vi } from "vitest";
import { LargeValues } from "./large-values.js";
import { createGatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreChange, StoredItem } from "./metadata-store.js";
import type { PeerCalls } from "./peer-calls.js";
import { ChangeHistory } from "./peer-change-feed.js";

const deadline = () => divideDeadline(3_000);
const logs = createGatewayLogs({ level: "error" });

function itemAt(revision: number, size = 20_000): StoredItem {
    return { key: "configuration", revision, value: Buffer.alloc(size, `${revision} `) };
}

function historyWith(...items: StoredItem[]): ChangeHistory {
    const history = new ChangeHistory([""], () => 0);
    history.restart(0);
    items.forEach((item) => history.add([{ key: item.key, revision: item.revision, item }], item.revision, 0));
    return history;
}

function peersWith(history: ChangeHistory): PeerCalls {
    const call = async (address: string, method: string, parameters: object) =>
        ok(JSON.parse(JSON.stringify(history.respondLargeValue(parameters))));
    return { call } as unknown as PeerCalls;
}

function storeWith(items: StoredItem[]): MetadataStore {
    return { list: vi.fn(async () => ({ kind: "done", value: { items, revision: 9 } })) } as unknown as MetadataStore;
}

describe("a large value of the store", () => {
    describe("among the changes that a router relays", () => {
        it("is left out for routers that fetch it apart, with its key and revision", async () => {
            const response = await historyWith(itemAt(3)).respond({ after: 0, waitMs: 0, defersLargeValues: true });
            expect(response.changes).toEqual([{ key: "configuration", revision: 3, isDeferred: true }]);
        });

        it("is included for routers of earlier versions", async () => {
            const response = await historyWith(itemAt(3)).respond({ after: 0, waitMs: 0 });
            expect(response.changes[0]!.value).toBe(itemAt(3).value.toString("base64"));
        });

        it("is not included if the relaying router does not have it itself", async () => {
            const history = new ChangeHistory([""], () => 0);
            history.restart(0);
            history.add([], 3, 0, [{ key: "configuration", revision: 3 }]);
            expect((await history.respond({ after: 0, waitMs: 0 })).revision).toBeUndefined();
        });

        it("is not kept once a newer one is, whatever its size", () => {
            const parameters = { key: "configuration", revision: 1 };
            expect(historyWith(itemAt(3), itemAt(4)).respondLargeValue(parameters).revision).toBe(4);
            expect(historyWith(itemAt(3), itemAt(4, 10)).respondLargeValue(parameters)).toEqual({});
        });
    });

    // Guards against a router that ended because it could not inflate what another one sent.
    describe("that another router sends spoiled", () => {
        it("is fetched from the next source", async () => {
            const call = async () => ok({ revision: 3, deflated: "AAAA" });
            const values = new LargeValues(
                { call } as unknown as PeerCalls,
                () => ["router-1:1"],
                storeWith([itemAt(3)]),
                logs,
                deadline,
            );
            const item = await new Promise<StoredItem>((resolve) => values.fetch("configuration", 3, 0, resolve));
            expect(item).toEqual(itemAt(3));
        });
    });

    describe("that a router fetches", () => {
        const fetched = (peers: PeerCalls, store: MetadataStore, revisions: number[]): Promise<StoredItem[]> =>
            new Promise((resolve) => {
                const items: StoredItem[] = [];
                const values = new LargeValues(peers, () => ["near"], store, logs, deadline);
                revisions.forEach((revision) =>
                    values.fetch("configuration", revision, 0, (item) => {
                        items.push(item);
                        if (item.revision >= Math.max(...revisions)) {
                            setTimeout(() => resolve(items), 20);
                        }
                    })
                );
            });

        it("comes from another router, whole, and once if it is newer than requested", async () => {
            const store = storeWith([]);
            expect(await fetched(peersWith(historyWith(itemAt(3), itemAt(4))), store, [3, 4])).toEqual([itemAt(4)]);
            expect(store.list).not.toHaveBeenCalled();
        });

        // Guards against an age of the router's view that leaves out a configuration which is still being fetched.
        it("counts as old as the view before the oldest change that is missing", async () => {
            const values = new LargeValues(
                peersWith(historyWith(itemAt(3))),
                () => ["near"],
                storeWith([]),
                logs,
                deadline,
            );
            expect(values.missingSince("configuration")).toBeUndefined();
            await new Promise<StoredItem>((resolve) => {
                values.fetch("configuration", 3, 100, resolve);
                values.fetch("configuration", 4, 200, () => undefined);
                expect(values.missingSince("configuration")).toBe(100);
                values.stop();
                resolve(itemAt(3));
            });
        });

        it("comes from the store if no other router has it", async () => {
            const others: StoreChange["item"][] = [{ ...itemAt(8), key: "configuration-of-others" }];
            const store = storeWith([...others, itemAt(5)] as StoredItem[]);
            expect(await fetched(peersWith(historyWith(itemAt(4))), store, [5])).toEqual([itemAt(5)]);
        });
    });
});
