/**
 * Time in ms that one core takes for a turn of the event loop under overload: it accepts one connection, and reads and
 * refuses or serves about one request. Measured shortly after a start, before the code is compiled.
 */
const TURN_CORE_MS = 3.5;
/** Time in ms within which a connection is accepted at any load, or else not at all. */
const MAX_ACCEPT_WAIT_MS = 300;
/** Fewest connections that may wait: several callers may come in one turn. */
const MIN_ACCEPT_BACKLOG = 16;
const MAX_ACCEPT_BACKLOG = 1_024;

/**
 * Returns how many connections may wait to be accepted by an instance with a number of cores. An overloaded router
 * never empties a longer queue: each request in it is read only after its caller has left. Further callers are not
 * connected, and try another router.
 */
export function acceptBacklogOf(cores: number): number {
    const connections = Math.floor(MAX_ACCEPT_WAIT_MS * cores / TURN_CORE_MS);
    return Math.min(MAX_ACCEPT_BACKLOG, Math.max(MIN_ACCEPT_BACKLOG, connections));
}
