import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

type Collect = (options: { readonly type: "minor" | "major"; }) => void;

/**
 * Bytes received after which the pieces in which they arrived are collected. The engine lets some 64 MB of them pile
 * up, as much as the bodies themselves on the smallest instances; a collection of young objects takes about 1 ms.
 */
const YOUNG_BYTES = 4_000_000;
/**
 * Bytes of large bodies that are given back after which all objects are collected: such bodies outlive the collections
 * of young objects. This takes tens of ms, and as many bytes take seconds to arrive over the link of a small instance.
 */
const OLD_BYTES = 16_000_000;

let collect: Collect | undefined;

/** Collects the buffers of bodies that are no longer used, each time a certain number of bytes has been. */
export class BodyGarbage {
    private receivedBytes = 0;
    private releasedBytes = 0;

    /** Records that bytes have arrived. */
    addReceived(bytes: number): void {
        this.receivedBytes += bytes;
        if (this.receivedBytes >= YOUNG_BYTES) {
            this.receivedBytes = 0;
            collect ??= exposeCollection();
            collect({ type: "minor" });
        }
    }

    /** Records that a large body is no longer used once the current callback has ended. */
    addReleased(bytes: number): void {
        this.releasedBytes += bytes;
        if (this.releasedBytes >= OLD_BYTES) {
            this.releasedBytes = 0;
            setImmediate(() => {
                collect ??= exposeCollection();
                collect({ type: "major" });
            });
        }
    }
}

// The flag is set once it is needed, as code caches are valid for the flags at the start only.
function exposeCollection(): Collect {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as Collect;
}
