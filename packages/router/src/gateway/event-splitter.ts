import { advance, continuesStream, STREAM_START, type StreamPosition } from "@gooseberrybend/core/dispatch";
import { ByteBuffer } from "./byte-buffer.js";

// A lone CR ends a line too, but not the first half of CR LF.
const EVENT_END = /(?:\r\n|\n|\r(?!\n)){2}/g;
const ID_LINE = /(?:^|[\r\n])id: ?([^\r\n]*)/;
// Comments, such as those that keep a connection alive, have no data and are no events.
const DATA_LINE = /(?:^|[\r\n])data(?::|[\r\n]|$)/;
const LINE_ENDS_ONLY = /^[\r\n]*$/;

/** Characters before a piece that may belong to an event's end in it: bytes before them have been searched. */
const SEARCHED_AGAIN = 2;

/** Maximum size of an event; events of model engines have about 100 bytes. */
const MAX_EVENT_BYTES = 256 * 1024;
/** Maximum comments between two events; those that keep a connection alive come seconds apart. */
const MAX_COMMENTS = 1_000;
/** Maximum events without an output token, such as one that marks the end. */
const MAX_EXTRA_EVENTS = 16;

/** Splits a stream into complete events, counts them, and checks that a resumed stream continues the one before. */
export class EventSplitter {
    /** Complete events returned so far. */
    eventCount = 0;
    /** True if an event of a resumed stream did not follow the last one; it was not returned. */
    hasGap = false;
    private position: StreamPosition;
    /** Comments since the last event. */
    private comments = 0;
    private readonly partialEvent = new ByteBuffer();
    /** Events at the last break of the stream; undefined if it never broke. */
    private countAtBreak: number | undefined;

    /**
     * `resumeAfter` is the id of the last event that the caller has received on an earlier connection; `outputTokens`
     * are those that the request allows, at least one in each event.
     */
    constructor(resumeAfter?: string, private readonly outputTokens = Infinity) {
        this.position = { ...STREAM_START, lastId: resumeAfter };
    }

    /** Id of the last event that the caller has received; undefined if that had none. */
    get lastEventId(): string | undefined {
        return this.position.lastId;
    }

    /** Whether another endpoint can be asked for the events after the last one. */
    get isResumable(): boolean {
        return this.lastEventId !== undefined || this.eventCount === 0;
    }

    /** Whether part of an event is buffered. */
    get hasPartialEvent(): boolean {
        return !LINE_ENDS_ONLY.test(this.partialEvent.view().toString("latin1"));
    }

    /** Whether the stream goes on without end: inside an event, by comments, or by more events than it can have. */
    get isEndless(): boolean {
        return this.partialEvent.length > MAX_EVENT_BYTES || this.comments > MAX_COMMENTS
            || this.eventCount > this.outputTokens + MAX_EXTRA_EVENTS;
    }

    /** Whether the stream has broken after events and no event has continued it. */
    get isWithoutContinuation(): boolean {
        return this.eventCount > 0 && this.countAtBreak === this.eventCount;
    }

    /** Adds bytes, and returns all events completed by them. */
    push(bytes: Buffer): Buffer | undefined {
        const before = this.partialEvent.view();
        if (before.length === 0) {
            return this.takeEvents(bytes, 0);
        }
        // Only what is new is searched: an endless event in small pieces would take time in the square of its size.
        const from = Math.max(0, before.length - SEARCHED_AGAIN);
        const hasEventEnd = (before.toString("latin1", from) + bytes.toString("latin1")).search(EVENT_END) >= 0;
        this.partialEvent.add(bytes);
        return hasEventEnd ? this.takeEvents(this.partialEvent.take(), from) : undefined;
    }

    // Returns the complete events, and buffers the rest.
    private takeEvents(all: Buffer, searchFrom: number): Buffer | undefined {
        // Latin 1 maps each byte to one character, so chunk boundaries never split a character.
        const text = all.toString("latin1");
        let end = 0;
        EVENT_END.lastIndex = searchFrom;
        for (const match of text.matchAll(EVENT_END)) {
            if (!this.addEvent(text.slice(end, match.index))) {
                break;
            }
            end = match.index + match[0].length;
        }
        this.partialEvent.add(all.subarray(end));
        return end === 0 ? undefined : all.subarray(0, end);
    }

    /** Returns the line ends that follow the last event, once the stream has ended. */
    takeRemainder(): Buffer | undefined {
        return this.partialEvent.length === 0 ? undefined : this.partialEvent.take();
    }

    /** Drops the partial event of a broken stream, so that another one can continue after the last complete event. */
    breakOff(): void {
        this.partialEvent.clear();
        this.hasGap = false;
        this.countAtBreak = this.eventCount;
    }

    private addEvent(event: string): boolean {
        if (!DATA_LINE.test(event)) {
            this.comments++;
            return !this.isEndless;
        }
        this.comments = 0;
        const id = ID_LINE.exec(event)?.[1];
        if (this.countAtBreak === this.eventCount && !continuesStream(this.position, id)) {
            this.hasGap = true;
            return false;
        }
        this.position = advance(this.position, id);
        this.eventCount++;
        return !this.isEndless;
    }
}
