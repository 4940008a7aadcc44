import type { Trace } from "@gooseberrybend/core";

const MAX_TRACES = 50_000;

/** Ring buffer of the latest decision traces of requests. */
export type TraceBuffer = { readonly traces: (Trace | undefined)[]; nextIndex: number; };

/** Creates an empty buffer. */
export function createTraceBuffer(): TraceBuffer {
    return { traces: new Array<Trace | undefined>(MAX_TRACES).fill(undefined), nextIndex: 0 };
}

/** Adds a trace; replaces the oldest if the buffer is full. */
export function addTrace(buffer: TraceBuffer, trace: Trace): void {
    buffer.traces[buffer.nextIndex] = trace;
    buffer.nextIndex = (buffer.nextIndex + 1) % MAX_TRACES;
}

/** Returns the traces of a request key, oldest first. */
export function tracesOfKey(buffer: TraceBuffer, key: string): Trace[] {
    const ordered = [...buffer.traces.slice(buffer.nextIndex), ...buffer.traces.slice(0, buffer.nextIndex)];
    return ordered.filter((trace) => trace !== undefined && trace.key === key) as Trace[];
}
