const EVENT_END = "\n\n";

/** Longest event in bytes; those of model engines take some 100. */
const LONGEST_EVENT = 256 * 1024;

/** Splits a stream into whole events, and keeps count of them. */
export class EventGate {
    /** Events passed so far. */
    events = 0;
    /** Id of the last event passed. */
    lastId: string | undefined;
    private partial = "";

    /** Whether the stream has stopped in the middle of an event. */
    get torn(): boolean {
        return this.partial !== "";
    }

    /** Whether the stream has gone on for too long without the end of an event. */
    get isEndless(): boolean {
        return this.partial.length > LONGEST_EVENT;
    }

    /** Takes bytes in and returns those that complete events. */
    take(bytes: Buffer): Buffer | undefined {
        // Latin 1 keeps each byte as one character, so cuts never split a character.
        const text = this.partial + bytes.toString("latin1");
        const end = text.lastIndexOf(EVENT_END);
        if (end < 0) {
            this.partial = text;
            return undefined;
        }
        const whole = text.slice(0, end + EVENT_END.length);
        this.partial = text.slice(whole.length);
        this.count(whole);
        return Buffer.from(whole, "latin1");
    }

    /** Drops the rest of a stream that broke off, so that another one can continue after the last event. */
    dropPartial(): void {
        this.partial = "";
    }

    /** Returns what follows the last whole event when the stream has ended as it should. */
    rest(): Buffer | undefined {
        const rest = this.partial;
        this.partial = "";
        return rest === "" ? undefined : Buffer.from(rest, "latin1");
    }

    private count(whole: string): void {
        let from = 0;
        for (let at = whole.indexOf(EVENT_END); at >= 0; at = whole.indexOf(EVENT_END, from)) {
            this.noteId(whole.slice(from, at));
            this.events++;
            from = at + EVENT_END.length;
        }
    }

    private noteId(event: string): void {
        const id = /(?:^|\n)id: ?([^\n]*)/.exec(event)?.[1];
        if (id !== undefined) {
            this.lastId = id;
        }
    }
}
