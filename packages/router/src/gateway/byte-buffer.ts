const EMPTY = Buffer.alloc(0);

/** Capacity in bytes of the first copy; doubled as needed, so that adding a byte takes constant time on average. */
const MIN_CAPACITY = 1_024;
/**
 * Bytes that arrive in pieces. Pieces are copied, as a piece keeps the whole block of memory in which it was received
 * and takes far more memory than its bytes if it is small.
 */
export class ByteBuffer {
    private bytes: Buffer = EMPTY;
    private size = 0;

    /** `exactBytes` is the number of bytes if it is known; the buffer does not grow then. */
    constructor(private readonly exactBytes?: number) {}

    /** Number of bytes. */
    get length(): number {
        return this.size;
    }

    /** Adds a piece. */
    add(piece: Buffer): void {
        const needed = this.size + piece.length;
        if (needed > this.bytes.length) {
            const copy = Buffer.allocUnsafe(this.capacityFor(needed));
            this.bytes.copy(copy, 0, 0, this.size);
            this.bytes = copy;
        }
        piece.copy(this.bytes, this.size);
        this.size = needed;
    }

    private capacityFor(needed: number): number {
        return this.exactBytes !== undefined && needed <= this.exactBytes
            ? this.exactBytes
            : Math.max(needed, 2 * this.bytes.length, MIN_CAPACITY);
    }

    /** Returns all bytes, and removes them. */
    take(): Buffer {
        const taken = this.bytes.subarray(0, this.size);
        this.clear();
        return taken;
    }

    /** Returns all bytes; valid until the next change. */
    view(): Buffer {
        return this.bytes.subarray(0, this.size);
    }

    /** Removes all bytes. */
    clear(): void {
        this.bytes = EMPTY;
        this.size = 0;
    }
}
