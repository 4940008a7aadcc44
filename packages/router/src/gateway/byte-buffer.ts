const EMPTY = Buffer.alloc(0);

/** Capacity in bytes of the first copy; doubled as needed, so that adding a byte takes constant time on average. */
const MIN_CAPACITY = 1_024;
/**
 * Capacity in bytes from which bytes with a known maximum grow by LARGE_GROWTH_FACTOR: memory that is allocated and not
 * written takes no space, while each copy leaves one to be collected.
 */
const LARGE_CAPACITY = 64 * 1_024;
const GROWTH_FACTOR = 2;
const LARGE_GROWTH_FACTOR = 16;

/** What is known of the number of bytes before they arrive. */
export type ExpectedBytes = {
    /** Number of bytes if it is known; the buffer does not grow then. */
    readonly exact?: number | undefined;
    /** Maximum number of bytes. */
    readonly max?: number | undefined;
};

/**
 * Bytes that arrive in pieces. Pieces are copied, as a piece keeps the whole block of memory in which it was received
 * and takes far more memory than its bytes if it is small.
 */
export class ByteBuffer {
    private bytes: Buffer = EMPTY;
    private size = 0;

    constructor(private readonly expected: ExpectedBytes = {}) {}

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
        const { exact, max = Infinity } = this.expected;
        if (exact !== undefined && needed <= exact) {
            return exact;
        }
        const isLarge = max !== Infinity && this.bytes.length >= LARGE_CAPACITY;
        const grown = this.bytes.length * (isLarge ? LARGE_GROWTH_FACTOR : GROWTH_FACTOR);
        return Math.max(needed, Math.min(max, Math.max(grown, MIN_CAPACITY)));
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
