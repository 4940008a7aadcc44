// A lone CR ends a line too, but not the first half of CR LF.
const EVENT_END = /(?:\r\n|\n|\r(?!\n)){2}/g;
const ID_LINE = /(?:^|[\r\n])id: ?([^\r\n]*)/;
const LINE_ENDS_ONLY = /^[\r\n]*$/;

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
        return !LINE_ENDS_ONLY.test(this.partialEvent);
    }

    /** Whether the buffered part of an event exceeds the maximum size. */
    get isEventTooLong(): boolean {
        return this.partialEvent.length > MAX_EVENT_BYTES;
    }

    /** Adds bytes, and returns all events completed by them. */
    push(bytes: Buffer): Buffer | undefined {
        // Latin 1 maps each byte to one character, so chunk boundaries never split a character.
        const text = this.partialEvent + bytes.toString("latin1");
        let end = 0;
        for (const match of text.matchAll(EVENT_END)) {
            this.addEvent(text.slice(end, match.index));
            end = match.index + match[0].length;
        }
        this.partialEvent = text.slice(end);
        return end === 0 ? undefined : Buffer.from(text.slice(0, end), "latin1");
    }

    /** Returns the line ends that follow the last event, once the stream has ended. */
    takeRemainder(): Buffer | undefined {
        const remainder = this.partialEvent;
        this.partialEvent = "";
        return remainder === "" ? undefined : Buffer.from(remainder, "latin1");
    }

    /** Drops the partial event of a broken stream, so that another one can resume after the last complete event. */
    dropPartial(): void {
        this.partialEvent = "";
    }

    private addEvent(event: string): void {
        this.eventCount++;
        this.lastEventId = ID_LINE.exec(event)?.[1] ?? this.lastEventId;
    }
}
