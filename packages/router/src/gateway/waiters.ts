/** Callers that wait for an event, each for a limited time. */
export class Waiters {
    private readonly waiting = new Set<() => void>();

    /** Resolves at the next event, or after a time in ms. */
    wait(maxMs: number): Promise<void> {
        return new Promise((resolve) => {
            const wake = (): void => {
                clearTimeout(timer);
                this.waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, maxMs);
            this.waiting.add(wake);
        });
    }

    /** Ends all waits. */
    wakeAll(): void {
        this.waiting.forEach((wake) => wake());
    }
}
