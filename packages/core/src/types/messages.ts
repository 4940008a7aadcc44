import type { Snapshot } from "../configuration/snapshot.js";
import type { LedgerTransfer } from "../ledger/reconcile.js";
import type {
    AccountId,
    BodyDigest,
    BudgetId,
    CallId,
    EndpointId,
    FailureDomain,
    Incarnation,
    KeyDigest,
    KeyValueCallId,
    RequestKey,
    TransferId,
} from "./ids.js";
import type { Refusal, RetryReason } from "./outcomes.js";

/** The model or service operation that a request is for. */
export type Target =
    | {
        readonly kind: "model";
        readonly model: string;
        readonly promptTokens: number;
        readonly maxTokens: number;
        readonly prefix: string;
    }
    | { readonly kind: "service"; readonly service: string; readonly operation: string; };

/** Position in an answer stream from which a caller resumes. */
export type ResumePoint = {
    readonly endpoint: EndpointId;
    readonly stream: string;
    readonly offset: number;
};

/** A request as received by a router. */
export type Arrival = {
    readonly call: CallId;
    readonly account: AccountId;
    readonly budget: BudgetId;
    readonly key: RequestKey;
    /** True when the router generated the key, which proves a first attempt. */
    readonly keyMinted: boolean;
    /** The caller's attempt number from 1, or undefined when it gave none. */
    readonly attempt: number | undefined;
    /** The caller states that all its attempts up to this number were refused as not run; 0 for none. */
    readonly notRunThrough: number;
    /** Time in ms at which the caller times out. */
    readonly deadline: number;
    readonly target: Target;
    readonly bodyDigest: BodyDigest;
    readonly resume: ResumePoint | undefined;
};

/** One chunk of an answer. Offsets count chunks from 0. */
export type Chunk = {
    readonly offset: number;
    readonly tokens: number;
    readonly data: string;
};

/** Token usage that an engine reports for a complete answer. */
export type TokenUsage = { readonly promptTokens: number; readonly outputTokens: number; };

/** End of an answer; its number of chunks shows whether the answer is complete. */
export type AnswerEnd = {
    readonly chunks: number;
    readonly status: number;
    /** Usage that the engine reported on this connection; undefined if none, and for plain services. */
    readonly usage: TokenUsage | undefined;
    readonly contentType: string;
};

/** How a call to an endpoint failed. */
export type EndpointFailure =
    | "connection-refused"
    | "connection-lost"
    | "silent"
    | "busy"
    | "leaving"
    | "unknown-stream"
    | "rejected";

/** Load reported by an endpoint. */
export type LoadReport = {
    readonly running: number;
    readonly queued: number;
    readonly slots: number;
    readonly leaving: boolean;
};

/** A stored value and its version; version 0 means that the key is absent. */
export type Versioned = { readonly version: number; readonly value: string | undefined; };

/** Result of one call to the key-value service. */
export type KeyValueResult =
    | { readonly kind: "value"; readonly current: Versioned; }
    | { readonly kind: "applied"; readonly version: number; }
    | { readonly kind: "conflict"; readonly current: Versioned; }
    | { readonly kind: "unavailable"; }
    | { readonly kind: "unknown"; };

/** A bill that a witness stores until it is in the ledger. */
export type WitnessedBill = {
    /** Ledger name of the holder whose allowance is charged. */
    readonly holder: Incarnation;
    readonly account: AccountId;
    readonly budget: BudgetId;
    readonly key: KeyDigest;
    readonly tokens: number;
    /** Transfers received by the router that may not be in the ledger yet; its tokens may come from them. */
    readonly borrowed: readonly LedgerTransfer[];
    /** Time in ms, by the clock of the router that owes the bill. */
    readonly at: number;
};

