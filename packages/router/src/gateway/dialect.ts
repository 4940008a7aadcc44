import type { AccountId, EndpointId, FailureDomain } from "@gooseberrybend/core";
import type {
    AccessKey,
    EndpointEntry,
    FleetConfiguration,
    LoadReport,
    PromptPart,
    Region,
    TokenBound,
} from "@gooseberrybend/core/dispatch";
import type { Result } from "neverthrow";

/** Why a stored value can't be decoded, and the place in it. */
export type DecodeFault = { readonly place: string; readonly message: string; };

/** Fields read from a caller's request headers. */
export type CallerFields = {
    readonly requestId: string | undefined;
    readonly accessKey: AccessKey | undefined;
    /** Caller's timeout in ms. */
    readonly callerTimeoutMs: number | undefined;
    readonly tokens: TokenBound | undefined;
    readonly parts: readonly PromptPart[];
    /** Id of the event after which to resume the stream. */
    readonly resumeAfter: string | undefined;
};

/** Fields that the router adds to a forwarded request. */
export type ForwardFields = {
    readonly endpoint: EndpointId;
    readonly account: AccountId | undefined;
    /** Time in ms until the deadline. */
    readonly timeLeftMs: number;
    /** Priority at the endpoint; 0 is the highest. */
    readonly priority: number | undefined;
    readonly resumeAfter: string | undefined;
};

/** Request limit in an endpoint's response. */
export type StatedLimit =
    /** Requests per second that the endpoint accepts from all routers together. */
    | { readonly kind: "named"; readonly perSecond: number; }
    | { readonly kind: "unreadable"; readonly text: string; };

/** Cold time in an endpoint's response. */
export type StatedColdTime =
    /** Time in ms for which the endpoint stays cold. */
    | { readonly kind: "named"; readonly remainingMs: number; }
    | { readonly kind: "unreadable"; readonly text: string; };

/** Fields read from an endpoint's response headers. */
export type EndpointFields = {
    /** Id of the request that the response belongs to. */
    readonly requestId: string | undefined;
    /** True if the endpoint states that it did not run the request. */
    readonly notRun: boolean;
    readonly load: LoadReport | undefined;
    /** True if the response proves that the endpoint ran the request. */
    readonly sealed: boolean;
    /** True if the endpoint announces that it is leaving. */
    readonly leaving: boolean;
    /** Time in ms for which the endpoint asks this router to send no requests. */
    readonly backoffMs: number | undefined;
    /** Undefined if the response states no limit. */
    readonly requestLimit: StatedLimit | undefined;
    /** Undefined if the response states no cold time. */
    readonly cold: StatedColdTime | undefined;
};

/** Where an address query comes from, and for which host it asks. */
export type AddressQuery = {
    readonly host: string | undefined;
    readonly region: Region | undefined;
    readonly domain: FailureDomain | undefined;
};

/** Raw headers: alternating names and values. */
export type RawHeaders = readonly string[];

/** Encoding of the headers, paths, stored values and bodies exchanged with callers, endpoints and operators. */
export abstract class Dialect {
    /** Key of the configuration in the store. */
    abstract readonly configurationKey: string;
    /** Prefix of the keys of registered endpoints. */
    abstract readonly endpointPrefix: string;
    /** Prefix of the keys of evacuated failure domains, followed by the domain. */
    abstract readonly evacuationPrefix: string;
    /** Path that returns router addresses. */
    abstract readonly addressPath: string;
    /** Path of the readiness check. */
    abstract readonly readyPath: string;

    abstract readonly readConfiguration: (value: Buffer) => Result<FleetConfiguration, DecodeFault>;
    abstract readonly readEndpoint: (key: string, value: Buffer) => Result<EndpointEntry, DecodeFault>;
    abstract readonly readCaller: (headers: RawHeaders) => CallerFields;
    /** Returns the headers to send to an endpoint. */
    abstract readonly forwardHeaders: (headers: RawHeaders, fields: ForwardFields) => string[];
    abstract readonly readEndpointHeaders: (status: number, headers: RawHeaders) => EndpointFields;
    /** Returns the headers to send to the caller. */
    abstract readonly responseHeaders: (headers: RawHeaders) => string[];
    abstract readAddressQuery(parameters: URLSearchParams): AddressQuery;
    /** Returns a body that lists addresses, valid for a lifetime in ms. */
    abstract addressBody(addresses: readonly string[], lifetimeMs: number): unknown;
}
