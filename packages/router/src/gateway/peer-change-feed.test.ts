import { ok } from "neverthrow";
import { describe, expect, it, vi } from "vitest";
import { createGatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreChange } from "./metadata-store.js";
import type { PeerCalls } from "./peer-calls.js";
import { type ChangeFeedResponse, ChangeHistory, PeerChangeFeed } from "./peer-change-feed.js";
import { StoreFollower } from "./store-follower.js";

const CHANGE_DEADLINE_MS = 2_000;

function changeAt(revision: number): StoreChange {
    const key = `key-${revision}`;
    return { key, revision, item: { key, revision, value: Buffer.from("{}") } };
}

describe("change feed between routers", () => {
    describe("a router that relays changes", () => {
        it("responds with the changes after a revision, or at the end of the wait", async () => {
            const history = new ChangeHistory([""], () => 0);
            history.restart(5);
            const answer = history.respond({ after: 5, waitMs: 1_000 });
            history.add([changeAt(7)], 8, 0);
            expect(await answer).toMatchObject({ revision: 8, changes: [{ key: "key-7", revision: 7 }] });
            expect(await history.respond({ after: 8, waitMs: 10 })).toEqual({ revision: 8, ageMs: 0, changes: [] });
        });

        it("returns no revision to a router that missed more than it retains", async () => {
            const history = new ChangeHistory([""], () => 0);
            history.restart(5);
            expect((await history.respond({ after: 4, waitMs: 10 })).revision).toBeUndefined();
        });

        it("leaves out changes with other prefixes", async () => {
            const history = new ChangeHistory(["key-8"], () => 0);
            history.restart(5);
            history.add([changeAt(7), changeAt(8)], 8, 0);
            expect((await history.respond({ after: 5, waitMs: 10 })).changes).toMatchObject([{ key: "key-8" }]);
        });

        it("also relays changes that it received from a peer before it read the store again", async () => {
            let relayed = true;
            const answer: ChangeFeedResponse = {
                revision: 7,
                ageMs: 0,
                changes: [{ key: "key-7", revision: 7, value: "" }],
            };
            const call = vi.fn(async () => ok(relayed ? answer : {}));
            const feed = new PeerChangeFeed({ call } as unknown as PeerCalls, () => ["peer"], () => 0);
            const store = {
                list: async () => ({ kind: "done", value: { items: [], revision: 5 } }),
                changes: async () => ({ kind: "done", value: { changes: [changeAt(9)], revision: 9 } }),
            } as unknown as MetadataStore;
            const history = new ChangeHistory([""], () => 0);
            const follower = new StoreFollower(
                store,
                {
                    onReplaced: () => undefined,
                    onChanged: ({ key }) => {
                        relayed = key !== "key-7";
                        if (key === "key-9") {
                            follower.stop();
                        }
                    },
                },
                createGatewayLogs({ level: "error" }),
                () => performance.now(),
                () => CHANGE_DEADLINE_MS,
                () => feed,
                history,
                ["key-"],
            );
            await follower.run();
            const keys = (await history.respond({ after: 5, waitMs: 10 })).changes.map(({ key }) => key);
            expect(keys).toEqual(["key-7", "key-9"]);
        });
    });

    describe("a router that no peer relays changes to", () => {
        it("reads only the feed prefixes from the store, and misses nothing between them", async () => {
            const watches: [string, number][] = [];
            const store = {
                list: async () => ({ kind: "done", value: { items: [], revision: 5 } }),
                changes: async (prefix: string, after: number) => {
                    watches.push([prefix, after]);
                    const revision = prefix === "a/" ? 7 : 9;
                    const changes = prefix === "a/" || after >= 9 ? [] : [changeAt(9)];
                    return { kind: "done", value: { changes, revision } };
                },
            } as unknown as MetadataStore;
            const follower = new StoreFollower(
                store,
                {
                    onReplaced: () => undefined,
                    onChanged: () => {
                        if (watches.length === 4) {
                            follower.stop();
                        }
                    },
                },
                createGatewayLogs({ level: "error" }),
                () => performance.now(),
                () => CHANGE_DEADLINE_MS,
                () => new PeerChangeFeed({} as PeerCalls, () => [], () => 0),
                new ChangeHistory([""], () => 0),
                ["a/", "b/"],
            );
            await follower.run();
            expect(watches).toEqual([["a/", 5], ["b/", 5], ["a/", 7], ["b/", 7]]);
        });
    });

    describe("a router that requests changes", () => {
        const peersAnswering = (answer: object): PeerCalls =>
            ({ call: async () => ok(answer) }) as unknown as PeerCalls;

        it("rejects changes that are too old, and queries another router next", async () => {
            const call = vi.fn(async () => ok({ revision: 8, ageMs: 900, changes: [] }));
            const feed = new PeerChangeFeed({ call } as unknown as PeerCalls, () => ["near", "far"], () => 0);
            expect(await feed.changes(5, 400, 800)).toBeUndefined();
            expect(await feed.changes(5, 400, 1_000)).toMatchObject({ revision: 8 });
            expect(call.mock.calls.map(([address]: unknown[]) => address)).toEqual(["near", "far"]);
        });

        it("gets none when no router relays them", async () => {
            expect(await new PeerChangeFeed(peersAnswering({}), () => [], () => 0).changes(5, 400, 800))
                .toBeUndefined();
        });
    });
});
