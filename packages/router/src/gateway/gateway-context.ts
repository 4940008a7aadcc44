import type { FailureDomain } from "@gooseberrybend/core";
import type {
    EndpointEntry,
    EndpointTable,
    RetryQuota,
    SendFailure,
    ServiceDeclaration,
} from "@gooseberrybend/core/dispatch";
import type { Dispatcher } from "undici";
import type { AdmittedRequest } from "./admitted-request.js";
import type { Dialect } from "./dialect.js";
import type { GatewaySettings } from "./gateway-settings.js";
import type { GatewayLogs } from "./log-sink.js";
import type { PrepaidAccounts } from "./prepaid-keeper.js";
import type { RefusalCause } from "./refusal.js";
import type { SuspectBoard } from "./suspect-board.js";

/** What the exchanges of one router share. */
export type GatewayContext = {
    readonly dialect: Dialect;
    readonly domain: FailureDomain;
    readonly endpoints: EndpointTable;
    readonly retries: RetryQuota;
    readonly prepaid: PrepaidAccounts;
    readonly suspects: SuspectBoard;
    readonly logs: GatewayLogs;
    /** Steady time in ms. */
    readonly clock: () => number;
    /** A random number in [0, 1). */
    readonly chance: () => number;
    readonly settings: () => GatewaySettings;
    /** This router's part of what the fleet may use together. */
    readonly partOfFleet: () => number;
    readonly configurationVersion: () => number | undefined;
    readonly connectionsOf: (entry: EndpointEntry, service: ServiceDeclaration) => Dispatcher;
    readonly countRefusal: (cause: RefusalCause) => void;
    readonly countRetry: (step: string, failure: SendFailure) => void;
    readonly countCut: () => void;
    readonly observeFirst: (request: AdmittedRequest, now: number) => void;
    readonly observeEnd: (outcome: string, tookMs: number) => void;
};
