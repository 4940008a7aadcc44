/** Resolves after a time in ms, on the global timers, which tests can replace. */
export function sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
        setTimeout(resolve, durationMs);
    });
}
