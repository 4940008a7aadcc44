import { prepaidFigures, type Reservation, shortageCause } from "@gooseberrybend/core/dispatch";
import type { AdmittedRequest } from "./admitted-request.js";
import type { GatewayContext } from "./gateway-context.js";
import type { RefusalCause } from "./refusal.js";

/** Share of the target time that a request waits for tokens from the store. */
const TOKEN_WAIT_SHARE = 0.3;

/** Tokens reserved for one request, from its admission to its end. */
export class TokenClaim {
    private reserved = 0;
    /** Tokens that were charged; undefined before the claim is settled, and if none were reserved. */
    billed: number | undefined;

    constructor(private readonly context: GatewayContext, private readonly admitted: AdmittedRequest) {}

    /** Reserves the worst-case tokens. Requests without a token bound or without a prepaid account need none. */
    async reserve(targetMs: number): Promise<Reservation> {
        const { account, fields } = this.admitted;
        if (account?.prepaidTokens === undefined || fields.tokens === undefined) {
            return "reserved";
        }
        const tokens = worstCaseTokens(fields);
        const reservation = await this.context.prepaid.reserve(account.id, tokens, targetMs * TOKEN_WAIT_SHARE);
        if (reservation === "reserved") {
            this.reserved = tokens;
        }
        return reservation;
    }

    /** Returns why a request without a reservation is refused, and after which time in ms it may be sent again. */
    refusalOf(reservation: Reservation): { cause: RefusalCause; retryAfterMs: number | undefined; } | undefined {
        switch (reservation) {
            case "reserved":
                return undefined;
            case "exhausted":
                return { cause: "budget-exhausted", retryAfterMs: undefined };
            case "short":
                return { cause: "budget-unavailable", retryAfterMs: this.retryAfterMs() };
        }
    }

    /** Settles the claim of a request that has ended, by the number of events that were delivered if it may have run. */
    settleEnd(mayHaveRun: boolean, events: number): void {
        const { fields, service } = this.admitted;
        if (!mayHaveRun) {
            this.settle(0);
        }
        else if (fields.tokens !== undefined) {
            const perEvent = service.engine?.tokensPerEvent ?? fields.tokens.output;
            this.settle(fields.tokens.prompt + Math.min(fields.tokens.output, events * perEvent));
        }
    }

    /** Settles the claim by the tokens that were used. */
    settle(used: number): void {
        const { account } = this.admitted;
        if (account !== undefined && this.reserved > 0) {
            this.context.prepaid.settle(account.id, this.reserved, used);
            this.billed = used;
            this.reserved = 0;
        }
    }

    private retryAfterMs(): number | undefined {
        const { account, fields } = this.admitted;
        return account === undefined
            ? undefined
            : this.context.prepaid.retryAfterMs(account.id, worstCaseTokens(fields), this.context.clock());
    }

    /** Returns the log fields of the state behind a refusal, and counts where the tokens are. */
    figures(): Readonly<Record<string, number | string | undefined>> {
        const { account, fields } = this.admitted;
        const row = account === undefined ? undefined : this.context.prepaid.rows.get(account.id);
        const worst = worstCaseTokens(fields);
        if (row === undefined) {
            return { worst };
        }
        const tokensAt = shortageCause(row, worst);
        this.context.countShortage(tokensAt);
        return { worst, tokensAt, ...prepaidFigures(row, this.context.clock()) };
    }
}

function worstCaseTokens({ tokens }: AdmittedRequest["fields"]): number {
    return (tokens?.prompt ?? 0) + (tokens?.output ?? 0);
}
