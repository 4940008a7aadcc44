import type { CallId, FailureDomain, Incarnation } from "../types/ids.js";
import type { Effect, Message } from "../types/messages.js";
import type { FakeClock } from "./fake-clock.js";
import type { RouterStrategy } from "./router-strategy.js";

/** A router process on a virtual clock, which can be paused or killed. */
export class FakeRouter {
    state: "running" | "paused" | "dead" = "running";
    /** True once it has completed its drain. */
    hasDrained = false;
    /** True while callers cannot connect to it. */
    unreachable = false;
    /** Latest endpoint call of each run. */
    readonly calls = new Map<number, { dispatch: number; open: boolean; }>();
    /** Arrival of each caller's request. */
    readonly bodies = new Map<CallId, Extract<Message, { kind: "request-arrived"; }>["arrival"]>();
    peerMessages = 0;
    private pendingMessages: Message[] = [];
    private nextTimerAt = Infinity;

    constructor(
        readonly incarnation: Incarnation,
        readonly address: string,
        readonly domain: FailureDomain,
        readonly strategy: RouterStrategy,
        private readonly clock: FakeClock,
        private readonly applyEffect: (router: FakeRouter, effect: Effect) => void,
        /** Ms by which its clock is ahead of the fleet's virtual clock. */
        readonly skewMs = 0,
    ) {}

    /** Time in ms by its own clock. */
    get now(): number {
        return this.clock.now + this.skewMs;
    }

    /** Returns true when a caller can connect to it; a paused router still accepts connections. */
    isReachable(): boolean {
        return this.state !== "dead" && !this.unreachable;
    }

    /** Delivers a message: to a paused router when it resumes, to a dead one never. */
    deliver(message: Message): void {
        if (message.kind === "request-arrived") {
            this.bodies.set(message.arrival.call, message.arrival);
        }
        if (this.state === "dead") {
            return;
        }
        if (this.state === "paused") {
            this.pendingMessages.push(message);
            return;
        }
        this.tick([message]);
    }

    /** Runs one tick of the router's decision logic and applies its effects. */
    tick(inbox: readonly Message[]): void {
        for (const effect of this.strategy.tick(this.now, inbox)) {
            this.applyEffect(this, effect);
        }
        this.scheduleNextTick();
    }

    /** Suspends the process without notice, as SIGSTOP does. */
    pause(): void {
        this.state = this.state === "running" ? "paused" : this.state;
    }

    /** Resumes a paused process and delivers the messages received in the meantime in one tick. */
    resume(): void {
        if (this.state !== "paused") {
            return;
        }
        this.state = "running";
        const messages = this.pendingMessages;
        this.pendingMessages = [];
        this.tick(messages);
    }

    private scheduleNextTick(): void {
        const at = this.strategy.nextTickAt() - this.skewMs;
        if (at >= this.nextTimerAt && this.nextTimerAt > this.clock.now) {
            return;
        }
        this.nextTimerAt = at;
        this.clock.after(at - this.clock.now, () => {
            if (this.nextTimerAt === at) {
                this.nextTimerAt = Infinity;
            }
            if (this.state === "running") {
                this.tick([]);
            }
        });
    }
}
