/** An attempt to get a result; undefined if it fails. It may report that its result is arriving. */
export type Attempt<Result> = (reportProgress: () => void) => Promise<Result | undefined>;

/** When to start further attempts. Times in ms. */
export type AttemptTiming = {
    /** Time after the first attempt, and after each later one or its last progress, at which the next one starts too. */
    readonly firstDelayMs: number;
    readonly nextDelayMs: number;
    /** Time after which none is awaited any longer; undefined if each one ends by itself. */
    readonly giveUpMs?: number;
};

/**
 * Starts attempts one after the other, each once the one before has failed or takes too long. Resolves with the first
 * result; undefined if there is none in time.
 */
export function firstResult<Result>(
    attempts: readonly Attempt<Result>[],
    { firstDelayMs, nextDelayMs, giveUpMs }: AttemptTiming,
): Promise<Result | undefined> {
    return new Promise((resolve) => {
        let started = 0;
        let running = 0;
        let isFinished = false;
        let nextTimer: NodeJS.Timeout | undefined;
        const finish = (result: Result | undefined): void => {
            isFinished = true;
            clearTimeout(nextTimer);
            clearTimeout(endTimer);
            resolve(result);
        };
        const startNext = (): void => {
            clearTimeout(nextTimer);
            const attempt = attempts[started];
            if (attempt === undefined) {
                return running === 0 ? finish(undefined) : undefined;
            }
            nextTimer = setTimeout(startNext, started === 0 ? firstDelayMs : nextDelayMs);
            started++;
            running++;
            const number = started;
            const reportProgress = (): void => {
                if (!isFinished && number === started) {
                    clearTimeout(nextTimer);
                    nextTimer = setTimeout(startNext, nextDelayMs);
                }
            };
            void attempt(reportProgress).then((result) => {
                running--;
                if (isFinished) {
                    return;
                }
                if (result === undefined) {
                    startNext();
                }
                else {
                    finish(result);
                }
            });
        };
        const endTimer = giveUpMs === undefined ? undefined : setTimeout(() => finish(undefined), giveUpMs);
        startNext();
    });
}
