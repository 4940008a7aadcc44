import type { CallId, FailureDomain, Incarnation } from "../types/ids.js";
import type { Effect, Message } from "../types/messages.js";
import type { RouterBrain } from "./brain.js";
import type { FakeClock } from "./fake-clock.js";

/** One router process on a virtual clock: it can be paused, and it can die. */
export class FakeRouter {
    state: "running" | "paused" | "dead" = "running";
    /** True once it has ended its drain. */
    hasDrained = false;
    /** True while callers cannot reach it. */
    unreachable = false;
    /** Endpoint calls by run, the latest only. */
    readonly calls = new Map<number, { dispatch: number; open: boolean; }>();
    /** Caller behind each body that a dispatch may need. */
    readonly bodies = new Map<CallId, Extract<Message, { kind: "request-arrived"; }>["arrival"]>();
    peerMessages = 0;
    private pending: Message[] = [];
    private wakeAt = Infinity;

    constructor(
        readonly incarnation: Incarnation,
        readonly address: string,
        readonly domain: FailureDomain,
        readonly brain: RouterBrain,
        private readonly clock: FakeClock,
        private readonly carryOut: (router: FakeRouter, effect: Effect) => void,
        /** Ms by which its clock is ahead of the true time. */
        readonly skewMs = 0,
    ) {}

    /** Time in ms by its own clock. */
    get now(): number {
        return this.clock.now + this.skewMs;
    }

    /** Returns true when a caller can connect to it; a paused router takes connections, too. */
    isReachable(): boolean {
        return this.state !== "dead" && !this.unreachable;
    }

    /** Hands a message to the router; a paused one gets it when it wakes, a dead one never. */
    deliver(message: Message): void {
        if (message.kind === "request-arrived") {
            this.bodies.set(message.arrival.call, message.arrival);
        }
        if (this.state === "dead") {
            return;
        }
        if (this.state === "paused") {
            this.pending.push(message);
            return;
        }
        this.tick([message]);
    }

    /** Runs the router's systems. */
    tick(inbox: readonly Message[]): void {
        for (const effect of this.brain.tick(this.now, inbox)) {
            this.carryOut(this, effect);
        }
        this.arm();
    }

    /** Stops the process without a word to it, as SIGSTOP does. */
    pause(): void {
        this.state = this.state === "running" ? "paused" : this.state;
    }

    /** Lets a paused process go on with all that came in meanwhile. */
    resume(): void {
        if (this.state !== "paused") {
            return;
        }
        this.state = "running";
        const pending = this.pending;
        this.pending = [];
        this.tick(pending);
    }

    private arm(): void {
        const at = this.brain.nextTickAt() - this.skewMs;
        if (at >= this.wakeAt && this.wakeAt > this.clock.now) {
            return;
        }
        this.wakeAt = at;
        this.clock.after(at - this.clock.now, () => {
            if (this.wakeAt === at) {
                this.wakeAt = Infinity;
            }
            if (this.state === "running") {
                this.tick([]);
            }
        });
    }
}
