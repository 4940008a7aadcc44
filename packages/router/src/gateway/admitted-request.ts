import type {
    AccountDeclaration,
    RegionRestriction,
    RequestFeatures,
    Route,
    ServiceDeclaration,
} from "@gooseberrybend/core/dispatch";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerFields } from "./dialect.js";
import type { RequestCharge } from "./request-memory.js";

/** A request with its caller, route and service resolved. */
export type AdmittedRequest = {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer;
    readonly fields: CallerFields;
    readonly route: Route;
    readonly service: ServiceDeclaration;
    readonly account: AccountDeclaration | undefined;
    /** Undefined if it may reach endpoints of all regions. */
    readonly regions: RegionRestriction | undefined;
    /** What may crash the endpoints that run it. */
    readonly features: RequestFeatures;
    /** True if it shows whether a convicted part of its prompt still crashes endpoints; it is sent once. */
    readonly isTrial: boolean;
    readonly arrivedAt: number;
    /** Bytes that the request holds in this router. */
    readonly charge: RequestCharge;
};
