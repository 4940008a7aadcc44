import { type Random, randomBelow, randomFraction } from "../support/random.js";
import type { KeyValueResult, Versioned } from "../types/messages.js";
import type { FakeClock } from "./fake-clock.js";

/** Faults of the fake key-value service. */
export type FakeKeyValueFaults = {
    down: boolean;
    /** Additional latency per call. */
    slowMs: number;
    /** Fraction of writes whose reply is lost after the write was processed. */
    lostReplies: number;
    /** Fraction of writes that time out for the caller with an unknown result, and are processed with a delay. */
    lateWrites: number;
};

const DELAY_RANGE_MS = 4;
const TIMEOUT_MS = 500;
const MAX_WRITE_DELAY_MS = 1_500;

/** A key-value service with compare-and-swap that can be down or slow, lose replies and delay writes. */
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
        this.respond(reply, () => ({ kind: "value", current: this.current(key) }));
    }

    /** Reads the version of a key. */
    versionOf(key: string, reply: (result: KeyValueResult) => void): void {
        this.reads++;
        this.respond(
            reply,
            () => ({ kind: "value", current: { version: this.current(key).version, value: undefined } }),
        );
    }

    /** Writes a key if its version is the expected one. */
    swap(key: string, expected: number, value: string, reply: (result: KeyValueResult) => void): void {
        this.writes++;
        const draw = randomFraction(this.random);
        if (draw < this.faults.lateWrites && !this.faults.down) {
            this.clock.after(randomBelow(this.random, MAX_WRITE_DELAY_MS), () => this.apply(key, expected, value));
            this.clock.after(TIMEOUT_MS, () => reply({ kind: "unknown" }));
            return;
        }
        const losesReply = draw < this.faults.lateWrites + this.faults.lostReplies;
        this.respond(reply, () => {
            const result = this.apply(key, expected, value);
            return losesReply ? { kind: "unknown" } : result;
        });
    }

    /** Writes a key immediately and unaffected by faults, as an operator's successful call. */
    change(key: string, next: (value: string | undefined) => string): void {
        const current = this.current(key);
        this.apply(key, current.version, next(current.value));
    }

    private respond(reply: (result: KeyValueResult) => void, call: () => KeyValueResult): void {
        if (this.faults.down) {
            this.clock.after(2 + randomBelow(this.random, DELAY_RANGE_MS), () => reply({ kind: "unavailable" }));
            return;
        }
        const delayMs = 1 + randomBelow(this.random, DELAY_RANGE_MS) + this.faults.slowMs;
        this.clock.after(delayMs / 2, () => {
            const result = call();
            this.clock.after(delayMs / 2, () => reply(result));
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
