import type { AccountId } from "@gooseberrybend/core";
import {
    applyLoan,
    lendersOf,
    type PrepaidHolder,
    type PrepaidRow,
    spendableTokens,
} from "@gooseberrybend/core/dispatch";
import { z } from "zod";
import type { GatewayLogs } from "./log-sink.js";
import type { PeerCalls } from "./peer-calls.js";
import type { TokenCounter } from "./prepaid-log.js";

/** JSON-RPC method by which a router that shuts down hands its tokens over to another one. */
export const TRANSFER_METHOD = "transfer";

/** Timeout in ms of a call; a process that shuts down has a second or two for all of them. */
const TRANSFER_TIMEOUT_MS = 150;
/** Maximum routers that are asked whether they take tokens. */
const MAX_RECEIVERS = 6;
/** Maximum calls of one transfer; a repeated one is applied once. */
const MAX_CALLS = 2;
/** Maximum number of transfers remembered in case they are repeated; the oldest are evicted first. */
const MAX_REMEMBERED_TRANSFERS = 1_000;

const transferSchema = z.object({
    id: z.string(),
    from: z.string(),
    /** Tokens by account; none asks whether this router takes tokens. */
    tokens: z.record(z.string(), z.number().int().nonnegative()),
});

/** What transfers need of this router. */
export type TransferHost = {
    readonly holder: PrepaidHolder;
    readonly rows: ReadonlyMap<AccountId, PrepaidRow>;
    /** Returns the peer address of a router, or undefined when it is unknown. */
    readonly addressOf: (router: string) => string | undefined;
    /** Monotonic time in ms. */
    readonly now: () => number;
};

/**
 * Hands the tokens of a router that shuts down over to another one, without using the store. They count as used here
 * and reduce the used tokens there, as those of a loan do, so the sum stays right whoever ends.
 */
export class TokenTransfers {
    private isClosing = false;
    private readonly received = new Set<string>();
    /** Tokens received for accounts that are not known yet. */
    private readonly unassigned = new Map<string, number>();
    /** Routers that handed tokens over to this one. */
    private readonly senders = new Set<string>();

    constructor(
        private readonly host: TransferHost,
        private readonly peers: PeerCalls,
        private readonly logs: GatewayLogs,
        private readonly count: TokenCounter = () => undefined,
    ) {}

    /** Handles a transfer from another router. A router that shuts down rejects it. */
    receive(parameters: unknown): object {
        const { id, from, tokens } = transferSchema.parse(parameters);
        if (this.isClosing) {
            throw new Error("This router is shutting down.");
        }
        if (this.received.has(id)) {
            return {};
        }
        const transferred = Object.entries(tokens);
        if (transferred.length > 0) {
            this.remember(id, from);
            this.logs.prepaid.info("Tokens of a router that shuts down received.", { id, from, tokens });
        }
        for (const [account, count] of transferred) {
            this.count("received", count);
            const row = this.host.rows.get(account as AccountId);
            if (row === undefined) {
                this.unassigned.set(account, (this.unassigned.get(account) ?? 0) + count);
            }
            else {
                applyLoan(row, count);
            }
        }
        return {};
    }

    /** Adds tokens that were received before the account was known, as by a router without a configuration. */
    assignTo(row: PrepaidRow): void {
        applyLoan(row, this.unassigned.get(row.account) ?? 0);
        this.unassigned.delete(row.account);
    }

    private remember(id: string, from: string): void {
        this.received.add(id);
        this.senders.add(from);
        if (this.received.size > MAX_REMEMBERED_TRANSFERS) {
            this.received.delete(this.received.values().next().value!);
        }
    }

    /**
     * Hands over all usable tokens to one other router; from now on none are received. Returns whether a router takes
     * tokens: it may have received them even if it has not confirmed that.
     */
    async handOver(): Promise<boolean> {
        this.isClosing = true;
        const asked = this.receivers().flatMap((name) => this.host.addressOf(name) ?? []);
        const answers = await Promise.all(asked.map((address) => this.send(address, "probe", {})));
        const receiver = asked.find((unusedAddress, index) => answers[index]);
        if (receiver === undefined) {
            this.logs.prepaid.warn("No router took the tokens of this one, which shuts down.", { asked });
            return false;
        }
        const tokens = this.takeUsable();
        const id = this.host.holder.incarnation;
        let isConfirmed = false;
        for (let call = 0; call < MAX_CALLS && !isConfirmed; call++) {
            isConfirmed = await this.send(receiver, id, tokens);
        }
        this.logs.prepaid.info("Tokens handed over to another router.", { receiver, id, tokens, isConfirmed });
        return true;
    }

    // Routers that hold tokens by the records, those with most first, then those that may have more than the records.
    private receivers(): readonly string[] {
        const names = [...this.host.rows.values()].flatMap((row) => lendersOf(row, this.host.holder).slice(0, 2));
        return [...new Set([...names, ...this.senders])].slice(0, MAX_RECEIVERS);
    }

    // Counts the tokens as used before they are sent: the transfer may arrive although it has no response.
    private takeUsable(): Readonly<Record<string, number>> {
        const tokens: Record<string, number> = {};
        for (const row of this.host.rows.values()) {
            const usable = Math.floor(spendableTokens(row, this.host.now()));
            if (usable > 0) {
                row.used += usable;
                this.count("handed-over", usable);
                tokens[row.account] = usable;
            }
        }
        return tokens;
    }

    private async send(address: string, id: string, tokens: Readonly<Record<string, number>>): Promise<boolean> {
        const from = this.host.holder.name;
        const answer = await this.peers.call(address, TRANSFER_METHOD, { id, from, tokens }, TRANSFER_TIMEOUT_MS);
        if (answer.isErr()) {
            this.logs.prepaid.warn("Transfer of tokens failed.", { address, id, detail: answer.error.detail });
        }
        return answer.isOk();
    }
}
