import { schedule } from "../support/due-queue.js";
import type { Incarnation, OperationId } from "../types/ids.js";
import type { KeyValueResult, Versioned } from "../types/messages.js";
import type { Run } from "../types/rows.js";
import { nextOperation, type World } from "../world.js";
import { compareAndSwapKey, readKey } from "./key-value.js";

/** State of a non-idempotent request key in the key-value service. */
export type Claim = {
    readonly holder: Incarnation;
    readonly operation: OperationId;
    readonly at: number;
    /** claimed: may run; ran: has run; released: did not run and may be claimed again. */
    readonly state: "claimed" | "ran" | "released";
    /** HTTP status of the endpoint's answer, once it ran. */
    readonly status: number | undefined;
};

/** Current result of an attempt to claim a key. */
export type ClaimResult =
    | { readonly kind: "owned"; }
    | { readonly kind: "pending"; }
    | { readonly kind: "elsewhere"; readonly claim: Claim; }
    | { readonly kind: "unavailable"; };

const OUTCOME_RETRY_MS = 1_000;
/** Time in ms for which the claim of a non-idempotent key is stored after its last change. */
export const CLAIM_LIFETIME_MS = 7 * 24 * 60 * 60_000;

/** Returns the key under which a claim is stored. */
export function claimKey(keyDigest: string): string {
    return `claims/${keyDigest}`;
}

/** Starts to claim a run's key, before any byte of the request is sent to an endpoint. */
export function startClaim(world: World, run: Run, now: number): void {
    const claim: Claim = {
        holder: world.self.incarnation,
        operation: nextOperation(world),
        at: now,
        state: "claimed",
        status: undefined,
    };
    run.claim = { operation: claim.operation, value: JSON.stringify(claim), version: 0 };
    writeClaim(world, run);
}

function writeClaim(world: World, run: Run): void {
    const claim = run.claim!;
    const purpose = { kind: "claim", run: run.id } as const;
    compareAndSwapKey(world, claimKey(run.keyDigest), claim.version, claim.value, purpose, CLAIM_LIFETIME_MS);
}

/** Handles the key-value service's reply to a claim. */
export function handleClaimReply(world: World, run: Run, result: KeyValueResult): ClaimResult {
    switch (result.kind) {
        case "applied":
            run.claim!.version = result.version;
            return { kind: "owned" };
        case "unavailable":
            return { kind: "unavailable" };
        case "unknown":
            // Only a read can show whether the claim was stored.
            readKey(world, claimKey(run.keyDigest), { kind: "claim", run: run.id });
            return { kind: "pending" };
        case "conflict":
        case "value":
            return examineClaim(world, run, result.current);
    }
}

function examineClaim(world: World, run: Run, current: Versioned): ClaimResult {
    const ownClaim = run.claim!;
    const storedClaim = current.value === undefined ? undefined : JSON.parse(current.value) as Claim;
    if (storedClaim?.operation === ownClaim.operation) {
        ownClaim.version = current.version;
        return { kind: "owned" };
    }
    if (storedClaim === undefined || storedClaim.state === "released") {
        ownClaim.version = current.version;
        writeClaim(world, run);
        return { kind: "pending" };
    }
    return { kind: "elsewhere", claim: storedClaim };
}

/** Records the outcome of a claimed run, and retries until it is confirmed as stored. */
export function recordClaimOutcome(
    world: World,
    run: Run,
    state: "ran" | "released",
    status: number | undefined,
    now: number,
): void {
    const claim = run.claim;
    if (claim === undefined) {
        return;
    }
    run.claim = undefined;
    const value: Claim = { holder: world.self.incarnation, operation: claim.operation, at: now, state, status };
    writeClaimOutcome(world, { key: claimKey(run.keyDigest), value: JSON.stringify(value), expected: claim.version });
}

/** Writes the outcome of a claim. */
export function writeClaimOutcome(world: World, outcome: { key: string; value: string; expected: number; }): void {
    const purpose = { kind: "claim-outcome", ...outcome } as const;
    compareAndSwapKey(world, outcome.key, outcome.expected, outcome.value, purpose, CLAIM_LIFETIME_MS);
}

/** Schedules a retry when it is unknown whether an outcome was stored; a conflict shows that it was. */
export function handleClaimOutcomeReply(
    world: World,
    outcome: { readonly key: string; readonly value: string; readonly expected: number; },
    result: KeyValueResult,
    now: number,
): void {
    if (result.kind === "unavailable" || result.kind === "unknown") {
        const { key, value, expected } = outcome;
        schedule(world.due, now + OUTCOME_RETRY_MS, { kind: "claim-outcome", key, value, expected });
    }
}
