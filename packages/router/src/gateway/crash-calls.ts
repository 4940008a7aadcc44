import { type BodyDigest, brand } from "@gooseberrybend/core";
import type { Crash } from "@gooseberrybend/core/dispatch";
import { z } from "zod";
import type { GatewayLogs } from "./log-sink.js";
import type { PeerCalls } from "./peer-calls.js";

/** Name of the method by which a router tells another one of a crash. */
export const CRASH_METHOD = "crash";

/** Time in ms in which another router answers; nothing waits for it. */
const CALL_MS = 400;
/** Routers that are told; those that follow the store pass it on through there. */
const MOST_TOLD = 8;

const messageSchema = z.object({
    start: z.string(),
    requests: z.array(z.string()),
    /** True if the sender can't write it to the store. */
    keep: z.boolean(),
});

/** What a router tells another one of a crash. */
export type CrashMessage = { readonly crash: Crash; readonly keep: boolean; };

/** Reads what another router tells. Throws if it can't be read, which the caller of the method is told. */
export function readCrashMessage(parameters: unknown): CrashMessage {
    const { start, requests, keep } = messageSchema.parse(parameters);
    return { crash: { start, requests: requests.map((request) => brand<BodyDigest>(request)) }, keep };
}

/** Tells other routers of crashes, faster than the store does and also while it is away. */
export class CrashCalls {
    constructor(
        private readonly peers: PeerCalls,
        /** Where other routers take calls, in the order to tell them. */
        private readonly addresses: () => readonly string[],
        private readonly logs: GatewayLogs,
    ) {}

    /** Tells of a crash. */
    async tell({ start, requests }: Crash, keep: boolean): Promise<void> {
        const addresses = this.addresses().slice(0, MOST_TOLD);
        const answers = await Promise.all(
            addresses.map((address) => this.peers.call(address, CRASH_METHOD, { start, requests, keep }, CALL_MS)),
        );
        const told = answers.filter((answer) => answer.isOk()).length;
        this.logs.endpoints.info("Crash told.", { start, keep, requests: requests.length, told, of: addresses.length });
    }
}
