/** Memory in MB that an idle router uses, as measured for the bundled router. */
const IDLE_MB = 70;
/**
 * Part of the remaining memory that may be charged. Received pieces that are not yet collected, objects of connections
 * and the fragmentation of freed buffers take the rest.
 */
const CHARGED_SHARE = 0.3;
/** Minimum budget in MB: room for a few bodies of the usual limit of 4 MB on any instance. */
const MIN_BUDGET_MB = 16;
const BYTES_PER_MB = 1_000_000;
/** Part of the budget that large bodies leave to other requests. */
const RESERVED_SHARE = 0.25;
/** Size in bytes up to which a body may use the reserve; a prompt of 12,000 tokens has about 50 KB. */
export const SMALL_BODY_BYTES = 64 * 1_024;
/** Bytes charged for each open request beside its bodies: head, objects, and what is written without back-pressure. */
export const REQUEST_BYTES = 16 * 1_024;
/** Time in ms without progress after which a body or response may be ended; a slow link pauses for less. */
export const STALL_MS = 1_000;
/** Bytes that count as progress of a body, so that single bytes do not keep it alive. */
const PROGRESS_BYTES = 1_024;

/** Bytes that one router may hold for its requests. */
export type MemoryLimits = {
    readonly totalBytes: number;
    /** Part of the total that large bodies may not use. */
    readonly reservedBytes: number;
};

/** Returns the limits of an instance by its memory in MB; without limit if it is not known. */
export function memoryLimitsOf(memoryMb: number | undefined): MemoryLimits {
    if (memoryMb === undefined) {
        return { totalBytes: Infinity, reservedBytes: 0 };
    }
    const totalBytes = BYTES_PER_MB * Math.max(MIN_BUDGET_MB, CHARGED_SHARE * (memoryMb - IDLE_MB));
    return { totalBytes, reservedBytes: RESERVED_SHARE * totalBytes };
}

/** What the bytes of a request are held for: its body arrives, it runs, or its caller does not read the response. */
export type ChargeState = "arriving" | "running" | "unread";

/** Bytes held for one request of an owner, which ends it when the budget requires. */
export type MemoryCharge<Owner> = {
    readonly owner: Owner;
    bytes: number;
    state: ChargeState;
    /** Monotonic time in ms of the last progress in this state. */
    progressAt: number;
    bytesSinceProgress: number;
};

/** The bytes that one router holds for its requests, and what gives way when they exceed its memory. */
export class MemoryBudget<Owner> {
    /** Bytes charged to all requests. */
    chargedBytes = 0;
    private readonly charges = new Set<MemoryCharge<Owner>>();

    constructor(readonly limits: MemoryLimits) {}

    /** Opens the charge of a request whose body arrives; nothing is charged yet. */
    open(owner: Owner, now: number): MemoryCharge<Owner> {
        const charge: MemoryCharge<Owner> = {
            owner,
            bytes: 0,
            state: "arriving",
            progressAt: now,
            bytesSinceProgress: 0,
        };
        this.charges.add(charge);
        return charge;
    }

    /** Whether so many bytes have room. Only small bodies may use the reserve. */
    hasRoom(bytes: number, isLarge: boolean): boolean {
        return this.chargedBytes + bytes <= this.limits.totalBytes - (isLarge ? this.limits.reservedBytes : 0);
    }

    /** Charges bytes, whether or not they have room; negative ones are given back. */
    add(charge: MemoryCharge<Owner>, bytes: number): void {
        if (this.charges.has(charge)) {
            charge.bytes += bytes;
            this.chargedBytes += bytes;
        }
    }

    /** Records that bytes of a body have arrived. */
    recordProgress(charge: MemoryCharge<Owner>, bytes: number, now: number): void {
        charge.bytesSinceProgress += bytes;
        if (charge.bytesSinceProgress >= PROGRESS_BYTES) {
            charge.bytesSinceProgress = 0;
            charge.progressAt = now;
        }
    }

    /** Records what the bytes of a request are now held for. */
    setState(charge: MemoryCharge<Owner>, state: ChargeState, now: number): void {
        charge.state = state;
        charge.progressAt = now;
    }

    /** Gives back all bytes of a request; a second call has no effect. */
    release(charge: MemoryCharge<Owner>): void {
        if (this.charges.delete(charge)) {
            this.chargedBytes -= charge.bytes;
            charge.bytes = 0;
        }
    }

