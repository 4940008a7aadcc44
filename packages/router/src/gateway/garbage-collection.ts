import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

type Collect = (options: { readonly type: "minor"; }) => void;

/**
 * Bytes received after which the pieces in which they arrived are collected. The engine lets some 64 MB of them pile
 * up, as much as the bodies themselves on the smallest instances; a collection of young objects takes about 1 ms.
 */
const COLLECTION_BYTES = 4_000_000;

let collect: Collect | undefined;

/** Collects the buffers of received bytes that are no longer used, each time a certain number has arrived. */
export class ReceivedGarbage {
    private receivedBytes = 0;

    /** Records that bytes have arrived. */
    add(bytes: number): void {
        this.receivedBytes += bytes;
        if (this.receivedBytes >= COLLECTION_BYTES) {
            this.receivedBytes = 0;
            collect ??= exposeCollection();
            collect({ type: "minor" });
        }
    }
}

// The flag is set once it is needed, as code caches are valid for the flags at the start only.
function exposeCollection(): Collect {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as Collect;
}
