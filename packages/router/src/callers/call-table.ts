import type { AccountId, CallId, Effect } from "@gooseberrybend/core";
import type { EndpointRequest } from "../endpoints/endpoint-client.js";
import { type CallerResponse, StreamResponse } from "./responses.js";

/** A caller's open request. */
export type OpenCall = {
    readonly account: AccountId;
    readonly response: CallerResponse;
    readonly request: EndpointRequest;
    readonly arrivedAt: number;
    readonly signResume: (point: NonNullable<Extract<Effect, { kind: "caller-chunk"; }>["resume"]>) => string;
    firstChunkAt: number | undefined;
};

/** Open callers, and the bodies that running requests may be sent again with. */
export class CallTable {
    private readonly open = new Map<CallId, OpenCall>();
    private readonly requests = new Map<CallId, EndpointRequest>();
    private next = 1;

    /** Adds a caller and returns its id. */
    add(call: OpenCall): CallId {
        const id = `call-${this.next++}` as CallId;
        this.open.set(id, call);
        this.requests.set(id, call.request);
        return id;
    }

    /** Returns an open caller. */
    get(id: CallId): OpenCall | undefined {
        return this.open.get(id);
    }

    /** Returns what is sent to an endpoint for a call. */
    requestOf(id: CallId): EndpointRequest | undefined {
        return this.requests.get(id);
    }

    /** Forgets a caller. Its body stays while its run may need it. */
    close(id: CallId): boolean {
        return this.open.delete(id);
    }

    /** Shows the callers of streams that their connections are alive. */
    keepAlive(now: number): void {
        for (const call of this.open.values()) {
            if (call.response instanceof StreamResponse) {
                call.response.keepAlive(now - call.arrivedAt);
            }
        }
    }

    /** Forgets a body. */
    release(id: CallId): void {
        this.requests.delete(id);
    }

    /** Number of open callers. */
    get size(): number {
        return this.open.size;
    }
}
