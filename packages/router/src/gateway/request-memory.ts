import {
    type ChargeState,
    MemoryBudget,
    type MemoryCharge,
    type MemoryLimits,
    REQUEST_BYTES,
    SMALL_BODY_BYTES,
} from "@gooseberrybend/core/dispatch";
import { BodyGarbage } from "./garbage-collection.js";

/** What the limits of memory and connections did, as counted in the metrics. */
export const resourceEvents = [
    "body-refused",
    "body-ended",
    "response-cut",
    "idle-connection-closed",
    "connection-ended",
    "connection-refused",
    "discard-ended",
] as const;

/** Event of the limits of memory and connections. */
export type ResourceEvent = typeof resourceEvents[number];

/** Share of the budget from which responses are no longer buffered until they are complete. */
const TIGHT_SHARE = 0.8;

/** Bytes that requests hold in this router, and those that they may hold. */
export type MemoryFigures = { readonly chargedBytes: number; readonly limitBytes: number; };

/** Charges the bytes that requests hold to the memory budget of this router, and ends requests as it decides. */
export class RequestMemory {
    private readonly budget: MemoryBudget<RequestCharge>;
    private readonly garbage = new BodyGarbage();

    private readonly isLimited: boolean;

    constructor(limits: MemoryLimits, private readonly clock: () => number) {
        this.budget = new MemoryBudget(limits);
        this.isLimited = limits.totalBytes !== Infinity;
    }

    /** Returns the state of the budget, for logs and metrics. */
    get figures(): MemoryFigures {
        return { chargedBytes: this.budget.chargedBytes, limitBytes: this.budget.limits.totalBytes };
    }

    /** Whether responses should be passed on rather than buffered. */
    get isTight(): boolean {
        return this.budget.chargedBytes > TIGHT_SHARE * this.budget.limits.totalBytes;
    }

    /** Opens the charge of a request that arrives. */
    open(): RequestCharge {
        return new RequestCharge(this.budget, this.clock, this.isLimited ? this.garbage : undefined);
    }

    /** Records that bytes of a body have arrived, whether or not they are held. */
    recordReceived(bytes: number): void {
        if (this.isLimited) {
            this.garbage.addReceived(bytes);
        }
    }

    /** Ends the request without progress for longest, if there is one. Returns its charge. */
    endStalled(): RequestCharge | undefined {
        const stalled = this.budget.longestStalled(this.clock())?.owner;
        stalled?.end();
        return stalled;
    }
}

/** Bytes that one request holds. */
export class RequestCharge {
    /** Ends the request, which gives back its bytes; set by what serves it. */
    onEnd: (state: ChargeState) => void = () => undefined;
    private readonly charge: MemoryCharge<RequestCharge>;
    /** Bytes written to the caller that wait to be sent. */
    private pendingBytes = 0;
    /** The response and the sends that hold the bytes. */
    private holders = 1;

    constructor(
        private readonly budget: MemoryBudget<RequestCharge>,
        private readonly clock: () => number,
        private readonly garbage: BodyGarbage | undefined,
    ) {
        this.charge = budget.open(this, clock());
    }

    /** Charges bytes of a body, ending other requests if necessary. Returns false if they have no room. */
    reserve(bytes: number, isLarge: boolean): boolean {
        if (!this.budget.hasRoom(bytes, isLarge)) {
            const ended = this.budget.roomForBody(this.charge, bytes, isLarge, this.clock());
            if (ended === undefined) {
                return false;
            }
            ended.forEach(({ owner }) => owner.end());
        }
        this.budget.add(this.charge, bytes);
        return true;
    }

    /** Records that bytes of the body have arrived. */
    recordProgress(bytes: number): void {
        this.budget.recordProgress(this.charge, bytes, this.clock());
    }

    /** Records that the body has arrived. */
    startRunning(): void {
        this.budget.setState(this.charge, "running", this.clock());
    }

    /** Charges bytes of a response that are held already; negative ones are given back. */
    addResponse(bytes: number): void {
        this.budget.add(this.charge, bytes);
        if (bytes > 0) {
            this.endExcess();
        }
    }

    /** Records that the caller has to read on before more is sent, and the bytes that wait for it. */
    startWaiting(pendingBytes: number): void {
        if (this.charge.state !== "unread") {
            this.budget.setState(this.charge, "unread", this.clock());
        }
        const addedBytes = pendingBytes - this.pendingBytes;
        this.pendingBytes = pendingBytes;
        this.addResponse(addedBytes);
    }

    /** Records that the caller has read what waited. */
    stopWaiting(): void {
        this.budget.setState(this.charge, "running", this.clock());
        this.addResponse(-this.pendingBytes);
        this.pendingBytes = 0;
    }

    /** Keeps the bytes for a send, which may outlast the response. */
    hold(): void {
        this.holders++;
    }

    /** Gives back all bytes once neither the response nor a send holds them. */
    drop(): void {
        this.holders--;
        if (this.holders === 0) {
            this.release();
        }
    }

    /** Gives back all bytes; nothing is charged any more. */
    release(): void {
        if (this.charge.bytes > SMALL_BODY_BYTES + REQUEST_BYTES) {
            this.garbage?.addReleased(this.charge.bytes);
        }
        this.budget.release(this.charge);
    }

    /** Ends the request because others need its bytes. */
    end(): void {
        const { state } = this.charge;
        this.release();
        this.onEnd(state);
    }

    private endExcess(): void {
        this.budget.excess(this.clock()).forEach(({ owner }) => owner.end());
    }
}
