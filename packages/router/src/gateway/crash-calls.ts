import { type BodyDigest, brand } from "@gooseberrybend/core";
import { z } from "zod";
import type { GatewayLogs } from "./log-sink.js";
import type { PeerCalls } from "./peer-calls.js";

/** Name of the method by which a router tells another one of a crash. */
export const CRASH_METHOD = "crash";

/** Time in ms in which another router answers; nothing waits for it. */
const CALL_MS = 400;
/** Routers that are told; those that follow the store pass it on through there. */
const MOST_TOLD = 8;

const crashSchema = z.object({ start: z.string(), requests: z.array(z.string()) });

/** A crash that another router saw. */
export type ToldCrash = { readonly start: string; readonly requests: readonly BodyDigest[]; };

/** Reads what another router tells. Throws if it can't be read, which the caller of the method is told. */
export function readToldCrash(parameters: unknown): ToldCrash {
    const { start, requests } = crashSchema.parse(parameters);
    return { start, requests: requests.map((request) => brand<BodyDigest>(request)) };
}

/** Tells other routers of crashes while the store does not. */
export class CrashCalls {
    constructor(
        private readonly peers: PeerCalls,
        /** Where other routers take calls, in the order to tell them. */
        private readonly addresses: () => readonly string[],
        private readonly logs: GatewayLogs,
    ) {}

    /** Tells of the requests that were running when a start of an endpoint crashed. */
    async tell(start: string, requests: readonly BodyDigest[]): Promise<void> {
        const addresses = this.addresses().slice(0, MOST_TOLD);
        const answers = await Promise.all(
            addresses.map((address) => this.peers.call(address, CRASH_METHOD, { start, requests }, CALL_MS)),
        );
        const told = answers.filter((answer) => answer.isOk()).length;
        this.logs.endpoints.info("Crash told.", { start, requests: requests.length, told, of: addresses.length });
    }
}
