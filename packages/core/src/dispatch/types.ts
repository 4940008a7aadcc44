import type { AccountId, Branded, EndpointId, FailureDomain, Incarnation } from "../types/ids.js";

/** A service: a group of endpoints that answer the same requests. */
export type ServiceName = Branded<string, "ServiceName">;
/** A secret that a caller presents for its client account. */
export type AccessKey = Branded<string, "AccessKey">;
/** One part of a prompt; equal parts have equal ids. */
export type PromptPartId = Branded<string, "PromptPartId">;

/** A group of failure domains in one place. */
export type Region = Branded<string, "Region">;

/** How a request may be repeated: always, never, or as a stream of events. */
export type RouteKind = "safe" | "unsafe" | "stream";

/** A share of a route's requests that goes to one service. */
export type ServiceShare = { readonly service: ServiceName; readonly weight: number; };

/** Where requests of one host and path go, and what applies to them. Times in ms. */
export type Route = {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** True for streams that another endpoint may continue after an event. */
    readonly resumable: boolean;
    /** True when callers need no access key. */
    readonly open: boolean;
    /** Maximum time that a caller waits for a response. */
    readonly timeoutMs: number;
    /** Response time up to which a response has its full value. */
    readonly targetMs: number;
    /** Rank among requests; 0 is the most urgent. */
    readonly priority: number;
    /** Maximum number of endpoints that one attempt of a caller is sent to. */
    readonly attemptLimit: number;
    readonly shares: readonly ServiceShare[];
    /** Regions whose endpoints its requests may reach; undefined or empty for all. */
    readonly regions?: readonly Region[] | undefined;
};

/** A model engine as its service declares it. */
export type EngineDeclaration = {
    /** Requests that run at once. */
    readonly slots: number;
    /** Tokens that fit into the memory of one engine. */
    readonly memoryTokens: number;
    /** Output tokens in one event of a stream. */
    readonly tokensPerEvent: number;
};

/** What the endpoints of a service tolerate while they are cold. */
export type ColdRule = {
    /** Requests per second that a cold endpoint accepts from all routers together; above 0. */
    readonly perSecond: number;
    /** Time in ms for which an endpoint is cold after its start; 0 if it never is. */
    readonly startMs: number;
};

/** A service as declared. */
export type ServiceDeclaration = {
    readonly name: ServiceName;
    /** Connections that one endpoint accepts from all callers together. */
    readonly connectionLimit: number;
    readonly engine: EngineDeclaration | undefined;
    /** Missing if the endpoints are never cold. */
    readonly cold?: ColdRule | undefined;
};

/** A client account as declared. */
export type AccountDeclaration = {
    readonly id: AccountId;
    readonly keys: readonly AccessKey[];
    /** Takes precedence over the priority of the route. */
    readonly priority: number | undefined;
    /** Tokens that the account may use in total; undefined for no limit. */
    readonly prepaidTokens: number | undefined;
    /** Regions whose endpoints its requests may reach; undefined or empty for all. */
    readonly regions?: readonly Region[] | undefined;
};

/** What a caller may send, and how long it may take. Sizes in bytes, times in ms. */
export type CallerLimits = {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
};

/** The whole declared state of a deployment. */
export type FleetConfiguration = {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<ServiceName, ServiceDeclaration>;
    /** Undefined when no account is needed for any route. */
    readonly accounts: readonly AccountDeclaration[] | undefined;
    readonly limits: CallerLimits;
};

/** An endpoint as it registered itself. */
export type EndpointEntry = {
    readonly id: EndpointId;
    /** Distinguishes starts of an endpoint with the same id. */
    readonly startedAt: number;
    readonly service: ServiceName;
    /** IP address and port. */
    readonly address: string;
    readonly domain: FailureDomain;
    readonly slots: number;
    /** True once it takes no new requests. */
    readonly leaving: boolean;
    /** Time in ms from the registration's write for which the endpoint is cold; missing means 0. */
    readonly coldMs?: number;
};

/** A part of a prompt and its length in tokens. */
export type PromptPart = { readonly id: PromptPartId; readonly tokens: number; };

/** The tokens that a request may use. */
export type TokenBound = { readonly prompt: number; readonly output: number; };

/** Resources of an instance. */
export type InstanceCapacity = {
    /** CPU capacity in cores of standard speed. */
    readonly cores: number;
    /** Bandwidth of its link in Mbit/s. */
    readonly linkMbps: number;
};

/** A router as known to the other routers. */
export type FleetMember = {
    readonly name: string;
    readonly incarnation: Incarnation;
    /** Where callers connect. */
    readonly address: string;
    /** Where other routers connect. */
    readonly peerAddress: string;
    readonly domain: FailureDomain;
    readonly capacity: InstanceCapacity;
    /** True while the router is under high load. */
    readonly strained: boolean;
    /** True if its registration expires soon after it has ended, so that callers can be sent to it. */
    readonly hasShortLease: boolean;
};
