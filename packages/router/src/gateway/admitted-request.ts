import type { BodyDigest } from "@gooseberrybend/core";
import type { AccountDeclaration, Route, ServiceDeclaration } from "@gooseberrybend/core/dispatch";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerFields } from "./dialect.js";

/** A request whose caller, route and service are known. */
export type AdmittedRequest = {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer;
    readonly fields: CallerFields;
    readonly route: Route;
    readonly service: ServiceDeclaration;
    readonly account: AccountDeclaration | undefined;
    /** Equal for each try of the same request by the same caller. */
    readonly bodyDigest: BodyDigest;
    readonly arrivedAt: number;
};
