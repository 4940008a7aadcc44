import type { AccountId, EndpointId } from "@gooseberrybend/core";
import type {
    AccessKey,
    EndpointEntry,
    FleetConfiguration,
    PromptPart,
    TokenBound,
} from "@gooseberrybend/core/dispatch";
import type { Result } from "neverthrow";

/** Why a stored value can't be read, and where in it. */
export type DecodeFault = { readonly place: string; readonly message: string; };

/** What the headers of a request say. */
export type CallerFields = {
    readonly requestId: string | undefined;
    readonly accessKey: AccessKey | undefined;
    /** Time in ms that the caller will wait. */
    readonly patienceMs: number | undefined;
    readonly tokens: TokenBound | undefined;
    readonly parts: readonly PromptPart[];
    /** Event after which a stream is to go on. */
    readonly resumeAfter: string | undefined;
};

/** What the router adds to a request that it forwards. */
export type ForwardFields = {
    readonly endpoint: EndpointId;
    readonly account: AccountId | undefined;
    /** Time in ms that is left. */
    readonly timeLeftMs: number;
    /** Rank at the endpoint; 0 is the most urgent. */
    readonly priority: number | undefined;
    readonly resumeAfter: string | undefined;
};

/** What the headers of an endpoint's answer say. */
export type EndpointFields = {
    /** The request that it answers. */
    readonly requestId: string | undefined;
    /** True when the endpoint says that it did not run the request. */
    readonly notRun: boolean;
    readonly load: { readonly running: number; readonly waiting: number; } | undefined;
    /** True when the answer proves that the endpoint ran the request. */
    readonly sealed: boolean;
    /** True when the endpoint says that it leaves. */
    readonly leaving: boolean;
    /** Time in ms for which the endpoint wants no requests of this router. */
    readonly quietMs: number | undefined;
};

/** Raw headers: names and values in turn. */
export type RawHeaders = readonly string[];

/** How callers, endpoints and operators write what the router needs to know. */
export abstract class Dialect {
    /** Key of the configuration in the store. */
    abstract readonly configurationKey: string;
    /** Prefix of the keys of registered endpoints. */
    abstract readonly endpointPrefix: string;
    /** Path at which routers are asked for addresses. */
    abstract readonly addressPath: string;
    /** Path at which routers are asked whether they are ready. */
    abstract readonly readyPath: string;

    abstract readonly readConfiguration: (value: Buffer) => Result<FleetConfiguration, DecodeFault>;
    abstract readonly readEndpoint: (key: string, value: Buffer) => Result<EndpointEntry, DecodeFault>;
    abstract readonly readCaller: (headers: RawHeaders) => CallerFields;
    /** Returns the headers that an endpoint is sent. */
    abstract readonly forwardHeaders: (headers: RawHeaders, fields: ForwardFields) => string[];
    abstract readonly readEndpointHeaders: (status: number, headers: RawHeaders) => EndpointFields;
    /** Returns the headers that go back to the caller. */
    abstract readonly answerHeaders: (headers: RawHeaders) => string[];
    /** Returns the body that names addresses for a lifetime in ms. */
    abstract addressBody(addresses: readonly string[], lifetimeMs: number): unknown;
}
