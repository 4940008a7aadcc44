import { type AccountId, brand, type Incarnation } from "@gooseberrybend/core";
import { seedsOf } from "@gooseberrybend/core/mocks";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createGatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreResult, StoreTransaction } from "./metadata-store.js";
import { FakeMetadataStore } from "./mocks/fake-metadata-store.js";
import { FakeSpendingFleet } from "./mocks/fake-spending-fleet.js";
import type { PeerCalls } from "./peer-calls.js";
import { PrepaidAccounts } from "./prepaid-accounts.js";
import { PREPAID_PREFIX } from "./prepaid-formats.js";
import { sleep } from "./sleep.js";
import { CHECKPOINT_PREFIX } from "./spending-checkpoints.js";

/** Time in ms after the power is back from which requests must be served, and the least share of them. */
const RECOVERY_MS = 12_000;
const LEAST_SERVED_SHARE = 0.25;

// A request every 19 ms for 8,000 tokens on average: accounts last for some 60 s.
const fleetOf = (routers: number, seed: number): FakeSpendingFleet =>
    new FakeSpendingFleet({
        routers,
        accounts: 5,
        total: 5_000_000,
        requestIntervalMs: 19,
        requestTokens: [[1_000, 15_000]],
        seed,
    });

const passUntil = (at: number): Promise<unknown> => vi.advanceTimersByTimeAsync(at - Date.now());

