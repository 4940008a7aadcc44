import { divideDeadline } from "@gooseberrybend/core/dispatch";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LargeValues } from "./large-values.js";
import { createGatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreChange } from "./metadata-store.js";
import type { PeerCalls } from "./peer-calls.js";
import { ChangeHistory, PeerChangeFeed } from "./peer-change-feed.js";
import { sleep } from "./sleep.js";
import { StoreFollower } from "./store-follower.js";

const DEADLINE_MS = 3_000;
const CONFIGURATION = "configuration";
const ENDPOINTS = "endpoints/";
/** Time in ms of a call to the store, and after which one has failed beyond its wait. */
const CALL_MS = 5;
const CALL_TIMEOUT_MS = 1_000;

const logs = createGatewayLogs({ level: "error" });

describe("a router that reads changes from the store by prefix", () => {
    let follower: StoreFollower;
    let history: ChangeHistory;
    let applied: string[];
    /** Prefixes whose reads fail without a response. */
    let silentPrefixes: Set<string>;
    let changes: StoreChange[];
    let revision: number;

    const put = (key: string): void => {
        revision++;
        changes.push({ key, revision, item: { key, revision, value: Buffer.from("{}") } });
    };

    const relayedAgeMs = async (): Promise<number> => {
        const response = history.respond({ after: revision, waitMs: 0 });
        await vi.advanceTimersByTimeAsync(1);
        return (await response).ageMs;
    };

    beforeEach(async () => {
        vi.useFakeTimers({ now: 0 });
        applied = [];
        silentPrefixes = new Set();
        changes = [];
        revision = 1;
        const store = {
            list: async () => ({ kind: "done", value: { items: [], revision } }),
            changes: async (prefix: string, after: number, waitMs: number) => {
                await sleep(CALL_MS + waitMs);
                if (silentPrefixes.has(prefix)) {
                    await sleep(CALL_TIMEOUT_MS);
                    return { kind: "unanswered", detail: "no response" };
                }
                const matching = changes.filter((change) => change.revision > after && change.key.startsWith(prefix));
                return { kind: "done", value: { changes: matching, revision } };
            },
        } as unknown as MetadataStore;
        const clock = (): number => Date.now();
        history = new ChangeHistory([ENDPOINTS, CONFIGURATION], clock);
        const noPeers = {} as PeerCalls;
        follower = new StoreFollower(
            store,
            {
                onReplaced: () => undefined,
                onChanged: ({ key }) => void applied.push(key),
                onAvailable: () => undefined,
            },
            logs,
            clock,
            () => DEADLINE_MS,
            new PeerChangeFeed(noPeers, () => [], clock),
            () => false,
            history,
            [ENDPOINTS, CONFIGURATION],
            new LargeValues(noPeers, () => [], store, logs, () => divideDeadline(DEADLINE_MS)),
        );
        void follower.run();
        await vi.advanceTimersByTimeAsync(1_500);
    });

    afterEach(() => {
        follower.stop();
        vi.clearAllTimers();
        vi.useRealTimers();
    });

    it("knows the age of all it reads while the store responds", async () => {
        put(CONFIGURATION);
        await vi.advanceTimersByTimeAsync(DEADLINE_MS);
        expect(applied).toEqual([CONFIGURATION]);
        expect(follower.valueAgeMs(CONFIGURATION, Date.now())).toBeLessThan(DEADLINE_MS);
        expect(await relayedAgeMs()).toBeLessThan(DEADLINE_MS);
    });

    // Guards against a configuration that stays old unnoticed: a view counted as read, here and at the routers that it
    // was relayed to, though the read of one prefix had not ended.
    describe("while reads of the configuration fail", () => {
        beforeEach(async () => {
            silentPrefixes.add(CONFIGURATION);
            await vi.advanceTimersByTimeAsync(CALL_TIMEOUT_MS);
            put(CONFIGURATION);
            put(`${ENDPOINTS}1`);
            await vi.advanceTimersByTimeAsync(2 * DEADLINE_MS);
        });

        it("knows that the configuration in force is old", () => {
            expect(applied).not.toContain(CONFIGURATION);
            expect(follower.valueAgeMs(CONFIGURATION, Date.now())).toBeGreaterThan(2 * DEADLINE_MS);
        });

        it("does not relay its view as a new one", async () => {
            expect(await relayedAgeMs()).toBeGreaterThan(2 * DEADLINE_MS);
        });

        it("still applies changes of endpoints, and knows their age", () => {
            expect(applied).toContain(`${ENDPOINTS}1`);
            expect(follower.changesAgeMs(Date.now())).toBeLessThan(DEADLINE_MS);
        });

        it("has the configuration once reads succeed again", async () => {
            silentPrefixes.clear();
            await vi.advanceTimersByTimeAsync(DEADLINE_MS);
            expect(applied).toContain(CONFIGURATION);
            expect(follower.valueAgeMs(CONFIGURATION, Date.now())).toBeLessThan(DEADLINE_MS);
            expect(await relayedAgeMs()).toBeLessThan(DEADLINE_MS);
        });
    });
});