/** A use of allowance (a request or a transfer) that a witness stores until it is billed or closed. */
export type WitnessedUse = {
    readonly holder: Incarnation;
    readonly account: AccountId;
    readonly budget: BudgetId;
    /** The digest of the request key, or the id of the transfer. */
    readonly key: string;
    readonly tokens: number;
    /** Epoch of the holder's ledger write that granted the allowance. */
    readonly epoch: number;
    /** Time in ms, by the clock of the router that uses the tokens. */
    readonly at: number;
};

/** A use that ended without a bill; its time distinguishes it from a later use of the same key. */
export type ClosedUse = { readonly key: string; readonly at: number; };

/** A crash of an endpoint while a request body was in flight there. */
export type Crash = {
    readonly endpoint: EndpointId;
    /** Time in ms since it was observed; an age, because the clocks of two routers differ. */
    readonly ageMs: number;
};

/** A request body that may crash endpoints, and the crashes attributed to it. */
export type Suspicion = { readonly body: BodyDigest; readonly crashes: readonly Crash[]; };

/** State that a router reports to its peers with each heartbeat. */
export type Heartbeat = {
    readonly incarnation: Incarnation;
    readonly address: string;
    readonly domain: FailureDomain;
    readonly sequence: number;
    readonly draining: boolean;
    readonly configurationVersion: number;
    /** Time in ms, by this router's clock, of its oldest use or bill that is not in the ledger. */
    readonly oldestOpenAt: number;
};

/** A message between two routers. */
export type PeerMessage =
    | {
        readonly kind: "heartbeat";
        readonly own: Heartbeat;
        readonly heard: readonly Heartbeat[];
        readonly leavingEndpoints: readonly EndpointId[];
        readonly suspects: readonly Suspicion[];
        readonly convicts: readonly Suspicion[];
    }
    | { readonly kind: "goodbye"; readonly incarnation: Incarnation; }
    | { readonly kind: "configuration-wanted"; readonly above: number; }
    | { readonly kind: "configuration"; readonly snapshot: Snapshot; }
    | { readonly kind: "witness-bills"; readonly bills: readonly WitnessedBill[]; readonly batch: number; }
    | { readonly kind: "witness-bills-kept"; readonly batch: number; }
    | { readonly kind: "witness-bills-settled"; readonly keys: readonly KeyDigest[]; }
    | { readonly kind: "uses-open"; readonly uses: readonly WitnessedUse[]; }
    | { readonly kind: "uses-witnessed"; readonly accepted: readonly string[]; readonly refused: readonly string[]; }
    | { readonly kind: "uses-closed"; readonly uses: readonly ClosedUse[]; }
    | {
        readonly kind: "allowance-close";
        readonly holder: Incarnation;
        readonly epoch: number;
        readonly account: AccountId;
    }
    | {
        readonly kind: "allowance-closed";
        readonly holder: Incarnation;
        readonly epoch: number;
        readonly account: AccountId;
        readonly uses: readonly WitnessedUse[];
        readonly bills: readonly WitnessedBill[];
    }
    | {
        readonly kind: "borrow";
        readonly holder: Incarnation;
        readonly account: AccountId;
        readonly budget: BudgetId;
        readonly tokens: number;
        /** Tokens needed plus a reserve, so that the borrower need not borrow again soon. */
        readonly wanted: number;
    }
    | { readonly kind: "allowance-returned"; readonly account: AccountId; }
    | { readonly kind: "lend"; readonly account: AccountId; readonly transfer: LedgerTransfer; }
    | { readonly kind: "lend-received"; readonly transfer: TransferId; }
    | { readonly kind: "borrow-refused"; readonly account: AccountId; }
    | {
        readonly kind: "lane-wanted";
        readonly lane: string;
        readonly body: BodyDigest;
        readonly server: string;
        readonly ranMs: number;
    }
    | {
        readonly kind: "lane-granted";
        readonly lane: string;
        readonly body: BodyDigest;
        readonly endpoint: EndpointId;
    }
    | { readonly kind: "lane-released"; readonly lane: string; readonly body: BodyDigest; };

