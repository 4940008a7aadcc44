/** A branded primitive, so that ids of different kinds are not assignable to each other. */
export type Branded<Base, Name extends string> = Base & { readonly brand: Name; };

/** A client account. */
export type AccountId = Branded<string, "AccountId">;
/** A prepaid budget, unique within its account. */
export type BudgetId = Branded<string, "BudgetId">;
/** An idempotency key, unique within its account. */
export type RequestKey = Branded<string, "RequestKey">;
/** One caller connection for a request; a request key may have several. */
export type CallId = Branded<string, "CallId">;
/** One start of a router process. A restarted router has a new incarnation. */
export type Incarnation = Branded<string, "Incarnation">;
/** A model engine or plain service that requests are routed to. */
export type EndpointId = Branded<string, "EndpointId">;
/** A failure domain, written as region/domain. */
export type FailureDomain = Branded<string, "FailureDomain">;
/** One write to a ledger record; shows after a lost reply whether the write was applied. */
export type OperationId = Branded<string, "OperationId">;
/** One transfer of allowance between two routers. */
export type TransferId = Branded<string, "TransferId">;
/** One call to the key-value service. */
export type KeyValueCallId = Branded<number, "KeyValueCallId">;
/** Digest of an account and a request body, the same for every retry of it. */
export type BodyDigest = Branded<string, "BodyDigest">;
/** Digest of an account and a request key, as stored in the ledger. */
export type KeyDigest = Branded<string, "KeyDigest">;

/** Casts a string or number to a branded id, unchecked. */
export function brand<Id extends Branded<string | number, string>>(value: Id extends string ? string : number): Id {
    return value as unknown as Id;
}
