import {
    allowedLinkDelayMs,
    createLinkBacklog,
    type EndpointState,
    type EndpointTable,
    hasLeft,
    isLeaving,
    linkDelayMs,
    recordArrival,
    recordLinkBytes,
} from "@gooseberrybend/core/dispatch";
import type { Socket } from "node:net";
import type { GatewaySettings } from "./gateway-settings.js";

/** Interval in ms of looking for endpoints that leave; small against the time for which these accept requests. */
export const LEAVING_CHECK_INTERVAL_MS = 200;
/** Time in ms before the end of that time at which requests that have not left are reset. */
const RESET_MARGIN_MS = 100;
/** Typical bytes of a request head. */
const REQUEST_HEAD_BYTES = 700;

/** A send to an endpoint, as far as its way there is concerned. */
export type OutgoingSend = {
    readonly row: EndpointState;
    /** Connection that carries it; undefined before it has begun. */
    readonly socket: Socket | undefined;
    /** End of its bytes among those that left the router; undefined before it has begun. */
    linkMark: number | undefined;
};

/** What is known of a request that has not left the router: log fields in bytes and ms. */
export type UnsentFigures = { readonly queuedBytes: number; readonly linkDelayMs: number; };

/** Sends to one endpoint without a response byte. */
type EndpointSends = {
    /** Called with each send that is not to reach the endpoint any more. */
    readonly onUnsent: Map<OutgoingSend, (figures: UnsentFigures) => void>;
    /** Time in ms from which no request may leave for the endpoint; undefined while it does not leave. */
    resetAt: number | undefined;
};

/**
 * Requests on their way to endpoints. Bytes wait in sockets and behind the link after a send has begun, so this finds
 * those that would reach an endpoint too late after it announced that it leaves.
 */
export class OutgoingSends {
    private readonly link = createLinkBacklog();
    private readonly unanswered = new Map<EndpointState, EndpointSends>();
    /** Time in ms up to which the last check knew all changes of the store. */
    private knownUntil = -Infinity;

    constructor(
        private readonly table: Pick<EndpointTable, "rows">,
        private readonly settings: () => Pick<GatewaySettings, "bounds" | "instance">,
        private readonly changesAgeMs: (now: number) => number,
        private readonly countReset: () => void,
        private readonly clock: () => number,
    ) {}

    /** Returns the link's delay in ms if it would keep a request too long that has some time left, else undefined. */
    excessDelayMs(timeLeftMs: number): number | undefined {
        const { bounds, instance } = this.settings();
        const now = this.clock();
        const delayMs = linkDelayMs(this.link, instance.linkMbps, now);
        const allowedMs = allowedLinkDelayMs(bounds.drainMs, this.changesAgeMs(now));
        return delayMs > Math.min(timeLeftMs, allowedMs) ? delayMs : undefined;
    }

    /** Records that a request is written. The callback is called if it must not reach the endpoint any more. */
    begin(send: OutgoingSend, bodyBytes: number, onUnsent: (figures: UnsentFigures) => void): void {
        send.linkMark = this.recordBytes(REQUEST_HEAD_BYTES + bodyBytes);
        const sends = this.unanswered.get(send.row);
        if (sends === undefined) {
            this.unanswered.set(send.row, { onUnsent: new Map([[send, onUnsent]]), resetAt: undefined });
            return;
        }
        sends.onUnsent.set(send, onUnsent);
    }

    /** Records the first response byte, which proves that the request has left. */
    recordResponse(send: OutgoingSend): void {
        if (send.linkMark !== undefined) {
            recordArrival(this.link, send.linkMark);
        }
        this.end(send);
    }

    /** Records that a send has ended. */
    end(send: OutgoingSend): void {
        const sends = this.unanswered.get(send.row);
        sends?.onUnsent.delete(send);
        if (sends?.onUnsent.size === 0) {
            this.unanswered.delete(send.row);
        }
    }

    /** Records bytes that are written to a caller or an endpoint. Returns the mark of their end. */
    recordBytes(bytes: number): number {
        return recordLinkBytes(this.link, bytes, this.settings().instance.linkMbps, this.clock());
    }

    /** Ends requests that would reach leaving endpoints too late; to be called every LEAVING_CHECK_INTERVAL_MS. */
    check(): void {
        const now = this.clock();
        for (const [row, sends] of this.unanswered) {
            if (isLeaving(this.table, row)) {
                // The announcement was not known at the last check, so it was made after what that one knew.
                sends.resetAt ??= this.knownUntil + this.settings().bounds.drainMs - RESET_MARGIN_MS;
                if (now >= sends.resetAt) {
                    this.endUnsent(sends, now);
                }
            }
        }
        this.knownUntil = now - this.changesAgeMs(now);
    }

    private endUnsent({ onUnsent }: EndpointSends, now: number): void {
        const { linkMbps } = this.settings().instance;
        for (const [send, callback] of [...onUnsent]) {
            const queuedBytes = send.socket?.writableLength ?? 0;
            if (queuedBytes > 0 || !hasLeft(this.link, send.linkMark!, linkMbps, now)) {
                this.countReset();
                callback({ queuedBytes, linkDelayMs: Math.round(linkDelayMs(this.link, linkMbps, now)) });
            }
        }
    }
}
