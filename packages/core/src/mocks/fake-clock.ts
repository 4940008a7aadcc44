import { createDueQueue, earliestDue, schedule, takeDue } from "../support/due-queue.js";

/** Virtual clock in ms: runs scheduled actions in order of due time, without waiting in real time. */
export class FakeClock {
    now = 1_000_000;
    private readonly queue = createDueQueue<() => void>();

    /** Schedules an action to run after a delay. */
    after(delayMs: number, action: () => void): void {
        schedule(this.queue, this.now + Math.max(0, delayMs), action);
    }

    /** Runs all actions due up to the given time, and sets the clock to it. */
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
