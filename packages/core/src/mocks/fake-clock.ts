import { createDueQueue, earliestDue, schedule, takeDue } from "../support/due-queue.js";

/** Virtual time: actions run in order of their time, never in real time. */
export class FakeClock {
    now = 1_000_000;
    private readonly queue = createDueQueue<() => void>();

    /** Runs an action after some ms. */
    after(delay: number, action: () => void): void {
        schedule(this.queue, this.now + Math.max(0, delay), action);
    }

    /** Runs all actions up to a time. */
    runUntil(time: number): void {
        for (;;) {
            const next = earliestDue(this.queue);
            if (next === undefined || next > time) {
                this.now = time;
                return;
            }
            this.now = Math.max(this.now, next);
            takeDue(this.queue, next)!();
        }
    }
}
