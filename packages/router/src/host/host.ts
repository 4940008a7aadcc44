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

    private arm(): void {
        clearTimeout(this.timer);
        const wait = Math.min(LONGEST_TIMER_MS, Math.max(0, nextTickAt(this.world) - Date.now()));
        this.timer = setTimeout(() => this.run(), wait);
    }
}
