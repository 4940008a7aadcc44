/**
 * Bytes that this router has handed to its sockets and that have not left over its link yet, as estimated from the
 * speed of the link. Bytes to the store and to other routers are not counted, so the estimate is low.
 */
export type LinkBacklog = {
    /** All bytes handed to sockets so far. */
    total: number;
    /** Bytes of these that have not left. */
    waiting: number;
    /** Time in ms of the estimate. */
    at: number;
};

/** Bytes per ms of a link of 1 Mbit/s. */
const BYTES_PER_MS_OF_MBPS = 125;
/** Share of a deadline of changes that is left for sends, even if the view of the store is old. */
const SEND_SHARE = 0.15;

/** Creates an empty backlog. */
export function createLinkBacklog(): LinkBacklog {
    return { total: 0, waiting: 0, at: 0 };
}

/** Records bytes handed to a socket. Returns the mark of their end, for `hasLeft` and `recordArrival`. */
export function recordLinkBytes(link: LinkBacklog, bytes: number, linkMbps: number, now: number): number {
    drain(link, linkMbps, now);
    link.waiting += bytes;
    link.total += bytes;
    return link.total;
}

/** Records that an endpoint has received all bytes up to a mark. The link is assumed to send in order. */
export function recordArrival(link: LinkBacklog, mark: number): void {
    link.waiting = Math.min(link.waiting, link.total - mark);
}

/** Returns the estimated time in ms until bytes that are handed to a socket now have left. */
export function linkDelayMs(link: LinkBacklog, linkMbps: number, now: number): number {
    drain(link, linkMbps, now);
    return link.waiting / (linkMbps * BYTES_PER_MS_OF_MBPS);
}

/** Returns whether all bytes up to a mark have left by the estimate. */
export function hasLeft(link: LinkBacklog, mark: number, linkMbps: number, now: number): boolean {
    drain(link, linkMbps, now);
    return link.total - link.waiting >= mark;
}

/**
 * Returns the maximum time in ms that a send may wait for the link. An endpoint may have announced that it leaves since
 * the router's view of the store was read (`changesAgeMs` ago); no request may reach it `drainMs` after that. A view
 * that is older still can't keep this bound, so refusals would not help either.
 */
export function allowedLinkDelayMs(drainMs: number, changesAgeMs: number): number {
    return changesAgeMs >= drainMs ? drainMs : Math.max(SEND_SHARE * drainMs, drainMs - changesAgeMs);
}

function drain(link: LinkBacklog, linkMbps: number, now: number): void {
    link.waiting = Math.max(0, link.waiting - (now - link.at) * linkMbps * BYTES_PER_MS_OF_MBPS);
    link.at = now;
}
