import type { FailureDomain } from "@gooseberrybend/core";
import type {
    AdmissionState,
    EndpointEntry,
    EndpointTable,
    ResponseEnd,
    RetryQuota,
    SendFailure,
    ServiceDeclaration,
    ShortageCause,
} from "@gooseberrybend/core/dispatch";
import type { Dispatcher } from "undici";
import type { AdmittedRequest } from "./admitted-request.js";
import type { Dialect } from "./dialect.js";
import type { AdmissionOutcome, LateSendOutcome, LimitEvent } from "./gateway-metrics.js";
import type { GatewaySettings } from "./gateway-settings.js";
import type { LimitReports } from "./limit-reports.js";
import type { GatewayLogs } from "./log-sink.js";
import type { OutgoingSends } from "./outgoing-sends.js";
import type { PoisonRequestTracker } from "./poison-request-tracker.js";
import type { PrepaidAccounts } from "./prepaid-accounts.js";
import type { RefusalCause } from "./refusal.js";
import type { RequestMemory, ResourceEvent } from "./request-memory.js";

/** Dependencies shared by the exchanges of one router. */
export type GatewayContext = {
    readonly dialect: Dialect;
    readonly domain: FailureDomain;
    readonly endpoints: EndpointTable;
    readonly retries: RetryQuota;
    readonly admission: AdmissionState;
    readonly outgoing: OutgoingSends;
    readonly prepaid: PrepaidAccounts;
    readonly suspects: PoisonRequestTracker;
    readonly limitReports: LimitReports;
    readonly memory: RequestMemory;
    readonly logs: GatewayLogs;
    /** Monotonic time in ms. */
    readonly clock: () => number;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
    readonly settings: () => GatewaySettings;
    /** This router's share of the limits that hold for the whole fleet. */
    readonly fleetShare: () => number;
    readonly configurationVersion: () => number | undefined;
    /** Age in ms of this router's view of the store: it lacks no change that was made before that time. */
    readonly changesAgeMs: (now: number) => number;
    readonly observeChangesAge: (ageMs: number) => void;
    /** Age in ms of the configuration in force: no change of it that was made before that time is missing. */
    readonly configurationAgeMs: (now: number) => number;
    readonly observeConfigurationAge: (ageMs: number) => void;
    readonly connectionsOf: (entry: EndpointEntry, service: ServiceDeclaration) => Dispatcher;
    readonly countRefusal: (cause: RefusalCause) => void;
    readonly countFailedSend: (step: string, failure: SendFailure) => void;
    readonly countCutAnswer: () => void;
    readonly countResponse: (end: ResponseEnd | "broken") => void;
    readonly countEndpointRefusal: (hasId: boolean, onReusedConnection: boolean) => void;
    readonly countShortage: (cause: ShortageCause) => void;
    readonly countLimitEvent: (event: LimitEvent) => void;
    readonly countAdmission: (outcome: AdmissionOutcome) => void;
    readonly countLateSend: (outcome: LateSendOutcome) => void;
    /** Counts and logs what the limit of a listener's connections did. */
    readonly recordConnectionEvent: (event: ResourceEvent, listener: string) => void;
    readonly countResourceEvent: (event: ResourceEvent) => void;
    readonly observeUnread: (unreadMs: number) => void;
    readonly observeFirstByte: (request: AdmittedRequest, now: number) => void;
    readonly observeRequestEnd: (outcome: string, tookMs: number) => void;
};
