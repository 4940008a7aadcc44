import { divideDeadline } from "@gooseberrybend/core/dispatch";
import { err, ok } from "neverthrow";
import { deflateRawSync } from "node:zlib";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LargeValues } from "./large-values.js";
import { createGatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";
import type { PeerCalls } from "./peer-calls.js";
import { sleep } from "./sleep.js";

const DEADLINE_MS = 3_000;
const { relayEndMs } = divideDeadline(DEADLINE_MS);
/** Time in ms from the choice of a route to the arrival of its request, at most. */
const SEND_MS = 450;
/** Time in ms in which a value must be there: its change may be as old as the view when it becomes known. */
const MAX_FETCH_MS = DEADLINE_MS - relayEndMs - SEND_MS;

const KEY = "configuration";
const REVISION = 7;
const ITEM: StoredItem = { key: KEY, revision: REVISION, value: Buffer.alloc(12_000, "route ") };

/** How a router or the store handles a request for the value; the last is slower than the deadline allows. */
type Source = "has it" | "lacks it" | "has an older one" | "silent" | "stalls" | "slow" | "arrives slowly";

// Responses begin within 400 ms, or else the call has failed; a pause of 1 s in a response ends it.
const callMs: Readonly<Record<Source, number>> = {
    "has it": 5,
    "lacks it": 5,
    "has an older one": 5,
    "silent": 400,
    "stalls": 1_350,
    "slow": 1_300,
    "arrives slowly": 1_300,
};
/** Time in ms between two parts of a response that arrives slowly. */
const PART_MS = 100;

const logs = createGatewayLogs({ level: "error" });

describe("a large value that has changed", () => {
    beforeEach(() => {
        vi.useFakeTimers({ now: 0 });
    });

    afterEach(() => {
        vi.clearAllTimers();
        vi.useRealTimers();
    });

    let storeCalls = 0;
    let peerCalls = 0;
    const fetchFrom = async (sources: readonly Source[], store: Source, forMs: number): Promise<StoredItem[]> => {
        storeCalls = 0;
        peerCalls = 0;
        const peers = {
            call: async (
                address: string,
                method: string,
                parameters: object,
                timeoutMs: number,
                onProgress: () => void,
            ) => {
                const source = sources[Number(address)]!;
                peerCalls++;
                for (let waitedMs = 0; waitedMs < callMs[source]; waitedMs += PART_MS) {
                    await sleep(Math.min(PART_MS, callMs[source] - waitedMs));
                    if (source === "arrives slowly") {
                        onProgress();
                    }
                }
                switch (source) {
                    case "has it":
                    case "slow":
                    case "arrives slowly":
                        return ok({ revision: REVISION, deflated: deflateRawSync(ITEM.value).toString("base64") });
                    case "lacks it":
                    case "has an older one":
                        return ok({});
                    case "silent":
                    case "stalls":
                        return err({ kind: "no-answer", detail: source });
                }
            },
        } as unknown as PeerCalls;
        const metadataStore = {
            list: async () => {
                storeCalls++;
                await sleep(callMs[store]);
                const revision = store === "has an older one" ? REVISION - 1 : REVISION;
                return store === "silent" || store === "stalls"
                    ? { kind: "unanswered", detail: store }
                    : { kind: "done", value: { items: [{ ...ITEM, revision }], revision } };
            },
        } as unknown as MetadataStore;
        const values = new LargeValues(
            peers,
            () => sources.map((unused, index) => String(index)),
            metadataStore,
            logs,
            () => divideDeadline(DEADLINE_MS),
        );
        const fetched: StoredItem[] = [];
        values.fetch(KEY, REVISION, 0, (item) => fetched.push(item));
        await vi.advanceTimersByTimeAsync(forMs);
        values.stop();
        return fetched;
    };

    // Guards against a configuration that is in force seconds late: one source was asked after the other, each until
    // it had failed, and nothing compared that with the deadline.
    describe("is there in time", () => {
        it.each<readonly Source[]>([
            ["has it", "has it", "has it"],
            ["silent", "has it", "has it"],
            ["stalls", "silent", "has it"],
            ["silent", "stalls", "has it"],
            ["slow", "slow", "has it"],
            ["lacks it", "stalls", "has it"],
        ])("from sources of which the first two fail or are slow: %s, %s, %s", async (...sources) => {
            expect(await fetchFrom(sources, "has it", MAX_FETCH_MS)).toEqual([ITEM]);
        });

        it.each<readonly Source[]>([
            ["silent", "stalls", "silent"],
            ["stalls", "stalls", "stalls"],
            ["lacks it", "lacks it", "lacks it"],
            [],
        ])("from the store if no other router has it: %s, %s, %s", async (...sources) => {
            expect(await fetchFrom(sources, "has it", MAX_FETCH_MS)).toEqual([ITEM]);
        });
    });

    // Guards against a slow link that carries the same large value several times.
    it("is fetched once while a response arrives slowly", async () => {
        expect(await fetchFrom(["arrives slowly", "has it"], "has it", 2_000)).toEqual([ITEM]);
        expect([peerCalls, storeCalls]).toEqual([1, 0]);
    });

    it("is fetched once while the first source responds at once", async () => {
        expect(await fetchFrom(["has it", "has it"], "has it", DEADLINE_MS)).toEqual([ITEM]);
        expect(storeCalls).toBe(0);
    });

    // Guards against calls without a pause to a store that lists an older state.
    it("is not taken from a store that lists an older one, which is asked again after a pause", async () => {
        expect(await fetchFrom(["lacks it"], "has an older one", 2_000)).toEqual([]);
        expect(storeCalls).toBeGreaterThan(2);
        expect(storeCalls).toBeLessThan(10);
    });
});
