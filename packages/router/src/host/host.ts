import { type Effect, type Message, nextTickAt, tick, type World } from "@gooseberrybend/core";

/** Executes an effect. */
export type EffectHandler = (effect: Effect) => void;

const MAX_TIMER_DELAY_MS = 1_000;

/** Runs a world: collects messages, ticks the world at the current time, and executes the effects. */
export class Host {
    private inbox: Message[] = [];
    private timer: NodeJS.Timeout | undefined;
    private scheduled = false;
    private stopped = false;
    private timerDueAt = Infinity;

    constructor(
        readonly world: World,
        private readonly handle: EffectHandler,
        private readonly observe: (message: Message) => void,
    ) {}

    /** Queues a message. The world is ticked in a microtask, so before the process handles further input. */
    deliver(message: Message): void {
        this.inbox.push(message);
        this.observe(message);
        if (!this.scheduled) {
            this.scheduled = true;
            queueMicrotask(() => this.run());
        }
    }

    /** Ticks the world and starts the timer that ticks it when a task is due. */
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
        this.scheduleTick();
    }

    // Most ticks do not change the next due time, so the timer is only replaced by an earlier one.
    private scheduleTick(): void {
        const now = Date.now();
        const dueAt = Math.min(now + MAX_TIMER_DELAY_MS, nextTickAt(this.world));
        if (this.timerDueAt <= dueAt && this.timerDueAt > now) {
            return;
        }
        clearTimeout(this.timer);
        this.timerDueAt = dueAt;
        this.timer = setTimeout(() => this.onTimer(), Math.max(0, dueAt - now));
    }

    private onTimer(): void {
        this.timerDueAt = Infinity;
        this.run();
    }
}