describe("prepaid accounts of a fleet", () => {
    beforeEach(() => {
        vi.useFakeTimers({ now: 0 });
    });

    afterEach(() => {
        vi.clearAllTimers();
        vi.useRealTimers();
    });

    const account = brand<AccountId>("account-1");
    const aloneWith = (store: FakeMetadataStore, callMs = 1): PrepaidAccounts => {
        const transact = async (transaction: StoreTransaction): Promise<StoreResult<number>> => {
            await sleep(callMs);
            return store.transact(transaction);
        };
        const accounts = new PrepaidAccounts(
            { transact } as MetadataStore,
            { name: "router-1", incarnation: brand<Incarnation>("start-1"), startedAt: 0 },
            createGatewayLogs({ level: "error" }),
            () => ({ monotonic: Date.now(), wall: Date.now() }),
            {} as PeerCalls,
            () => undefined,
            () => 1,
            () => 0.5,
            () => 0,
        );
        accounts.setTotals(new Map([[account, 1_000_000]]));
        accounts.replaceRecords([], 0);
        return accounts;
    };
    const ended = async <Value>(result: Promise<Value>): Promise<Value> => {
        await vi.advanceTimersByTimeAsync(300);
        return result;
    };
    const storedCheckpoint = (store: FakeMetadataStore): number | undefined =>
        JSON.parse(store.items.get(`${CHECKPOINT_PREFIX}router-1`)?.value.toString() ?? "{}").committed?.[account];

    describe("that hold the tokens of a request", () => {
        // Guards against refusals of large requests while most of an allowance is not usable yet.
        it("make them usable by one checkpoint, whatever becomes of writes of the record", async () => {
            const store = new FakeMetadataStore();
            const accounts = aloneWith(store);
            await ended(accounts.reserve(account, 10_000, 100));
            accounts.settle(account, 10_000, 0);
            // After the write that follows the first read.
            await vi.advanceTimersByTimeAsync(1_000);
            const row = accounts.rows.get(account)!;
            const held = row.granted - row.used;
            const { transact } = store;
            Object.assign(store, {
                transact: (transaction: StoreTransaction) =>
                    [...transaction.conditions.keys()].some((key) => key.startsWith(PREPAID_PREFIX))
                        ? new Promise(() => undefined)
                        : transact(transaction),
            });
            // A write that may be applied can lower the allowance.
            const reservation = accounts.reserve(account, held, 100);
            await vi.advanceTimersByTimeAsync(10);
            expect(storedCheckpoint(store)).toBe(held);
            expect(await ended(reservation)).toBe("reserved");
        });

        it("serve requests that come together, also while a checkpoint is being written", async () => {
            const accounts = aloneWith(new FakeMetadataStore(), 20);
            await ended(accounts.reserve(account, 10_000, 200));
            accounts.settle(account, 10_000, 0);
            const row = accounts.rows.get(account)!;
            const part = Math.floor((row.granted - row.used) / 3);
            const reservations = [];
            for (let index = 0; index < 3; index++) {
                reservations.push(accounts.reserve(account, part, 200));
                await vi.advanceTimersByTimeAsync(5);
            }
            expect(await ended(Promise.all(reservations))).toEqual(["reserved", "reserved", "reserved"]);
        });

        it("lend them as well", async () => {
            const accounts = aloneWith(new FakeMetadataStore());
            await ended(accounts.reserve(account, 10_000, 100));
            accounts.settle(account, 10_000, 0);
            const row = accounts.rows.get(account)!;
            const tokens = 2 * (row.granted - row.used);
            const loan = await ended(accounts.lend({ id: "loan-1", borrower: "start-2", account, tokens }));
            expect(loan.tokens).toBe(tokens / 2);
        });
    });

    describe("that requests of many accounts wait for", () => {
        const ids = Array.from({ length: 40 }, (unused, index) => brand<AccountId>(`account-${index + 1}`));
        const reserveAll = (accounts: PrepaidAccounts): Promise<unknown[]> =>
            Promise.all(ids.map((id) => accounts.reserve(id, 1_000, 200)));

        // Guards against refusals of requests whose accounts did not fit into the write that was made meanwhile.
        it("are requested from the store in as many writes as it takes", async () => {
            const accounts = aloneWith(new FakeMetadataStore(), 10);
            accounts.setTotals(new Map(ids.map((id) => [id, 100_000])));
            expect(await ended(reserveAll(accounts))).toEqual(ids.map(() => "reserved"));
        });

        // Guards against refusals of requests that wait while an earlier write without a response is sent again.
        it("are requested after a write without a response has been sent again", async () => {
            const store = new FakeMetadataStore();
            const accounts = aloneWith(store, 10);
            accounts.setTotals(new Map(ids.map((id) => [id, 100_000])));
            store.behavior = "unanswered";
            const first = accounts.reserve(ids[0]!, 1_000, 200);
            await ended(first);
            store.behavior = "well";
            await vi.advanceTimersByTimeAsync(1_000);
            expect(await ended(reserveAll(accounts))).toEqual(ids.map(() => "reserved"));
        });
    });

    describe("of a router that shuts down", () => {
        // Guards against tokens, and the use since the last write, that are lost with the only router of a slow store.
        it.each([1, 80])("return unused tokens to a store whose calls take %i ms", async (callMs) => {
            const store = new FakeMetadataStore();
            const accounts = aloneWith(store, callMs);
            await ended(accounts.reserve(account, 10_000, 200));
            accounts.settle(account, 10_000, 120);
            const closed = accounts.close();
            await vi.advanceTimersByTimeAsync(2_000);
            await closed;
            const { holdings } = JSON.parse(store.items.get(`${PREPAID_PREFIX}${account}`)!.value.toString()) as {
                holdings: Record<string, { granted: number; used: number; }>;
            };
            expect(holdings["router-1"]).toMatchObject({ granted: 120, used: 120 });
        });
    });

    // Guards against old checkpoints after an outage, by which whole allowances count as used if the power then fails.
    describe("whose store comes back", () => {
        it("store new checkpoints at once, also if those before the outage had no response", async () => {
            const store = new FakeMetadataStore();
            const accounts = aloneWith(store);
            accounts.start();
            await ended(accounts.reserve(account, 10_000, 100));
            store.behavior = "late";
            await vi.advanceTimersByTimeAsync(3_000);
            accounts.settle(account, 10_000, 9_000);
            store.behavior = "well";
            accounts.resume();
            await vi.advanceTimersByTimeAsync(10);
            expect(storedCheckpoint(store)).toBe(9_000);
            accounts.stop();
        });
    });

    // Guards against accounts that run dry by tokens that are counted as used for routers without power.
    describe("whose routers lose power", () => {
        for (const seed of seedsOf(process.env["SPENDING_SEEDS"] ?? "1-3")) {
            it(`three times, then the store for 7 s, then power all together, serves what is owed, seed ${seed}`, async () => {
                const fleet = fleetOf(6, seed);
                for (const at of [8_000, 14_000, 20_000]) {
                    await passUntil(at);
                    fleet.losePower(0.85, 2_000);
                }
                await passUntil(27_000);
                fleet.stopStore();
                await passUntil(34_500);
                fleet.restoreStore();
                await passUntil(35_000);
                fleet.losePower(1, 1_300);
                await passUntil(36_300 + RECOVERY_MS + 4_000);
                const { owed, served } = fleet.figuresSince(36_300 + RECOVERY_MS);
                expect(fleet.mostUsedShare).toBeLessThanOrEqual(1);
                expect(owed).toBeGreaterThan(20);
                expect(served / owed).toBeGreaterThanOrEqual(LEAST_SERVED_SHARE);
            });
        }
    });
});