/** An input event of the router core. */
export type Message =
    | { readonly kind: "request-arrived"; readonly arrival: Arrival; }
    | { readonly kind: "caller-gone"; readonly call: CallId; }
    | { readonly kind: "endpoint-chunk"; readonly run: number; readonly dispatch: number; readonly chunk: Chunk; }
    | { readonly kind: "endpoint-alive"; readonly run: number; readonly dispatch: number; }
    | { readonly kind: "endpoint-end"; readonly run: number; readonly dispatch: number; readonly end: AnswerEnd; }
    | {
        readonly kind: "endpoint-failed";
        readonly run: number;
        readonly dispatch: number;
        readonly failure: EndpointFailure;
        /** True unless it is certain that the endpoint did not run the request. */
        readonly written: boolean;
    }
    | { readonly kind: "load-report"; readonly endpoint: EndpointId; readonly report: LoadReport | undefined; }
    | { readonly kind: "key-value-reply"; readonly call: KeyValueCallId; readonly result: KeyValueResult; }
    | {
        readonly kind: "peer-message";
        readonly from: Incarnation;
        /** Incarnation that it is addressed to; undefined when it was sent to the address only. */
        readonly to: Incarnation | undefined;
        readonly message: PeerMessage;
    }
    | {
        readonly kind: "instances";
        readonly peers: readonly { readonly address: string; readonly leaving: boolean; }[];
    }
    | { readonly kind: "configuration-changed"; }
    | { readonly kind: "drain"; };

/** An action that the router core requests from its host. */
export type Effect =
    | {
        readonly kind: "caller-chunk";
        readonly call: CallId;
        readonly chunk: Chunk;
        readonly resume: ResumePoint | undefined;
    }
    | { readonly kind: "caller-restart"; readonly call: CallId; }
    | { readonly kind: "caller-end"; readonly call: CallId; readonly end: AnswerEnd; }
    | { readonly kind: "caller-refused"; readonly call: CallId; readonly refusal: Refusal; }
    | {
        readonly kind: "dispatch";
        readonly run: number;
        readonly dispatch: number;
        readonly call: CallId;
        readonly endpoint: EndpointId;
        readonly stream: string;
        /** Offset from which the endpoint continues the stream; undefined for a new stream. */
        readonly resumeAt: number | undefined;
        /** True when pooled connections to this endpoint must not be used. */
        readonly freshConnection: boolean;
        readonly deadline: number;
    }
    | {
        readonly kind: "cancel";
        readonly run: number;
        readonly dispatch: number;
        readonly endpoint: EndpointId;
        readonly stream: string;
        /** True when the endpoint must stop the work; false when only the connection is closed. */
        readonly stop: boolean;
    }
    | { readonly kind: "probe"; readonly endpoint: EndpointId; }
    | { readonly kind: "key-value-get"; readonly call: KeyValueCallId; readonly key: string; }
    /** Reads only the version; the reply has no value. */
    | { readonly kind: "key-value-version"; readonly call: KeyValueCallId; readonly key: string; }
    | {
        readonly kind: "key-value-swap";
        readonly call: KeyValueCallId;
        readonly key: string;
        readonly expected: number;
        readonly value: string;
        /** Time in ms after which the service may delete the key; undefined to keep it. */
        readonly lifetimeMs: number | undefined;
    }
    | {
        readonly kind: "peer-send";
        readonly to: Incarnation | undefined;
        readonly address: string;
        readonly message: PeerMessage;
    }
    | { readonly kind: "configuration-adopted"; readonly version: number; }
    | { readonly kind: "body-released"; readonly call: CallId; }
    | { readonly kind: "retried"; readonly reason: RetryReason; readonly endpoint: EndpointId; }
    | { readonly kind: "trace"; readonly trace: Trace; }
    | { readonly kind: "drained"; };

/** A decision on a request, with the figures that it was based on. */
export type Trace = {
    readonly at: number;
    readonly account: AccountId;
    readonly key: RequestKey;
    readonly decision: string;
    readonly figures: Readonly<Record<string, number | string>>;
};
