/** Work that is repeated after intervals that are computed for each run, as they depend on the size of the fleet. */
export class PeriodicWork {
    private readonly timers = new Set<NodeJS.Timeout>();

    /** Repeats work after intervals in ms, until stopped. */
    repeat(intervalMs: () => number, run: () => void): void {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            run();
            this.repeat(intervalMs, run);
        }, intervalMs());
        this.timers.add(timer);
    }

    /** Stops all work. */
    stop(): void {
        this.timers.forEach((timer) => clearTimeout(timer));
    }
}
