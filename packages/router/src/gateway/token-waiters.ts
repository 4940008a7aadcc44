import { type PrepaidRow, type Reservation, reservePrepaid } from "@gooseberrybend/core/dispatch";

/** A request that waits for tokens. */
export type TokenWaiter = {
    readonly row: PrepaidRow;
    readonly tokens: number;
    readonly resolve: (value: Reservation) => void;
};

/** Requests that wait for tokens from the store. */
export class TokenWaiters {
    private waiters: TokenWaiter[] = [];

    constructor(
        /** Monotonic time in ms. */
        private readonly now: () => number,
    ) {}

    get isEmpty(): boolean {
        return this.waiters.length === 0;
    }

    get all(): readonly TokenWaiter[] {
        return this.waiters;
    }

    /** Waits for tokens of a row, for a time in ms at most. */
    wait(row: PrepaidRow, tokens: number, waitMs: number): Promise<Reservation> {
        return new Promise((resolve) => {
            const waiter = { row, tokens, resolve };
            this.waiters.push(waiter);
            setTimeout(() => this.timeOut(waiter), waitMs);
        });
    }

    /** Serves the requests for which there are tokens now. The others wait on, except those that a write has decided. */
    serve(decided: readonly TokenWaiter[]): void {
        const waiting = this.waiters;
        this.waiters = [];
        for (const waiter of waiting) {
            const reservation = reservePrepaid(waiter.row, waiter.tokens, this.now());
            if (reservation === "short" && !decided.includes(waiter)) {
                this.waiters.push(waiter);
                continue;
            }
            waiter.resolve(reservation);
        }
    }

    private timeOut(waiter: TokenWaiter): void {
        const index = this.waiters.indexOf(waiter);
        if (index >= 0) {
            this.waiters.splice(index, 1);
            waiter.resolve("short");
        }
    }
}
