/** Signals on which a router stops. */
type StopSignal = "SIGTERM" | "SIGINT";

/**
 * Signals of the operator, received from the start of the process on: without a handler, each of them would end it.
 * Those that come before the router can act on them are kept.
 */
export class ProcessSignals {
    /** Resolves at the first signal to stop. */
    readonly stopped: Promise<StopSignal>;
    private reload: (() => void) | undefined;
    private isReloadPending = false;
    private repeatStop: (signal: StopSignal) => void = () => undefined;

    constructor() {
        process.on("SIGHUP", () => this.handleReload());
        this.stopped = new Promise((resolve) => {
            let isStopping = false;
            const stop = (signal: StopSignal): void => {
                if (isStopping) {
                    this.repeatStop(signal);
                }
                isStopping = true;
                resolve(signal);
            };
            process.on("SIGTERM", () => stop("SIGTERM"));
            process.on("SIGINT", () => stop("SIGINT"));
        });
    }

    /** Sets what a SIGHUP does; one that came before is handled at once. */
    onReload(reload: () => void): void {
        this.reload = reload;
        if (this.isReloadPending) {
            reload();
        }
    }

    /** Sets what further signals to stop do; they must not cut a drain short. */
    onRepeatedStop(handle: (signal: StopSignal) => void): void {
        this.repeatStop = handle;
    }

    private handleReload(): void {
        this.isReloadPending = this.reload === undefined;
        this.reload?.();
    }
}
