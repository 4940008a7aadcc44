import type { Trace } from "@gooseberrybend/core";

const MOST_TRACES = 50_000;

/** The latest decisions on requests, oldest first. */
export type Trail = { readonly traces: (Trace | undefined)[]; next: number; };

/** Creates an empty trail. */
export function createTrail(): Trail {
    return { traces: new Array<Trace | undefined>(MOST_TRACES).fill(undefined), next: 0 };
}

/** Adds a decision; the oldest is dropped when the trail is full. */
export function addTrace(trail: Trail, trace: Trace): void {
    trail.traces[trail.next] = trace;
    trail.next = (trail.next + 1) % MOST_TRACES;
}

/** Returns the decisions on a request key, oldest first. */
export function explainKey(trail: Trail, key: string): Trace[] {
    const ordered = [...trail.traces.slice(trail.next), ...trail.traces.slice(0, trail.next)];
    return ordered.filter((trace) => trace !== undefined && trace.key === key) as Trace[];
}
