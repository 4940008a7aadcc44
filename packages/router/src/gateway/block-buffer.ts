import { ByteBuffer } from "./byte-buffer.js";

/** Bytes of a block; small beside the large bodies whose memory it bounds, and large beside a piece. */
const BLOCK_BYTES = 64 * 1_024;

/**
 * Bytes of unknown number that arrive in pieces. They are kept in blocks of one size, because a buffer that grows leaves
 * copies to be collected, and one of the maximum size may occupy all of it if the allocator reuses memory.
 */
export class BlockBuffer {
    private blocks: Buffer[] = [];
    private last = new ByteBuffer();
    private size = 0;

    /** Number of bytes. */
    get length(): number {
        return this.size;
    }

    /** Adds a piece. */
    add(piece: Buffer): void {
        this.size += piece.length;
        this.last.add(piece);
        if (this.last.length >= BLOCK_BYTES) {
            this.blocks.push(this.last.take());
            this.last = new ByteBuffer(BLOCK_BYTES);
        }
    }

    /** Returns all bytes, and removes them. */
    take(): Buffer {
        const rest = this.last.take();
        const taken = this.blocks.length === 0 ? rest : Buffer.concat([...this.blocks, rest], this.size);
        this.clear();
        return taken;
    }

    /** Removes all bytes. */
    clear(): void {
        this.blocks = [];
        this.last = new ByteBuffer();
        this.size = 0;
    }
}
