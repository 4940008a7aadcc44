import type { EndpointState, TrackedSend } from "@gooseberrybend/core/dispatch";
import type { Dispatcher } from "undici";
import type { EndpointFields } from "./dialect.js";

/** One send to an endpoint, and what came of it so far. */
export type Send = {
    readonly row: EndpointState;
    readonly sentAt: number;
    /** Expected work before the first byte. */
    readonly units: number;
    controller: Dispatcher.DispatchController | undefined;
    /** True once bytes may have left. */
    started: boolean;
    heard: boolean;
    ended: boolean;
    status: number;
    fields: EndpointFields | undefined;
    headers: string[];
    /** Body of an answer that is held until it is whole. */
    chunks: Buffer[];
    /** Size in bytes of what is held. */
    heldBytes: number;
    relaying: boolean;
    /** Set once bytes may have left. */
    tracked: TrackedSend | undefined;
};

/** Creates a send that has not begun. */
export function createSend(row: EndpointState, units: number, sentAt: number): Send {
    return {
        row,
        sentAt,
        units,
        controller: undefined,
        started: false,
        heard: false,
        ended: false,
        status: 0,
        fields: undefined,
        headers: [],
        chunks: [],
        heldBytes: 0,
        relaying: false,
        tracked: undefined,
    };
}
