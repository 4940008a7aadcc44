/** Times, rates and bounds of the decisions. Times in ms unless named otherwise. */
export type Policy = {
    /** Shortest time between two writes to the record of an account that nobody waits for. */
    readonly reconcileIntervalMs: number;
    /** Ledger writes per second that all routers together may make. */
    readonly fleetWritesPerSecond: number;
    /** Time of use that the allowance at hand should cover, to last through an outage. */
    readonly allowanceMs: number;
    /** Longest time that a request waits for tokens. */
    readonly budgetWaitMs: number;
    /** Time after which a use is offered to its witnesses again. */
    readonly witnessRetryMs: number;
    /** Time after which an unused allowance is returned. */
    readonly idleReturnMs: number;
    /** Time after which a holder that could not write stops spending. */
    readonly holderFenceMs: number;
    /** Time after which a bill that nobody else keeps yet is offered again. */
    readonly billWaitMs: number;
    /** Longest time that the end of an answer waits for its bill to be kept elsewhere. */
    readonly billWaitLimitMs: number;
    /** Time after which a witness writes a bill that its router has not written. */
    readonly witnessSettleMs: number;
    /** Time between two heartbeats. */
    readonly heartbeatIntervalMs: number;
    /** Peers that one heartbeat goes to. */
    readonly heartbeatFanout: number;
    /** Heartbeats of other peers that one heartbeat carries along. */
    readonly heartbeatEntries: number;
    /** Silence after which a peer is not named to callers; longer in fleets in which news take longer. */
    readonly peerSilentMs: number;
    /** Silence after which a peer's bills are written and its allowance is recovered; longer in large fleets. */
    readonly peerLostMs: number;
    /** Silence after which a peer is forgotten. */
    readonly peerForgottenMs: number;
    /** Time between two reads of the configuration pointer. */
    readonly configurationPollMs: number;
    /** Endpoints up to which a router probes all that it lately used; of more it probes some for each request. */
    readonly polledEndpoints: number;
    /** Time between two load probes of an endpoint. */
    readonly probeIntervalMs: number;
    /** Age up to which a load report counts; an endpoint without one gets no work. */
    readonly reportLifetimeMs: number;
    /** Time without a sign of life after which a connection to an endpoint counts as silent. */
    readonly progressTimeoutMs: number;
    /** Consecutive failures after which an endpoint is ejected. */
    readonly ejectionFailures: number;
    /** Time for which an endpoint is ejected at first; it doubles with each ejection in a row. */
    readonly ejectionMs: number;
    /** Longest time for which an endpoint is ejected. */
    readonly longestEjectionMs: number;
    /** Endpoints of one model or service that a router chooses from. */
    readonly endpointSubset: number;
    /** Requests that wait at one router for an endpoint. */
    readonly queueLimit: number;
    /** Retries per first attempt that a router makes on average. */
    readonly retryShare: number;
    /** Retries that a router may make at once. */
    readonly retryBurst: number;
    /** Endpoint attempts per request. */
    readonly attemptLimit: number;
    /** Time for which a finished answer can be read again. */
    readonly answerRetentionMs: number;
    /** Time for which a stream runs on without a caller. */
    readonly orphanMs: number;
    /** Time for which a suspect may hold the lane. */
    readonly laneMs: number;
    /** Time for which suspects and convicts are remembered. */
    readonly convictionMs: number;
    /** Time for which a caller may keep an address. */
    readonly addressLifetimeMs: number;
    /** Longest time that a request may take. */
    readonly longestDeadlineMs: number;
    /** Longest time to wait before asking the key-value service again. */
    readonly ledgerRetryMs: number;
};

/** The policy in force unless settings say otherwise. */
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
