const EVENT_END = "\n\n";

/** Maximum size of an event; events of model engines have about 100 bytes. */
const MAX_EVENT_BYTES = 256 * 1024;

/** Splits a stream into complete events, and counts them. */
export class EventSplitter {
    /** Complete events returned so far. */
    eventCount = 0;
    /** Id of the last complete event that had one. */
    lastEventId: string | undefined;
    private partialEvent = "";

    /** Whether part of an event is buffered. */
    get hasPartialEvent(): boolean {
        return this.partialEvent !== "";
    }

    /** Whether the buffered part of an event exceeds the maximum size. */
    get isEventTooLong(): boolean {
        return this.partialEvent.length > MAX_EVENT_BYTES;
    }

    /** Adds bytes, and returns all events completed by them. */
    push(bytes: Buffer): Buffer | undefined {
        // Latin 1 maps each byte to one character, so chunk boundaries never split a character.
        const text = this.partialEvent + bytes.toString("latin1");
        const end = text.lastIndexOf(EVENT_END);
        if (end < 0) {
            this.partialEvent = text;
            return undefined;
        }
        const complete = text.slice(0, end + EVENT_END.length);
        this.partialEvent = text.slice(complete.length);
        this.countEvents(complete);
        return Buffer.from(complete, "latin1");
    }

    /** Drops the partial event of a broken stream, so that another one can resume after the last complete event. */
    dropPartial(): void {
        this.partialEvent = "";
    }

    private countEvents(complete: string): void {
        let from = 0;
        for (let at = complete.indexOf(EVENT_END); at >= 0; at = complete.indexOf(EVENT_END, from)) {
            this.recordId(complete.slice(from, at));
            this.eventCount++;
            from = at + EVENT_END.length;
        }
    }

    private recordId(event: string): void {
        const id = /(?:^|\n)id: ?([^\n]*)/.exec(event)?.[1];
        if (id !== undefined) {
            this.lastEventId = id;
        }
    }
}