    /**
     * Returns the requests to end so that bytes of a body have room: bodies, and for a small one then unread responses,
     * each by the longest time without progress and at least `STALL_MS`. Returns undefined if these would not be
     * enough; the body is refused or ended then, and no other in vain.
     */
    roomForBody(
        charge: MemoryCharge<Owner>,
        bytes: number,
        isLarge: boolean,
        now: number,
    ): MemoryCharge<Owner>[] | undefined {
        const limit = this.limits.totalBytes - (isLarge ? this.limits.reservedBytes : 0);
        const states: ChargeState[] = isLarge ? ["arriving"] : ["arriving", "unread"];
        const ended = this.stalledUntil(limit - bytes, charge, states, now - STALL_MS);
        return ended.isEnough ? ended.charges : undefined;
    }

    /**
     * Returns the requests to end because responses have exceeded the budget: in the order of `roomForBody`, then the
     * unread responses of less than `STALL_MS`. Bytes of a response are already held when they are charged.
     */
    excess(now: number): MemoryCharge<Owner>[] {
        if (this.chargedBytes <= this.limits.totalBytes) {
            return [];
        }
        const { charges, isEnough } = this.stalledUntil(
            this.limits.totalBytes,
            undefined,
            ["arriving", "unread"],
            now - STALL_MS,
        );
        if (isEnough) {
            return charges;
        }
        const others = this.oldest("unread", Infinity).filter((charge) => !charges.includes(charge));
        let left = this.chargedBytes - charges.reduce((sum, charge) => sum + charge.bytes, 0);
        for (const charge of others) {
            if (left <= this.limits.totalBytes) {
                break;
            }
            charges.push(charge);
            left -= charge.bytes;
        }
        return charges;
    }

    /** Returns the body or unread response without progress for longest and at least `STALL_MS`. */
    longestStalled(now: number): MemoryCharge<Owner> | undefined {
        return this.oldest("arriving", now - STALL_MS)[0] ?? this.oldest("unread", now - STALL_MS)[0];
    }

    private stalledUntil(
        maxBytes: number,
        except: MemoryCharge<Owner> | undefined,
        states: readonly ChargeState[],
        stalledSince: number,
    ): { readonly charges: MemoryCharge<Owner>[]; readonly isEnough: boolean; } {
        const charges: MemoryCharge<Owner>[] = [];
        let left = this.chargedBytes;
        for (const charge of states.flatMap((state) => this.oldest(state, stalledSince))) {
            if (left <= maxBytes) {
                break;
            }
            if (charge !== except) {
                charges.push(charge);
                left -= charge.bytes;
            }
        }
        return { charges, isEnough: left <= maxBytes };
    }

    private oldest(state: ChargeState, since: number): MemoryCharge<Owner>[] {
        return [...this.charges]
            .filter((charge) => charge.state === state && charge.progressAt <= since)
            .sort((one, other) => one.progressAt - other.progressAt);
    }
}

/** Descriptors that an instance keeps for files, the store and timers. */
const FILE_DESCRIPTORS = 200;
/** Parts of the remaining descriptors: connections of callers, requests at endpoints, and each other listener. */
const CALLER_SHARE = 0.45;
const REQUEST_SHARE = 0.4;
const LISTENER_SHARE = 0.05;
/** Minimum of each part, so that small limits leave a router that works. */
const MIN_CONNECTIONS = 16;
/** Memory in bytes of an open connection of a caller beside its request. */
const CONNECTION_BYTES = 24 * 1_024;
/** Part of the memory beside the idle one that connections of callers may take. */
const CONNECTION_MEMORY_SHARE = 0.25;

/** Connections and requests that one router may have open. */
export type ConnectionLimits = {
    readonly callers: number;
    /** Requests that arrive or run, each of which takes a connection to an endpoint. */
    readonly requests: number;
    /** Connections of each of the other listeners: addresses, readiness, metrics and other routers. */
    readonly others: number;
};

/** Returns the limits of an instance by its descriptors and its memory in MB; without limit where not known. */
export function connectionLimitsOf(
    maxDescriptors: number | undefined,
    memoryMb: number | undefined,
): ConnectionLimits {
    const available = maxDescriptors === undefined ? Infinity : maxDescriptors - FILE_DESCRIPTORS;
    const part = (share: number): number => Math.max(MIN_CONNECTIONS, Math.floor(share * available));
    const byMemory = memoryMb === undefined
        ? Infinity
        : Math.floor(CONNECTION_MEMORY_SHARE * BYTES_PER_MB * (memoryMb - IDLE_MB) / CONNECTION_BYTES);
    return {
        callers: Math.max(MIN_CONNECTIONS, Math.min(part(CALLER_SHARE), byMemory)),
        requests: part(REQUEST_SHARE),
        others: part(LISTENER_SHARE),
    };
}
