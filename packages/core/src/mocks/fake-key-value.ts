import { type Random, randomBelow, randomFraction } from "../support/random.js";
import type { KeyValueResult, Versioned } from "../types/messages.js";
import type { FakeClock } from "./fake-clock.js";

/** Faults of the fake key-value service. */
export type FakeKeyValueFaults = {
    down: boolean;
    /** Extra ms per call. */
    slowMs: number;
    /** Share of writes that are applied but whose reply is lost. */
    lostReplies: number;
    /** Share of writes that arrive late: the caller is told nothing, they may be applied later. */
    lateWrites: number;
};

const MOST_DELAY_MS = 4;
const TIMEOUT_MS = 500;
const LATEST_WRITE_MS = 1_500;

/** A key-value service with compare-and-swap that can be down, slow, lose replies and apply writes late. */
export class FakeKeyValue {
    readonly faults: FakeKeyValueFaults = { down: false, slowMs: 0, lostReplies: 0, lateWrites: 0 };
    readonly values = new Map<string, { version: number; value: string; }>();
    reads = 0;
    writes = 0;
    private version = 0;

    constructor(
        private readonly clock: FakeClock,
        private readonly random: Random,
        private readonly onWrite: (key: string, value: string) => void,
    ) {}

    /** Reads a key. */
    get(key: string, reply: (result: KeyValueResult) => void): void {
        this.reads++;
        this.answer(reply, () => ({ kind: "value", current: this.current(key) }));
    }

    /** Reads the version of a key. */
    versionOf(key: string, reply: (result: KeyValueResult) => void): void {
        this.reads++;
        this.answer(
            reply,
            () => ({ kind: "value", current: { version: this.current(key).version, value: undefined } }),
        );
    }

    /** Writes a key if its version is the expected one. */
    swap(key: string, expected: number, value: string, reply: (result: KeyValueResult) => void): void {
        this.writes++;
        const draw = randomFraction(this.random);
        if (draw < this.faults.lateWrites && !this.faults.down) {
            this.clock.after(randomBelow(this.random, LATEST_WRITE_MS), () => this.apply(key, expected, value));
            this.clock.after(TIMEOUT_MS, () => reply({ kind: "unknown" }));
            return;
        }
        const lost = draw < this.faults.lateWrites + this.faults.lostReplies;
        this.answer(reply, () => {
            const result = this.apply(key, expected, value);
            return lost ? { kind: "unknown" } : result;
        });
    }

    /** Writes a key at once, as an operator whose call succeeds. */
    change(key: string, next: (value: string | undefined) => string): void {
        const current = this.current(key);
        this.apply(key, current.version, next(current.value));
    }

    private answer(reply: (result: KeyValueResult) => void, call: () => KeyValueResult): void {
        if (this.faults.down) {
            this.clock.after(2 + randomBelow(this.random, MOST_DELAY_MS), () => reply({ kind: "unavailable" }));
            return;
        }
        const delay = 1 + randomBelow(this.random, MOST_DELAY_MS) + this.faults.slowMs;
        this.clock.after(delay / 2, () => {
            const result = call();
            this.clock.after(delay / 2, () => reply(result));
        });
    }

    private apply(key: string, expected: number, value: string): KeyValueResult {
        const current = this.current(key);
        if (current.version !== expected) {
            return { kind: "conflict", current };
        }
        this.version++;
        this.values.set(key, { version: this.version, value });
        this.onWrite(key, value);
        return { kind: "applied", version: this.version };
    }

    private current(key: string): Versioned {
        return this.values.get(key) ?? { version: 0, value: undefined };
    }
}
