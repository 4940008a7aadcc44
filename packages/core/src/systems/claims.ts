import { schedule } from "../support/due-queue.js";
import type { Incarnation, OperationId } from "../types/ids.js";
import type { KeyValueResult, Versioned } from "../types/messages.js";
import type { Run } from "../types/rows.js";
import { nextOperation, type World } from "../world.js";
import { readKey, swapKey } from "./key-value.js";

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

/** How an attempt to claim a key stands. */
export type ClaimVerdict =
    | { readonly kind: "owned"; }
    | { readonly kind: "pending"; }
    | { readonly kind: "elsewhere"; readonly claim: Claim; }
    | { readonly kind: "unavailable"; };

const OUTCOME_RETRY_MS = 1_000;
/** Time in ms for which a key that may not run again is remembered after its last change. */
export const CLAIM_LIFETIME_MS = 7 * 24 * 60 * 60_000;

/** Returns the key under which a claim is stored. */
export function claimKey(keyDigest: string): string {
    return `claims/${keyDigest}`;
}

/** Starts to claim a run's key, before any byte of it leaves for an endpoint. */
export function startClaim(world: World, run: Run, now: number): void {
    const claim: Claim = {
        holder: world.self.incarnation,
        operation: nextOperation(world),
        at: now,
        state: "claimed",
        status: undefined,
    };
    run.claim = { operation: claim.operation, value: JSON.stringify(claim), version: 0 };
    sendClaim(world, run);
}

function sendClaim(world: World, run: Run): void {
    const claim = run.claim!;
    const purpose = { kind: "claim", run: run.id } as const;
    swapKey(world, claimKey(run.keyDigest), claim.version, claim.value, purpose, CLAIM_LIFETIME_MS);
}

/** Continues a claim with the service's answer. */
export function handleClaimReply(world: World, run: Run, result: KeyValueResult): ClaimVerdict {
    switch (result.kind) {
        case "applied":
            run.claim!.version = result.version;
            return { kind: "owned" };
        case "unavailable":
            return { kind: "unavailable" };
        case "unknown":
            // Only a read can tell whether the claim was stored.
            readKey(world, claimKey(run.keyDigest), { kind: "claim", run: run.id });
            return { kind: "pending" };
        case "conflict":
        case "value":
            return examineClaim(world, run, result.current);
    }
}

function examineClaim(world: World, run: Run, current: Versioned): ClaimVerdict {
    const own = run.claim!;
    const stored = current.value === undefined ? undefined : JSON.parse(current.value) as Claim;
    if (stored?.operation === own.operation) {
        own.version = current.version;
        return { kind: "owned" };
    }
    if (stored === undefined || stored.state === "released") {
        own.version = current.version;
        sendClaim(world, run);
        return { kind: "pending" };
    }
    return { kind: "elsewhere", claim: stored };
}

/** Records how a claimed run ended, and tries until it is known to be stored. */
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
    writeOutcome(world, { key: claimKey(run.keyDigest), value: JSON.stringify(value), expected: claim.version });
}

/** Writes the outcome of a claim. */
export function writeOutcome(world: World, outcome: { key: string; value: string; expected: number; }): void {
    const purpose = { kind: "claim-outcome", ...outcome } as const;
    swapKey(world, outcome.key, outcome.expected, outcome.value, purpose, CLAIM_LIFETIME_MS);
}

/** Tries again when it is not known whether an outcome was stored; a conflict shows that it was. */
export function handleOutcomeReply(
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
