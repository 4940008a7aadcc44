import type { Crash } from "@gooseberrybend/core/dispatch";
import { z } from "zod";
import { crashFields, crashMessage, suspectsOf } from "./crash-message.js";
import type { GatewayLogs } from "./log-sink.js";
import type { PeerCalls } from "./peer-calls.js";

/** Name of the peer method that reports a crash. */
export const CRASH_METHOD = "crash";

/** Timeout in ms of a call to another router; no request waits for it. */
const CALL_TIMEOUT_MS = 400;
/** Routers notified directly; those that watch the store forward the report through it. */
const MAX_RECIPIENTS = 8;

const messageSchema = z.object({
    start: z.string(),
    ...crashFields,
    /** True if the sender can't write the crash to the store, so the recipient should. */
    keep: z.boolean(),
});

/** A crash reported by another router. */
export type CrashMessage = { readonly crash: Crash; readonly keep: boolean; };

/** Parses a crash message. Throws if it is invalid; the peer server returns the error to the sender. */
export function readCrashMessage(parameters: unknown): CrashMessage {
    const { start, keep, ...fields } = messageSchema.parse(parameters);
    return { crash: { start, ...suspectsOf(fields) }, keep };
}

/** Notifies other routers of crashes directly: faster than through the store, and also while it is unavailable. */
export class CrashNotifier {
    constructor(
        private readonly peers: PeerCalls,
        /** Addresses of other routers for peer calls, in the order of notification. */
        private readonly addresses: () => readonly string[],
        private readonly logs: GatewayLogs,
    ) {}

    /** Notifies other routers of a crash. */
    async notifyPeers({ start, ...crash }: Crash, keep: boolean): Promise<void> {
        const addresses = this.addresses().slice(0, MAX_RECIPIENTS);
        const message = { start, keep, ...crashMessage(crash) };
        const answers = await Promise.all(
            addresses.map((address) => this.peers.call(address, CRASH_METHOD, message, CALL_TIMEOUT_MS)),
        );
        const acknowledged = answers.filter((answer) => answer.isOk()).length;
        this.logs.endpoints.info("Crash reported to other routers.", {
            start,
            keep,
            requests: crash.suspects.length,
            told: acknowledged,
            of: addresses.length,
        });
    }
}
