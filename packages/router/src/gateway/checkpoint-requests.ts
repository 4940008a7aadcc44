import { isCheckpointMissing, type PrepaidRow, type Reservation, reservePrepaid } from "@gooseberrybend/core/dispatch";
import { sleep } from "./sleep.js";
import { tokensByRow } from "./tokens-by-row.js";

/** Maximum writes of checkpoints for one request: one that was under way, and one that covers it. */
const MAX_CHECKPOINT_WRITES = 2;

/**
 * Requests for tokens that this router holds, but may use only after another checkpoint. That is a write that meets
 * none of other routers, unlike one of a record.
 */
export class CheckpointRequests {
    private readonly waiting = new Set<{ readonly row: PrepaidRow; readonly tokens: number; }>();

    constructor(
        /** Writes the checkpoints of all rows, with the tokens of the waiting requests. */
        private readonly writeCheckpoints: () => Promise<void>,
        /** Whether a write failed a short time ago. */
        private readonly isFailing: () => boolean,
        /** Monotonic time in ms. */
        private readonly now: () => number,
    ) {}

    /** Returns the tokens that requests wait for. */
    tokensByRow(): ReadonlyMap<PrepaidRow, number> {
        return tokensByRow(this.waiting);
    }

    /** Reserves tokens after a checkpoint, for which the request waits up to `waitMs`. */
    async reserve(row: PrepaidRow, tokens: number, waitMs: number): Promise<Reservation> {
        let reservation: Reservation = "short";
        await this.makeUsable(row, tokens, waitMs, () => {
            reservation = reservePrepaid(row, tokens, this.now());
            return reservation === "reserved";
        });
        return reservation;
    }

    /** Writes checkpoints until tokens are usable, or taken by `take`; a write that was under way may not cover them. */
    async makeUsable(
        row: PrepaidRow,
        tokens: number,
        waitMs: number,
        take: () => boolean = () => false,
    ): Promise<void> {
        const request = { row, tokens };
        const endsAt = this.now() + waitMs;
        this.waiting.add(request);
        for (let attempt = 0; attempt < MAX_CHECKPOINT_WRITES; attempt++) {
            const now = this.now();
            if (this.isFailing() || now >= endsAt || !isCheckpointMissing(row, tokens, now)) {
                break;
            }
            await Promise.race([this.writeCheckpoints(), sleep(endsAt - now)]);
            if (take()) {
                break;
            }
        }
        this.waiting.delete(request);
    }
}
