import { prepaidFigures, type Reservation } from "@gooseberrybend/core/dispatch";
import type { AdmittedRequest } from "./admitted-request.js";
import type { GatewayContext } from "./gateway-context.js";

/** Share of the target time that a request waits for tokens from the store. */
const TOKEN_WAIT_SHARE = 0.3;

/** Tokens reserved for one request, from its admission to its end. */
export class TokenClaim {
    private reserved = 0;

    constructor(private readonly context: GatewayContext, private readonly admitted: AdmittedRequest) {}

    /** Reserves the worst-case tokens. Requests without a token bound or without a prepaid account need none. */
    async reserve(targetMs: number): Promise<Reservation> {
        const { account, fields } = this.admitted;
        if (account?.prepaidTokens === undefined || fields.tokens === undefined) {
            return "reserved";
        }
        const worstCaseTokens = fields.tokens.prompt + fields.tokens.output;
        const reservation = await this.context.prepaid.reserve(
            account.id,
            worstCaseTokens,
            targetMs * TOKEN_WAIT_SHARE,
        );
        if (reservation === "reserved") {
            this.reserved = worstCaseTokens;
        }
        return reservation;
    }

    /** Settles the claim of a request that may have run, by the number of events that were delivered. */
    settleEvents(events: number): void {
        const { fields, service } = this.admitted;
        if (fields.tokens !== undefined) {
            const perEvent = service.engine?.tokensPerEvent ?? fields.tokens.output;
            this.settle(fields.tokens.prompt + Math.min(fields.tokens.output, events * perEvent));
        }
    }

    /** Settles the claim by the tokens that were used. */
    settle(used: number): void {
        const { account } = this.admitted;
        if (account !== undefined && this.reserved > 0) {
            this.context.prepaid.settle(account.id, this.reserved, used);
            this.reserved = 0;
        }
    }

    /** Returns the time in ms after which tokens may be available, with jitter so that callers don't retry together. */
    retryAfterMs(): number {
        return this.context.prepaid.retryAfterMs(this.context.clock()) * (1 + this.context.random());
    }

    /** Returns the log fields of the state behind a refusal. */
    figures(): Readonly<Record<string, number | undefined>> {
        const { account, fields } = this.admitted;
        const row = account === undefined ? undefined : this.context.prepaid.rows.get(account.id);
        const worst = (fields.tokens?.prompt ?? 0) + (fields.tokens?.output ?? 0);
        return { worst, ...(row === undefined ? {} : prepaidFigures(row, this.context.clock())) };
    }
}
