/** Durations, rates and limits that a router's decisions use. Durations are in ms. */
export type Policy = {
    /** Minimum interval between writes to an account's ledger record that no request waits for. */
    readonly reconcileIntervalMs: number;
    /** Target rate of ledger writes that no request waits for, of all routers together, per second. */
    readonly fleetWritesPerSecond: number;
    /** Time that the unreserved allowance should last at the current rate, to bridge a key-value outage. */
    readonly allowanceMs: number;
    /** Maximum time that a request waits for tokens, and then for a witness. */
    readonly budgetWaitMs: number;
    /** Interval at which a use that no witness has confirmed is sent to its witnesses again. */
    readonly witnessRetryMs: number;
    /** Time without use after which an allowance is returned to the ledger. */
    readonly idleReturnMs: number;
    /** Time since its last successful write after which a holder stops spending. */
    readonly holderFenceMs: number;
    /** Interval at which a bill that too few witnesses store is sent to them again. */
    readonly billWaitMs: number;
    /** Maximum time that the end of an answer is held back until its bill is stored elsewhere. */
    readonly billWaitLimitMs: number;
    /** Time after which a witness writes a bill to the ledger that its router has not written. */
    readonly witnessSettleMs: number;
    /** Interval between heartbeats. */
    readonly heartbeatIntervalMs: number;
    /** Number of random peers that each heartbeat is sent to, besides the witnesses. */
    readonly heartbeatFanout: number;
    /** Number of other peers' heartbeats forwarded with each heartbeat. */
    readonly heartbeatEntries: number;
    /** Minimum silence after which a peer is not listed to callers; longer in large fleets. */
    readonly peerSilentMs: number;
    /** Minimum silence after which a peer's bills are written and its allowance recovered; longer in large fleets. */
    readonly peerLostMs: number;
    /** Silence after which a peer is removed from the peer table. */
    readonly peerForgottenMs: number;
    /** Interval between checks of the configuration head for a new version. */
    readonly configurationPollMs: number;
    /** Maximum number of recently used endpoints that are probed periodically; of more, each request probes a few. */
    readonly polledEndpoints: number;
    /** Interval between periodic load probes of an endpoint. */
    readonly probeIntervalMs: number;
    /** Maximum age of a load report; an endpoint without a recent one gets no work. */
    readonly reportLifetimeMs: number;
    /** Time without a chunk or keep-alive after which a connection to an endpoint counts as silent. */
    readonly progressTimeoutMs: number;
    /** Consecutive failures after which an endpoint is ejected. */
    readonly ejectionFailures: number;
    /** Duration of an endpoint's first ejection; it doubles with each consecutive one. */
    readonly ejectionMs: number;
    /** Maximum duration of an ejection. */
    readonly longestEjectionMs: number;
    /** Maximum number of endpoints of one model or service that a router chooses from. */
    readonly endpointSubset: number;
    /** Maximum number of requests that a router queues for one model or service. */
    readonly queueLimit: number;
    /** Average number of retries allowed per first attempt. */
    readonly retryShare: number;
    /** Maximum number of retries that a router may make in one burst. */
    readonly retryBurst: number;
    /** Maximum number of endpoint attempts per request. */
    readonly attemptLimit: number;
    /** Time for which a completed answer can be replayed. */
    readonly answerRetentionMs: number;
    /** Time for which a run continues after its last caller disconnected. */
    readonly orphanMs: number;
    /** Maximum time for which a suspect request may hold its isolation slot. */
    readonly laneMs: number;
    /** Time for which suspect requests and confirmed poison requests are remembered. */
    readonly convictionMs: number;
    /** Time for which a caller may cache a router address. */
    readonly addressLifetimeMs: number;
    /** Maximum time that a request may take. */
    readonly longestDeadlineMs: number;
    /** Maximum delay before a failed call to the key-value service is retried. */
    readonly ledgerRetryMs: number;
};

/** Default policy; settings override single fields. */
export const defaultPolicy: Policy = {
    reconcileIntervalMs: 1_000,
    fleetWritesPerSecond: 90,
    allowanceMs: 600_000,
    budgetWaitMs: 1_500,
    witnessRetryMs: 250,
    idleReturnMs: 30_000,
    holderFenceMs: 110 * 60_000,
    billWaitMs: 300,
    billWaitLimitMs: 10 * 60_000,
    witnessSettleMs: 5_000,
    heartbeatIntervalMs: 1_000,
    heartbeatFanout: 6,
    heartbeatEntries: 6,
    peerSilentMs: 4_000,
    peerLostMs: 10_000,
    peerForgottenMs: 120_000,
    configurationPollMs: 2_000,
    polledEndpoints: 16,
    probeIntervalMs: 1_000,
    reportLifetimeMs: 2_500,
    progressTimeoutMs: 5_000,
    ejectionFailures: 2,
    ejectionMs: 2_000,
    longestEjectionMs: 30_000,
    endpointSubset: 24,
    queueLimit: 512,
    retryShare: 0.2,
    retryBurst: 20,
    attemptLimit: 4,
    answerRetentionMs: 10_000,
    orphanMs: 30_000,
    laneMs: 30_000,
    convictionMs: 10 * 60_000,
    addressLifetimeMs: 5_000,
    longestDeadlineMs: 10 * 60_000,
    ledgerRetryMs: 1_000,
};
