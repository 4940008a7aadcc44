import { type AccountId, brand, type Incarnation } from "@gooseberrybend/core";
import { createPrepaidRow, type PrepaidRow, spendableTokens } from "@gooseberrybend/core/dispatch";
import { describe, expect, it } from "vitest";
import { createGatewayLogs } from "./log-sink.js";
import type { PeerCalls } from "./peer-calls.js";
import { TokenTransfers } from "./token-transfers.js";

const account = brand<AccountId>("account-1");
const holder = { name: "router-1", incarnation: brand<Incarnation>("start-1"), startedAt: 0 };
const transfersOf = (rows: ReadonlyMap<AccountId, PrepaidRow>): TokenTransfers =>
    new TokenTransfers(
        { holder, rows, addressOf: () => undefined, now: () => 0 },
        {} as PeerCalls,
        createGatewayLogs({ level: "error" }),
    );
const transfer = { id: "start-2", from: "router-2", tokens: { [account]: 500 } };

describe("transfers of tokens", () => {
    // Guards against tokens that are spent twice, as a transfer without a response is sent again.
    it("are applied once", () => {
        const row = createPrepaidRow(account, 1_000, 0);
        const transfers = transfersOf(new Map([[account, row]]));
        transfers.receive(transfer);
        transfers.receive(transfer);
        expect(spendableTokens(row, 0)).toBe(500);
    });

    it("wait for accounts that are not known yet", () => {
        const transfers = transfersOf(new Map());
        transfers.receive(transfer);
        const row = createPrepaidRow(account, 1_000, 0);
        transfers.assignTo(row);
        expect(spendableTokens(row, 0)).toBe(500);
    });

    // Guards against tokens that end with a second process that shuts down.
    it("are rejected by a router that shuts down", async () => {
        const transfers = transfersOf(new Map());
        await transfers.handOver();
        expect(() => transfers.receive(transfer)).toThrow("shutting down");
    });
});
