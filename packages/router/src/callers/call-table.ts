import type { AccountId, CallId, Effect } from "@gooseberrybend/core";
import type { EndpointRequest } from "../endpoints/endpoint-client.js";
import { type CallerResponse, StreamResponse } from "./responses.js";

/** A caller's request that has no final response yet. */
export type OpenCall = {
    readonly account: AccountId;
    readonly response: CallerResponse;
    readonly request: EndpointRequest;
    readonly arrivedAt: number;
    readonly signResumeToken: (point: NonNullable<Extract<Effect, { kind: "caller-chunk"; }>["resume"]>) => string;
    firstChunkAt: number | undefined;
};

/** Open calls, and the endpoint requests that retries of running requests need. */
export class CallTable {
    private readonly open = new Map<CallId, OpenCall>();
    private readonly endpointRequests = new Map<CallId, EndpointRequest>();
    private next = 1;

    /** Adds a call and returns its id. */
    add(call: OpenCall): CallId {
        const id = `call-${this.next++}` as CallId;
        this.open.set(id, call);
        this.endpointRequests.set(id, call.request);
        return id;
    }

    /** Returns an open call, or undefined if it is closed. */
    get(id: CallId): OpenCall | undefined {
        return this.open.get(id);
    }

    /** Returns the request to send to an endpoint for a call, or undefined after its release. */
    endpointRequestOf(id: CallId): EndpointRequest | undefined {
        return this.endpointRequests.get(id);
    }

    /** Removes a call; returns false if it was not open. Its endpoint request is retained until its release. */
    close(id: CallId): boolean {
        return this.open.delete(id);
    }

    /** Sends keep-alive comments to the callers of streams. */
    keepAlive(now: number): void {
        for (const call of this.open.values()) {
            if (call.response instanceof StreamResponse) {
                call.response.keepAlive(now - call.arrivedAt);
            }
        }
    }

    /** Removes the endpoint request of a call that needs no further sends. */
    releaseRequest(id: CallId): void {
        this.endpointRequests.delete(id);
    }

    /** Number of open calls. */
    get size(): number {
        return this.open.size;
    }
}
