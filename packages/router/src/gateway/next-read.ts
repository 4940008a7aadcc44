/**
 * Calls back once the event loop has read all sockets again. Bytes and closes that had arrived behind what was read last
 * are known by then. The first callback still runs in the current turn, before the next read.
 */
export function afterNextRead(callback: () => void): void {
    setImmediate(() => setImmediate(callback));
}
