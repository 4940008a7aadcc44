import { type Effect, type Message, nextTickAt, tick, type World } from "@gooseberrybend/core";

/** Carries out one kind of effects. */
export type EffectHandler = (effect: Effect) => void;

const LONGEST_TIMER_MS = 1_000;

/** Drives a world: collects messages, ticks it with the present time, and carries out its effects. */
export class Host {
    private inbox: Message[] = [];
    private timer: NodeJS.Timeout | undefined;
    private scheduled = false;
    private stopped = false;
    private armedAt = Infinity;

    constructor(
        readonly world: World,
        private readonly handle: EffectHandler,
        private readonly observe: (message: Message) => void,
    ) {}

    /** Hands a message to the world. It is ticked before the process turns to further input. */
    deliver(message: Message): void {
        this.inbox.push(message);
        this.observe(message);
        if (!this.scheduled) {
            this.scheduled = true;
            queueMicrotask(() => this.run());
        }
    }

    /** Starts the timer that ticks the world when a task of it is due. */
    start(): void {
        this.run();
    }

    /** Stops ticking. */
    stop(): void {
        this.stopped = true;
        clearTimeout(this.timer);
    }

    private run(): void {
        this.scheduled = false;
        if (this.stopped) {
            return;
        }
        const inbox = this.inbox;
        this.inbox = [];
        for (const effect of tick(this.world, Date.now(), inbox)) {
            this.handle(effect);
        }
        this.arm();
    }

    // Most ticks change nothing about the next due time; the timer is set anew only when it must be earlier.
    private arm(): void {
        const now = Date.now();
        const at = Math.min(now + LONGEST_TIMER_MS, nextTickAt(this.world));
        if (this.armedAt <= at && this.armedAt > now) {
            return;
        }
        clearTimeout(this.timer);
        this.armedAt = at;
        this.timer = setTimeout(() => this.wake(), Math.max(0, at - now));
    }

    private wake(): void {
        this.armedAt = Infinity;
        this.run();
    }
}
